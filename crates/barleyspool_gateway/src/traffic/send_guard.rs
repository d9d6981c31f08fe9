//! Tracks one send of a call, from the choice of its target to its end.

use super::call::Call;
use super::peer_send;
use super::placement::Placement;
use super::target_choice;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{Counter, SendEnd, SendKey, Span, TargetChoice, TargetKey, Time};
use std::rc::Rc;

/// Tracks one send in the forwarder and in its placement. A send that is dropped before it ended, as when its
/// task is cancelled, is counted as cancelled and abandoned in the forwarder.
pub struct SendGuard {
    call: Rc<Call>,
    /// The chosen target. When a peer sends the call, the address is that of the peer, and so is the id until the peer has
    /// chosen a target.
    pub chosen: TargetChoice,
    key: Option<SendKey>,
    placement: Option<Placement>,
    /// Whether another node sends the call for this one.
    pub by_peer: bool,
    /// When the send began.
    pub began_at: Time,
}

impl SendGuard {
    /// Records that a send to the chosen target begins.
    pub fn begin(call: &Rc<Call>, (chosen, placement): (TargetChoice, Option<Placement>)) -> Self {
        let traffic = &call.traffic;
        let key = traffic
            .forwarder
            .borrow_mut()
            .begin(traffic.now(), &call.target_query(), chosen.target);
        Self {
            call: Rc::clone(call),
            chosen,
            key: Some(key),
            placement,
            by_peer: false,
            began_at: traffic.now(),
        }
    }

    /// Records that a send by way of the node with this peer address begins. That node tracks its target.
    pub fn begin_by_peer(call: &Rc<Call>, peer: &str) -> Self {
        let chosen = TargetChoice {
            target: TargetKey::default(),
            id: peer.to_owned(),
            address: peer.to_owned(),
            version: None,
            source: None,
            rate_limited: false,
            brittle: false,
            wait: Span::ZERO,
            may_queue: true,
        };
        Self {
            call: Rc::clone(call),
            chosen,
            key: None,
            placement: None,
            by_peer: true,
            began_at: call.traffic.now(),
        }
    }

    /// Chooses how a call is sent, and records that the send begins: by way of another node if this one reaches no target of
    /// the service, or else to a target.
    ///
    /// # Errors
    /// When there is no target for the call.
    pub async fn choose(call: &Rc<Call>) -> Result<Self, CallFailure> {
        if let Some(peer) = peer_send::choose_peer(call) {
            return Ok(Self::begin_by_peer(call, &peer));
        }
        Ok(Self::begin(call, target_choice::choose(call).await?))
    }

    /// Records the first output of the send.
    pub fn first_output(&mut self) {
        let took = self.call.traffic.now().since(self.began_at);
        if let Some(placement) = &mut self.placement {
            placement.first_output(took);
        }
        if let Some(key) = self.key {
            let traffic = &self.call.traffic;
            traffic.forwarder.borrow_mut().first_output(traffic.now(), key);
        }
    }

    /// Records how the send ended; only the first call counts. Logs when the target is quarantined because of
    /// it.
    pub fn end(&mut self, end: SendEnd) {
        if let Some(mut placement) = self.placement.take() {
            placement.end(end);
        }
        let Some(key) = self.key.take() else { return };
        let traffic = &self.call.traffic;
        let now = traffic.now();
        let quarantined = traffic.forwarder.borrow_mut().end(now, key, end);
        if quarantined {
            traffic.count(Counter::Quarantined);
            let line = LogEvent::TargetQuarantined {
                target: &self.chosen.id,
                cause: end.retry_reason().name(),
                id: &self.call.head.id,
            };
            traffic.log.write(now, &line);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.call.traffic.count(Counter::Cancelled);
            self.call.traffic.forwarder.borrow_mut().abandon(key);
        }
    }
}
