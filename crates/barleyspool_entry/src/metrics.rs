//! Counters as `opentelemetry` metrics, exported as Prometheus text and through the RPC service for
//! operators.

use crate::shared::Shared;
use barleyspool_core::{ControlCounters, Counter, Reason, RetryReason};
use barleyspool_wire::rpc;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// One example of each kind of counter, from which its name is taken.
const COUNTER_EXAMPLES: &[Counter] = &[
    Counter::Arrived,
    Counter::Complete(0),
    Counter::RefusedNotRun(Reason::InvalidKey),
    Counter::RefusedUnknown(Reason::InvalidKey),
    Counter::Dispatched(barleyspool_core::ServiceIx(0)),
    Counter::Retried(RetryReason::Refused),
    Counter::RetryDenied,
    Counter::Misdirected,
    Counter::LateAnswer,
    Counter::StreamGap,
    Counter::Joined,
    Counter::Remembered,
    Counter::Cancelled,
    Counter::Quarantined,
    Counter::QuarantineCapped,
    Counter::ReportedLeaving,
    Counter::Spent(barleyspool_core::ServiceIx(0)),
    Counter::Wasted(barleyspool_core::ServiceIx(0)),
];

/// Reads one of the control counters.
type ReadControlCounter = fn(&ControlCounters) -> u64;

/// The control counters with their metric names.
const CONTROL_COUNTERS: &[(&str, ReadControlCounter)] = &[
    ("configuration_accepted", |counters| counters.accepted),
    ("configuration_rejected", |counters| counters.rejected),
    ("configuration_stale", |counters| counters.stale),
    ("fleet_stale", |counters| counters.stale_fleet_lists),
    ("fleet_faulty", |counters| counters.invalid_fleet_lists),
    ("platform_read_failed", |counters| counters.failed_reads),
    ("platform_own_read", |counters| counters.fallback_reads),
    ("start_without_peers", |counters| counters.starts_without_peers),
    ("peer_foreign_rules", |counters| counters.mismatched_rules),
    ("peer_asked", |counters| counters.gossip_sent),
    ("peer_replied", |counters| counters.replies_received),
];

/// The metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all counters. Their values are read when the metrics are collected.
    ///
    /// # Errors
    /// If the exporter cannot be set up.
    pub fn new(shared: &Arc<Shared>) -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("barleyspool");
        for example in COUNTER_EXAMPLES {
            register_counter(&meter, example.name(), shared);
        }
        for (name, read) in CONTROL_COUNTERS {
            let (shared, read) = (Arc::clone(shared), *read);
            meter
                .u64_observable_counter(format!("barleyspool_{name}"))
                .with_callback(move |observer| observer.observe(read(&shared.control_counters.load()), &[]))
                .build();
        }
        let shared = Arc::clone(shared);
        meter
            .u64_observable_counter("barleyspool_lane_full")
            .with_callback(move |observer| observer.observe(shared.lane_rejects.load(Ordering::Relaxed), &[]))
            .build();
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the Prometheus text format.
    pub fn encode_text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory does not fail. A metric that cannot be encoded is omitted.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }

    /// All counters whose names start with `prefix`.
    pub fn counters(&self, prefix: &str) -> Vec<rpc::Counter> {
        let mut counters = Vec::new();
        for family in self.registry.gather() {
            if !family.name().starts_with(prefix) {
                continue;
            }
            for metric in family.get_metric() {
                let labels = metric
                    .get_label()
                    .iter()
                    .filter(|label| !label.name().starts_with("otel_"));
                let labels: Vec<String> = labels
                    .map(|label| format!("{}={}", label.name(), label.value()))
                    .collect();
                counters.push(rpc::Counter {
                    name: family.name().to_owned(),
                    labels: labels.join(","),
                    value: metric.get_counter().get_value(),
                });
            }
        }
        counters
    }
}

fn register_counter(meter: &Meter, name: &'static str, shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_counter(format!("barleyspool_{name}"))
        .with_callback(move |observer| {
            let counters = shared.total_counters();
            for counter in zero_counters(name).filter(|counter| !counters.values.contains_key(counter)) {
                observer.observe(0, &[label(&shared, counter)]);
            }
            for (counter, value) in counters
                .values
                .iter()
                .filter(|(counter, _)| counter.name() == name)
            {
                observer.observe(*value, &[label(&shared, *counter)]);
            }
        })
        .build();
}

/// The counters with the name `name` that are exported even if they are zero: one per reason.
fn zero_counters(name: &str) -> impl Iterator<Item = Counter> {
    let refusals = Reason::ALL
        .iter()
        .flat_map(|reason| [Counter::RefusedNotRun(*reason), Counter::RefusedUnknown(*reason)]);
    let retries = RetryReason::ALL.iter().map(|reason| Counter::Retried(*reason));
    let counters: Vec<Counter> = refusals
        .chain(retries)
        .filter(|counter| counter.name() == name)
        .collect();
    counters.into_iter()
}

fn label(shared: &Shared, counter: Counter) -> KeyValue {
    match counter {
        Counter::RefusedNotRun(reason) | Counter::RefusedUnknown(reason) => {
            KeyValue::new("reason", reason.name())
        }
        Counter::Retried(reason) => KeyValue::new("reason", reason.name()),
        Counter::Complete(rank) => {
            let plan = shared.plan.load();
            let class = plan
                .config
                .as_ref()
                .and_then(|config| config.classes.get(usize::from(rank)));
            KeyValue::new(
                "class",
                class.map_or_else(|| rank.to_string(), |class| class.name.clone()),
            )
        }
        Counter::Dispatched(service) | Counter::Spent(service) | Counter::Wasted(service) => {
            KeyValue::new("service", shared.service_name(service))
        }
        _ => KeyValue::new("node", i64::from(shared.settings.node.0)),
    }
}
