//! Stand-ins for what surrounds the system. Nothing here is part of it.

pub mod caller;
pub mod deployment;
pub mod fault_relay;
pub mod platform;
pub mod process;
pub mod replay;
pub mod run_log;
pub mod slopes;
pub mod target;
