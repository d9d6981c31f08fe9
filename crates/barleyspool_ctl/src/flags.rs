//! The command line arguments.

use std::path::PathBuf;

xflags::xflags! {
    /// The command line of barleyspool for operators. Each command queries one node or reads files.
    ///
    /// Exit codes: 0 success; 1 the result is negative: the request would be refused, or no log line has the id;
    /// 2 the command line is invalid, or a file is invalid or cannot be read; 3 the node cannot be reached;
    /// 4 the call to the node failed.
    cmd barleyspool {
        /// The operator address of the node, IP:PORT.
        optional --node address: String
        /// Print JSON instead of text.
        optional --json
        /// Show the state of the node: configuration, membership, lease, load.
        cmd status {}
        /// Show the counters of the node.
        cmd counters {
            /// Show only counters whose name starts with this.
            optional --prefix text: String
        }
        /// Show the targets that the node uses, with the state of each as the node sees it.
        cmd targets {}
        /// Show the other entry nodes with the last state that the node received from each.
        cmd peers {}
        /// Show the wanted, loaded and loading models of each engine. Only keepers answer this.
        cmd orders {}
        /// Stop the node gracefully: it refuses new requests, completes the running ones, then exits.
        cmd stop {}
        /// Show where a request would be sent now, or why it would be refused. Nothing is run.
        cmd explain {
            /// The organisation.
            required organisation: String
            /// The pipeline.
            required pipeline: String
            /// The key, which determines the home node of an unrepeatable request.
            optional --key text: String
            /// The deadline in milliseconds from now; the default is 1000.
            optional --deadline ms: u64
            /// Whether the request may run at most once.
            optional --unrepeatable
        }
        /// Show the log lines and the outcome of a request from the logs of gateways (barleyspool-gateway processes):
        /// 0 if a line has its id, 1 if not.
        cmd explain-log {
            /// The id of the request.
            required id: String
            /// The log files of one or more gateways; lines of other processes, such as entry nodes, are skipped.
            repeated file: PathBuf
        }
        /// Commands for settings files.
        cmd settings {
            /// Check the settings of an entry node: 0 if they are valid, 2 if not.
            cmd check {
                /// The settings file.
                required file: PathBuf
            }
        }
    }
}
