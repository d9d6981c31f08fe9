//! Replays a recorded trace against the real router of one node.
//!
//! The router runs in virtual time, and [`FakeTargets`] simulates all of its targets. Apart from the measured
//! decision times, the report depends only on the trace, the deployment and the policy.

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
