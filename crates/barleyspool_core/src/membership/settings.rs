//! What a membership table is set up with.

use super::MemberFacts;
use crate::{Incarnation, Span};

/// What a membership table is set up with.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// What this node says of itself at its start.
    pub facts: MemberFacts,
    /// This run of the node.
    pub incarnation: Incarnation,
    /// Where to find others before any is known; some may be stale or dead.
    pub seeds: Vec<String>,
    /// The time between two probes.
    pub probe_interval: Span,
    /// How long an answer may take before others are asked to probe.
    pub probe_timeout: Span,
    /// How long a suspected node may take to refute.
    pub suspicion_timeout: Span,
    /// How long a dead node is remembered, so that an old update of a node that slept or was cut off does not revive it.
    /// Longer than machines are usually suspended; each dead node costs some 200 bytes.
    pub dead_retention: Span,
    /// How many others are asked to probe.
    pub indirect_probes: usize,
    /// The most updates in one message besides the sender's own: some 85 bytes each, so that a message fits a datagram of
    /// 1,472 bytes that no network has to split.
    pub max_updates: usize,
    /// Seed of the random choices.
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
