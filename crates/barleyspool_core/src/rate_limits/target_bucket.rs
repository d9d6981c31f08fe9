//! The calls that a node has granted of the rate of one target.

use super::{Rate, RateRole, RateShare, TokenBucket};
use crate::{Span, Time, rendezvous};

/// Burst of an owner, in calls. Calls come in pairs now and then, and together with the rate this stays
/// below one and a half times the rate plus five over any span of a second or more.
const OWNER_BURST: f64 = 2.0;
/// Burst of a fallback owner, in calls: there may be many fallback owners at the same time.
const FALLBACK_BURST: f64 = 1.0;

/// The calls that this node has granted of the rate of one target.
#[derive(Copy, Clone, Debug, Default)]
pub struct TargetBucket {
    bucket: TokenBucket,
    /// The share that was set last.
    share: Option<RateShare>,
}

impl TargetBucket {
    /// Resets the bucket if the role of `share`, or the time since which the node has it, is not that for
    /// which the bucket was created. `me` is the key of the node and `target` the hash of the target, which
    /// accepts `per_s` calls per second. [`Self::wait`] and [`Self::take`] get the share with each call.
    ///
    /// In a new role the bucket starts with nothing to grant, since the previous owner may have granted the
    /// whole rate a moment ago. Nodes that become fallback owners at the same moment start at different
    /// points of their first interval.
    ///
    /// A new owner that completes its handover keeps its progress towards the next call: the previous owner
    /// has stopped granting by then, and an owner that restarts every few seconds would otherwise spend
    /// most of its time waiting for its first call.
    pub fn set_share(&mut self, now: Time, per_s: f64, share: RateShare, (target, me): (u128, u64)) {
        let previous = self.share.replace(share);
        let used = match (previous, share.role) {
            (Some(previous), role) if (previous.role, previous.since) == (role, share.since) => return,
            // Owners and fallback owners have different bursts; the time until the next call stays the same.
            (Some(previous), RateRole::Owner) if previous.since == share.since => {
                self.bucket.used_at(now, rate(per_s, previous)) + OWNER_BURST - FALLBACK_BURST
            }
            (_, RateRole::Owner) => OWNER_BURST,
            (_, RateRole::Fallback) => rendezvous::uniform(target, me),
        };
        self.bucket = TokenBucket::new(now, used);
    }

    /// The time until one more call may be sent to the target, which accepts `per_s` calls per second from
    /// all nodes together.
    pub fn wait(&self, now: Time, per_s: f64, share: RateShare) -> Span {
        self.bucket.wait(now, rate(per_s, share))
    }

    /// Takes one call, which is sent at the end of the wait that was returned.
    pub fn take(&mut self, now: Time, per_s: f64, share: RateShare) {
        self.bucket.take(now, rate(per_s, share));
    }
}

fn rate(per_s: f64, share: RateShare) -> Rate {
    let burst = match share.role {
        RateRole::Owner => OWNER_BURST,
        RateRole::Fallback => FALLBACK_BURST,
    };
    Rate {
        per_s: per_s * share.fraction,
        burst,
    }
}
