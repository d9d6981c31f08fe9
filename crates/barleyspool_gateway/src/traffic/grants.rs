//! Asking whether a call may go to a target that takes so many calls a second from all nodes together.
//!
//! Engines and pools have an owner that chooses for all. For other targets each node chooses, and asks the owner of the one that it has
//! chosen when that has a rate. docs/DESIGN.md, "Rates of targets".

use super::Traffic;
use super::peers::Owner;
use barleyspool_core::{Grant, Span, TargetChoice};
use barleyspool_wire::pieces::GrantRequest;
use barleyspool_wire::timer;
use std::rc::Rc;
use std::time::Duration;

/// How long the owner may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Nodes that are asked in turn.
const MAX_OWNERS: usize = 2;
/// How long a target is passed over when none of them answered.
const UNANSWERED_BACKOFF: Span = Span::from_millis(60);

/// Whether a call may go to the target that was chosen for it, and after which wait; `None` when it may not within `max_wait`, which is
/// noted for the next choice.
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

/// Asks the owner, and when it does not answer whoever stands in for it.
async fn request_from_owners(traffic: &Rc<Traffic>, chosen: &TargetChoice, max_wait: Span) -> Option<Grant> {
    for _ in 0..MAX_OWNERS {
        let grant = request_from_owner(traffic, chosen, max_wait).await;
        if grant.is_some() {
            return grant;
        }
    }
    None
}

async fn request_from_owner(traffic: &Rc<Traffic>, chosen: &TargetChoice, max_wait: Span) -> Option<Grant> {
    let shard = traffic.forwarder.borrow().shard_of_target(&chosen.id)?;
    let request = GrantRequest {
        target: chosen.id.clone(),
        from: traffic.plan().me,
        max_wait,
    };
    match traffic.peers.owner_of_key(traffic, shard) {
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

/// Answers for this node.
pub fn grant_locally(traffic: &Traffic, request: &GrantRequest) -> Grant {
    let now = traffic.now();
    let mut forwarder = traffic.forwarder.borrow_mut();
    forwarder.grant(now, &request.target, request.from, request.max_wait)
}
