//! The entry daemon: the sockets, clocks and threads around the state machines of `barleyspool_core`.
//!
//! - [`Daemon`] starts the threads and waits until they have ended.
//! - The control thread (`control_thread`) owns the [`barleyspool_core::Control`]. Each traffic thread,
//!   called a lane (`lane`), owns a [`barleyspool_core::Router`].
//! - The threads share [`Shared`]: the current plan, and the state that operators and metrics read.

mod bulk_server;
mod control_thread;
mod daemon;
mod gateway_service;
mod lane;
mod metrics;
mod operations_service;
mod peer_server;
mod platform_client;
mod settings;
mod shared;
mod target_client;
mod target_links;

pub use daemon::{Daemon, DaemonError};
pub use platform_client::PlatformClient;
pub use settings::EntrySettings;
pub use shared::{LaneStats, Shared, TargetView};
