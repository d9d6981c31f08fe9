//! What a node has given out of the rate of one target.

use super::{Rate, RateRole, RateShare, TokenBucket};
use crate::{Span, Time, rendezvous};

/// What an owner may give out at once. Calls come in pairs now and then, and with the rate it is below one and a half times the rate
/// and five, over any span of a second or more.
const OWNER_BURST: f64 = 2.0;
/// What a node that stands in may give out at once: many may stand in at the same time.
const STAND_IN_BURST: f64 = 1.0;

/// What this node has given out of the rate of one target.
#[derive(Copy, Clone, Debug, Default)]
pub struct TargetBucket {
    bucket: TokenBucket,
    /// The standing for which the bucket was made.
    begun: Option<(RateRole, Time)>,
}

impl TargetBucket {
    /// The node of key `me` has that share of the rate of the target with that hash.
    ///
    /// With a new standing the bucket begins with nothing to give: whoever gave out before may have given all of it a moment ago.
    /// Nodes that begin to stand in at the same moment begin at different points of their first interval.
    pub fn set_share(&mut self, now: Time, share: RateShare, (target, me): (u128, u64)) {
        let standing = Some((share.role, share.since));
        if self.begun == standing {
            return;
        }
        self.begun = standing;
        let used = match share.role {
            RateRole::Owner => OWNER_BURST,
            RateRole::Fallback => rendezvous::even(target, me),
        };
        self.bucket = TokenBucket::new(now, used);
    }

    /// How long until one more call may be sent to the target, which takes `per_s` calls a second from all nodes.
    pub fn wait(&self, now: Time, per_s: f64, share: RateShare) -> Span {
        self.bucket.wait(now, rate(per_s, share))
    }

    /// One call goes there, at the end of the wait that was told.
    pub fn take(&mut self, now: Time, per_s: f64, share: RateShare) {
        self.bucket.take(now, rate(per_s, share));
    }
}

fn rate(per_s: f64, share: RateShare) -> Rate {
    let burst = match share.role {
        RateRole::Owner => OWNER_BURST,
        RateRole::Fallback => STAND_IN_BURST,
    };
    Rate {
        per_s: per_s * share.fraction,
        burst,
    }
}
