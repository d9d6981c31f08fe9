//! A configuration that passed the check, with its names resolved to indices.

use super::check::check;
use super::{
    Class, ConfigDocument, ConfigError, ConfigHead, Organisation, Pipeline, Placement, Service, Stage,
};
use crate::{ClassIx, Guard, Guards, OrgIx, PipelineIx, Revision, ServiceIx, Span};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A stage of a pipeline, with its service resolved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResolvedStage {
    /// The service that runs it.
    pub service: ServiceIx,
    /// Whether this stage may run at most once for a request.
    pub unrepeatable: bool,
    /// The model that it needs; empty for none.
    pub model: String,
}

/// A pipeline with its class and services resolved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResolvedPipeline {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: ClassIx,
    /// The maximum time from the arrival of a request to its deadline.
    #[serde(rename = "longest")]
    pub max_deadline: Span,
    /// Its stages in order.
    pub stages: Vec<ResolvedStage>,
}

/// A checked and resolved configuration, which the router and the control state work from.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Its revision.
    pub revision: Revision,
    /// Priority classes, the highest priority first.
    pub classes: Vec<Class>,
    /// Services, indexed by [`ServiceIx`]; includes those that only earlier revisions define, so that a
    /// service keeps its index.
    pub services: Vec<Service>,
    /// Pipelines, indexed by [`PipelineIx`].
    pub pipelines: Vec<ResolvedPipeline>,
    /// Organisations, indexed by [`OrgIx`].
    pub organisations: Vec<Organisation>,
    /// The models that each engine should have loaded.
    pub placement: Vec<Placement>,
    pipeline_names: HashMap<String, PipelineIx>,
    org_names: HashMap<String, OrgIx>,
    service_names: HashMap<String, ServiceIx>,
}

impl Config {
    /// Checks all of `document` and resolves its names.
    ///
    /// Whether it is accepted depends only on the document, so all nodes decide alike. `previous` only
    /// preserves the indices of services: a service keeps its [`ServiceIx`] for the lifetime of the process,
    /// so that requests that run under an older revision can share queues with newer ones.
    ///
    /// # Errors
    /// All errors of the document, not only the first.
    pub fn from_document(
        document: &ConfigDocument,
        previous: Option<&Self>,
    ) -> Result<Self, Vec<ConfigError>> {
        Self::check_and_resolve(document, previous, Guards::default())
    }

    /// [`Config::from_document`] with `guards` in force.
    pub(crate) fn check_and_resolve(
        document: &ConfigDocument,
        previous: Option<&Self>,
        guards: Guards,
    ) -> Result<Self, Vec<ConfigError>> {
        let errors = check(document);
        let accepted = errors.is_empty() || !guards.enforces(Guard::ConfigAllOrNothing);
        if accepted {
            Ok(Self::resolve(document, previous))
        } else {
            Err(errors)
        }
    }

    /// The index of the pipeline with this name.
    pub fn pipeline(&self, name: &str) -> Option<PipelineIx> {
        self.pipeline_names.get(name).copied()
    }

    /// The index of the organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<OrgIx> {
        self.org_names.get(name).copied()
    }

    /// The index of the service with this name.
    pub fn service(&self, name: &str) -> Option<ServiceIx> {
        self.service_names.get(name).copied()
    }

    /// Whether `org` may use `pipeline`.
    pub fn may_use(&self, org: OrgIx, pipeline: PipelineIx) -> bool {
        let allowed = &self.organisations[org.0 as usize].pipelines;
        allowed.is_empty() || allowed.contains(&self.pipelines[pipeline.0 as usize].name)
    }

    fn resolve(document: &ConfigDocument, previous: Option<&Self>) -> Self {
        let head = &document.head;
        let mut services = previous.map(|config| config.services.clone()).unwrap_or_default();
        for service in &head.services {
            match services.iter_mut().find(|existing| existing.name == service.name) {
                Some(existing) => existing.clone_from(service),
                None => services.push(service.clone()),
            }
        }
        let service_names = index_by_name(services.iter().map(|service| &service.name), |index| {
            ServiceIx(index as u16)
        });
        let organisations: Vec<Organisation> = document.organisations().cloned().collect();
        let pipelines: Vec<ResolvedPipeline> = head
            .pipelines
            .iter()
            .map(|pipeline| resolve_pipeline(pipeline, head, &service_names))
            .collect();
        Self {
            revision: document.revision,
            classes: head.classes.clone(),
            services,
            pipeline_names: index_by_name(pipelines.iter().map(|pipeline| &pipeline.name), |index| {
                PipelineIx(index as u16)
            }),
            pipelines,
            org_names: index_by_name(organisations.iter().map(|org| &org.name), |i| OrgIx(i as u32)),
            organisations,
            placement: head.placement.clone(),
            service_names,
        }
    }
}

fn resolve_pipeline(
    pipeline: &Pipeline,
    head: &ConfigHead,
    services: &HashMap<String, ServiceIx>,
) -> ResolvedPipeline {
    let class = head.classes.iter().position(|class| class.name == pipeline.class);
    let stage = |stage: &Stage| ResolvedStage {
        service: services.get(&stage.service).copied().unwrap_or_default(),
        unrepeatable: stage.unrepeatable,
        model: stage.model.clone(),
    };
    ResolvedPipeline {
        name: pipeline.name.clone(),
        class: ClassIx(class.unwrap_or_default() as u8),
        max_deadline: Span::from_millis(pipeline.deadline_ms),
        stages: pipeline.stages.iter().map(stage).collect(),
    }
}

fn index_by_name<'a, K>(
    names: impl Iterator<Item = &'a String>,
    key: impl Fn(usize) -> K,
) -> HashMap<String, K> {
    names
        .enumerate()
        .map(|(index, name)| (name.clone(), key(index)))
        .collect()
}
