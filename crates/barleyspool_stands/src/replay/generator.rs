//! Generates traces of load and failure scenarios from a seed.

use super::trace::{Arrival, Bound, ExpectedOutcome, Fault, FaultKind, Measure, Trace, TraceHeader};
use crate::deployment::Deployment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The duration of a generated trace, in milliseconds.
const TRACE_LENGTH_MS: u64 = 18_000;
/// Start and end of a surge, in milliseconds from the start of the trace.
const SURGE_PERIOD_MS: (u64, u64) = (4_000, 14_000);
/// The load outside a surge, relative to capacity.
const QUIET_LOAD: f64 = 0.5;
/// How many requests the flooding organisation sends for each request of all others together.
const FLOOD_RATIO: u32 = 40;

/// The load and the faults of a generated trace.
#[derive(Copy, Clone, Debug, PartialEq)]
pub enum Scenario {
    /// Half of capacity throughout.
    Quiet,
    /// A constant load, relative to capacity.
    Steady(f64),
    /// A surge of three times capacity for ten seconds, as on a release day.
    Surge,
    /// A constant load of 0.3 times capacity; after four seconds the service `rerank` becomes eight times slower
    /// while the other services are lightly loaded.
    SaturatedStage,
    /// All targets of an availability zone fail during a surge of 1.5 times capacity.
    ZoneLost,
    /// The configuration service is down from one second before a surge on.
    ConfigurationDown,
    /// One organisation sends forty times as many requests as all others together, in a surge of three times
    /// capacity.
    Flood,
    /// The first engine target of the deployment, of whatever service, becomes ten times slower and still responds to
    /// health checks.
    SlowTarget,
}

impl Scenario {
    /// The scenarios of the stored traces, with the names of the traces.
    pub const NAMED: [(&str, Self); 7] = [
        ("quiet", Self::Quiet),
        ("surge", Self::Surge),
        ("saturated-stage", Self::SaturatedStage),
        ("zone-lost", Self::ZoneLost),
        ("configuration-down", Self::ConfigurationDown),
        ("flood", Self::Flood),
        ("slow-target", Self::SlowTarget),
    ];

    fn load_at(self, at_ms: u64) -> f64 {
        let in_surge = (SURGE_PERIOD_MS.0..SURGE_PERIOD_MS.1).contains(&at_ms);
        match self {
            Self::Steady(load) => load,
            Self::Surge | Self::ConfigurationDown | Self::Flood if in_surge => 3.0,
            Self::ZoneLost if in_surge => 1.5,
            Self::SaturatedStage => 0.3,
            _ => QUIET_LOAD,
        }
    }

    fn faults(self, deployment: &Deployment) -> Vec<Fault> {
        let fault_at = |at_ms, kind| vec![Fault { at_ms, kind }];
        match self {
            Self::SaturatedStage => fault_at(
                SURGE_PERIOD_MS.0,
                FaultKind::SlowService {
                    service: "rerank".to_owned(),
                    factor: 8.0,
                },
            ),
            Self::ZoneLost => fault_at(
                SURGE_PERIOD_MS.0 + 2000,
                FaultKind::ZoneLost {
                    zone: deployment.zones[1].clone(),
                },
            ),
            Self::ConfigurationDown => fault_at(SURGE_PERIOD_MS.0 - 1000, FaultKind::ConfigurationDown),
            Self::SlowTarget => {
                let engine = deployment.targets.iter().find(|spec| spec.engine);
                let target = engine.map_or(0, |spec| spec.first_id);
                fault_at(SURGE_PERIOD_MS.0, FaultKind::SlowTarget { target, factor: 10.0 })
            }
            _ => Vec::new(),
        }
    }

    /// The outcomes that the default policy must reach.
    fn expected_outcomes(self, deployment: &Deployment) -> Vec<ExpectedOutcome> {
        let top = deployment.classes[0].name.clone();
        let attainment = |class: &str, least| ExpectedOutcome {
            measure: Measure::Attainment,
            class: Some(class.to_owned()),
            organisation: None,
            bound: Bound::AtLeast(least),
        };
        let wasted = |most| ExpectedOutcome {
            measure: Measure::Wasted,
            class: None,
            organisation: None,
            bound: Bound::AtMost(most),
        };
        match self {
            Self::Quiet => {
                let mut all: Vec<ExpectedOutcome> = deployment
                    .classes
                    .iter()
                    .map(|class| attainment(&class.name, 0.99))
                    .collect();
                all.push(wasted(0.01));
                all
            }
            Self::Surge | Self::ConfigurationDown => vec![attainment(&top, 0.95), wasted(0.05)],
            Self::ZoneLost => vec![attainment(&top, 0.95), wasted(0.10)],
            Self::SaturatedStage => vec![wasted(0.05)],
            Self::SlowTarget => vec![attainment(&top, 0.99), wasted(0.05)],
            Self::Flood => {
                let small = deployment.organisations.last().map(|org| org.name.clone());
                // In a surge, deferrable classes of every organisation yield to the non-deferrable requests of all
                // organisations, so no outcome is expected of them.
                let non_deferrable = deployment.classes.iter().filter(|class| !class.deferrable);
                let well_served = |class: &barleyspool_core::Class| ExpectedOutcome {
                    measure: Measure::Attainment,
                    class: Some(class.name.clone()),
                    organisation: small.clone(),
                    bound: Bound::AtLeast(0.95),
                };
                non_deferrable.map(well_served).chain([wasted(0.05)]).collect()
            }
            Self::Steady(_) => Vec::new(),
        }
    }
}

/// Returns how many requests per second of the deployment's mix its targets can serve. The service with the
/// lowest throughput sets the limit.
pub fn capacity(deployment: &Deployment) -> f64 {
    let total: u32 = deployment.mix.iter().map(|mix| mix.weight).sum();
    let requests_per_s = |spec: &crate::deployment::TargetSpec| {
        let calls: f64 = deployment
            .mix
            .iter()
            .map(|mix| {
                let pipeline = deployment
                    .pipelines
                    .iter()
                    .find(|pipeline| pipeline.name == mix.pipeline);
                let stages = pipeline
                    .map(|pipeline| pipeline.stages.as_slice())
                    .unwrap_or_default();
                let calls_per_request = stages
                    .iter()
                    .filter(|stage| stage.service == spec.service)
                    .count() as f64;
                calls_per_request * f64::from(mix.weight) / f64::from(total)
            })
            .sum();
        let served = f64::from(spec.count * spec.slots) * 1000.0 / spec.service_time_ms as f64;
        if calls > 0.0 {
            served / calls
        } else {
            f64::INFINITY
        }
    };
    deployment
        .targets
        .iter()
        .map(requests_per_s)
        .fold(f64::INFINITY, f64::min)
}

/// Generates the trace of a scenario.
pub fn generate(deployment: &Deployment, name: &str, scenario: Scenario, seed: u64) -> Trace {
    let mut random = StdRng::seed_from_u64(seed);
    let capacity = capacity(deployment);
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0_f64;
    while (at_ms as u64) < TRACE_LENGTH_MS {
        let requests_per_s = capacity * scenario.load_at(at_ms as u64);
        // Requests of many independent callers form a Poisson process: the times between arrivals are
        // exponentially distributed.
        at_ms += -(1.0 - random.random::<f64>()).ln() / requests_per_s * 1000.0;
        arrivals.push(generate_arrival(deployment, scenario, at_ms as u64, &mut random));
    }
    let header = TraceHeader {
        name: name.to_owned(),
        deployment: deployment.name.clone(),
        seed,
        report_lag_ms: Some(100),
        organisations: deployment
            .organisations
            .iter()
            .map(|org| org.name.clone())
            .collect(),
        pipelines: deployment.mix.iter().map(|mix| mix.pipeline.clone()).collect(),
        outcomes: scenario.expected_outcomes(deployment),
    };
    Trace {
        header,
        arrivals,
        faults: scenario.faults(deployment),
    }
}

fn generate_arrival(deployment: &Deployment, scenario: Scenario, at_ms: u64, random: &mut StdRng) -> Arrival {
    let pipeline = deployment.pick_mix(random);
    let others = deployment.organisations.len() as u32 - 1;
    let organisation = match scenario {
        Scenario::Flood if random.random_range(0..=FLOOD_RATIO) > 0 => 0,
        Scenario::Flood => 1 + random.random_range(0..others),
        _ => random.random_range(0..=others),
    };
    let deadline_ms = deployment.mix[pipeline].deadline_ms;
    Arrival {
        at_ms,
        organisation: organisation as usize,
        pipeline,
        deadline_ms,
    }
}
