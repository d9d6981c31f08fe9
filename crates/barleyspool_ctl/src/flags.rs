//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The operators' command line of barleyspool. It asks one node at a time.
    ///
    /// Exit codes: 0 good; 1 the answer is no; 2 the command line or a settings file is wrong;
    /// 3 the node cannot be reached; 4 the node refused the call.
    cmd barleyspool {
        /// The operator address of the node, an IP number and port.
        optional --node address: String
        /// Print JSON instead of a table.
        optional --json
        /// The node's state: configuration, membership, lease, load.
        cmd status {}
        /// Every counter of the node.
        cmd counters {
            /// Only counters whose name begins so.
            optional --prefix text: String
        }
        /// The targets that the node uses and what it believes of each.
        cmd targets {}
        /// The other entry nodes and what they last said.
        cmd peers {}
        /// What a keeper wants, sees reported and has pending, per engine.
        cmd orders {}
        /// Stop the node in order: it takes nothing new, finishes what runs, then ends.
        cmd stop {}
        /// Where a request would go now, or why it would be refused. Nothing is run.
        cmd explain {
            /// The organisation.
            required organisation: String
            /// The pipeline.
            required pipeline: String
            /// The key, which decides the home of an unrepeatable request.
            optional --key text: String
            /// The deadline in milliseconds from now; 1000 if not given.
            optional --deadline ms: u64
            /// Whether the request may run at most once.
            optional --unrepeatable
        }
        /// What became of a request, from the logs of gateways: 0 when a line names it, 1 when none does.
        cmd explain-log {
            /// The request's id.
            required id: String
            /// Log files, of one or several processes.
            repeated file: PathBuf
        }
        /// Settings files.
        cmd settings {
            /// Check an entry node's settings: 0 when they are good, 2 when not.
            cmd check {
                /// The file.
                required file: PathBuf
            }
        }
    }
}
