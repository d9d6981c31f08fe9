//! Counters as `opentelemetry` metrics, readable as text and through the operators' RPC.

use crate::shared::Shared;
use barleyspool_core::{ControlCounters, Counter, Reason, RetryReason};
use barleyspool_wire::rpc;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// One example of each counter, for its name.
const KINDS: &[Counter] = &[
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
type ControlRead = fn(&ControlCounters) -> u64;

/// The control counters by name.
const CONTROL: &[(&str, ControlRead)] = &[
    ("configuration_accepted", |c| c.accepted),
    ("configuration_rejected", |c| c.rejected),
    ("configuration_stale", |c| c.stale),
    ("fleet_stale", |c| c.stale_fleet_lists),
    ("fleet_faulty", |c| c.invalid_fleet_lists),
    ("platform_read_failed", |c| c.failed_reads),
    ("platform_own_read", |c| c.fallback_reads),
    ("start_without_peers", |c| c.starts_without_peers),
    ("peer_foreign_rules", |c| c.mismatched_rules),
    ("peer_asked", |c| c.gossip_sent),
    ("peer_replied", |c| c.replies_received),
];

/// The metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers every counter; their values are read when somebody looks.
    ///
    /// # Errors
    /// When the exporter cannot be set up.
    pub fn new(shared: &Arc<Shared>) -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("barleyspool");
        for kind in KINDS {
            register(&meter, kind.name(), shared);
        }
        for (name, read) in CONTROL {
            let (shared, read) = (Arc::clone(shared), *read);
            meter
                .u64_observable_counter(format!("barleyspool_{name}"))
                .with_callback(move |observer| observer.observe(read(&shared.control_counters.load()), &[]))
                .build();
        }
        let lane_full = Arc::clone(shared);
        meter
            .u64_observable_counter("barleyspool_lane_full")
            .with_callback(move |observer| observer.observe(lane_full.lane_full.load(Ordering::Relaxed), &[]))
            .build();
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the usual text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory does not fail; a metric that cannot be written is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }

    /// All counters whose name begins with `prefix`.
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

fn register(meter: &Meter, name: &'static str, shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_counter(format!("barleyspool_{name}"))
        .with_callback(move |observer| {
            let counters = shared.counters();
            for zero in reasons_of(name).filter(|zero| !counters.values.contains_key(zero)) {
                observer.observe(0, &[label(&shared, zero)]);
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

/// The counters of a name that are shown even while they are zero: one per reason.
fn reasons_of(name: &str) -> impl Iterator<Item = Counter> {
    let refusals = Reason::ALL
        .iter()
        .flat_map(|reason| [Counter::RefusedNotRun(*reason), Counter::RefusedUnknown(*reason)]);
    let retries = RetryReason::ALL.iter().map(|reason| Counter::Retried(*reason));
    let all: Vec<Counter> = refusals
        .chain(retries)
        .filter(|counter| counter.name() == name)
        .collect();
    all.into_iter()
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
