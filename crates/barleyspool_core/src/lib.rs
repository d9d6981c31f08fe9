//! The decision logic of barleyspool, without a clock, sockets or threads.
//!
//! The daemons are thin I/O shells around state machines of this crate, among them [`Router`], which runs
//! requests through their pipelines, [`Control`], which tracks the configuration in force, the fleet list and
//! the peers, and [`Membership`], the table of nodes that probe each other and pass on what they learn about
//! each other, calls and targets. [`Control`] and [`Membership`] do not use each other: the first knows its
//! peers from the fleet list, the second from messages between nodes. All are stepped with the current time
//! and an event and return actions. Tests and replays step them in the same way.
//!
//! Where a name in a message or file differs from the Rust name, a `serde` attribute keeps the outer name.
//!
//! Good entry points are [`Router::step`] for the life cycle of a request, [`Lease`] for why an unrepeatable
//! request runs at most once, and [`Config::from_document`] for what a configuration consists of.

mod backlog;
pub mod chart;
mod concurrency_limit;
mod config;
mod control;
mod counters;
mod crashes;
mod fair_queue;
mod fleet;
mod forward;
mod guard;
mod ids;
mod key_memory;
mod lease;
mod membership;
mod orders;
mod outcome;
mod peer_message;
mod plan;
mod policy;
mod rate_limits;
pub mod rendezvous;
mod request;
mod retry_budget;
mod router;
mod service_state;
mod streams;
mod subset;
mod target_state;
mod time;
mod traffic;

pub use backlog::*;
pub use concurrency_limit::*;
pub use config::*;
pub use control::*;
pub use counters::*;
pub use crashes::*;
pub use fair_queue::*;
pub use fleet::*;
pub use forward::*;
pub use guard::*;
pub use ids::*;
pub use key_memory::*;
pub use lease::*;
pub use membership::*;
pub use orders::*;
pub use outcome::*;
pub use peer_message::*;
pub use plan::*;
pub use policy::*;
pub use rate_limits::*;
pub use request::*;
pub use retry_budget::*;
pub use router::*;
pub use service_state::*;
pub use streams::*;
pub use subset::*;
pub use target_state::*;
pub use time::*;
pub use traffic::*;
