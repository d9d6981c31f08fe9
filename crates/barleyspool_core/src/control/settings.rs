//! What a control state is set up with.

use crate::{CellId, Guards, Incarnation, LeaseRules, NodeId, Span, SubsetSize};

/// What a control state is set up with.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This node.
    pub node: NodeId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its cell.
    pub cell: CellId,
    /// Where callers connect: IP number and port.
    pub address: String,
    /// Control addresses of peers to ask before the first fleet list.
    pub seeds: Vec<String>,
    /// The spans on which the lease rests.
    pub rules: LeaseRules,
    /// How many targets the node uses.
    pub subset: SubsetSize,
    /// The time between two questions to a peer.
    pub heartbeat_interval: Span,
    /// How long a starting node waits for a majority of its peers before it serves without them.
    pub startup_timeout: Span,
    /// A node reads the configuration service itself when nobody has for this long.
    pub max_read_age: Span,
    /// How many peers outside its cell a node asks per beat.
    pub fanout: usize,
    /// How long callers keep an answer to `Ask`.
    pub address_ttl: Span,
    /// Seed of the random choices.
    pub seed: u64,
    /// Where peers fetch: IP number and port.
    pub bulk_address: String,
    /// The guards in force; all of them but in proofs.
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
