//! When refused callers should retry: a schedule for each pool, see [`RetrySchedule`].

use super::call::Call;
use barleyspool_core::{Catalog, ForwardPlan, RefusedCall, RetrySchedule, Span, rendezvous};
use std::cell::RefCell;
use std::collections::HashMap;

/// The schedules of the pools for which this node has refused calls, by service.
#[derive(Default)]
pub struct RetryTimes {
    schedules: RefCell<HashMap<String, RetrySchedule>>,
}

impl RetryTimes {
    /// Plans the retry of a call that is refused because `pool` is busy; returns the time to announce. `wait` is the expected
    /// wait for the pool, which is announced itself if the pool is not known.
    pub fn plan(&self, call: &Call, pool: &str, wait: Span) -> Span {
        let plan = call.traffic.plan();
        let Some(throughput) = throughput(&plan, &call.catalog, pool) else {
            return wait;
        };
        let refused = RefusedCall {
            pieces: pieces(call, pool),
            rank: call.rank,
            wait,
        };
        let seed = plan.me ^ rendezvous::text_key(pool) as u64;
        let mut schedules = self.schedules.borrow_mut();
        let schedule = schedules
            .entry(pool.to_owned())
            .or_insert_with(|| RetrySchedule::new(seed));
        schedule.set_throughput(throughput, plan.named as u32);
        schedule.plan_retry(call.traffic.now(), refused)
    }

    /// Drops the schedules of pools that are no longer `known`.
    pub fn retain(&self, known: impl Fn(&str) -> bool) {
        self.schedules.borrow_mut().retain(|pool, _| known(pool));
    }
}

/// The throughput of a pool whose targets all make full calls, in pieces per second.
fn throughput(plan: &ForwardPlan, catalog: &Catalog, pool: &str) -> Option<f64> {
    let spec = catalog.service(pool)?.pool.as_ref()?;
    let batch = f64::from(spec.batch.max(1));
    let full_call = spec.call_overhead + Span(spec.piece_time.0 * u64::from(spec.batch));
    let slots = plan.count_working(pool) as f64 * f64::from(spec.slots.max(1));
    Some(batch * slots / full_call.as_secs().max(1e-3))
}

/// The number of pieces that a call needs from a pool.
fn pieces(call: &Call, pool: &str) -> u32 {
    let stages = call.route.stages.iter().enumerate();
    let of_pool = stages.filter(|(_, spec)| spec.service == pool);
    of_pool
        .map(|(stage, _)| call.head.pieces.get(stage).copied().unwrap_or(1))
        .sum()
}
