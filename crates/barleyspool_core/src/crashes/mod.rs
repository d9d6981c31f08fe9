//! Calls that crash targets.
//!
//! A target may crash because of what a call asks of it, or of one part of its prompt. Such calls come again, with other ids
//! and to other nodes, and crash the next target together with all the calls that are running there. So nodes exchange
//! reports of what ran at targets that crashed ([`Suspect`]), and of answers which show that it is harmless, and after some
//! crashes every node blocks calls with the suspect for a while ([`CrashTable`]). See docs/DESIGN.md, "Calls that crash
//! targets".

mod answered_calls;
mod block_policy;
mod block_trials;
mod blocked_calls;
mod call_fingerprint;
mod crash_record;
mod crash_table;
mod suspect;

pub use answered_calls::AnsweredCalls;
pub use block_trials::BlockTrials;
pub use blocked_calls::{BlockedCalls, SuspectView};
pub use call_fingerprint::CallFingerprint;
pub use crash_table::{CrashAge, CrashKnowledge, CrashReport, CrashTable, CrashUpdate, IncarnationId};
pub use suspect::{PartId, Suspect};
