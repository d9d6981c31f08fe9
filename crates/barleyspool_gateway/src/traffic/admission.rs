//! Admission control: refuses a call at once when queued work would make it miss its latency objective.

use super::Traffic;
use super::call::Call;
use super::peers::Owner;
use super::pools::PoolId;
use super::stages;
use super::stopping;
use super::target_crashes;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{Counter, ForwardPlan, PoolDemand, PoolSpec, Reason, Span, StopPhase, wait_limit};
use std::cell::RefCell;
use std::rc::Rc;

/// The retry delay while a service has no target that accepts work. Within this time a returning target has
/// written its entry (about a second) or is listed (some hundred milliseconds).
const NO_TARGET_RETRY_AFTER: Span = Span::from_millis(1000);

/// A service that the call needs and that has no target which accepts work, since all have left or their zones are
/// evacuated, or that no node reaches.
fn unserved(call: &Call) -> Option<&str> {
    let plan = call.traffic.plan();
    let stages = call.route.stages.iter().enumerate();
    let needed = stages.filter(|(stage, _)| call.head.pieces.get(*stage) != Some(&0));
    let pools = needed.map(|(_, spec)| spec.service.as_str());
    let mut services = pools.chain([call.service.as_str()]);
    services.find(|service| plan.count_working(service) == 0 || !plan.is_reached(service))
}

/// Refuses a call at once when queued work is expected to make it late, or when no target can serve it.
pub fn admit(call: &Call) -> Result<(), CallFailure> {
    let now = call.traffic.now();
    target_crashes::check_blocked(call)?;
    if let Some(service) = unserved(call) {
        let failure = CallFailure::not_run(Reason::NoTarget).at(service, "");
        return Err(failure.with_retry_after(NO_TARGET_RETRY_AFTER));
    }
    let (forecast, stages) = forecast(call);
    let expected = forecast.total();
    let objective = call.route.objective;
    let limit = wait_limit(objective, forecast.base);
    let late = forecast.wait > limit;
    let hopeless = now + expected > call.deadline && forecast.wait > Span::ZERO;
    if call.traffic.shared.stop_reached(StopPhase::Leaving) && now + expected > call.deadline {
        return Err(stopping::refusal());
    }
    let displaced = if late || hopeless {
        None
    } else {
        displacing_pool(call, &stages, Span(limit.0 - forecast.wait.0))
    };
    let refusing = if late || hopeless {
        Some(&forecast.slowest_pool)
    } else {
        displaced
    };
    // A call that cannot meet its deadline would not run with more capacity either.
    if !hopeless {
        record_offered(call, refusing);
    }
    if let Some(pool) = refusing {
        let line = LogEvent::CallRefused {
            id: &call.head.id,
            route: &call.route.name,
            rank: call.rank,
            organisation: &call.organisation,
            objective_ms: objective.as_millis(),
            expected_ms: expected.as_millis(),
            wait_ms: forecast.wait.as_millis(),
            slowest_pool: pool,
            version: call.catalog.version().0,
        };
        call.traffic.log.write(now, &line);
        let failure = CallFailure::not_run(Reason::PoolBusy).at(pool, "");
        let retry_after = call.traffic.retry_times.plan(call, pool, forecast.wait);
        return Err(failure.with_retry_after(retry_after));
    }
    if call.head.resume_after.is_some() {
        call.traffic.count(Counter::StreamTakenUp);
    }
    let line = LogEvent::CallAdmitted {
        id: &call.head.id,
        fingerprint: call.fingerprint,
        route: &call.route.name,
        organisation: &call.organisation,
        rank: call.rank,
        time_left_ms: call.deadline.since(now).as_millis(),
        expected_ms: expected.as_millis(),
        version: call.catalog.version().0,
    };
    call.traffic.log.write_routine(now, &line);
    Ok(())
}

/// The pool of a stage of a call, and when the stage would find the queue of the pool empty.
struct StagePool {
    service: String,
    demand: Option<PoolDemand>,
    /// How long the queue of the pool will have been empty when the stage starts; zero if the stage has to wait.
    idle: Span,
}

/// The pool that refuses a call although it is expected to be in time, since calls ask for more than the pool computes:
/// other calls get its capacity. A call is drawn once, for the pool that admits the smallest share, since a draw at each
/// pool would refuse more calls than the tightest one has to. `slack` is the time by which the wait is below its limit.
fn displacing_pool<'a>(call: &Call, stages: &'a [StagePool], slack: Span) -> Option<&'a String> {
    let share = |stage: &StagePool| {
        let demand = stage.demand.as_ref();
        demand.map_or(1.0, |demand| demand.admitted_share(call.rank, slack + stage.idle))
    };
    let shares = stages.iter().map(|stage| (share(stage), &stage.service));
    let (share, tightest) = shares.min_by(|one, other| one.0.total_cmp(&other.0))?;
    (share < rand::random::<f64>()).then_some(tightest)
}

/// Counts the pieces of a call as asked of its pools, or only of the pool that refuses the call.
fn record_offered(call: &Call, refusing: Option<&String>) {
    let now = call.traffic.now();
    let mut offered = call.traffic.offered.borrow_mut();
    for (stage, spec) in call.route.stages.iter().enumerate() {
        if refusing.is_none_or(|service| *service == spec.service) {
            let pieces = call.head.pieces.get(stage).copied().unwrap_or(1);
            let pool = offered.entry(stages::likely_pool(call, stage)).or_default();
            pool.add(now, call.rank, pieces);
        }
    }
}

/// The expected time until a stage is done, or until the first output of the whole call.
#[derive(Clone, Debug, Default)]
struct Forecast {
    /// The time without queueing.
    base: Span,
    /// The time that queueing adds.
    wait: Span,
    /// The pool with the longest queueing delay; empty when there is no delay.
    slowest_pool: String,
    /// The queueing delay of that pool.
    longest_wait: Span,
}

impl Forecast {
    fn total(&self) -> Span {
        self.base + self.wait
    }
}

/// The time that a pool needs for the pieces that admitted calls of all nodes have yet to submit to it. It counts while
/// no owner reports what all nodes have announced: the nodes that callers are sent to receive similar shares of the
/// calls, so the total is extrapolated from this node's pieces.
fn planned_time(call: &Call, plan: &ForwardPlan, service: &str, pool: &PoolSpec) -> Span {
    let planned = call.traffic.planned.borrow();
    let of_service = planned.iter().filter(|(pool, _)| pool.service == service);
    let local: u64 = of_service.map(|(_, pieces)| pieces.total()).sum();
    let all = local as f64 * plan.named.max(1) as f64;
    let capacity = plan.count_working(service).max(1) as f64 * f64::from(pool.slots.max(1));
    let full_call = pool.call_overhead + Span(pool.piece_time.0 * u64::from(pool.batch));
    full_call.scale(all / f64::from(pool.batch.max(1)) / capacity)
}

/// Forecasts the time until the first output of the whole call. Also returns the pools of its stages.
fn forecast(call: &Call) -> (Forecast, Vec<StagePool>) {
    let plan = call.traffic.plan();
    let mut pools = Vec::new();
    let mut stages: Vec<Forecast> = Vec::new();
    for (stage, spec) in call.route.stages.iter().enumerate() {
        let before = spec.needs.iter().filter_map(|needed| stages.get(*needed));
        let before = before.max_by_key(|forecast| forecast.total());
        let start = before.cloned().unwrap_or_default();
        let is_skipped = call.head.pieces.get(stage) == Some(&0);
        stages.push(if is_skipped {
            start
        } else {
            let (forecast, pool) = forecast_stage(call, &plan, stage, start);
            pools.extend(pool);
            forecast
        });
    }
    let last = stages.into_iter().max_by_key(Forecast::total);
    let mut whole = last.unwrap_or_default();
    let uncorrected = whole.total();
    call.stage_forecast.set(uncorrected);
    let now = call.traffic.now();
    let correction = call.traffic.forecast_correction.borrow();
    let corrected = correction.corrected(now, &call.route.name, uncorrected);
    whole.wait += Span(corrected.0.saturating_sub(uncorrected.0));
    whole.base += call.expected_first_output();
    (whole, pools)
}

/// Records how long the stages of a call took; this corrects the forecasts of later calls.
pub fn record_stage_time(call: &Call) {
    let now = call.traffic.now();
    let took = now.since(call.arrived);
    let mut correction = call.traffic.forecast_correction.borrow_mut();
    correction.record(now, &call.route.name, call.stage_forecast.take(), took);
}

/// Forecasts the end of a stage that starts at `start`. Also returns its pool, if its service is one.
fn forecast_stage(
    call: &Call,
    plan: &ForwardPlan,
    stage: usize,
    start: Forecast,
) -> (Forecast, Option<StagePool>) {
    let service = &call.route.stages[stage].service;
    let spec = call
        .catalog
        .service(service)
        .and_then(|service| service.pool.as_ref());
    let Some(spec) = spec else { return (start, None) };
    let alone = spec.call_overhead + Span(spec.piece_time.0 * u64::from(spec.batch));
    let (reported, demand) = reported_wait(call, stage);
    let (reported, planned) = match reported {
        ReportedWait::ForRank(wait) => (wait, Span::ZERO),
        ReportedWait::ForAny(wait) => (wait, planned_time(call, plan, service, spec)),
    };
    // The reported time includes the run time of a batch call, which `alone` already counts.
    let queued = Span(reported.0.saturating_sub(alone.0));
    // The pool works off its queue while the earlier stages run.
    let (queued, before) = (queued + planned, start.total());
    let ahead = Span(queued.0.saturating_sub(before.0));
    let pool = StagePool {
        service: service.clone(),
        demand,
        idle: Span(before.0.saturating_sub(queued.0)),
    };
    let slower = ahead > start.longest_wait;
    let forecast = Forecast {
        base: start.base + alone,
        wait: start.wait + ahead,
        slowest_pool: if slower {
            service.clone()
        } else {
            start.slowest_pool
        },
        longest_wait: ahead.max(start.longest_wait),
    };
    (forecast, Some(pool))
}

/// How long a piece takes until it is computed at a pool, the run time of its batch call included.
enum ReportedWait {
    /// For the rank of the call, with the pieces that calls admitted at all nodes have yet to submit.
    ForRank(Span),
    /// For any rank, without these pieces; zero when nothing is known.
    ForAny(Span),
}

/// The wait at the pool of a stage, and what calls at all nodes ask of the pool if it is more than it computes: the
/// current estimates if this node owns the pool, else the latest report of its owner.
fn reported_wait(call: &Call, stage: usize) -> (ReportedWait, Option<PoolDemand>) {
    let traffic = &call.traffic;
    let id = stages::likely_pool(call, stage);
    let now = traffic.now();
    match traffic.peers.owner(traffic, &id) {
        Owner::Local => {
            let pool = traffic.pools.find(&id);
            let wait = pool
                .as_ref()
                .and_then(|pool| pool.rank_waits(traffic).wait(call.rank));
            let wait = wait.map_or(ReportedWait::ForAny(Span::ZERO), ReportedWait::ForRank);
            (wait, pool.map(|pool| pool.demand(traffic)))
        }
        Owner::Remote(_) => {
            let report = traffic.peers.pool_report(&id);
            let for_rank = report
                .as_ref()
                .and_then(|report| report.rank_wait(now, call.rank));
            let for_any = || report.as_ref().and_then(|report| report.any_wait(now));
            let wait = match for_rank {
                Some(wait) => ReportedWait::ForRank(wait),
                None => ReportedWait::ForAny(for_any().unwrap_or_default()),
            };
            let demand = report.as_ref().and_then(|report| report.demand(now));
            (wait, demand.cloned())
        }
    }
}

// ----------------------------------------------------------------------------
// Pieces that admitted calls have yet to submit

/// The pieces that a call has yet to submit to pools. Dropping it subtracts them from the planned work.
pub struct PlannedPieces {
    traffic: Rc<Traffic>,
    rank: u8,
    /// The pieces of each stage, and the pool that will most likely compute them.
    pieces: RefCell<Vec<(PoolId, u32)>>,
}

impl PlannedPieces {
    /// Adds the pieces of an admitted call to the planned work.
    pub fn new(call: &Call) -> Self {
        let count = |stage: usize| call.head.pieces.get(stage).copied().unwrap_or(1);
        let stages = 0..call.route.stages.len();
        let pieces: Vec<(PoolId, u32)> = stages
            .map(|stage| (stages::likely_pool(call, stage), count(stage)))
            .collect();
        let mut planned = call.traffic.planned.borrow_mut();
        for (pool, count) in &pieces {
            planned.entry(pool.clone()).or_default().add(call.rank, *count);
        }
        drop(planned);
        Self {
            traffic: Rc::clone(&call.traffic),
            rank: call.rank,
            pieces: RefCell::new(pieces),
        }
    }

    /// Subtracts the pieces of a stage that have been submitted to their pool.
    pub fn record_submitted(&self, stage: usize) {
        if let Some((pool, count)) = self.pieces.borrow_mut().get_mut(stage) {
            self.subtract(pool, std::mem::take(count));
        }
    }

    fn subtract(&self, pool: &PoolId, count: u32) {
        let mut planned = self.traffic.planned.borrow_mut();
        if let Some(pieces) = planned.get_mut(pool) {
            pieces.subtract(self.rank, count);
            if pieces.is_empty() {
                planned.remove(pool);
            }
        }
    }
}

impl Drop for PlannedPieces {
    fn drop(&mut self) {
        for (pool, count) in self.pieces.borrow().iter() {
            self.subtract(pool, *count);
        }
    }
}
