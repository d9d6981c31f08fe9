//! Trials of blocked calls, by which a block ends before its time is over.

use super::Suspect;
use crate::{Span, Time};
use std::collections::HashMap;

/// Minimum time between two trials of a suspect, within which a crash and most answers are known.
const TRIAL_INTERVAL: Span = Span::from_secs(1);
/// Number of trials from which on expired ones are removed.
const MAX_TRIALS: usize = 256;

/// A blocked call that was sent to a target all the same.
#[derive(Clone, Debug)]
struct Trial {
    call_id: String,
    started_at: Time,
}

/// The last trial of each blocked call at this node.
///
/// A blocked call is not answered anywhere, so that no new evidence for it could end the block. How often a suspect is tried
/// is bounded by the crashes that count against it, which all nodes know; this only spaces the trials.
#[derive(Clone, Debug, Default)]
pub struct BlockTrials {
    trials: HashMap<Suspect, Trial>,
}

impl BlockTrials {
    /// Whether the call with this id may be sent although a suspect in it is blocked. A call is checked several times before
    /// it is sent, and gets the same reply each time.
    pub fn may_try(&mut self, now: Time, suspect: Suspect, call_id: &str) -> bool {
        if self.trials.len() >= MAX_TRIALS {
            self.trials
                .retain(|_, trial| now.since(trial.started_at) < TRIAL_INTERVAL);
        }
        if let Some(trial) = self.trials.get(&suspect)
            && now.since(trial.started_at) < TRIAL_INTERVAL
        {
            return trial.call_id == call_id;
        }
        let trial = Trial {
            call_id: call_id.to_owned(),
            started_at: now,
        };
        self.trials.insert(suspect, trial);
        true
    }
}
