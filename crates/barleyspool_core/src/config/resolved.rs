//! A configuration that has been checked, with its names resolved.

use super::check::check;
use super::{
    Class, ConfigDocument, ConfigError, ConfigHead, Organisation, Pipeline, Placement, Service, Stage,
};
use crate::{ClassIx, Guard, Guards, OrgIx, PipelineIx, Revision, ServiceIx, Span};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A stage with its names resolved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResolvedStage {
    /// The service that runs it.
    pub service: ServiceIx,
    /// Whether it may run at most once for a request.
    pub unrepeatable: bool,
    /// The model it needs; empty for none.
    pub model: String,
}

/// A pipeline with its names resolved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResolvedPipeline {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: ClassIx,
    /// The furthest that a deadline may lie ahead.
    #[serde(rename = "longest")]
    pub max_deadline: Span,
    /// Its stages in order.
    pub stages: Vec<ResolvedStage>,
}

/// A configuration that has been checked and resolved; what all decisions read.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Its revision.
    pub revision: Revision,
    /// Classes, the most important first.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
    /// Pipelines.
    pub pipelines: Vec<ResolvedPipeline>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Wanted placement of models.
    pub placement: Vec<Placement>,
    pipeline_names: HashMap<String, PipelineIx>,
    org_names: HashMap<String, OrgIx>,
    service_names: HashMap<String, ServiceIx>,
}

impl Config {
    /// Checks `document` whole and resolves its names.
    ///
    /// The verdict depends on nothing but the document, so all nodes judge alike. `previous` only keeps the
    /// numbers of services: a service has the same [`ServiceIx`] for as long as the process lives, so that
    /// requests which run under an older revision can share queues with newer ones.
    ///
    /// # Errors
    /// Everything that is wrong, not just the first.
    pub fn from_document(
        document: &ConfigDocument,
        previous: Option<&Self>,
    ) -> Result<Self, Vec<ConfigError>> {
        Self::check_and_resolve(document, previous, Guards::default())
    }

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

    /// The pipeline of that name.
    pub fn pipeline(&self, name: &str) -> Option<PipelineIx> {
        self.pipeline_names.get(name).copied()
    }

    /// The organisation of that name.
    pub fn organisation(&self, name: &str) -> Option<OrgIx> {
        self.org_names.get(name).copied()
    }

    /// The service of that name.
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
