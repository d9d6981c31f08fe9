//! How many of the nodes of the fleet this node reaches.

use super::table::Membership;
use super::{Member, MemberHealth};
use crate::{Reachability, Span, Time};

/// Age, counted from the start of this node, from which it assumes that it knows all nodes, provided that its
/// table has converged.
const STEADY_AFTER: Span = Span::from_secs(5);
/// How long a dead node counts as part of the fleet for nodes that reach more than half of it: the node may
/// be alive on the other side of a network partition.
const MISSING_PERIOD: Span = Span::from_secs(15);
/// The same for nodes that reach half of the fleet or less: the other side may be the majority, which uses
/// the whole of each rate after [`MISSING_PERIOD`]. It is longer than partitions usually last.
const MINORITY_MISSING_PERIOD: Span = Span::from_secs(300);

impl Membership {
    /// How many of the nodes that were alive lately this node reaches, itself included. Nodes that left by
    /// a planned stop do not count as missing.
    pub fn reachability(&self, now: Time) -> Reachability {
        let reached = 1 + self.members.values().filter(|member| is_reached(member)).count();
        let missing = |period: Span| {
            let missing = |member: &&Member| {
                member.health == MemberHealth::Dead
                    && !member.left_gracefully
                    && now.since(member.health_since) < period
            };
            self.members.values().filter(missing).count()
        };
        let is_minority = reached <= missing(MINORITY_MISSING_PERIOD);
        let known = reached
            + missing(if is_minority {
                MINORITY_MISSING_PERIOD
            } else {
                MISSING_PERIOD
            });
        let steady = self.age(now) >= STEADY_AFTER && self.converged(now);
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
