//! Which nodes there are, learnt from a few seeds and from each other.
//!
//! A SWIM protocol: each round a node probes one other in turn; when no answer comes it asks some more to
//! probe for it, and only then suspects. A suspected node that hears of it refutes by raising its own
//! incarnation. Updates travel on the probes themselves, so the bytes per second do not grow with the fleet.

mod catch_up;
mod crash_updates;
mod event;
mod leaving_updates;
mod limit_updates;
mod member;
mod message;
mod probes;
mod reachability;
mod receive;
mod round_robin;
mod settings;
mod table;
mod update_queue;

pub use event::{MemberAction, MemberCounts, MemberEvent};
pub use member::{Evidence, Member, MemberFacts, MemberHealth, SourceState};
pub use message::{MemberMessage, MemberUpdate, MessageKind};
pub use settings::MembershipSettings;
pub use table::Membership;
