//! How many of the nodes this one hears.

use super::table::Membership;
use super::{Member, MemberHealth};
use crate::{Reachability, Span, Time};

/// How long a node runs, knowing the others as far as it can tell, before it takes what it hears for all there is.
const STEADY: Span = Span::from_secs(5);
/// How long a node that fell silent is reckoned with by those who hear more than half: it may be on the other side of a cut.
const MISSED: Span = Span::from_secs(15);
/// And by those who hear half of the nodes or less: the others may have the larger part, and then use all of each rate after
/// [`MISSED`]. It is longer than cuts usually are.
const MISSED_BY_FEW: Span = Span::from_secs(300);

impl Membership {
    /// How many of the nodes that were there lately this one hears, itself included. Nodes that went in order are not missed.
    pub fn reachability(&self, now: Time) -> Reachability {
        let reached = 1 + self.members.values().filter(|member| is_reached(member)).count();
        let missed = |since: Span| {
            let missed = |member: &&Member| {
                member.health == MemberHealth::Dead
                    && !member.left_gracefully
                    && now.since(member.health_since) < since
            };
            self.members.values().filter(missed).count()
        };
        let few = reached <= missed(MISSED_BY_FEW);
        let known = reached + missed(if few { MISSED_BY_FEW } else { MISSED });
        let steady = self.age(now) >= STEADY && self.converged(now);
        Reachability {
            reached: reached as u32,
            known: known as u32,
            steady,
        }
    }
}

fn is_reached(member: &Member) -> bool {
    matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect)
}
