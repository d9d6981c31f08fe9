//! What goes over the wire, and how connections are made.
//!
//! - [`rpc`]: the code generated from `schema/barleyspool.proto`, for callers and operators.
//! - [`peer`]: control calls between entry nodes, by `tarpc`.
//! - [`pieces`]: orders for pieces of stages between entry nodes, by `tarpc`.
//! - [`target`] and [`platform`]: the JSON of targets and of the platform's services.
//! - [`net`]: the one place where connections are made and accepted.
//! - [`process`]: signals and threads of a daemon.
//! - [`timer`]: time-outs that let go first what has arrived.
//! - [`settings`]: reading and checking settings files.

mod clock;
pub mod http;
pub mod logging;
pub mod net;
pub mod peer;
pub mod pieces;
pub mod platform;
pub mod process;
pub mod rpc_convert;
pub mod settings;
pub mod target;
pub mod timer;

/// The code generated from `schema/barleyspool.proto`.
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
pub mod rpc {
    include!("generated/barleyspool.v1.rs");
}

pub use clock::{Clock, monotonic_time, time_since_boot};
pub use settings::{SettingsError, SettingsReader};
