//! The nodes that collect all reports about one subject.

use super::table::Membership;
use super::{Member, MemberHealth};
use crate::rendezvous;
use std::collections::HashMap;

impl Membership {
    /// The `count` other nodes that collect reports about the subject with this key, best first: those ranked first by
    /// rendezvous hashing, from different zones as far as possible.
    pub(super) fn collectors(&self, key: u64, count: usize) -> Vec<String> {
        let alive = |member: &&Member| matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect);
        let mut ranked: Vec<&Member> = self.members.values().filter(alive).collect();
        ranked.sort_unstable_by_key(|member| rendezvous::order(member.key, key));
        let mut in_zone: HashMap<&str, u32> = HashMap::new();
        let mut by_round: Vec<(u32, &Member)> = Vec::new();
        for member in ranked {
            let zone_rank = in_zone.entry(&member.facts.zone).or_default();
            by_round.push((*zone_rank, member));
            *zone_rank += 1;
        }
        // The sort is stable: within each pass through the zones the nodes stay in the order of their rank.
        by_round.sort_by_key(|(round, _)| *round);
        let collectors = by_round.into_iter().take(count);
        collectors
            .map(|(_, member)| member.facts.address.clone())
            .collect()
    }
}
