//! How many calls a second targets take from all nodes together.
//!
//! A target that has just started, or that names a limit in its answers, takes so many calls a second, whoever sends them. No node
//! sees what all send. So each target has one owner by rendezvous hashing, which alone says of each call whether, and when, it may be sent
//! ([`TargetBucket`]); the others ask it. How much of the whole a node may give out follows from who else it hears
//! ([`Reachability`]) and whether it owns the target ([`Ownership`]). What targets have said is in [`LimitTable`]. docs/DESIGN.md, "Rates of targets".

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
