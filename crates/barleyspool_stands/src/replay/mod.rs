//! Replaying a recorded trace against the real decisions of one node.
//!
//! The node's router is stepped in virtual time; its targets are answered by one small fake at its interface.
//! What comes out depends on nothing but the trace and the policy.

mod fake_targets;
mod generator;
mod report;
mod run;
mod trace;

pub use fake_targets::{FakeTargets, StageUsage};
pub use generator::{Scenario, capacity, generate};
pub use report::{GroupStats, Report};
pub use run::replay;
pub use trace::{Arrival, Bound, ExpectedOutcome, Fault, FaultKind, Measure, Trace, TraceHeader};
