//! Detects targets that crash during a call, and blocks calls that crash targets.
//!
//! A broken connection alone is no sign of a crash: it may have been reset, or the target may have interrupted
//! the answer and run on, as it may do with one answer in fifty. So this node connects to the target's port: if
//! nothing listens there any more, the target has crashed. See docs/DESIGN.md, "Calls that crash targets".

use super::Traffic;
use super::call::Call;
use super::connections::Presence;
use super::reach;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use crate::shared::TargetObservation;
use barleyspool_core::{
    AnsweredCalls, CallFingerprint, Counter, IncarnationId, Reason, SendEnd, Span, TargetChoice, Time,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{OnceCell, mpsc};
use tokio::task::spawn_local;

/// How long the result of a port check is shared by all calls at that target. Their connections break within
/// milliseconds of each other, and a crashed target is away for seconds.
const PORT_CHECK_TTL: Span = Span::from_millis(200);
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
    port_checks: RefCell<HashMap<String, PortCheck>>,
}

impl TargetCrashes {
    /// Creates a detector that sends the crashes it sees to `observations`.
    pub fn new(observations: mpsc::UnboundedSender<TargetObservation>) -> Self {
        Self {
            observations,
            answered_calls: RefCell::default(),
            port_checks: RefCell::default(),
        }
    }

    /// Records that a target answered a call completely: the call does not crash targets.
    pub fn record_answered(&self, now: Time, fingerprint: CallFingerprint) {
        self.answered_calls.borrow_mut().insert(now, fingerprint);
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

    /// Records that a target crashed while it processed a call or a piece of one. It is passed on to the
    /// control thread unless a target has answered the call before.
    /// `parts` are the shared parts of its prompt, for the log.
    pub fn record_crash(
        &self,
        traffic: &Traffic,
        target: &str,
        (id, fingerprint, parts): (&str, CallFingerprint, &str),
    ) {
        let now = traffic.now();
        traffic.count(Counter::TargetCrashed);
        let counts_against_call = !self.answered_calls.borrow_mut().contains(now, fingerprint);
        let line = LogEvent::TargetCrashed {
            target,
            id,
            fingerprint,
            parts,
            counts_against_call,
        };
        traffic.log.write(now, &line);
        if !counts_against_call {
            return;
        }
        let plan = traffic.plan();
        let incarnation = plan.targets.get(target).map_or(0, |entry| entry.incarnation.0);
        let incarnation = IncarnationId::of(target, incarnation);
        // The receiver, the control thread, is gone only when the process ends.
        let _ = self.observations.send(TargetObservation::Crashed {
            fingerprint,
            incarnation,
        });
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

/// Starts a check whether a target crashed when a send of a call to it was interrupted. It runs in the
/// background: the call is retried elsewhere meanwhile, where that is allowed.
pub fn check_target(call: &Call, chosen: &TargetChoice, end: SendEnd) {
    if end != SendEnd::BrokenOff {
        return;
    }
    // Moves only the fields it needs: the call would keep its body in memory meanwhile.
    let (traffic, id, fingerprint) = (Rc::clone(&call.traffic), call.head.id.clone(), call.fingerprint);
    let (chosen, parts) = (chosen.clone(), call.head.shared_parts_text());
    spawn_local(async move {
        let crashed = traffic.crashes.has_crashed(&traffic, &chosen.id, &chosen.address);
        if crashed.await {
            traffic
                .crashes
                .record_crash(&traffic, &chosen.id, (&id, fingerprint, &parts));
        }
    });
}

/// Refuses a call that has crashed targets.
///
/// # Errors
/// When the call is blocked for a while. Nothing of it has run unless an earlier send of this try may have.
pub fn check_blocked(call: &Call) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    let now = traffic.now();
    let Some(wait) = traffic.shared.blocked_calls.load().wait(now, call.fingerprint) else {
        return Ok(());
    };
    if traffic
        .crashes
        .answered_calls
        .borrow_mut()
        .contains(now, call.fingerprint)
    {
        return Ok(());
    }
    let line = LogEvent::CallBlocked {
        id: &call.head.id,
        fingerprint: call.fingerprint,
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
