//! SWIM membership: which nodes exist and whether they are alive, learnt from a few seeds and from each
//! other.
//!
//! In each probe interval a node probes one other node, in shuffled order. When no ack arrives it asks a
//! few other nodes to probe on its behalf, and suspects the target only when that fails too. A suspected
//! node that receives the suspicion refutes it by raising its incarnation. Updates are piggybacked on the
//! probes, so the bytes per second of a node do not grow with the fleet.

mod brittle_updates;
mod catch_up;
mod collectors;
mod crash_updates;
mod event;
mod leaving_updates;
mod limit_updates;
mod list_checks;
mod member;
mod message;
mod probes;
mod reach_updates;
mod reachability;
mod receive;
mod round_robin;
mod settings;
mod stream_updates;
mod table;
mod update_queue;

pub use brittle_updates::BrittleUpdate;
pub use event::{MemberAction, MemberCounts, MemberEvent};
pub use member::{Evidence, Member, MemberFacts, MemberHealth, SourceState};
pub use message::{MemberMessage, MemberUpdate, MessageKind};
pub use reach_updates::ReachUpdate;
pub use settings::MembershipSettings;
pub use table::Membership;
