//! Wire formats and connections, and the process helpers shared by all daemons.
//!
//! - [`rpc`]: the code generated from `schema/barleyspool.proto`, for callers and operators.
//! - [`peer`]: gossip between entry nodes, by `tarpc`.
//! - [`pieces`]: orders for pieces of stages, placements and grants between gateway nodes, by `tarpc`.
//! - [`target`] and [`platform`]: the JSON of targets and of the platform's services.
//! - [`http`]: HTTP/1.1 requests and a small server.
//! - [`net`]: opens and accepts all connections.
//! - [`read_limit`]: limits what is read from targets.
//! - [`process`]: signals, threads and essential tasks of a daemon.
//! - [`logging`]: structured logs.
//! - [`tunnel`]: connections to targets by way of another entry node.
//! - [`timer`]: timeouts that process received data first, and that count suspensions of the machine.
//! - [`settings`]: reads and validates settings files.
//!
//! Where a type or field has another name in messages or files than in the code, a serde attribute keeps the outer
//! name.

mod clock;
pub mod http;
pub mod logging;
pub mod net;
pub mod peer;
pub mod pieces;
pub mod platform;
pub mod process;
pub mod read_limit;
pub mod rpc_convert;
pub mod settings;
pub mod target;
pub mod timer;
pub mod tunnel;

/// The code generated from `schema/barleyspool.proto`.
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
pub mod rpc {
    include!("generated/barleyspool.v1.rs");
}

pub use clock::{Clock, monotonic_time, time_since_boot};
pub use settings::{SettingsError, SettingsReader};
