//! Places the calls of all nodes at engines, by one node for each shard of engines.
//!
//! A node that sees only a part of the calls would send long prompts to engines that other nodes keep busy.
//! So the owner of an engine service (or of a shard of a large one) chooses the engine for all nodes, and is
//! notified when the prompt of a call has been read and when the call ends. When the owner does not answer in
//! time, the requesting node chooses itself.

use super::Traffic;
use super::call::Call;
use super::peers::Owner;
use super::pools::PoolId;
use super::reach;
use barleyspool_core::{
    ChooseResult, Forwarder, Reservation, SendEnd, SendKey, Shard, SlotOutcome, Span, TargetChoice,
    TargetQuery, Time, rendezvous,
};
use barleyspool_wire::pieces::{ChosenEngine, PlaceAnswer, PlaceRequest, PlacedCallEvent, SlotRequest};
use barleyspool_wire::timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long the owner may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Placements older than this are dropped, in microseconds: the message that ends one may have been lost.
const PLACEMENT_TTL_US: u64 = 30_000_000;

/// Expired placements are removed whenever the number of placements is a multiple of this.
const SWEEP_EVERY: usize = 64;

/// The calls that this node has placed as the owner, for itself and for others, by the key of the placement.
#[derive(Debug, Default)]
pub struct Placements {
    sends: HashMap<String, Placed>,
}

/// A call that this node has placed, or for which it has reserved room.
#[derive(Debug)]
struct Placed {
    /// The call as load of its engine; `None` if only room was reserved for it.
    send: Option<SendKey>,
    /// The room that was reserved for it, if its target is brittle.
    reservation: Option<Reservation>,
    at: Time,
}

/// A call that an owner placed; reports its steps to the owner.
pub struct Placement {
    traffic: Rc<Traffic>,
    owner: Owner,
    /// The key of the placement: the id of the call and the number of the placement, as `id/number`.
    call: String,
    /// The service of its target.
    service: String,
    /// Whether the target is brittle, so that the owner has to know of refusals.
    brittle: bool,
    first_output: bool,
    ended: bool,
}

impl Placement {
    /// The placement of a call by `owner`, under the key `call`.
    pub fn new(traffic: &Rc<Traffic>, owner: Owner, call: String, service: &str) -> Self {
        let now = traffic.now();
        let refusals = traffic.forwarder.borrow().brittle_refusals(now, service);
        Self {
            traffic: Rc::clone(traffic),
            owner,
            call,
            service: service.to_owned(),
            brittle: refusals.is_some(),
            first_output: false,
            ended: false,
        }
    }

    /// Reports the first output, `took` after the call was sent, once.
    pub fn first_output(&mut self, took: Span) {
        if !std::mem::replace(&mut self.first_output, true) {
            self.report(PlacedCallEvent::FirstOutput { took });
        }
    }

    /// Reports how the send ended. A refusal because inputs are lost is no failure of the target, as in
    /// `Forwarder::end`.
    pub fn end(&mut self, end: SendEnd) {
        let success = matches!(
            end,
            SendEnd::Answered { .. }
                | SendEnd::Refused {
                    inputs_gone: true,
                    ..
                }
        );
        let is_full = matches!(
            end,
            SendEnd::Refused {
                misdirected: false,
                inputs_gone: false
            }
        );
        self.ended = true;
        if success {
            self.report(PlacedCallEvent::Finished);
        } else if is_full && self.brittle {
            self.report(PlacedCallEvent::Refused);
        } else {
            self.report_failure();
        }
    }

    /// Reports a failure of the target once it is clear that this node still reaches the service. Otherwise the failure
    /// says nothing about the target, which the owner would no longer choose for other nodes.
    fn report_failure(&self) {
        let (traffic, owner) = (Rc::clone(&self.traffic), self.owner.clone());
        let (call, service) = (self.call.clone(), self.service.clone());
        spawn_local(async move {
            let event = if reach::reaches(&traffic, &service).await {
                PlacedCallEvent::Failed
            } else {
                PlacedCallEvent::Finished
            };
            report(&traffic, &owner, call, event);
        });
    }

    fn report(&self, event: PlacedCallEvent) {
        report(&self.traffic, &self.owner, self.call.clone(), event);
    }
}

fn report(traffic: &Rc<Traffic>, owner: &Owner, call: String, event: PlacedCallEvent) {
    match owner {
        Owner::Local => apply_event(traffic, &call, event),
        Owner::Remote(address) => {
            let (traffic, address) = (Rc::clone(traffic), address.clone());
            spawn_local(async move { traffic.peers.report_event(&address, call, event).await });
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if !self.ended {
            self.report(PlacedCallEvent::Finished);
        }
    }
}

/// Where the stage results are that a call reads, and when it can be sent.
pub struct InputLocation {
    /// The zone that holds them, or the preferred one while they are not computed.
    pub zone: String,
    /// Their size in bytes; zero while they are not computed, since they are then computed near the engine.
    pub bytes: u64,
    /// The expected time until they are computed.
    pub lead: Span,
}

impl InputLocation {
    /// The inputs of a call whose stages are done.
    pub fn of(call: &Call) -> Self {
        Self {
            zone: call.zone_of_inputs(),
            bytes: call.input_bytes(),
            lead: Span::ZERO,
        }
    }
}

/// Result of requesting a placement from the owners of engines.
pub enum PlaceResult {
    /// The call goes to this engine.
    Placed(TargetChoice, Placement),
    /// All usable engines have been granted their whole rate; the time until one has capacity again.
    NoCapacity(Span),
    /// No owner chose an engine that this node can use.
    NotPlaced,
}

/// Has the owner of the call's shard of engines choose one. When that shard has no capacity, the owners of
/// the other shards are asked one after the other.
pub async fn place(call: &Call, inputs: &InputLocation, max_wait: Span) -> PlaceResult {
    let traffic = &call.traffic;
    let query = call.target_query();
    if query.engine_memory.is_none() {
        return PlaceResult::NotPlaced;
    }
    let first_shard = engine_shard(call, &query);
    // A report of no capacity is valid only while all engines are rate-limited: an engine whose rate limit
    // was removed has capacity, whatever was reported before.
    let all_rate_limited = traffic
        .forwarder
        .borrow()
        .all_rate_limited(traffic.now(), &query.service);
    let shards = traffic.forwarder.borrow().shards_to_ask(&query, first_shard);
    let mut shortest_wait: Option<Span> = None;
    for shard in shards {
        let id = PoolId {
            service: query.service.clone(),
            shard: shard.number,
        };
        let place = traffic
            .peers
            .no_capacity_wait(traffic.now(), &id)
            .filter(|wait| all_rate_limited && *wait > max_wait);
        let place = match place {
            Some(wait) => PlaceResult::NoCapacity(wait),
            None => place_in_shard(call, inputs, &id, max_wait).await,
        };
        let PlaceResult::NoCapacity(wait) = place else {
            return place;
        };
        shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
    }
    shortest_wait.map_or(PlaceResult::NotPlaced, PlaceResult::NoCapacity)
}

/// Has the owner of one shard choose an engine.
async fn place_in_shard(call: &Call, inputs: &InputLocation, id: &PoolId, max_wait: Span) -> PlaceResult {
    let traffic = &call.traffic;
    let Some(request) = place_request(call, inputs, id, max_wait) else {
        return PlaceResult::NotPlaced;
    };
    let key = request.call.clone();
    let owner = traffic.peers.owner(traffic, id);
    let answer = match &owner {
        Owner::Local => Some(place_locally(traffic, &request)),
        Owner::Remote(address) => {
            let pending = traffic.peers.request_placement(address, request);
            let answer = timer::timeout(ANSWER_TIMEOUT, pending).await.ok().flatten();
            if answer.is_none()
                && traffic
                    .forwarder
                    .borrow()
                    .needs_grants(traffic.now(), &id.service)
            {
                // Only the owner grants the rate of such engines; the next request goes to another node.
                traffic.peers.exclude(traffic.now(), address);
            }
            answer
        }
    };
    let placed = match answer {
        Some(PlaceAnswer::Chosen(placed)) => Some(placed),
        Some(PlaceAnswer::NoCapacity(wait)) => {
            traffic.peers.note_no_capacity(traffic.now(), id, wait);
            return PlaceResult::NoCapacity(wait);
        }
        Some(PlaceAnswer::NoneUsable) | None => None,
    };
    let placement = Placement::new(traffic, owner, key, &id.service);
    let Some(placed) = placed else {
        return PlaceResult::NotPlaced;
    };
    let usable = traffic
        .forwarder
        .borrow_mut()
        .usable(traffic.now(), &call.target_query(), &placed.target);
    let Some(mut chosen) = usable else {
        return PlaceResult::NotPlaced;
    };
    chosen.source = placed.prefix_source;
    chosen.wait = placed.wait;
    chosen.rate_limited = placed.rate_limited;
    chosen.may_queue = placed.may_queue;
    PlaceResult::Placed(chosen, placement)
}

/// The shard of engines at which a call is placed. Calls with the same shared prefix go to the same shard.
pub fn engine_shard(call: &Call, query: &TargetQuery) -> Shard {
    let key = match query.prefix {
        0 => rendezvous::text_key(&call.head.id),
        prefix => u128::from(prefix),
    };
    call.traffic.plan().engine_shard(&query.service, key)
}

fn place_request(call: &Call, inputs: &InputLocation, id: &PoolId, max_wait: Span) -> Option<PlaceRequest> {
    let query = call.target_query();
    let forwarder = call.traffic.forwarder.borrow();
    // The owner does not know the cooldowns that were requested from this node.
    let cooling_down = forwarder.in_cooldown(call.traffic.now(), &query.service);
    let avoid = query.avoid.iter().copied().chain(cooling_down);
    let avoid = avoid.filter_map(|key| forwarder.target(key));
    Some(PlaceRequest {
        call: format!("{}/{}", call.head.id, call.next_placement()),
        shard: id.shard,
        requester: call.traffic.plan().me,
        max_wait,
        engine_memory: query.engine_memory?,
        version: query.version,
        excluded_targets: avoid.map(|record| record.entry.id.clone()).collect(),
        service: query.service,
        route: query.route,
        prefix: query.prefix,
        prefix_tokens: query.prefix_tokens,
        prompt_tokens: query.prompt_tokens,
        zone: inputs.zone.clone(),
        input_bytes: inputs.bytes,
        lead: inputs.lead,
        can_copy_prefixes: query.can_copy_prefixes,
    })
}

// ----------------------------------------------------------------------------
// Placing calls as the owner

/// Chooses an engine for a call of any node, as the owner of the shard.
pub fn place_locally(traffic: &Traffic, request: &PlaceRequest) -> PlaceAnswer {
    let now = traffic.now();
    let shard = Shard {
        number: request.shard,
        of: traffic.plan().engine_shards(&request.service),
    };
    let mut forwarder = traffic.forwarder.borrow_mut();
    let avoid = request
        .excluded_targets
        .iter()
        .filter_map(|id| forwarder.key(id))
        .collect();
    let query = TargetQuery {
        service: request.service.clone(),
        route: request.route.clone(),
        engine_memory: Some(request.engine_memory),
        version: request.version,
        prefix: request.prefix,
        prefix_tokens: request.prefix_tokens,
        prompt_tokens: request.prompt_tokens,
        zone: request.zone.clone(),
        input_bytes: request.input_bytes,
        lead: request.lead,
        avoid,
        can_copy_prefixes: request.can_copy_prefixes,
        max_wait: request.max_wait,
        placing: Some(shard),
        for_other_node: request.requester != traffic.plan().me,
    };
    let chosen = match forwarder.place(now, &query, request.requester) {
        ChooseResult::Send(chosen) => chosen,
        ChooseResult::NoCapacity(wait) => return PlaceAnswer::NoCapacity(wait),
        ChooseResult::CoolingDown(_) | ChooseResult::Busy(_) => return PlaceAnswer::NoneUsable,
    };
    let is_brittle = forwarder.brittle_refusals(now, &request.service).is_some();
    let may_queue = forwarder.is_occupied(chosen.target);
    let placed = Placed {
        send: Some(forwarder.begin(now, &query, chosen.target)),
        reservation: is_brittle
            .then(|| forwarder.reserve_slot(now, chosen.target))
            .flatten(),
        at: now,
    };
    record_placed(traffic, &mut forwarder, request.call.clone(), placed);
    PlaceAnswer::Chosen(ChosenEngine {
        target: chosen.id,
        prefix_source: chosen.source,
        wait: chosen.wait,
        rate_limited: chosen.rate_limited,
        may_queue,
    })
}

/// Reserves room for a call at a brittle target, as its owner. Returns whether there is any.
pub fn reserve_locally(traffic: &Traffic, request: &SlotRequest) -> bool {
    let now = traffic.now();
    let mut forwarder = traffic.forwarder.borrow_mut();
    let Some(key) = forwarder.key(&request.target) else {
        return false;
    };
    let service = forwarder.target(key).map(|record| record.entry.service.clone());
    forwarder.note_brittle(now, &service.unwrap_or_default(), request.refusals);
    let Some(reservation) = forwarder.reserve_slot(now, key) else {
        return false;
    };
    let placed = Placed {
        send: None,
        reservation: Some(reservation),
        at: now,
    };
    record_placed(traffic, &mut forwarder, request.call.clone(), placed);
    true
}

/// Records a placed call, and drops expired ones now and then.
fn record_placed(traffic: &Traffic, forwarder: &mut Forwarder, call: String, placed: Placed) {
    let now = traffic.now();
    let mut placements = traffic.placements.borrow_mut();
    placements.sends.insert(call, placed);
    if placements.sends.len().is_multiple_of(SWEEP_EVERY) {
        placements.sends.retain(|_, placed| {
            let keep = now.since(placed.at).0 <= PLACEMENT_TTL_US;
            if let (false, Some(send)) = (keep, placed.send) {
                forwarder.abandon(send);
            }
            keep
        });
    }
}

/// Applies a step of a call that was placed here, or for which room was reserved here.
pub fn apply_event(traffic: &Traffic, call: &str, event: PlacedCallEvent) {
    let now = traffic.now();
    let mut placements = traffic.placements.borrow_mut();
    let Some(placed) = placements.sends.get(call) else {
        return;
    };
    let mut forwarder = traffic.forwarder.borrow_mut();
    if let (PlacedCallEvent::FirstOutput { took }, Some(send)) = (event, placed.send) {
        forwarder.record_send_time(now, send, took);
        return forwarder.first_output(now, send);
    }
    if let Some(reservation) = placed.reservation {
        let outcome = match event {
            PlacedCallEvent::FirstOutput { .. } => return,
            PlacedCallEvent::Finished => SlotOutcome::Accepted,
            PlacedCallEvent::Refused => SlotOutcome::Refused,
            PlacedCallEvent::Failed => SlotOutcome::Unknown,
        };
        forwarder.release_slot(now, reservation, outcome);
    }
    match (event, placed.send) {
        // This event is also reported when the caller has left, which says nothing about the target. So the send is
        // only removed from the load of the engine, without a measurement.
        (PlacedCallEvent::Finished, Some(send)) => forwarder.abandon(send),
        (PlacedCallEvent::Failed | PlacedCallEvent::Refused, Some(send)) => {
            forwarder.end(now, send, SendEnd::BrokenOff);
        }
        (PlacedCallEvent::FirstOutput { .. }, _) | (_, None) => {}
    }
    placements.sends.remove(call);
}
