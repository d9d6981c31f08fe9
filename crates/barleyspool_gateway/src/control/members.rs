//! Membership messages between nodes, over UDP.

use super::state::ControlState;
use crate::shared::TargetObservation;
use barleyspool_core::{MemberAction, MemberEvent, MemberMessage};
use barleyspool_wire::timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Maximum number of datagrams that are read while a probe is due: as many as a fleet of 400 nodes may have
/// sent during a pause of a few seconds. After them the probe is sent, so that a node that cannot keep up
/// with its datagrams does not also appear unresponsive.
const MAX_CONSECUTIVE_DATAGRAMS: usize = 1024;

/// Sends and receives membership messages until the process ends.
pub async fn run(state: Rc<ControlState>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut consecutive_datagrams = 0;
    loop {
        send_outbox(&state, &socket).await;
        let wake = state.membership.borrow().next_wake();
        let wait = Duration::from_micros(wake.since(state.now()).0.max(1000));
        if wake > state.now() {
            consecutive_datagrams = 0;
        }
        tokio::select! {
            // Acks that arrived while the process was paused are handled before timeouts raise suspicions.
            biased;
            received = socket.recv_from(&mut buffer), if consecutive_datagrams < MAX_CONSECUTIVE_DATAGRAMS => {
                consecutive_datagrams += 1;
                // A receive error is treated like a lost datagram, which the probes detect.
                let Ok((length, from)) = received else { continue };
                handle_datagram(&state, &buffer[..length], from);
            }
            () = state.outbox_filled.notified() => {}
            () = timer::sleep(wait) => {
                consecutive_datagrams = 0;
                state.step_members(MemberEvent::Tick);
            }
        }
    }
}

/// Applies what the traffic thread observes about targets to the membership state, until the process ends.
pub async fn apply_observations(
    state: Rc<ControlState>,
    mut observations: mpsc::UnboundedReceiver<TargetObservation>,
) {
    while let Some(observation) = observations.recv().await {
        state.step_members(match observation {
            TargetObservation::Crashed(report) => MemberEvent::Crashed(report),
            TargetObservation::Answered { suspect, at, count } => {
                MemberEvent::Answered { suspect, at, count }
            }
            TargetObservation::Leaving { incarnation } => MemberEvent::TargetLeaves { incarnation },
            TargetObservation::RateLimit { incarnation, per_s } => {
                MemberEvent::LimitReceived { incarnation, per_s }
            }
            TargetObservation::Brittle { service, refusals } => {
                MemberEvent::BrittleReported { service, refusals }
            }
            TargetObservation::Unreached(services) => MemberEvent::Unreached(services),
            TargetObservation::Stream(record) => MemberEvent::Stream(record),
        });
    }
}

fn handle_datagram(state: &ControlState, datagram: &[u8], from: SocketAddr) {
    match rmp_serde::from_slice::<MemberMessage>(datagram) {
        Ok(message) => {
            let from = from.to_string();
            state.step_members(MemberEvent::Message { from, message });
        }
        // Counted instead of logged: a node of another version may send several of these per second.
        Err(_) => {
            state.shared.unreadable_datagrams.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn send_outbox(state: &ControlState, socket: &UdpSocket) {
    let outbox = std::mem::take(&mut *state.outbox.borrow_mut());
    for action in outbox {
        let MemberAction::Send { to, message } = action else {
            continue;
        };
        let Ok(address) = to.parse::<SocketAddr>() else {
            continue;
        };
        if let Ok(bytes) = rmp_serde::to_vec(&message) {
            // A send error is treated like a lost datagram.
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}
