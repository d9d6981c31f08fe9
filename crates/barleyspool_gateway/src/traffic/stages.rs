//! Running the stages before a call.

use super::call::Call;
use super::peers::Owner;
use super::pools::PoolId;
use super::results::Results;
use super::target_ends;
use crate::event_log::Line;
use crate::failure::CallFailure;
use barleyspool_core::{OrderOutcome, PieceOrder, ReadyStage, Reason, Span, StageProgress, rendezvous};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;

/// Results smaller than this, in bytes, may be made in any zone.
const ZONE_MATTERS: u64 = 100_000;
/// Owners that cannot be reached before a stage is given up.
const MOST_OWNERS: usize = 4;
/// How long to wait before the same owner is asked again after it said that another one owns the pool.
const OWNER_WAIT: Duration = Duration::from_millis(50);

struct StageEnd {
    stage: usize,
    pool: PoolId,
    end: OrderOutcome,
}

/// Runs all stages of a call that are not complete.
///
/// # Errors
/// When they cannot be completed in time. Nothing of the call itself has run then.
pub async fn run(call: &Call, stages: &mut StageProgress, results: &mut Results) -> Result<(), CallFailure> {
    let mut working = FuturesUnordered::new();
    loop {
        let mut again = false;
        let started = stages.start_ready();
        if !started.is_empty() {
            target_ends::check(call)?;
        }
        for ready in started {
            if results.is_any_lost(&ready.inputs) {
                recompute(stages, Some(ready.stage), &call.route.stages[ready.stage].service)?;
                again = true;
                continue;
            }
            let depth = stages.depth_after(ready.stage);
            working.push(make_stage(call, ready, depth));
        }
        if again {
            continue;
        }
        if stages.is_complete() && results.is_any_lost(&stages.outputs()) {
            recompute(stages, None, &call.service)?;
            continue;
        }
        if stages.is_complete() {
            return Ok(());
        }
        let Some(ended) = working.next().await else {
            return Err(CallFailure::not_run(Reason::StepFailed));
        };
        match ended.end {
            OrderOutcome::Computed(handles) => {
                results.add(&ended.pool, &handles);
                let releasable = stages.complete(ended.stage, handles);
                results.release(releasable);
            }
            OrderOutcome::InputsGone => {
                recompute(stages, Some(ended.stage), &ended.pool.service)?;
            }
            OrderOutcome::TooLate(come_back) => {
                let failure = CallFailure::not_run(Reason::PoolBusy);
                return Err(failure.after(come_back).at(&ended.pool.service, ""));
            }
            OrderOutcome::Moved | OrderOutcome::Failed => {
                return Err(CallFailure::not_run(Reason::StepFailed).at(&ended.pool.service, ""));
            }
        }
    }
}

/// Has what a stage rests on made anew; what the call itself rests on when no stage is named.
fn recompute(stages: &mut StageProgress, stage: Option<usize>, service: &str) -> Result<(), CallFailure> {
    let allowed = stages.recompute(stage);
    let failure = || CallFailure::not_run(Reason::StepFailed).at(service, "");
    allowed.then_some(()).ok_or_else(failure)
}

/// The pool, or the shard of a large one, that makes a stage of a call whose inputs lie in `zone`, or whose next step
/// does; an empty one when neither matters.
fn pool_id(call: &Call, stage: usize, zone: &str) -> PoolId {
    let plan = call.traffic.plan();
    let spec = &call.route.stages[stage];
    let key = rendezvous::text_key(&call.head.id);
    let (near, before) = if zone.is_empty() {
        (call.home_zone(), call.route.stages[0].service.as_str())
    } else {
        (zone.to_owned(), feeder(call, stage))
    };
    // Requests of all nodes come from a zone in proportion to the targets there that they were at before.
    let come = plan.zone_share(before, &near);
    let shards = plan.pool_shards(&spec.service);
    PoolId {
        service: spec.service.clone(),
        shard: shards.map_or(0, |shards| shards.pick(key, &near, come)),
    }
}

/// The service whose targets are spread over zones as the calls at a stage are: that of the stage before, or of the call itself.
fn feeder(call: &Call, stage: usize) -> &str {
    let stages = &call.route.stages;
    let needs = &stages[stage].needs;
    needs
        .first()
        .map_or(call.service.as_str(), |needed| &stages[*needed].service)
}

/// The pool of a stage of a call that has not begun, as far as can be said.
pub fn likely_pool(call: &Call, stage: usize) -> PoolId {
    pool_id(call, stage, &call.home_zone())
}

async fn make_stage(call: &Call, ready: ReadyStage, depth: usize) -> StageEnd {
    let traffic = &call.traffic;
    let service = &call.route.stages[ready.stage].service;
    let began = traffic.now();
    if let Some(planned) = &*call.planned.borrow() {
        planned.arrived(ready.stage);
    }
    let order = order(call, &ready, depth);
    let (pool, owner, end) = make_at_owner(call, &order).await;
    let now = traffic.now();
    let owner = match &owner {
        Owner::Me => "self",
        Owner::Other(address) => address,
    };
    let line = Line::Stage {
        id: &call.head.id,
        stage: ready.stage,
        service,
        pieces: ready.pieces,
        owner,
        end: end_name(&end),
        took_ms: now.since(began).as_millis(),
    };
    if matches!(end, OrderOutcome::Computed(_)) {
        traffic.log.write_good(now, &line);
    } else {
        traffic.log.write(now, &line);
    }
    StageEnd {
        stage: ready.stage,
        pool,
        end,
    }
}

/// Lets the owner of the pool make an order. Owners that cannot be reached are replaced a few times; one that says
/// that the pool has moved is asked who owns it for as long as the call has time.
async fn make_at_owner(call: &Call, order: &PieceOrder) -> (PoolId, Owner, OrderOutcome) {
    let traffic = &call.traffic;
    // The pool may be split in another way when it is asked again.
    let place = || {
        let pool = pool_id(call, order.stage as usize, &order.zone);
        let owner = traffic.peers.owner(traffic, &pool);
        (pool, owner)
    };
    let (mut pool, mut owner) = place();
    let mut unreachable = 0;
    while unreachable < MOST_OWNERS {
        let made = match &owner {
            Owner::Me => match traffic.pools.get(traffic, &pool) {
                Some(local) => Some(local.make(traffic, order.clone(), traffic.plan().me).await),
                None => Some(OrderOutcome::Failed),
            },
            Owner::Other(address) => traffic.peers.make(traffic, address, &pool, order).await,
        };
        let before = (pool.clone(), owner.clone());
        match made {
            Some(OrderOutcome::Moved) => {
                (pool, owner) = place();
                if (&pool, &owner) == (&before.0, &before.1) {
                    // This node will hear of the other owner too.
                    tokio::time::sleep(OWNER_WAIT).await;
                    (pool, owner) = place();
                }
            }
            Some(end) => return (pool, owner, end),
            None => {
                unreachable += 1;
                (pool, owner) = place();
            }
        }
    }
    (pool, owner, OrderOutcome::Failed)
}

fn order(call: &Call, ready: &ReadyStage, depth: usize) -> PieceOrder {
    let spec = &call.route.stages[ready.stage];
    let first = ready.inputs.is_empty() && spec.needs.is_empty();
    // The stages after this one and the call itself need their time too.
    let later = Span(call.stage_time().0 * depth as u64) + call.first_time();
    PieceOrder {
        request: call.head.id.clone(),
        fingerprint: call.print,
        stage: ready.stage as u32,
        pieces: ready.pieces,
        key: if first {
            call.head.piece_key.clone()
        } else {
            String::new()
        },
        inputs: ready.inputs.clone(),
        deadline: call.deadline,
        due: (call.arrived + call.route.objective) - later,
        rank: call.rank,
        bytes: spec.bytes,
        input_bytes: piece_input_bytes(call, ready),
        zone: zone(call, ready),
    }
}

/// The size of all inputs of one piece. Each piece of a stage fetches all of them.
fn piece_input_bytes(call: &Call, ready: &ReadyStage) -> u64 {
    let spec = &call.route.stages[ready.stage];
    spec.needs.iter().map(|needed| call.result_bytes(*needed)).sum()
}

/// The zone in which pieces should be made: where their inputs lie, or where the call that reads them will run.
/// Empty when so little is moved that it does not matter.
fn zone(call: &Call, ready: &ReadyStage) -> String {
    let stages = &call.route.stages;
    let input_bytes = piece_input_bytes(call, ready) * u64::from(ready.pieces);
    let read_by_call = !stages.iter().any(|other| other.needs.contains(&ready.stage));
    let output_bytes = if read_by_call {
        call.result_bytes(ready.stage)
    } else {
        0
    };
    if input_bytes.max(output_bytes) < ZONE_MATTERS {
        String::new()
    } else if input_bytes > output_bytes {
        call.zone_of(&ready.inputs).unwrap_or_default()
    } else {
        call.zone()
    }
}

fn end_name(end: &OrderOutcome) -> &'static str {
    match end {
        OrderOutcome::Computed(_) => "made",
        OrderOutcome::InputsGone => "inputs_gone",
        OrderOutcome::TooLate(_) => "too_late",
        OrderOutcome::Moved => "moved",
        OrderOutcome::Failed => "failed",
    }
}
