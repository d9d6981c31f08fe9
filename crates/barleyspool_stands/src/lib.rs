//! Simulators of the external systems: platform, targets and callers. The system itself does not depend on them.
//!
//! Such a simulator is called a stand-in (`stand` in names): it takes the place of the external system in tests and
//! measurements.

pub mod caller;
pub mod deployment;
pub mod fault_relay;
pub mod platform;
pub mod process;
pub mod replay;
pub mod run_log;
pub mod slopes;
pub mod target;
pub mod target_link;
