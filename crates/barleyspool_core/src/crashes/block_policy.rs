//! After how many crashes a suspect is blocked, and for how long.

use super::Suspect;
use crate::Span;

/// Minimum retention of a record after its last crash.
const MIN_RETENTION: Span = Span::from_secs(600);

/// How the crashes of a suspect lead to a block.
#[derive(Debug)]
pub(super) struct BlockPolicy {
    /// Number of crashes from which on all nodes have to know of the suspect. From then on, answers to calls with it at any
    /// node show whether it is harmless.
    pub(super) shared_from: usize,
    /// Number of crashes from which on it is blocked.
    pub(super) blocked_from: usize,
    /// Whether a crash counts only if the call was sent after the crash that was counted before it.
    ///
    /// When many targets crash at once, any part that many prompts share runs at several of them.
    pub(super) in_sequence: bool,
    /// How long it is blocked after that number of crashes, and after each further one.
    block_times: &'static [Span],
    /// By how much longer than others a node may block it, as a share of the time. The node whose block ends first shows
    /// whether targets still crash, before all others send such calls again.
    pub(super) jitter: f64,
}

/// Calls as a whole.
///
/// A target may crash during any call by chance, since up to 64 other calls are running there, and some calls that are
/// retried meet the next target that crashes. But each crash costs all the calls at that target, its memory and seconds of
/// its work, and a call that has failed twice has little time left. The rules of the deployments allow three crashes.
///
/// The times balance two errors. A call that was at two crashing targets by chance is told to retry after 5 s, and is then
/// served; that is long compared to the second within which calls that crash targets are sent again. A call that crashes
/// every target and is sent again and again causes five crashes within a quarter of an hour, and one a day after that: it
/// must not be tried before the targets may have been repaired, and the rules allow three crashes after the third.
const CALLS: BlockPolicy = BlockPolicy {
    shared_from: 2,
    blocked_from: 2,
    in_sequence: false,
    block_times: &[
        Span::from_secs(5),
        Span::from_secs(60),
        Span::from_secs(12 * 60),
        Span::from_secs(24 * 3600),
    ],
    jitter: 0.0,
};

/// Parts of prompts.
///
/// Many calls have a part in common, so that it is at crashed targets by chance far more often than a single call, and a
/// block by mistake refuses all of them. The rules of the deployments allow five crashes, those of the next seconds, and
/// three more calls.
const PARTS: BlockPolicy = BlockPolicy {
    shared_from: 3,
    blocked_from: 4,
    in_sequence: true,
    block_times: &[
        Span::from_secs(30),
        Span::from_secs(12 * 60),
        Span::from_secs(24 * 3600),
    ],
    jitter: 0.5,
};

impl BlockPolicy {
    pub(super) fn of(suspect: Suspect) -> &'static Self {
        match suspect {
            Suspect::Call(_) => &CALLS,
            Suspect::Part(_) => &PARTS,
        }
    }

    /// How long a suspect is blocked after `crashes` crashes; `None` if these are too few.
    pub(super) fn block_time(&self, crashes: usize) -> Option<Span> {
        let more = crashes.checked_sub(self.blocked_from)?;
        Some(self.block_times[more.min(self.block_times.len() - 1)])
    }

    /// How long after the last of `crashes` crashes the next one still counts together with them: as long as the suspect
    /// would be blocked after that next crash, and at least [`MIN_RETENTION`].
    pub(super) fn retention_after(&self, crashes: usize) -> Span {
        self.block_time(crashes + 1)
            .unwrap_or_default()
            .max(MIN_RETENTION)
    }
}
