//! Seeing that a target has ended under a call, and keeping calls that end targets from them.
//!
//! A connection that breaks says little: it may have been reset, or its target may break off one answer in fifty. So the
//! target's port is asked: where nobody listens any more the target has ended. docs/DESIGN.md, "Calls that end targets".

use super::Traffic;
use super::call::Call;
use super::connections::Presence;
use crate::event_log::Line;
use crate::failure::CallFailure;
use crate::shared::Sighting;
use barleyspool_core::{
    AnsweredCalls, CallFingerprint, Counter, IncarnationId, Reason, SendEnd, Span, TargetChoice, Time,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{OnceCell, mpsc};
use tokio::task::spawn_local;

/// How long an answer of a target's port counts for all calls at that target: they break within milliseconds of each other, and
/// a target that has ended is away for seconds.
const PORT_CHECK_TTL: Span = Span::from_millis(200);
/// Looks that are kept; older ones go when there are more.
const MAX_PORT_CHECKS: usize = 256;

/// A look at a target's port that several calls share.
#[derive(Clone, Debug)]
struct PortCheck {
    started_at: Time,
    presence: Rc<OnceCell<Presence>>,
}

/// Which calls targets end under, as far as this node sees.
#[derive(Debug)]
pub struct TargetCrashes {
    sightings: mpsc::UnboundedSender<Sighting>,
    answered_calls: RefCell<AnsweredCalls>,
    port_checks: RefCell<HashMap<String, PortCheck>>,
}

impl TargetCrashes {
    /// Tells `sightings` what it sees.
    pub fn new(sightings: mpsc::UnboundedSender<Sighting>) -> Self {
        Self {
            sightings,
            answered_calls: RefCell::default(),
            port_checks: RefCell::default(),
        }
    }

    /// A target gave a call a whole answer: it does not end targets.
    pub fn record_answered(&self, now: Time, fingerprint: CallFingerprint) {
        self.answered_calls.borrow_mut().insert(now, fingerprint);
    }

    /// Looks whether a target that broke a connection off has ended. One that was on its way out ends as it should.
    pub async fn has_crashed(&self, traffic: &Traffic, target: &str, address: &str) -> bool {
        let plan = traffic.plan();
        let leaving = plan.targets.get(target).is_none_or(|entry| entry.leaving);
        if leaving {
            return false;
        }
        let check = self.port_check(traffic.now(), target);
        let presence = check.get_or_init(|| traffic.connections.presence(address, target));
        *presence.await == Presence::Gone
    }

    /// A target has ended while it had a call, or a piece of one.
    pub fn record_crash(&self, traffic: &Traffic, target: &str, (id, fingerprint): (&str, CallFingerprint)) {
        let now = traffic.now();
        traffic.count(Counter::TargetEnded);
        let counts = !self.answered_calls.borrow_mut().contains(now, fingerprint);
        let line = Line::TargetEnded {
            target,
            id,
            print: fingerprint,
            counts,
        };
        traffic.log.write(now, &line);
        if !counts {
            return;
        }
        let plan = traffic.plan();
        let incarnation = plan.targets.get(target).map_or(0, |entry| entry.incarnation.0);
        let incarnation = IncarnationId::of(target, incarnation);
        // The control thread is gone only when the process ends.
        let _ = self.sightings.send(Sighting::Ended {
            print: fingerprint,
            run: incarnation,
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

/// Notes that a target ended under a call, when that is why a send of it broke off. Nobody waits for it: the call goes on
/// elsewhere, where it may.
pub fn check_target(call: &Call, chosen: &TargetChoice, end: SendEnd) {
    if end != SendEnd::BrokenOff {
        return;
    }
    // Not the call itself, whose body would be held meanwhile.
    let (traffic, id, fingerprint) = (Rc::clone(&call.traffic), call.head.id.clone(), call.print);
    let chosen = chosen.clone();
    spawn_local(async move {
        let crashed = traffic.ends.has_crashed(&traffic, &chosen.id, &chosen.address);
        if crashed.await {
            traffic
                .ends
                .record_crash(&traffic, &chosen.id, (&id, fingerprint));
        }
    });
}

/// Turns a call away that targets have ended under.
///
/// # Errors
/// When it gets no target for a while. Nothing of it ran unless a send of this very try did.
pub fn check_blocked(call: &Call) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    let now = traffic.now();
    let Some(wait) = traffic.shared.refused.load().wait(now, call.print) else {
        return Ok(());
    };
    if traffic.ends.answered_calls.borrow_mut().contains(now, call.print) {
        return Ok(());
    }
    let line = Line::KeptAway {
        id: &call.head.id,
        print: call.print,
        wait_ms: wait.as_millis(),
    };
    traffic.log.write(now, &line);
    let failure = if call.history.get().may_have_run {
        CallFailure::unknown(Reason::EndsTargets)
    } else {
        CallFailure::not_run(Reason::EndsTargets).after(wait)
    };
    Err(failure.at(&call.service, ""))
}
