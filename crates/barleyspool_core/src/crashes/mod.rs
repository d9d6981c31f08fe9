//! Calls that crash targets.
//!
//! A target may crash because of what a call asks of it. The caller sends such a call again, with another
//! id and to another node, and it crashes the next target together with all the calls that are running
//! there. So nodes exchange reports of the calls during which targets crashed, identified by a fingerprint
//! that all tries of a call share ([`CallFingerprint`]), and after the second crash every node blocks the
//! call for a while ([`CrashTable`]). See docs/DESIGN.md, "Calls that crash targets".

mod answered_calls;
mod call_fingerprint;
mod crash_table;

pub use answered_calls::AnsweredCalls;
pub use call_fingerprint::CallFingerprint;
pub use crash_table::{BlockedCalls, CrashKnowledge, CrashTable, CrashUpdate, IncarnationId};
