//! The documents of the configuration service, in their stored form.

use crate::Revision;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The head document of the configuration service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Priority classes, the highest priority first.
    pub classes: Vec<Class>,
    /// Services: stage pools, engines and plain services.
    pub services: Vec<Service>,
    /// Pipelines; a plain service is called through a pipeline with one stage.
    pub pipelines: Vec<Pipeline>,
    /// References to the parts that hold the organisations.
    pub parts: Vec<PartRef>,
    /// The models that each engine should have loaded.
    #[serde(default)]
    pub placement: Vec<Placement>,
}

/// A part of the configuration: some of the organisations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPart {
    /// The organisations of this part.
    pub organisations: Vec<Organisation>,
}

/// Reference from the head to a part, with the minimum revision of the part that is consistent with the head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// The part's key in the configuration service.
    pub key: String,
    /// The minimum revision of the part.
    pub revision: Revision,
}

/// A priority class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Maximum number of requests of this class that may queue on one node.
    pub queue: u32,
    /// Whether work of this class may be deferred when other classes need the targets.
    #[serde(default)]
    pub deferrable: bool,
}

/// The kind of target that serves a service.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A pool of encoders, retrievers or rerankers.
    #[default]
    Pool,
    /// A model engine, which streams its output.
    Engine,
    /// A plain service, neither a pool nor an engine.
    Plain,
}

/// A stage pool, a set of engines or a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, which the fleet list refers to.
    pub name: String,
    /// The kind of its targets.
    pub kind: ServiceKind,
    /// The expected time of a call in milliseconds, used until there are samples.
    pub expected_ms: u64,
    /// The cost of one second of a call, in accelerator-seconds.
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
    /// The model that it needs, if engines serve it; empty for none.
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
    /// The maximum time from the arrival of a request to its deadline, in milliseconds.
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
    /// Its weight in the fair sharing of targets between organisations of the same class.
    pub weight: u32,
    /// The pipelines that it may use; empty for all.
    #[serde(default)]
    pub pipelines: Vec<String>,
}

/// The models that an engine should have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The target's id in the fleet list.
    pub target: crate::TargetId,
    /// The models to load, with versions, such as "summary@3".
    pub models: Vec<String>,
    /// The urgency of the change; higher values come first.
    #[serde(default)]
    pub urgency: u32,
}

/// A part with its key and the revision at which it was read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionedPart {
    /// The part's key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
    /// The part itself; shared, since most parts stay unchanged between revisions.
    pub part: Arc<ConfigPart>,
}

/// A configuration at one revision: the head and all its parts.
///
/// Between nodes the same type carries a change: the head with only the parts that the requesting node lacks.
/// [`ConfigDocument::complete_with`] completes such a document.
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
    /// The organisations of all parts.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.parts.iter().flat_map(|part| &part.part.organisations)
    }

    /// A copy of this document without the parts that a node at revision `known` has already.
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

    /// Completes this document with the parts of `older` that it was sent without.
    ///
    /// Returns `None` when a part that the head refers to is in neither document, or is older than the head
    /// requires. Such a document is not accepted, and the node fetches it again.
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
