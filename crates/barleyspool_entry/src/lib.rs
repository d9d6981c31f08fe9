//! The entry daemon: sockets, clocks and threads around the decisions of `barleyspool_core`.
//!
//! - [`Daemon`] starts everything and waits for the end.
//! - `control_thread` owns the one [`barleyspool_core::Control`]; `lane` threads own a
//!   [`barleyspool_core::Router`] each.
//! - They share [`Shared`]: the plan, and what operators and metrics read.

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

pub use daemon::{Daemon, DaemonError};
pub use platform_client::PlatformClient;
pub use settings::EntrySettings;
pub use shared::{LaneStats, Shared, TargetView};
