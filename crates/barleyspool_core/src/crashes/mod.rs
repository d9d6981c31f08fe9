//! Calls under which targets end.
//!
//! A target may end because of what a call asks of it. Such a call comes again, with another id and at another node, and ends the
//! next target, with all the calls that are at it. So nodes tell each other under which calls targets have ended, by a mark that
//! all tries of a call share ([`CallFingerprint`]), and after the second end none of them sends it to a target for a while
//! ([`CrashTable`]); docs/DESIGN.md, "Calls that end targets".

mod answered_calls;
mod call_fingerprint;
mod crash_table;

pub use answered_calls::AnsweredCalls;
pub use call_fingerprint::CallFingerprint;
pub use crash_table::{BlockedCalls, CrashKnowledge, CrashTable, CrashUpdate, IncarnationId};
