//! Validation of a configuration document.

use super::{ConfigDocument, Pipeline};
use std::collections::BTreeSet;

/// Maximum length of a name in a configuration, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of stages of a pipeline.
pub const MAX_STAGES: usize = 8;
/// Maximum deadline that a pipeline may allow, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// An error in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ConfigError {
    /// {path}: "{value}" is not allowed: {allowed}
    InvalidValue {
        /// The path in the document.
        path: String,
        /// The value.
        value: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
    /// {path}: "{name}" is defined more than once
    Duplicate {
        /// The path in the document.
        path: String,
        /// The name.
        name: String,
    },
    /// {path}: "{name}" is not defined
    Undefined {
        /// The path in the document.
        path: String,
        /// The name.
        name: String,
    },
}

impl std::error::Error for ConfigError {}

/// Collects the errors of a document.
#[derive(Default)]
struct Checker {
    errors: Vec<ConfigError>,
}

impl Checker {
    /// Reports `value` unless it lies within `min..=max`.
    fn check_range(&mut self, path: &str, value: u64, min: u64, max: u64, allowed: &'static str) {
        if !(min..=max).contains(&value) {
            let (path, value) = (path.to_owned(), value.to_string());
            self.errors
                .push(ConfigError::InvalidValue { path, value, allowed });
        }
    }

    /// Reports names that are repeated, empty or too long, and returns the valid ones.
    fn check_unique<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a String>) -> BTreeSet<&'a str> {
        let mut names_seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let path = format!("{path}[{index}].name");
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                let allowed = "a name of 1 to 64 bytes";
                self.errors.push(ConfigError::InvalidValue {
                    path,
                    value: name.clone(),
                    allowed,
                });
            } else if !names_seen.insert(name.as_str()) {
                self.errors.push(ConfigError::Duplicate {
                    path,
                    name: name.clone(),
                });
            }
        }
        names_seen
    }

    /// Reports `name` unless it is one of `known`.
    fn check_defined(&mut self, path: String, name: &str, known: &BTreeSet<&str>) {
        if !known.contains(name) {
            self.errors.push(ConfigError::Undefined {
                path,
                name: name.to_owned(),
            });
        }
    }
}

/// Returns all errors of `document`; empty when it is valid.
pub(super) fn check(document: &ConfigDocument) -> Vec<ConfigError> {
    let head = &document.head;
    let mut checker = Checker::default();
    let classes = checker.check_unique("classes", head.classes.iter().map(|class| &class.name));
    let services = checker.check_unique("services", head.services.iter().map(|service| &service.name));
    let pipelines = checker.check_unique("pipelines", head.pipelines.iter().map(|pipeline| &pipeline.name));
    checker.check_unique("organisations", document.organisations().map(|org| &org.name));
    checker.check_range("classes", head.classes.len() as u64, 1, 32, "1 to 32 classes");
    for (index, class) in head.classes.iter().enumerate() {
        checker.check_range(
            &format!("classes[{index}].queue"),
            class.queue.into(),
            1,
            1_000_000,
            "1 to 1000000 requests",
        );
    }
    for (index, service) in head.services.iter().enumerate() {
        checker.check_range(
            &format!("services[{index}].expected_ms"),
            service.expected_ms,
            1,
            600_000,
            "1 to 600000 ms",
        );
        if !(service.cost.is_finite() && (0.0..=1e6).contains(&service.cost)) {
            let (path, value) = (format!("services[{index}].cost"), service.cost.to_string());
            checker.errors.push(ConfigError::InvalidValue {
                path,
                value,
                allowed: "0 to 1000000 accelerator-seconds",
            });
        }
    }
    for (index, pipeline) in head.pipelines.iter().enumerate() {
        check_pipeline(&mut checker, index, pipeline, &classes, &services);
    }
    for (index, org) in document.organisations().enumerate() {
        checker.check_range(
            &format!("organisations[{index}].weight"),
            org.weight.into(),
            1,
            10_000,
            "1 to 10000",
        );
        for (position, name) in org.pipelines.iter().enumerate() {
            checker.check_defined(
                format!("organisations[{index}].pipelines[{position}]"),
                name,
                &pipelines,
            );
        }
    }
    checker.errors
}

fn check_pipeline(
    checker: &mut Checker,
    index: usize,
    pipeline: &Pipeline,
    classes: &BTreeSet<&str>,
    services: &BTreeSet<&str>,
) {
    let path = format!("pipelines[{index}]");
    let stages = pipeline.stages.len() as u64;
    checker.check_range(
        &format!("{path}.stages"),
        stages,
        1,
        MAX_STAGES as u64,
        "1 to 8 stages",
    );
    checker.check_range(
        &format!("{path}.deadline_ms"),
        pipeline.deadline_ms,
        1,
        MAX_DEADLINE_MS,
        "1 to 600000 ms",
    );
    checker.check_defined(format!("{path}.class"), &pipeline.class, classes);
    for (position, stage) in pipeline.stages.iter().enumerate() {
        checker.check_defined(
            format!("{path}.stages[{position}].service"),
            &stage.service,
            services,
        );
    }
}
