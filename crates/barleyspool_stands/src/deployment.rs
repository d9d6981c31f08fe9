//! A deployment of the brief: what the platform publishes, and what its targets are like.

use barleyspool_core::{
    Cell, CellId, Class, ConfigHead, ConfigPart, EntryNode, Epoch, Era, Fleet, Incarnation, ListState,
    NodeId, Organisation, PartRef, Pipeline, Placement, Revision, Service, TargetId, TargetNode,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// The key of the one part that the stand-in keeps its organisations in.
pub const PART_KEY: &str = "organisations/0";

/// An entry node of a deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Its number.
    pub id: u32,
    /// Its zone.
    pub zone: String,
    /// Where callers connect.
    #[serde(rename = "callers")]
    pub caller_address: String,
    /// Where peers connect.
    #[serde(rename = "control")]
    pub control_address: String,
    /// Where peers fetch.
    #[serde(rename = "bulk")]
    pub bulk_address: String,
}

/// A group of like targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The service.
    pub service: String,
    /// How many there are, dealt over the zones in turn.
    pub count: u32,
    /// The number of the first.
    pub first_id: u32,
    /// Calls each works on at once.
    pub slots: u32,
    /// What a call takes, in milliseconds.
    #[serde(rename = "service_ms")]
    pub service_time_ms: u64,
    /// Whether they report their load.
    #[serde(rename = "reports")]
    pub reports_load: bool,
    /// Whether they are engines.
    #[serde(default)]
    pub engine: bool,
    /// Whether they check fences.
    #[serde(default)]
    #[serde(rename = "fences")]
    pub checks_fences: bool,
    /// The models they hold at start.
    #[serde(default)]
    pub models: Vec<String>,
}

/// What callers of a deployment ask for, for the caller stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixSpec {
    /// The pipeline.
    pub pipeline: String,
    /// Its share of the requests.
    pub weight: u32,
    /// The deadline, in milliseconds ahead.
    pub deadline_ms: u64,
    /// Whether the request may run at most once.
    #[serde(default)]
    pub unrepeatable: bool,
}

/// A whole deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its zones.
    pub zones: Vec<String>,
    /// Where the platform stand-in listens.
    #[serde(rename = "platform")]
    pub platform_address: String,
    /// The first port of the targets; each has the port of its number after it.
    #[serde(rename = "target_port")]
    pub first_target_port: u16,
    /// Classes.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
    /// Pipelines.
    pub pipelines: Vec<Pipeline>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Wanted placement of models.
    #[serde(default)]
    pub placement: Vec<Placement>,
    /// Entry nodes.
    pub entries: Vec<EntrySpec>,
    /// Targets.
    pub targets: Vec<TargetSpec>,
    /// What callers ask for.
    pub mix: Vec<MixSpec>,
}

impl Deployment {
    /// Reads a deployment.
    ///
    /// # Errors
    /// When the file cannot be read or understood.
    pub fn load(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        serde_json::from_str(&text).map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
    }

    /// The head of its configuration, with the part at `revision`.
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

    /// Its organisations.
    pub fn config_part(&self) -> ConfigPart {
        ConfigPart {
            organisations: self.organisations.clone(),
        }
    }

    /// Its fleet list at revision 1.
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
                u32::from(self.first_target_port) + spec.first_id + index
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

    /// One of the things that callers ask for, as often as its weight says.
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

    /// The group and the target of a number.
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
