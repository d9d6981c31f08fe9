//! Counters of the control state.

/// Counters of the control state, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlCounters {
    /// Configurations accepted.
    pub accepted: u64,
    /// Configurations rejected as invalid; a revision counts once.
    pub rejected: u64,
    /// Configurations received that are older than the one in force.
    pub stale: u64,
    /// Fleet lists received that are older than the current one.
    pub stale_fleet_lists: u64,
    /// Fleet lists rejected as invalid.
    pub invalid_fleet_lists: u64,
    /// Failed reads of the configuration or the fleet list.
    pub failed_reads: u64,
    /// Starts whose startup timeout expired before the node had caught up with its cell.
    pub starts_without_peers: u64,
    /// Gossip messages and replies of peers whose lease rules differ.
    pub mismatched_rules: u64,
    /// Reads by a node without watches, because it knew of no recent read by another node.
    pub fallback_reads: u64,
    /// Gossip messages sent to peers.
    pub gossip_sent: u64,
    /// Replies received from peers.
    pub replies_received: u64,
}
