//! Runs the stages that precede a call.

use super::call::Call;
use super::peers::Owner;
use super::pools::PoolId;
use super::stage_results::StageResults;
use super::target_crashes;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{
    OrderOutcome, OrgKey, PieceOrder, ReadyStage, Reason, Span, StageProgress, rendezvous,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;

/// A stage may be computed in any zone when the inputs of all its pieces together, and the results that the call itself
/// reads from it, are each below this size, in bytes.
const MIN_ZONE_BYTES: u64 = 100_000;
/// Number of unreachable owners after which a stage fails.
const MAX_UNREACHABLE_OWNERS: usize = 4;
/// Delay before the same owner is asked again after it answered that another node owns the pool.
const MOVED_RETRY_DELAY: Duration = Duration::from_millis(50);

struct StageOutcome {
    stage: usize,
    pool: PoolId,
    outcome: OrderOutcome,
}

/// Runs all stages of a call that are not complete.
///
/// # Errors
/// When they cannot be completed in time. The call itself has not run then.
pub async fn run(
    call: &Call,
    stages: &mut StageProgress,
    results: &mut StageResults,
) -> Result<(), CallFailure> {
    let mut running = FuturesUnordered::new();
    loop {
        let mut has_recomputed = false;
        let started = stages.start_ready();
        if !started.is_empty() {
            target_crashes::check_blocked(call)?;
        }
        for ready in started {
            if results.is_any_lost(&ready.inputs) {
                recompute(stages, Some(ready.stage), &call.route.stages[ready.stage].service)?;
                has_recomputed = true;
                continue;
            }
            let depth = stages.depth_after(ready.stage);
            running.push(compute_stage(call, ready, depth));
        }
        if has_recomputed {
            continue;
        }
        if stages.is_complete() && results.is_any_lost(&stages.outputs()) {
            recompute(stages, None, &call.service)?;
            continue;
        }
        if stages.is_complete() {
            return Ok(());
        }
        let Some(finished) = running.next().await else {
            return Err(CallFailure::not_run(Reason::StepFailed));
        };
        match finished.outcome {
            OrderOutcome::Computed(handles) => {
                results.add(&finished.pool, &handles);
                let releasable = stages.complete(finished.stage, handles);
                results.release(releasable);
            }
            OrderOutcome::InputsGone => {
                recompute(stages, Some(finished.stage), &finished.pool.service)?;
            }
            OrderOutcome::TooLate(retry_after) => {
                let failure = CallFailure::not_run(Reason::PoolBusy);
                return Err(failure
                    .with_retry_after(retry_after)
                    .at(&finished.pool.service, ""));
            }
            OrderOutcome::Moved | OrderOutcome::Failed => {
                return Err(CallFailure::not_run(Reason::StepFailed).at(&finished.pool.service, ""));
            }
        }
    }
}

/// Has the lost inputs of a stage recomputed, or those of the call itself when `stage` is `None`. Fails when
/// the stages were recomputed too often.
fn recompute(stages: &mut StageProgress, stage: Option<usize>, service: &str) -> Result<(), CallFailure> {
    let allowed = stages.recompute(stage);
    let failure = || CallFailure::not_run(Reason::StepFailed).at(service, "");
    allowed.then_some(()).ok_or_else(failure)
}

/// The pool, or the shard of a large one, that computes a stage of a call. `zone` is where the inputs are
/// held or where the next step runs, and empty when neither matters.
fn pool_id(call: &Call, stage: usize, zone: &str) -> PoolId {
    let plan = call.traffic.plan();
    let spec = &call.route.stages[stage];
    let key = rendezvous::text_key(&call.head.id);
    let (source_zone, upstream) = if zone.is_empty() {
        (call.home_zone(), call.route.stages[0].service.as_str())
    } else {
        (zone.to_owned(), upstream_service(call, stage))
    };
    // The requests of all nodes are taken to come from the zones in proportion to the targets of `upstream`.
    let zone_share = plan.zone_share(upstream, &source_zone);
    let shards = plan.pool_shards(&spec.service);
    PoolId {
        service: spec.service.clone(),
        shard: shards.map_or(0, |shards| shards.pick(key, &source_zone, zone_share)),
    }
}

/// The service whose targets tell which share of the calls at a stage comes from a zone: the share of its targets that
/// are in that zone. It is the service of the first stage that the stage needs. A stage that needs no other one is
/// computed near the zone in which its results will be read, so for it this is the service of the call itself, which is
/// a later step.
fn upstream_service(call: &Call, stage: usize) -> &str {
    let stages = &call.route.stages;
    let needs = &stages[stage].needs;
    needs
        .first()
        .map_or(call.service.as_str(), |needed| &stages[*needed].service)
}

/// The pool that will most likely compute a stage that has not started.
pub fn likely_pool(call: &Call, stage: usize) -> PoolId {
    pool_id(call, stage, &call.home_zone())
}

async fn compute_stage(call: &Call, ready: ReadyStage, depth: usize) -> StageOutcome {
    let traffic = &call.traffic;
    let service = &call.route.stages[ready.stage].service;
    let started_at = traffic.now();
    if let Some(planned) = &*call.planned.borrow() {
        planned.record_submitted(ready.stage);
    }
    let order = order(call, &ready, depth);
    let (pool, owner, outcome) = compute_at_owner(call, &order).await;
    let now = traffic.now();
    let owner = match &owner {
        Owner::Local => "self",
        Owner::Remote(address) => address,
    };
    let line = LogEvent::StageEnded {
        id: &call.head.id,
        stage: ready.stage,
        service,
        pieces: ready.pieces,
        owner,
        outcome: outcome_name(&outcome),
        took_ms: now.since(started_at).as_millis(),
    };
    if matches!(outcome, OrderOutcome::Computed(_)) {
        traffic.log.write_routine(now, &line);
    } else {
        traffic.log.write(now, &line);
    }
    StageOutcome {
        stage: ready.stage,
        pool,
        outcome,
    }
}

/// Has the owner of the pool compute an order. Unreachable owners are replaced up to a limit; an owner that
/// answers that the pool has moved is followed by the new owner for as long as the call has time.
async fn compute_at_owner(call: &Call, order: &PieceOrder) -> (PoolId, Owner, OrderOutcome) {
    let traffic = &call.traffic;
    // The sharding of the pool may change between two attempts.
    let locate = || {
        let pool = pool_id(call, order.stage as usize, &order.zone);
        let owner = traffic.peers.owner(traffic, &pool);
        (pool, owner)
    };
    let (mut pool, mut owner) = locate();
    let mut unreachable = 0;
    while unreachable < MAX_UNREACHABLE_OWNERS {
        let outcome = match &owner {
            Owner::Local => match traffic.pools.get_or_start(traffic, &pool) {
                Some(local) => Some(local.compute(traffic, order.clone(), traffic.plan().me).await),
                None => Some(OrderOutcome::Failed),
            },
            Owner::Remote(address) => traffic.peers.compute(traffic, address, &pool, order).await,
        };
        let previous = (pool.clone(), owner.clone());
        match outcome {
            Some(OrderOutcome::Moved) => {
                (pool, owner) = locate();
                if (&pool, &owner) == (&previous.0, &previous.1) {
                    // This node will receive the plan with the new owner too.
                    tokio::time::sleep(MOVED_RETRY_DELAY).await;
                    (pool, owner) = locate();
                }
            }
            Some(outcome) => return (pool, owner, outcome),
            None => {
                unreachable += 1;
                (pool, owner) = locate();
            }
        }
    }
    (pool, owner, OrderOutcome::Failed)
}

fn order(call: &Call, ready: &ReadyStage, depth: usize) -> PieceOrder {
    let spec = &call.route.stages[ready.stage];
    let first = ready.inputs.is_empty() && spec.needs.is_empty();
    // Leaves time for the later stages and for the call itself.
    let later_time = Span(call.longest_stage_time().0 * depth as u64) + call.expected_first_output();
    PieceOrder {
        request: call.head.id.clone(),
        fingerprint: call.fingerprint,
        stage: ready.stage as u32,
        pieces: ready.pieces,
        key: if first {
            call.head.piece_key.clone()
        } else {
            String::new()
        },
        inputs: ready.inputs.clone(),
        deadline: call.deadline,
        due: (call.arrived + call.route.objective) - later_time,
        rank: call.rank,
        bytes: spec.bytes,
        input_bytes: piece_input_bytes(call, ready),
        zone: preferred_zone(call, ready),
        organisation: OrgKey(rendezvous::text_key(&call.organisation) as u64),
    }
}

/// Bytes of all inputs of one piece. Each piece of a stage fetches all of them.
fn piece_input_bytes(call: &Call, ready: &ReadyStage) -> u64 {
    let spec = &call.route.stages[ready.stage];
    spec.needs.iter().map(|needed| call.result_bytes(*needed)).sum()
}

/// The zone in which the pieces of a stage should be computed: where their inputs are held, or where the call
/// that reads their results will run. Empty when too little data is moved for the zone to matter.
fn preferred_zone(call: &Call, ready: &ReadyStage) -> String {
    let stages = &call.route.stages;
    let input_bytes = piece_input_bytes(call, ready) * u64::from(ready.pieces);
    let read_by_call = !stages.iter().any(|other| other.needs.contains(&ready.stage));
    let output_bytes = if read_by_call {
        call.result_bytes(ready.stage)
    } else {
        0
    };
    if input_bytes.max(output_bytes) < MIN_ZONE_BYTES {
        String::new()
    } else if input_bytes > output_bytes {
        call.zone_of(&ready.inputs).unwrap_or_default()
    } else {
        call.zone()
    }
}

fn outcome_name(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Computed(_) => "made",
        OrderOutcome::InputsGone => "inputs_gone",
        OrderOutcome::TooLate(_) => "too_late",
        OrderOutcome::Moved => "moved",
        OrderOutcome::Failed => "failed",
    }
}
