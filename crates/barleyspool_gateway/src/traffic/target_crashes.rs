//! Detects targets that crash during a call, and blocks calls that crash targets.
//!
//! A broken connection alone is no sign of a crash: it may have been reset, or the target may have interrupted
//! the answer and run on, as it may do with one answer in fifty. So this node connects to the target's port: if
//! nothing listens there any more, the target has crashed. See docs/DESIGN.md, "Calls that crash targets".

use super::Traffic;
use super::call::Call;
use super::connections::{Occupant, Presence};
use super::reach;
use super::send_guard::SendGuard;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use crate::shared::TargetObservation;
use barleyspool_core::{
    AnsweredCalls, BlockTrials, CallFingerprint, CallHead, Counter, CrashReport, IncarnationId, PartId,
    Reason, SendEnd, Span, Suspect, SuspectView, Time,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{OnceCell, mpsc};
use tokio::task::spawn_local;

/// How long the result of a port check is shared by all calls at that target. Their connections break within
/// milliseconds of each other, and a crashed target is away for seconds.
const PORT_CHECK_TTL: Span = Span::from_millis(200);
/// Maximum number of parts of a prompt that are checked, the first ones.
const MAX_PARTS: usize = 64;
/// Number of port checks from which on expired ones are removed.
const MAX_PORT_CHECKS: usize = 256;

/// A check of a target's port that several calls share.
#[derive(Clone, Debug)]
struct PortCheck {
    started_at: Time,
    presence: Rc<OnceCell<Presence>>,
}

/// Detects which calls crash targets, as far as this node observes.
#[derive(Debug)]
pub struct TargetCrashes {
    observations: mpsc::UnboundedSender<TargetObservation>,
    answered_calls: RefCell<AnsweredCalls>,
    block_trials: RefCell<BlockTrials>,
    port_checks: RefCell<HashMap<String, PortCheck>>,
}

impl TargetCrashes {
    /// Creates a detector that sends the crashes it sees to `observations`.
    pub fn new(observations: mpsc::UnboundedSender<TargetObservation>) -> Self {
        Self {
            observations,
            answered_calls: RefCell::default(),
            block_trials: RefCell::default(),
            port_checks: RefCell::default(),
        }
    }

    /// Records that a target has given a call a complete and successful answer: neither the call nor a part of its prompt
    /// crashes targets. A failure is no evidence, as a target may fail before it runs the call.
    pub fn record_answered(&self, call: &Call) {
        let traffic = &call.traffic;
        let now = traffic.now();
        let blocked = traffic.shared.blocked_calls.load();
        for suspect in call.suspects() {
            self.answered_calls.borrow_mut().insert(now, suspect);
            self.report_answer(suspect, now, blocked.suspect(suspect));
        }
    }

    /// Reports the answers of this node that show which suspects of crashes are harmless.
    pub fn report_answers(&self, traffic: &Traffic) {
        let now = traffic.now();
        for (suspect, view) in traffic.shared.blocked_calls.load().suspects() {
            let answered_at = self.answered_calls.borrow_mut().answered_at(now, suspect);
            if let Some(at) = answered_at {
                self.report_answer(suspect, at, Some(view));
            }
        }
    }

    fn report_answer(&self, suspect: Suspect, at: Time, view: Option<SuspectView>) {
        let Some(view) = view else { return };
        let count = self.answered_calls.borrow_mut().count(at, suspect);
        if view.is_news(at) || view.is_new_count(count) {
            // The receiver, the control thread, is gone only when the process ends.
            let _ = self
                .observations
                .send(TargetObservation::Answered { suspect, at, count });
        }
    }

    /// Whether a target that broke a connection has crashed. The end of a target that is leaving is expected
    /// and does not count.
    ///
    /// A node that reaches no target at all sees closed ports everywhere, which says nothing about the targets.
    pub async fn has_crashed(&self, traffic: &Rc<Traffic>, target: &str, address: &str) -> bool {
        let plan = traffic.plan();
        let leaving = plan.targets.get(target).is_none_or(|entry| entry.leaving);
        if leaving {
            return false;
        }
        let check = self.port_check(traffic.now(), target);
        let presence = check.get_or_init(|| traffic.connections.presence(address, target));
        *presence.await == Presence::Refused && reach::reaches_any(traffic).await
    }

    /// Records that a target crashed while it processed a call or a piece of one. It is passed on to the control thread as
    /// evidence against the call and the shared parts of its prompt, except those that a target has answered since the call
    /// was sent.
    pub fn record_crash(&self, traffic: &Traffic, target: &str, crashed: CrashedCall) {
        let now = traffic.now();
        traffic.count(Counter::TargetCrashed);
        let CrashedCall {
            id,
            fingerprint,
            parts,
            sent_at,
        } = crashed;
        let plan = traffic.plan();
        let incarnation = plan.targets.get(target).map_or(0, |entry| entry.incarnation.0);
        let incarnation = IncarnationId::of(target, incarnation);
        let mut counts_against_call = false;
        for suspect in suspects(fingerprint, parts) {
            let answered_at = self.answered_calls.borrow_mut().answered_at(now, suspect);
            if answered_at.is_some_and(|at| at >= sent_at) {
                continue;
            }
            counts_against_call |= suspect == Suspect::Call(fingerprint);
            let report = CrashReport {
                suspect,
                incarnation,
                sent_at,
                answered_at,
            };
            // The receiver, the control thread, is gone only when the process ends.
            let _ = self.observations.send(TargetObservation::Crashed(report));
        }
        let line = LogEvent::TargetCrashed {
            target,
            id,
            fingerprint,
            parts: &parts_text(parts),
            counts_against_call,
        };
        traffic.log.write(now, &line);
    }

    fn port_check(&self, now: Time, target: &str) -> Rc<OnceCell<Presence>> {
        let mut port_checks = self.port_checks.borrow_mut();
        if port_checks.len() >= MAX_PORT_CHECKS {
            port_checks.retain(|_, check| now.since(check.started_at) < PORT_CHECK_TTL);
        }
        let new = || PortCheck {
            started_at: now,
            presence: Rc::default(),
        };
        let check = port_checks.entry(target.to_owned()).or_insert_with(new);
        if now.since(check.started_at) >= PORT_CHECK_TTL {
            *check = new();
        }
        Rc::clone(&check.presence)
    }
}

/// Whether an answer that ended with its connection may have ended because the process of its target did. Such an answer looks
/// whole, but may not be, and says nothing for its call. A target that is leaving may end in the middle of its answers too.
///
/// Only a target that runs on has ended its answer itself, so it is asked who it is after the end. What is known from before says
/// nothing; nor does a process that has the address by now, as after a pause of this node. Where no answer names the target, a
/// process that listens is taken for it.
pub async fn may_have_ended_with_process(call: &Call, send: &SendGuard) -> bool {
    if send.by_peer {
        // The node that sends the call for this one checks its target itself, and marks the end of the answer.
        return false;
    }
    let (traffic, chosen) = (&call.traffic, &send.chosen);
    let service = call.catalog.service(&call.service);
    let health_path = service.map(|service| service.health_path.as_str());
    let may_ask = traffic
        .forwarder
        .borrow()
        .allows_identity_check(traffic.now(), &chosen.id);
    let health_path = health_path.filter(|path| may_ask && !path.is_empty());
    let instance = traffic.adapters.target.read_instance;
    if health_path.is_some() {
        traffic.count(Counter::HealthChecked);
    }
    let occupant = traffic
        .connections
        .occupant(&chosen.address, &chosen.id, health_path, instance)
        .await;
    let line = LogEvent::AnswerEnded {
        id: &call.head.id,
        target: &chosen.id,
        occupant: occupant.name(),
    };
    traffic.log.write_routine(traffic.now(), &line);
    match occupant {
        Occupant::Target | Occupant::Unknown => false,
        Occupant::Other | Occupant::Nobody | Occupant::Unreached => true,
    }
}

/// Records in the background that a target has answered a call whose stream it ended, as its framing says, but within an event:
/// unless the target crashes at the same time, the call does not crash targets. The caller has received such an answer whole.
pub fn record_if_running(call: &Rc<Call>, send: &SendGuard) {
    // A node that sends the call for this one records the answer itself.
    if send.by_peer {
        return;
    }
    let (call, chosen) = (Rc::clone(call), send.chosen.clone());
    spawn_local(async move {
        let presence = call.traffic.connections.presence(&chosen.address, &chosen.id);
        if presence.await == Presence::Listening {
            call.traffic.crashes.record_answered(&call);
        }
    });
}

/// A call, or a piece of one, that a target was processing when it crashed.
#[derive(Copy, Clone, Debug)]
pub struct CrashedCall<'a> {
    /// The id of the call.
    pub id: &'a str,
    /// Its fingerprint.
    pub fingerprint: CallFingerprint,
    /// The parts of its prompt that the target processed and other calls may share; none for a piece.
    pub parts: &'a [PartId],
    /// When it was sent to the target.
    pub sent_at: Time,
}

/// The parts of a prompt that other calls may share: all but the last one.
pub fn shared_parts(service: &str, head: &CallHead) -> Vec<PartId> {
    let shared = head.prompt.len().saturating_sub(1).min(MAX_PARTS);
    let parts = head.prompt[..shared].iter();
    parts.map(|part| PartId::of(service, part.id)).collect()
}

/// What a target may have crashed of: a call with this fingerprint, or a part of its prompt.
pub fn suspects(fingerprint: CallFingerprint, parts: &[PartId]) -> impl Iterator<Item = Suspect> + '_ {
    let parts = parts.iter().map(|part| Suspect::Part(*part));
    std::iter::once(Suspect::Call(fingerprint)).chain(parts)
}

fn parts_text(parts: &[PartId]) -> String {
    let texts = parts.iter().map(|part| format!("{:016x}", part.0));
    texts.collect::<Vec<_>>().join(",")
}

/// Starts a check whether a target crashed when a send of a call to it was interrupted. It runs in the
/// background: the call is retried elsewhere meanwhile, where that is allowed.
pub fn check_target(call: &Call, send: &SendGuard, end: SendEnd) {
    if end != SendEnd::BrokenOff {
        return;
    }
    // Moves only the fields it needs: the call would keep its body in memory meanwhile.
    let (traffic, id, fingerprint) = (Rc::clone(&call.traffic), call.head.id.clone(), call.fingerprint);
    let (chosen, parts, sent_at) = (send.chosen.clone(), call.parts.clone(), send.began_at);
    spawn_local(async move {
        let crashed = traffic.crashes.has_crashed(&traffic, &chosen.id, &chosen.address);
        if crashed.await {
            let call = CrashedCall {
                id: &id,
                fingerprint,
                parts: &parts,
                sent_at,
            };
            traffic.crashes.record_crash(&traffic, &chosen.id, call);
        }
    });
}

/// Refuses a call that has crashed targets, or whose prompt has a part that has.
///
/// # Errors
/// When the call is blocked for a while. Nothing of it has run unless an earlier send of this try may have.
pub fn check_blocked(call: &Call) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    let now = traffic.now();
    let blocked = traffic.shared.blocked_calls.load();
    let mut answered_calls = traffic.crashes.answered_calls.borrow_mut();
    let mut wait_of = |suspect: Suspect| {
        let wait = blocked.wait(now, suspect)?;
        // Other nodes may not know the answers of this one yet.
        let answered_at = answered_calls.answered_at(now, suspect);
        let last_crash = blocked.suspect(suspect).map(|view| view.last_crash);
        let is_harmless = answered_at > last_crash;
        let mut trials = traffic.crashes.block_trials.borrow_mut();
        if is_harmless || (blocked.is_tried_here(suspect) && trials.may_try(now, suspect, &call.head.id)) {
            return None;
        }
        Some((wait, suspect))
    };
    let Some((wait, suspect)) = call.suspects().filter_map(&mut wait_of).max() else {
        return Ok(());
    };
    let line = LogEvent::CallBlocked {
        id: &call.head.id,
        fingerprint: call.fingerprint,
        suspect,
        wait_ms: wait.as_millis(),
    };
    traffic.log.write(now, &line);
    let failure = if call.history.get().may_have_run {
        CallFailure::unknown(Reason::CrashesTargets)
    } else {
        CallFailure::not_run(Reason::CrashesTargets).with_retry_after(wait)
    };
    Err(failure.at(&call.service, ""))
}
