//! The documents of the configuration service, as they are written.

use crate::Revision;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The head document of the configuration service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Classes of priority, the most important first.
    pub classes: Vec<Class>,
    /// Stage pools, engines and plain services.
    pub services: Vec<Service>,
    /// Pipelines; a plain service is a pipeline of one stage.
    pub pipelines: Vec<Pipeline>,
    /// The parts that hold the organisations, with the least revision each must have.
    pub parts: Vec<PartRef>,
    /// Which engine should hold which model.
    #[serde(default)]
    pub placement: Vec<Placement>,
}

/// One part of the organisations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPart {
    /// The organisations of this part.
    pub organisations: Vec<Organisation>,
}

/// Names a part and the least revision at which it belongs to its head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// The part's key in the configuration service.
    pub key: String,
    /// The least revision of the part.
    pub revision: Revision,
}

/// A class of priority.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The most requests of this class that may wait on one node.
    pub queue: u32,
    /// Whether work of this class may be put off when others need the targets.
    #[serde(default)]
    pub deferrable: bool,
}

/// What kind of target serves a service.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A pool of encoders, retrievers or rerankers.
    #[default]
    Pool,
    /// A model engine, which streams its answer.
    Engine,
    /// A plain service beside the engines.
    Plain,
}

/// A stage pool, a set of engines or a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, as the fleet list uses it.
    pub name: String,
    /// What serves it.
    pub kind: ServiceKind,
    /// What a call takes, in milliseconds, until something has been measured.
    pub expected_ms: u64,
    /// What a second of it costs, in accelerator-seconds.
    pub cost: f64,
}

/// A stage of a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The service that runs it.
    pub service: String,
    /// Whether this stage may run at most once for a request.
    #[serde(default)]
    pub unrepeatable: bool,
    /// The model it needs, if the service is made of engines.
    #[serde(default)]
    pub model: String,
}

/// A chain of stages under one deadline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: String,
    /// The furthest that a deadline may lie ahead, in milliseconds.
    pub deadline_ms: u64,
    /// Its stages in order.
    pub stages: Vec<Stage>,
}

/// A customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Its share among organisations of the same class.
    pub weight: u32,
    /// The pipelines it may use; none named means all.
    #[serde(default)]
    pub pipelines: Vec<String>,
}

/// What an engine should hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The target, as the fleet list numbers it.
    pub target: crate::TargetId,
    /// The models it should hold, with versions, such as "summary@3".
    pub models: Vec<String>,
    /// How much it matters that this is done soon; higher is sooner.
    #[serde(default)]
    pub urgency: u32,
}

/// A part at the revision at which it was read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionedPart {
    /// The part's key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
    /// What it holds; shared, since most parts stay as they are when one changes.
    pub part: Arc<ConfigPart>,
}

/// A whole configuration at one revision: the head and all its parts.
///
/// Between nodes the same type carries a change: the head with only those parts that the asking node
/// does not have. [`ConfigDocument::complete_with`] makes it whole again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The head's revision.
    pub revision: Revision,
    /// The head.
    pub head: ConfigHead,
    /// The parts, in the head's order.
    pub parts: Vec<VersionedPart>,
}

impl ConfigDocument {
    /// All organisations of all parts.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.parts.iter().flat_map(|part| &part.part.organisations)
    }

    /// This document without the parts that a node at revision `have` has already.
    pub fn changes_since(&self, known: Revision) -> Self {
        let parts = self
            .parts
            .iter()
            .filter(|part| part.revision > known)
            .cloned()
            .collect();
        Self {
            revision: self.revision,
            head: self.head.clone(),
            parts,
        }
    }

    /// Fills in, from `older`, the parts that this document was sent without.
    ///
    /// `None` when a part that the head names is in neither, or is older than the head demands: such a
    /// document is not accepted, and the node asks again.
    pub fn complete_with(&self, older: Option<&Self>) -> Option<Self> {
        let find = |required: &PartRef| {
            let own = self.parts.iter().find(|part| part.key == required.key);
            let previous = || older?.parts.iter().find(|part| part.key == required.key);
            own.or_else(previous)
                .filter(|part| part.revision >= required.revision)
                .cloned()
        };
        let parts = self.head.parts.iter().map(find).collect::<Option<Vec<_>>>()?;
        Some(Self {
            revision: self.revision,
            head: self.head.clone(),
            parts,
        })
    }
}
