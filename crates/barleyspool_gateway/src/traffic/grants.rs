//! Requests from the owner of a rate-limited target whether a call may be sent to it; the rate is shared by
//! all nodes.
//!
//! The owner of an engine or a pool chooses the target for all nodes. For other targets each node chooses
//! itself, and then requests a grant from the owner of the chosen target if that is rate-limited. See
//! docs/DESIGN.md, "Rates of targets".

use super::Traffic;
use super::call::Call;
use super::peers::Owner;
use super::placement::{self, Placement};
use barleyspool_core::{Grant, Span, TargetChoice};
use barleyspool_wire::pieces::{GrantRequest, SlotRequest};
use barleyspool_wire::timer;
use std::rc::Rc;
use std::time::Duration;

/// How long an owner may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// How many nodes are tried one after the other: the owner and its fallback.
const MAX_OWNERS: usize = 2;
/// How long a target is excluded from the choice when no owner answered, on top of the longest wait of the
/// call.
const UNANSWERED_BACKOFF: Span = Span::from_millis(60);
/// How long a brittle target is avoided after its owner reported that it has no room.
const NO_ROOM_BACKOFF: Span = Span::from_millis(25);

/// Requests a grant for a call to the target chosen for it. Returns how long the call has to wait before it
/// is sent, or `None` when it may not be sent within `max_wait`; the missing capacity is then noted for the
/// next choice.
pub async fn request_grant(traffic: &Rc<Traffic>, chosen: &TargetChoice, max_wait: Span) -> Option<Span> {
    let wait = match request_from_owners(traffic, chosen, max_wait).await {
        Some(Grant::After(wait)) => return Some(wait),
        Some(Grant::NoCapacity(wait)) => wait,
        None => max_wait + UNANSWERED_BACKOFF,
    };
    let now = traffic.now();
    let mut forwarder = traffic.forwarder.borrow_mut();
    forwarder.note_no_capacity(now, chosen.target, now + wait);
    None
}

/// Requests the grant from the owner, and from the fallback owner when the owner does not answer.
async fn request_from_owners(traffic: &Rc<Traffic>, chosen: &TargetChoice, max_wait: Span) -> Option<Grant> {
    for _ in 0..MAX_OWNERS {
        let grant = request_from_owner(traffic, chosen, max_wait).await;
        if grant.is_some() {
            return grant;
        }
    }
    None
}

/// Has the owner of a brittle target reserve room for a call. Returns `None` when there is no room or no owner answers; the
/// target is then avoided for a moment.
pub async fn request_slot(call: &Call, chosen: &TargetChoice) -> Option<Placement> {
    let traffic = &call.traffic;
    for _ in 0..MAX_OWNERS {
        match request_slot_from_owner(call, chosen).await {
            Some(Some(placement)) => return Some(placement),
            Some(None) => break,
            None => {}
        }
    }
    let now = traffic.now();
    let mut forwarder = traffic.forwarder.borrow_mut();
    forwarder.note_no_capacity(now, chosen.target, now + NO_ROOM_BACKOFF);
    None
}

/// Returns the reservation, or that there is no room; `None` when the owner does not answer.
async fn request_slot_from_owner(call: &Call, chosen: &TargetChoice) -> Option<Option<Placement>> {
    let traffic = &call.traffic;
    let (service, shard) = traffic.forwarder.borrow().shard_of_target(&chosen.id)?;
    let refusals = traffic
        .forwarder
        .borrow()
        .brittle_refusals(traffic.now(), &service);
    let request = SlotRequest {
        call: format!("{}/{}", call.head.id, call.next_placement()),
        target: chosen.id.clone(),
        refusals: refusals.unwrap_or_default(),
    };
    let key = request.call.clone();
    let owner = traffic.peers.owner_of_key(traffic, &service, shard);
    let reserved = match &owner {
        Owner::Local => Some(placement::reserve_locally(traffic, &request)),
        Owner::Remote(address) => {
            let pending = traffic.peers.request_slot(address, request);
            let reserved = timer::timeout(ANSWER_TIMEOUT, pending).await.ok().flatten();
            if reserved.is_none() {
                // Gives the room back in case the owner reserves it later.
                drop(Placement::new(traffic, owner.clone(), key.clone(), &service));
                traffic.peers.exclude(traffic.now(), address);
            }
            reserved
        }
    };
    Some(reserved?.then(|| Placement::new(traffic, owner, key, &service)))
}

async fn request_from_owner(traffic: &Rc<Traffic>, chosen: &TargetChoice, max_wait: Span) -> Option<Grant> {
    let (service, shard) = traffic.forwarder.borrow().shard_of_target(&chosen.id)?;
    let request = GrantRequest {
        target: chosen.id.clone(),
        requester: traffic.plan().me,
        max_wait,
    };
    match traffic.peers.owner_of_key(traffic, &service, shard) {
        Owner::Local => Some(grant_locally(traffic, &request)),
        Owner::Remote(address) => {
            let pending = traffic.peers.request_grant(&address, request);
            let grant = timer::timeout(ANSWER_TIMEOUT, pending).await.ok().flatten();
            if grant.is_none() {
                traffic.peers.exclude(traffic.now(), &address);
            }
            grant
        }
    }
}

/// Decides a request for a grant as the owner of the target.
pub fn grant_locally(traffic: &Traffic, request: &GrantRequest) -> Grant {
    let now = traffic.now();
    let mut forwarder = traffic.forwarder.borrow_mut();
    forwarder.grant(now, &request.target, request.requester, request.max_wait)
}
