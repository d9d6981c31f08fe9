//! Running the stages before a call.

use super::call::Call;
use super::peers::Owner;
use super::pools::PoolId;
use super::results::Results;
use crate::event_log::Line;
use crate::failure::CallFailure;
use barleyspool_core::{OrderEnd, PieceOrder, ReadyStage, Reason, Span, StageRun, rendezvous};
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
    end: OrderEnd,
}

/// Runs all stages of a call that are not complete.
///
/// # Errors
/// When they cannot be completed in time. Nothing of the call itself has run then.
pub async fn run(call: &Call, stages: &mut StageRun, results: &mut Results) -> Result<(), CallFailure> {
    let mut working = FuturesUnordered::new();
    loop {
        for ready in stages.start_ready() {
            let depth = stages.depth_after(ready.stage);
            working.push(make_stage(call, ready, depth));
        }
        if stages.is_complete() {
            return Ok(());
        }
        let Some(ended) = working.next().await else {
            return Err(CallFailure::not_run(Reason::StepFailed));
        };
        match ended.end {
            OrderEnd::Made(handles) => {
                results.add(&ended.pool, &handles);
                let unneeded = stages.complete(ended.stage, handles);
                results.release(unneeded);
            }
            OrderEnd::InputsGone => {
                if !stages.redo(Some(ended.stage)) {
                    return Err(CallFailure::not_run(Reason::StepFailed).at(&ended.pool.service, ""));
                }
            }
            OrderEnd::TooLate(come_back) => {
                let failure = CallFailure::not_run(Reason::PoolBusy);
                return Err(failure.after(come_back).at(&ended.pool.service, ""));
            }
            OrderEnd::Moved | OrderEnd::Failed => {
                return Err(CallFailure::not_run(Reason::StepFailed).at(&ended.pool.service, ""));
            }
        }
    }
}

/// The pool, or the shard of a large one, that makes a stage of a call.
pub fn pool_id(call: &Call, stage: usize) -> PoolId {
    let service = &call.route.stages[stage].service;
    let key = rendezvous::text_key(&call.head.id);
    PoolId {
        service: service.clone(),
        shard: call.traffic.plan().pool_shard(service, key).number,
    }
}

async fn make_stage(call: &Call, ready: ReadyStage, depth: usize) -> StageEnd {
    let traffic = &call.traffic;
    let service = &call.route.stages[ready.stage].service;
    let pool = pool_id(call, ready.stage);
    let began = traffic.now();
    if let Some(planned) = &*call.planned.borrow() {
        planned.arrived(ready.stage);
    }
    let order = order(call, &ready, depth);
    let (owner, end) = make_at_owner(call, &pool, &order).await;
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
    if matches!(end, OrderEnd::Made(_)) {
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
async fn make_at_owner(call: &Call, pool: &PoolId, order: &PieceOrder) -> (Owner, OrderEnd) {
    let traffic = &call.traffic;
    let mut owner = traffic.peers.owner(traffic, pool);
    let mut unreachable = 0;
    while unreachable < MOST_OWNERS {
        let made = match &owner {
            Owner::Me => match traffic.pools.get(traffic, pool) {
                Some(local) => Some(local.make(traffic, order.clone()).await),
                None => Some(OrderEnd::Failed),
            },
            Owner::Other(address) => traffic.peers.make(traffic, address, pool, order).await,
        };
        let before = owner.clone();
        match made {
            Some(OrderEnd::Moved) => {
                owner = traffic.peers.owner(traffic, pool);
                if owner == before {
                    // This node will hear of the other owner too.
                    tokio::time::sleep(OWNER_WAIT).await;
                    owner = traffic.peers.owner(traffic, pool);
                }
            }
            Some(end) => return (owner, end),
            None => {
                unreachable += 1;
                owner = traffic.peers.owner(traffic, pool);
            }
        }
    }
    (owner, OrderEnd::Failed)
}

fn order(call: &Call, ready: &ReadyStage, depth: usize) -> PieceOrder {
    let spec = &call.route.stages[ready.stage];
    let first = ready.inputs.is_empty() && spec.needs.is_empty();
    // The stages after this one and the call itself need their time too.
    let later = Span(call.stage_time().0 * depth as u64) + call.first_time();
    PieceOrder {
        request: call.head.id.clone(),
        stage: ready.stage as u32,
        pieces: ready.pieces,
        key: if first {
            call.head.piece_key.clone()
        } else {
            String::new()
        },
        inputs: ready.inputs.clone(),
        deadline: call.deadline,
        due: (call.arrived + call.route.aim) - later,
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

fn end_name(end: &OrderEnd) -> &'static str {
    match end {
        OrderEnd::Made(_) => "made",
        OrderEnd::InputsGone => "inputs_gone",
        OrderEnd::TooLate(_) => "too_late",
        OrderEnd::Moved => "moved",
        OrderEnd::Failed => "failed",
    }
}
