//! What went on in the control state, counted.

/// What went on in the control state, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlCounters {
    /// Configurations accepted.
    pub accepted: u64,
    /// Configurations refused as faulty.
    pub rejected: u64,
    /// Configurations older than the one in force.
    pub stale: u64,
    /// Fleet lists older than the present one.
    pub stale_fleet_lists: u64,
    /// Fleet lists refused as faulty.
    pub invalid_fleet_lists: u64,
    /// Failed reads of the platform.
    pub failed_reads: u64,
    /// Starts without a majority of the peers.
    pub starts_without_peers: u64,
    /// Replies of peers with other lease rules.
    pub mismatched_rules: u64,
    /// Reads made because nobody else had read for too long.
    pub fallback_reads: u64,
    /// Questions to peers.
    pub gossip_sent: u64,
    /// Replies of peers.
    pub replies_received: u64,
}
