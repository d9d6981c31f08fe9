//! Description of a deployment: what the platform publishes, the entry nodes, the targets and the load.

use barleyspool_core::{
    Cell, CellId, Class, ConfigHead, ConfigPart, EntryNode, Epoch, Era, Fleet, Incarnation, ListState,
    NodeId, Organisation, PartRef, Pipeline, Placement, Revision, Service, TargetId, TargetNode,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// Key of the only configuration part of the simulated platform. It holds all organisations.
pub const PART_KEY: &str = "organisations/0";

/// An entry node of a deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Id of the node.
    pub id: u32,
    /// Availability zone of the node.
    pub zone: String,
    /// Address for callers.
    #[serde(rename = "callers")]
    pub caller_address: String,
    /// Address for gossip between entry nodes.
    #[serde(rename = "control")]
    pub control_address: String,
    /// Address from which peers fetch snapshots.
    #[serde(rename = "bulk")]
    pub bulk_address: String,
}

/// A group of identical targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Service of the targets.
    pub service: String,
    /// Number of targets. They are assigned to the zones in rotation.
    pub count: u32,
    /// Id of the first target. The ids of the group are consecutive.
    pub first_id: u32,
    /// Number of calls that each target processes concurrently.
    pub slots: u32,
    /// Duration of a call, in milliseconds.
    #[serde(rename = "service_ms")]
    pub service_time_ms: u64,
    /// Whether the targets report their load.
    #[serde(rename = "reports")]
    pub reports_load: bool,
    /// Whether the targets are engines, which stream answers and hold models.
    #[serde(default)]
    pub engine: bool,
    /// Whether the targets reject orders with an outdated fence.
    #[serde(default)]
    #[serde(rename = "fences")]
    pub checks_fences: bool,
    /// Models that the targets hold at start.
    #[serde(default)]
    pub models: Vec<String>,
}

/// One kind of request in the load that simulated callers generate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixSpec {
    /// Pipeline of the requests.
    pub pipeline: String,
    /// Relative frequency of this kind.
    pub weight: u32,
    /// Time from the submission to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the requests may run at most once.
    #[serde(default)]
    pub unrepeatable: bool,
}

/// A complete deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Region of all nodes and targets.
    pub region: String,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Address of the simulated platform.
    #[serde(rename = "platform")]
    pub platform_address: String,
    /// Base port of the targets. The port of a target is this port plus its id.
    #[serde(rename = "target_port")]
    pub base_target_port: u16,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Services that targets provide.
    pub services: Vec<Service>,
    /// Pipelines that callers can request.
    pub pipelines: Vec<Pipeline>,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Desired placement of models on engines.
    #[serde(default)]
    pub placement: Vec<Placement>,
    /// Entry nodes.
    pub entries: Vec<EntrySpec>,
    /// Groups of targets.
    pub targets: Vec<TargetSpec>,
    /// Kinds of requests that callers send.
    pub mix: Vec<MixSpec>,
}

impl Deployment {
    /// Reads a deployment from a JSON file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or parsed.
    pub fn load(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        serde_json::from_str(&text).map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
    }

    /// Head of the configuration, which refers to the configuration part at `revision`.
    pub fn config_head(&self, revision: Revision) -> ConfigHead {
        ConfigHead {
            classes: self.classes.clone(),
            services: self.services.clone(),
            pipelines: self.pipelines.clone(),
            parts: vec![PartRef {
                key: PART_KEY.to_owned(),
                revision,
            }],
            placement: self.placement.clone(),
        }
    }

    /// Configuration part with all organisations.
    pub fn config_part(&self) -> ConfigPart {
        ConfigPart {
            organisations: self.organisations.clone(),
        }
    }

    /// Fleet list at revision 1.
    pub fn fleet(&self) -> Fleet {
        let mut members: Vec<NodeId> = self.entries.iter().map(|entry| NodeId(entry.id)).collect();
        members.sort_unstable();
        let era = Era {
            epoch: Epoch(1),
            members,
        };
        let cell = Cell {
            id: CellId(0),
            region: self.region.clone(),
            eras: vec![era],
            ..Cell::default()
        };
        Fleet {
            revision: Revision(1),
            entries: self.entries.iter().map(|entry| self.entry_node(entry)).collect(),
            cells: vec![cell],
            targets: self
                .targets
                .iter()
                .flat_map(|spec| self.targets_of(spec))
                .collect(),
        }
    }

    fn entry_node(&self, entry: &EntrySpec) -> EntryNode {
        EntryNode {
            id: NodeId(entry.id),
            address: entry.caller_address.clone(),
            control: entry.control_address.clone(),
            bulk: entry.bulk_address.clone(),
            zone: entry.zone.clone(),
            region: self.region.clone(),
            cell: CellId(0),
            state: ListState::Live,
        }
    }

    /// The targets of one group.
    pub fn targets_of(&self, spec: &TargetSpec) -> Vec<TargetNode> {
        let target = |index: u32| TargetNode {
            id: TargetId(spec.first_id + index),
            incarnation: Incarnation(1),
            address: format!(
                "127.0.0.1:{}",
                u32::from(self.base_target_port) + spec.first_id + index
            ),
            zone: self.zones[index as usize % self.zones.len()].clone(),
            region: self.region.clone(),
            service: spec.service.clone(),
            slots: spec.slots,
            fences: spec.checks_fences,
            state: ListState::Live,
        };
        (0..spec.count).map(target).collect()
    }

    /// Picks the index of a kind of request at random, by weight.
    pub fn pick_mix(&self, random: &mut impl Rng) -> usize {
        let total: u32 = self.mix.iter().map(|mix| mix.weight).sum();
        let mut offset = random.random_range(0..total);
        let covers = |mix: &MixSpec| {
            let is_covered = offset < mix.weight;
            offset = offset.wrapping_sub(mix.weight);
            is_covered
        };
        self.mix.iter().position(covers).unwrap_or_default()
    }

    /// Looks up a target and its group by id.
    pub fn target(&self, id: u32) -> Option<(&TargetSpec, TargetNode)> {
        let spec = self
            .targets
            .iter()
            .find(|spec| (spec.first_id..spec.first_id + spec.count).contains(&id))?;
        let target = self
            .targets_of(spec)
            .into_iter()
            .find(|target| target.id.0 == id)?;
        Some((spec, target))
    }
}
