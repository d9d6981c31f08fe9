//! When the stage results that a call reads are released at their holders.

use crate::{Span, Time};
use std::collections::BTreeMap;

/// How long the inputs of all calls to a service are kept until the first output, after one of its targets found inputs gone that
/// had been released earlier.
const LOSS_TTL: Span = Span::from_secs(30);

/// Decides when the inputs of calls are released.
///
/// Results fill their holders, so they are released once a target has had time to fetch them, long before its
/// first output. But a target may fetch them only when the turn of the call comes. So this holds only for a
/// call that most likely does not wait: the target has a free slot for it, and no call to the service has found
/// released inputs gone lately, as where calls wait for memory.
#[derive(Clone, Debug, Default)]
pub struct InputReleases {
    /// When a call last found released inputs gone, by service.
    lost_at: BTreeMap<String, Time>,
}

impl InputReleases {
    /// How long after a send its inputs are released; `None` if they are kept until the first output.
    /// `fetch_time` is the time that a target which runs the call at once needs to fetch them, if that is known.
    pub fn delay(&self, now: Time, service: &str, may_wait: bool, fetch_time: Option<Span>) -> Option<Span> {
        let lost_at = self.lost_at.get(service);
        let lost_lately = lost_at.is_some_and(|at| now.since(*at) < LOSS_TTL);
        fetch_time.filter(|_| !may_wait && !lost_lately)
    }

    /// Records that a target of the service has found inputs gone that this node had released.
    pub fn record_loss(&mut self, now: Time, service: &str) {
        self.lost_at.insert(service.to_owned(), now);
    }
}
