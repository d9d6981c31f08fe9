//! Counters and gauges as `opentelemetry` metrics, readable as text.

use crate::shared::Shared;
use barleyspool_core::{Counter, Reason, RetryReason};
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
    Counter::RefusedNotRun(Reason::BadCall),
    Counter::RefusedUnknown(Reason::BadCall),
    Counter::Retried(RetryReason::Refused),
    Counter::RetryDenied,
    Counter::Misdirected,
    Counter::SlowHead,
    Counter::Cancelled,
    Counter::Quarantined,
];

/// The metrics of one gateway.
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
        register_gauges(&meter, shared);
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// The metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail; a half page would be shown as it is.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn register(meter: &Meter, name: &'static str, shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_counter(format!("barleyspool_{name}"))
        .with_callback(move |observer| {
            for (counter, value) in &shared.counters.load().values {
                if counter.name() == name {
                    observer.observe(*value, &labels(*counter));
                }
            }
        })
        .build();
}

fn register_gauges(meter: &Meter, shared: &Arc<Shared>) {
    let of = Arc::clone(shared);
    meter
        .u64_observable_gauge("barleyspool_configuration_version")
        .with_callback(move |observer| {
            let plan = of.plan.load();
            observer.observe(
                plan.catalog.as_ref().map_or(0, |catalog| catalog.version().0),
                &[],
            );
        })
        .build();
    let of = Arc::clone(shared);
    meter
        .u64_observable_gauge("barleyspool_members_serving")
        .with_callback(move |observer| observer.observe(of.plan.load().members.len() as u64, &[]))
        .build();
    let of = Arc::clone(shared);
    meter
        .u64_observable_gauge("barleyspool_member_news_waiting")
        .with_callback(move |observer| observer.observe(of.news_waiting.load(Ordering::Relaxed) as u64, &[]))
        .build();
    let of = Arc::clone(shared);
    meter
        .u64_observable_counter("barleyspool_member_news_outdated")
        .with_callback(move |observer| observer.observe(of.news_outdated.load(Ordering::Relaxed), &[]))
        .build();
    let of = Arc::clone(shared);
    meter
        .u64_observable_counter("barleyspool_member_news_unreadable")
        .with_callback(move |observer| observer.observe(of.news_unreadable.load(Ordering::Relaxed), &[]))
        .build();
    let of = Arc::clone(shared);
    meter
        .u64_observable_gauge("barleyspool_targets_listed")
        .with_callback(move |observer| observer.observe(of.plan.load().targets.len() as u64, &[]))
        .build();
    let of = Arc::clone(shared);
    meter
        .u64_observable_gauge("barleyspool_calls_in_flight")
        .with_callback(move |observer| observer.observe(of.in_flight.load(Ordering::Relaxed) as u64, &[]))
        .build();
}

fn labels(counter: Counter) -> Vec<KeyValue> {
    match counter {
        Counter::RefusedNotRun(reason) | Counter::RefusedUnknown(reason) => {
            vec![KeyValue::new("reason", reason.name())]
        }
        Counter::Retried(reason) => vec![KeyValue::new("reason", reason.name())],
        Counter::Complete(rank) => vec![KeyValue::new("rank", i64::from(rank))],
        _ => Vec::new(),
    }
}
