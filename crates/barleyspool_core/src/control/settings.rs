//! Settings of the control state.

use crate::{CellId, Guards, Incarnation, LeaseRules, NodeId, Span, SubsetSize};

/// Settings of the control state of one entry node.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The id of this node.
    pub node: NodeId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The availability zone of the node.
    pub zone: String,
    /// The region of the node.
    pub region: String,
    /// The cell of the node: the group of nodes that vote for each other's leases.
    pub cell: CellId,
    /// The address for callers: IP address and port.
    pub address: String,
    /// Control addresses of peers to gossip with before the first fleet list.
    pub seeds: Vec<String>,
    /// The durations of the lease protocol.
    pub rules: LeaseRules,
    /// The number of targets that the node uses.
    pub subset: SubsetSize,
    /// The interval between two gossip messages to a peer.
    pub heartbeat_interval: Span,
    /// How long a starting node waits to catch up with a majority of its cell before it serves anyway.
    pub startup_timeout: Span,
    /// The age of the last known read of the configuration service after which a node without watches reads
    /// it itself.
    pub max_read_age: Span,
    /// The number of peers outside its cell that a node gossips with per heartbeat interval.
    pub fanout: usize,
    /// How long callers cache the addresses in a reply to `Ask`.
    pub address_ttl: Span,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The address from which peers fetch snapshots: IP address and port.
    pub bulk_address: String,
    /// The guards in force: all of them, except in tests that show what one guard prevents.
    pub guards: Guards,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            node: NodeId(0),
            incarnation: Incarnation(0),
            zone: String::new(),
            region: String::new(),
            cell: CellId(0),
            address: String::new(),
            seeds: Vec::new(),
            rules: LeaseRules::default(),
            subset: SubsetSize::default(),
            heartbeat_interval: Span::from_millis(500),
            startup_timeout: Span::from_secs(3),
            max_read_age: Span::from_secs(7),
            fanout: 2,
            address_ttl: Span::from_secs(5),
            seed: 1,
            bulk_address: String::new(),
            guards: Guards::default(),
        }
    }
}
