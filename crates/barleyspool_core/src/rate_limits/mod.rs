//! Rate limits of targets across all nodes.
//!
//! A target that has just started, or that reports a limit in its answers, accepts a limited number of
//! calls per second from all nodes together, and no node sees what the others send. So rendezvous hashing
//! assigns each target one owner, which alone decides whether and when a call may be sent
//! ([`TargetBucket`]); the other nodes ask it. How much of the rate a node may grant depends on how many
//! nodes it reaches ([`Reachability`]) and whether it owns the target ([`Ownership`]). The limits that
//! targets have reported are in [`LimitTable`]. See docs/DESIGN.md, "Rates of targets".

mod limit_report;
mod limit_table;
mod ownership;
mod reachability;
mod target_bucket;
mod token_bucket;

pub use limit_report::LimitReport;
pub use limit_table::{LimitTable, LimitUpdate};
pub use ownership::{Ownership, RateRole, RateShare};
pub use reachability::Reachability;
pub use target_bucket::TargetBucket;
pub use token_bucket::{Rate, TokenBucket};
