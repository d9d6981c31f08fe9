//! Shares the capacity of a pool between organisations in a shortage.

use super::decaying_count::DecayingCount;
use crate::{OrgKey, Span, Time};
use std::collections::HashMap;

/// The half-life of the usage of an organisation. An organisation that sends more than its share for some seconds waits
/// for about as long behind others, and is not held back for a burst of minutes ago.
const USAGE_HALF_LIFE: Span = Span::from_secs(2);
/// An organisation whose usage is below this number of pieces is forgotten, so that of the 47,000 of the design size
/// only those are kept that had orders in the last 20 s or so.
const MIN_USAGE: f64 = 0.5;
/// Organisations are looked through for some to forget when there are this many, or twice as many as were left the last
/// time.
const MIN_SWEEP_SIZE: usize = 256;

/// The pieces that a pool has recently computed for each organisation.
#[derive(Clone, Debug, Default)]
pub struct OrganisationShares {
    usage: HashMap<OrgKey, DecayingCount>,
    /// How many organisations are known when some are forgotten next.
    sweep_at: usize,
}

impl OrganisationShares {
    /// Counts pieces of an organisation for which a call has started.
    pub fn record(&mut self, now: Time, organisation: OrgKey, pieces: u32) {
        let usage = self.usage.entry(organisation).or_default();
        usage.add(now, USAGE_HALF_LIFE, f64::from(pieces));
        if self.usage.len() > self.sweep_at.max(MIN_SWEEP_SIZE) {
            self.usage
                .retain(|_, usage| usage.value(now, USAGE_HALF_LIFE) >= MIN_USAGE);
            self.sweep_at = 2 * self.usage.len();
        }
    }

    /// The number of recently computed pieces of an organisation.
    pub fn usage(&self, now: Time, organisation: OrgKey) -> f64 {
        let usage = self.usage.get(&organisation);
        usage.map_or(0.0, |usage| usage.value(now, USAGE_HALF_LIFE))
    }

    /// The number of organisations that are kept.
    pub fn count(&self) -> usize {
        self.usage.len()
    }
}
