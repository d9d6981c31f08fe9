//! Settings of a membership table.

use super::MemberFacts;
use crate::{Incarnation, Span};

/// Settings of a membership table.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The facts that this node publishes at its start.
    pub facts: MemberFacts,
    /// The incarnation of this node.
    pub incarnation: Incarnation,
    /// Addresses to contact while no other node is known; some may be stale or down. Those that are unknown
    /// are also tried later, one a second together with dead nodes, in case they are reachable again.
    pub seeds: Vec<String>,
    /// The time between two probes.
    pub probe_interval: Span,
    /// How long an ack may take before other nodes are asked to probe.
    pub probe_timeout: Span,
    /// How long a suspected node has to refute the suspicion.
    pub suspicion_timeout: Span,
    /// How long a dead node is remembered, so that an outdated update from a node that was suspended or cut
    /// off does not revive it. Longer than machines are usually suspended; each dead node costs some 200
    /// bytes.
    pub dead_retention: Span,
    /// How many other nodes are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Maximum number of updates in a message besides that of the sender, and besides that of the receiver,
    /// which is added if the receiver is recorded as not alive: some 85 bytes each, so that a
    /// message fits into a datagram of 1,472 bytes, which no network has to fragment.
    pub max_updates: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            facts: MemberFacts::default(),
            incarnation: Incarnation(1),
            seeds: Vec::new(),
            probe_interval: Span::from_millis(250),
            probe_timeout: Span::from_millis(120),
            suspicion_timeout: Span::from_millis(1000),
            dead_retention: Span::from_secs(600),
            indirect_probes: 2,
            max_updates: 14,
            seed: 1,
        }
    }
}
