//! Counters and gauges as `opentelemetry` metrics, exported in the Prometheus text format.

use crate::shared::Shared;
use barleyspool_core::{
    AnswerDrop, AnswerFault, AnswerId, CapacityUsage, Counter, Reason, RetryReason, TargetCounts, Time,
};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One example of each kind of counter, for its name. The labels of the examples are not used.
const COUNTER_EXAMPLES: &[Counter] = &[
    Counter::Arrived,
    Counter::Complete(0),
    Counter::RefusedNotRun(Reason::InvalidCall),
    Counter::RefusedByRank(0),
    Counter::RefusedUnknown(Reason::InvalidCall),
    Counter::SendRefused(AnswerId::Own),
    Counter::Retried(RetryReason::Refused),
    Counter::RetryDenied,
    Counter::Misdirected,
    Counter::AnswerDropped(AnswerDrop::TooLarge),
    Counter::AnswerFaulty(AnswerFault::SecondAnswer),
    Counter::StreamBrokenOff,
    Counter::StreamResumed,
    Counter::StreamTakenUp,
    Counter::SlowHeader,
    Counter::Undelivered,
    Counter::Cancelled,
    Counter::Quarantined,
    Counter::ReportedLeaving,
    Counter::TargetCrashed,
    Counter::CooldownRequested,
    Counter::CooldownUnreadable,
    Counter::LimitUnreadable,
    Counter::BrittleUnreadable,
    Counter::LoadUnreadable,
    Counter::OrderStarved,
    Counter::SentByPeer,
    Counter::PeerSend,
    Counter::HealthChecked,
];

/// The values of a gauge of pools for one pool, with what the capacity is used for unless the gauge covers all of it.
type PoolValues = Vec<(Option<&'static str>, u64)>;

/// The metrics of one gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all counters and gauges. Their values are read when the metrics are scraped.
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
        for example in COUNTER_EXAMPLES {
            register_labelled_counter(&meter, example.name(), shared);
        }
        register_gauges(&meter, shared);
        register_pool_gauges(&meter, shared);
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// The metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail. If encoding failed, the part encoded so far would be returned.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn register_labelled_counter(meter: &Meter, name: &'static str, shared: &Arc<Shared>) {
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
    register_gauge(meter, shared, "configuration_version", |shared| {
        let plan = shared.plan.load();
        plan.catalog.as_ref().map_or(0, |catalog| catalog.version().0)
    });
    register_gauge(meter, shared, "configuration_version_reported", |shared| {
        shared.reported_version.load(Ordering::Relaxed)
    });
    register_gauge(meter, shared, "targets_limited", |shared| {
        shared.plan.load().count_rate_limited() as u64
    });
    register_gauge(meter, shared, "members_serving", |shared| {
        shared.plan.load().members.len() as u64
    });
    register_counter(meter, shared, "log_lines_dropped", |shared| &shared.dropped_lines);
    register_gauge(meter, shared, "services_unreached", |shared| {
        shared.services_unreached.load(Ordering::Relaxed) as u64
    });
    register_gauge(meter, shared, "member_updates_waiting", |shared| {
        shared.queued_updates.load(Ordering::Relaxed) as u64
    });
    register_counter(meter, shared, "member_updates_outdated", |shared| {
        &shared.outdated_suspicions
    });
    register_counter(meter, shared, "member_datagrams_unreadable", |shared| {
        &shared.unreadable_datagrams
    });
    register_gauge(meter, shared, "source_reader", |shared| {
        u64::from(shared.is_source_reader.load(Ordering::Relaxed))
    });
    register_gauge(meter, shared, "source_silence_ms", |shared| {
        let answered = Time(shared.source_answered_at.load(Ordering::Relaxed));
        shared.clock.now().since(answered).as_millis()
    });
    register_counter(meter, shared, "source_calls", |shared| &shared.source_calls);
    register_counter(meter, shared, "source_asked", |shared| &shared.peer_requests);
    register_counter(meter, shared, "source_ask_failed", |shared| {
        &shared.failed_peer_requests
    });
    register_gauge(meter, shared, "targets_listed", |shared| {
        target_counts(shared).listed as u64
    });
    register_gauge(meter, shared, "targets_leaving", |shared| {
        target_counts(shared).leaving as u64
    });
    register_gauge(meter, shared, "targets_evacuated", |shared| {
        target_counts(shared).evacuated as u64
    });
    register_gauge(meter, shared, "targets_unreadable", |shared| {
        target_counts(shared).unreadable as u64
    });
    register_gauge(meter, shared, "targets_doubted", |shared| {
        target_counts(shared).unverified as u64
    });
    register_gauge(meter, shared, "targets_restarted", |shared| {
        target_counts(shared).restarted as u64
    });
    register_gauge(meter, shared, "calls_refused_by_print", |shared| {
        shared.blocked_calls.load().count(shared.clock.now()) as u64
    });
    register_gauge(meter, shared, "calls_in_flight", |shared| {
        shared.in_flight.load(Ordering::Relaxed) as u64
    });
    register_gauge(meter, shared, "callers_connected", |shared| {
        shared.caller_connections.load(Ordering::Relaxed) as u64
    });
}

fn register_pool_gauges(meter: &Meter, shared: &Arc<Shared>) {
    register_pool_gauge(meter, shared, "pool_capacity_bytes", |usage| {
        vec![(None, usage.capacity)]
    });
    register_pool_gauge(meter, shared, "pool_capacity_used_bytes", |usage| {
        vec![
            (Some("reserved"), usage.reserved),
            (Some("collecting"), usage.collecting.bytes),
            (Some("in_use"), usage.in_use.bytes),
            (Some("releasing"), usage.releasing.bytes),
        ]
    });
    register_pool_gauge(meter, shared, "pool_capacity_age_ms", |usage| {
        vec![
            (Some("collecting"), usage.collecting.mean_age_ms()),
            (Some("in_use"), usage.in_use.mean_age_ms()),
            (Some("releasing"), usage.releasing.mean_age_ms()),
        ]
    });
}

fn target_counts(shared: &Shared) -> TargetCounts {
    TargetCounts::of(&shared.plan.load().targets)
}

/// Registers a gauge; its value is read when the metrics are scraped.
fn register_gauge(meter: &Meter, shared: &Arc<Shared>, name: &str, value: fn(&Shared) -> u64) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_gauge(format!("barleyspool_{name}"))
        .with_callback(move |observer| observer.observe(value(&shared), &[]))
        .build();
}

/// Registers a gauge of the pools of this node; `values` returns its values for one pool.
fn register_pool_gauge(
    meter: &Meter,
    shared: &Arc<Shared>,
    name: &str,
    values: fn(&CapacityUsage) -> PoolValues,
) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_gauge(format!("barleyspool_{name}"))
        .with_callback(move |observer| {
            for ((service, shard), usage) in shared.pool_usages.load().iter() {
                for (state, value) in values(usage) {
                    let mut labels = vec![
                        KeyValue::new("service", service.clone()),
                        KeyValue::new("shard", i64::from(*shard)),
                    ];
                    labels.extend(state.map(|state| KeyValue::new("state", state)));
                    observer.observe(value, &labels);
                }
            }
        })
        .build();
}

/// Registers a counter without labels; its value is read when the metrics are scraped.
fn register_counter(meter: &Meter, shared: &Arc<Shared>, name: &str, count: fn(&Shared) -> &AtomicU64) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_counter(format!("barleyspool_{name}"))
        .with_callback(move |observer| observer.observe(count(&shared).load(Ordering::Relaxed), &[]))
        .build();
}

fn labels(counter: Counter) -> Vec<KeyValue> {
    match counter {
        Counter::RefusedNotRun(reason) | Counter::RefusedUnknown(reason) => {
            vec![KeyValue::new("reason", reason.name())]
        }
        Counter::SendRefused(id) => vec![KeyValue::new("answer_id", id.name())],
        Counter::AnswerDropped(cause) => vec![KeyValue::new("cause", cause.name())],
        Counter::AnswerFaulty(fault) => vec![KeyValue::new("fault", fault.name())],
        Counter::Retried(reason) => vec![KeyValue::new("reason", reason.name())],
        Counter::Complete(rank) | Counter::RefusedByRank(rank) => {
            vec![KeyValue::new("rank", i64::from(rank))]
        }
        _ => Vec::new(),
    }
}
