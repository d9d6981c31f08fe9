//! The settings of an entry node.

use barleyspool_core::{
    CellId, ControlSettings, Incarnation, LeaseRules, NodeId, RouterSettings, Span, SubsetSize,
};
use barleyspool_wire::logging::LEVELS;
use barleyspool_wire::{SettingsError, SettingsReader};
use std::net::SocketAddr;
use std::path::Path;

/// The settings of an entry node, from its settings file. docs/OPERATING.md describes the fields.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The id of the node.
    pub node: NodeId,
    /// The availability zone of the node.
    pub zone: String,
    /// The region of the node.
    pub region: String,
    /// The cell of the node.
    pub cell: CellId,
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for gossip with peers.
    pub control_address: SocketAddr,
    /// The listen address for snapshots to peers and for metrics.
    pub bulk_address: SocketAddr,
    /// The listen address for operators.
    pub operator_address: SocketAddr,
    /// The control addresses of the peers that the node contacts first when it starts.
    pub seeds: Vec<String>,
    /// The address of the configuration service.
    pub configuration_address: String,
    /// The address from which the fleet list is read.
    pub fleet_address: String,
    /// The number of traffic threads.
    pub lanes: u32,
    /// The least severe level that is logged.
    pub log_level: String,
    /// The time spans of the lease protocol. Its horizon is how far ahead the deadline of an unrepeatable request may
    /// be at most.
    pub lease_rules: LeaseRules,
    /// The interval between two gossip messages to a peer.
    pub heartbeat_interval: Span,
    /// The maximum time that a starting node waits to catch up with its peers before it serves.
    pub startup_timeout: Span,
    /// The age of the last known read of the configuration service after which a node without watches reads it
    /// itself.
    pub max_read_age: Span,
    /// How long callers may cache the answer to `Ask`.
    pub address_ttl: Span,
    /// The number of peers outside the cell that the node gossips with per heartbeat interval.
    pub fanout: usize,
    /// The maximum number of targets per service that the node uses.
    pub subset: SubsetSize,
    /// The maximum size of a payload in bytes.
    pub max_payload: usize,
    /// The maximum size of an answer in bytes.
    pub max_answer: usize,
    /// The maximum number of unrepeatable keys that are remembered.
    pub max_keys: usize,
    /// The maximum age of a plan; the node does not act on an older one.
    pub max_plan_age: Span,
    /// Whether the arrival of each request is logged. The lines hold what a replay needs, but are not in the format of
    /// a trace file.
    pub log_arrivals: bool,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// If the file cannot be read or is invalid: all errors in it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::read(SettingsReader::load(path))
    }

    /// Reads and checks settings from a reader.
    ///
    /// # Errors
    /// If the settings are invalid: all errors in them.
    pub fn read(mut reader: SettingsReader) -> Result<Self, SettingsError> {
        let millis = |reader: &mut SettingsReader, name: &str, min: u64, max: u64, default: u64| {
            Span::from_millis(reader.number(name, min..=max, "ms", Some(default)))
        };
        let r = &mut reader;
        let settings = Self {
            node: NodeId(r.number("node", 1..=1_000_000, "", None) as u32),
            zone: r.text("zone", None),
            region: r.text("region", None),
            cell: CellId(r.number("cell", 0..=65_535, "", Some(0)) as u16),
            caller_address: r.address("callers"),
            control_address: r.address("control"),
            bulk_address: r.address("bulk"),
            operator_address: r.address("operators"),
            seeds: r.addresses("seeds"),
            configuration_address: r.address("configuration").to_string(),
            fleet_address: r.address("fleet").to_string(),
            lanes: r.number("lanes", 1..=64, "threads", Some(1)) as u32,
            log_level: r.choice("log_level", LEVELS, "info"),
            log_arrivals: r.flag("record", false),
            lease_rules: r.object("lease", |r| LeaseRules {
                freshness: millis(r, "freshness_ms", 200, 60_000, 2_000),
                horizon: millis(r, "horizon_ms", 500, 600_000, 15_000),
                skew: millis(r, "skew_ms", 0, 10_000, 500),
            }),
            heartbeat_interval: millis(r, "beat_ms", 50, 10_000, 500),
            startup_timeout: millis(r, "start_wait_ms", 100, 60_000, 3_000),
            max_read_age: millis(r, "read_age_ms", 4_000, 600_000, 7_000),
            address_ttl: millis(r, "keep_ms", 100, 600_000, 5_000),
            fanout: r.number("fanout", 0..=64, "peers", Some(2)) as usize,
            subset: r.object("subset", |r| SubsetSize {
                same_zone: r.number("near", 1..=10_000, "targets", Some(16)) as usize,
                other_zones: r.number("far", 0..=10_000, "targets", Some(6)) as usize,
            }),
            max_payload: r.number("max_payload", 1..=(64 << 20), "bytes", Some(1 << 20)) as usize,
            max_answer: r.number("max_answer", 1..=(256 << 20), "bytes", Some(4 << 20)) as usize,
            max_keys: r.number("max_keys", 1..=10_000_000, "keys", Some(100_000)) as usize,
            max_plan_age: millis(r, "plan_age_ms", 200, 60_000, 3_000),
        };
        if settings.heartbeat_interval.0 * 2 > settings.lease_rules.freshness.0 {
            let value = settings.heartbeat_interval.as_millis().to_string();
            r.add_error(
                "beat_ms",
                &value,
                "at most half of lease.freshness_ms, otherwise lease votes do not stay valid",
            );
        }
        reader.finish().map(|()| settings)
    }

    /// The settings of the control state.
    pub fn control_settings(&self, incarnation: Incarnation) -> ControlSettings {
        ControlSettings {
            node: self.node,
            incarnation,
            zone: self.zone.clone(),
            region: self.region.clone(),
            cell: self.cell,
            address: self.caller_address.to_string(),
            seeds: self.seeds.clone(),
            rules: self.lease_rules,
            subset: self.subset,
            heartbeat_interval: self.heartbeat_interval,
            startup_timeout: self.startup_timeout,
            max_read_age: self.max_read_age,
            fanout: self.fanout,
            address_ttl: self.address_ttl,
            seed: incarnation.0 ^ u64::from(self.node.0),
            bulk_address: self.bulk_address.to_string(),
            ..ControlSettings::default()
        }
    }

    /// The settings of the router in traffic thread `lane`.
    pub fn router_settings(&self, incarnation: Incarnation, lane: u32) -> RouterSettings {
        RouterSettings {
            node: self.node,
            // Each lane has its own request numbers, so it has its own incarnation towards targets.
            incarnation: Incarnation(incarnation.0 + u64::from(lane)),
            lanes: self.lanes,
            seed: incarnation.0 ^ (u64::from(self.node.0) << 32) ^ u64::from(lane),
            max_payload: self.max_payload,
            max_answer: self.max_answer,
            max_keys: self.max_keys.div_ceil(self.lanes as usize),
            max_plan_age: self.max_plan_age,
            skew: self.lease_rules.skew,
            ..RouterSettings::default()
        }
    }
}
