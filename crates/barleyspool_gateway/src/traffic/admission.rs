//! Turning a call away at once when it would be late because of what waits before it.

use super::Traffic;
use super::call::Call;
use super::pools::{self, PoolId};
use crate::event_log::Line;
use crate::failure::CallFailure;
use barleyspool_core::{ForwardPlan, PoolSpec, Reason, Route, Span};
use std::cell::RefCell;
use std::rc::Rc;

/// A queue shorter than this share of the aim is no reason to turn a call away.
const WAIT_SHARE: f64 = 0.2;
/// Calls are turned away when they are expected to take this many times their aim.
const AIM_MARGIN: f64 = 1.1;

/// Turns a call away at once when it is expected to be late because of what waits before it.
pub fn admit(call: &Call) -> Result<(), CallFailure> {
    let now = call.traffic.now();
    let (base, wait) = expected(call);
    let expected = base + wait;
    let line = Line::Admitted {
        id: &call.head.id,
        route: &call.route.name,
        organisation: &call.organisation,
        rank: call.rank,
        left_ms: call.deadline.since(now).as_millis(),
        expected_ms: expected.as_millis(),
        version: call.catalog.version().0,
    };
    let aim = call.route.aim;
    let late = expected > aim.scale(AIM_MARGIN) && wait > aim.scale(WAIT_SHARE);
    let hopeless = now + expected > call.deadline && wait > Span::ZERO;
    if late || hopeless {
        let failure = CallFailure::not_run(Reason::PoolBusy);
        return Err(failure.after(wait));
    }
    call.traffic.log.write_good(now, &line);
    Ok(())
}

/// The time that a pool needs for what calls of all nodes that were taken will still bring to it. Nodes get
/// alike shares of the calls, so this one's part tells the whole.
fn planned_time(call: &Call, plan: &ForwardPlan, service: &str, pool: &PoolSpec) -> Span {
    let mine = call
        .traffic
        .planned
        .borrow()
        .get(service)
        .copied()
        .unwrap_or_default();
    let all = mine as f64 * plan.members.len().max(1) as f64;
    let targets = plan
        .targets
        .values()
        .filter(|entry| entry.service == service && !entry.leaving);
    let places = targets.count().max(1) as f64 * f64::from(pool.slots.max(1));
    let full_call = pool.call + Span(pool.item.0 * u64::from(pool.batch));
    full_call.scale(all / f64::from(pool.batch.max(1)) / places)
}

/// The expected time of the whole call: without waiting, and what waiting adds.
fn expected(call: &Call) -> (Span, Span) {
    let now = call.traffic.now();
    let plan = call.traffic.plan();
    let mut done: Vec<(Span, Span)> = Vec::new();
    for (stage, spec) in call.route.stages.iter().enumerate() {
        let before = spec.needs.iter().filter_map(|needed| done.get(*needed).copied());
        let (base, wait) = before
            .max_by_key(|(base, wait)| *base + *wait)
            .unwrap_or_default();
        if call.head.pieces.get(stage) == Some(&0) {
            done.push((base, wait));
            continue;
        }
        let id = PoolId {
            service: spec.service.clone(),
            shard: 0,
        };
        let pool = call
            .catalog
            .service(&spec.service)
            .and_then(|service| service.pool.as_ref());
        let alone = pool.map_or(Span::ZERO, |pool| {
            pool.call + Span(pool.item.0 * u64::from(pool.batch))
        });
        let shards = pools::shards(&plan, &spec.service);
        let told = match call.traffic.pools.known(&id) {
            Some(pool) if shards == 1 => Some(pool.wait(&call.traffic)),
            _ => call.traffic.peers.wait(now, &id),
        };
        let queued = Span(told.unwrap_or_default().0.saturating_sub(alone.0));
        let planned = pool.map_or(Span::ZERO, |pool| planned_time(call, &plan, &spec.service, pool));
        // While the stages before run, the pool works on.
        let ahead = Span((queued + planned).0.saturating_sub((base + wait).0));
        done.push((base + alone, wait + ahead));
    }
    let last = done.into_iter().max_by_key(|(base, wait)| *base + *wait);
    let (base, wait) = last.unwrap_or_default();
    (base + call.first_time(), wait)
}

// ----------------------------------------------------------------------------
// What is still to come

/// The pieces that a call will still bring to pools. Dropping it takes them off.
pub struct PlannedPieces {
    traffic: Rc<Traffic>,
    pieces: RefCell<Vec<(String, u32)>>,
}

impl PlannedPieces {
    /// The pieces of a call that has been taken, as it names them.
    pub fn new(traffic: &Rc<Traffic>, route: &Route, counts: &[u32]) -> Self {
        let pieces: Vec<(String, u32)> = route
            .stages
            .iter()
            .enumerate()
            .map(|(stage, spec)| (spec.service.clone(), counts.get(stage).copied().unwrap_or(1)))
            .collect();
        let mut planned = traffic.planned.borrow_mut();
        for (service, count) in &pieces {
            *planned.entry(service.clone()).or_default() += u64::from(*count);
        }
        drop(planned);
        Self {
            traffic: Rc::clone(traffic),
            pieces: RefCell::new(pieces),
        }
    }

    /// A stage's pieces are at their pool now.
    pub fn arrived(&self, stage: usize) {
        if let Some((service, count)) = self.pieces.borrow_mut().get_mut(stage) {
            take_off(&self.traffic, service, std::mem::take(count));
        }
    }
}

impl Drop for PlannedPieces {
    fn drop(&mut self) {
        for (service, count) in self.pieces.borrow().iter() {
            take_off(&self.traffic, service, *count);
        }
    }
}

fn take_off(traffic: &Traffic, service: &str, count: u32) {
    if let Some(planned) = traffic.planned.borrow_mut().get_mut(service) {
        *planned = planned.saturating_sub(u64::from(count));
    }
}
