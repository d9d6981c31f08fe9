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
const SAME_LOOK: Span = Span::from_millis(200);
/// Looks that are kept; older ones go when there are more.
const MOST_LOOKS: usize = 256;

/// A look at a target's port that several calls share.
#[derive(Clone, Debug)]
struct Look {
    began: Time,
    presence: Rc<OnceCell<Presence>>,
}

/// Which calls targets end under, as far as this node sees.
#[derive(Debug)]
pub struct TargetEnds {
    sightings: mpsc::UnboundedSender<Sighting>,
    survivors: RefCell<AnsweredCalls>,
    looks: RefCell<HashMap<String, Look>>,
}

impl TargetEnds {
    /// Tells `sightings` what it sees.
    pub fn new(sightings: mpsc::UnboundedSender<Sighting>) -> Self {
        Self {
            sightings,
            survivors: RefCell::default(),
            looks: RefCell::default(),
        }
    }

    /// A target gave a call a whole answer: it does not end targets.
    pub fn answered(&self, now: Time, print: CallFingerprint) {
        self.survivors.borrow_mut().insert(now, print);
    }

    /// Looks whether a target that broke a connection off has ended. One that was on its way out ends as it should.
    pub async fn has_ended(&self, traffic: &Traffic, target: &str, address: &str) -> bool {
        let plan = traffic.plan();
        let leaving = plan.targets.get(target).is_none_or(|entry| entry.leaving);
        if leaving {
            return false;
        }
        let look = self.look(traffic.now(), target);
        let presence = look.get_or_init(|| traffic.connections.presence(address, target));
        *presence.await == Presence::Gone
    }

    /// A target has ended while it had a call, or a piece of one.
    pub fn ended_under(&self, traffic: &Traffic, target: &str, (id, print): (&str, CallFingerprint)) {
        let now = traffic.now();
        traffic.count(Counter::TargetEnded);
        let counts = !self.survivors.borrow_mut().contains(now, print);
        let line = Line::TargetEnded {
            target,
            id,
            print,
            counts,
        };
        traffic.log.write(now, &line);
        if !counts {
            return;
        }
        let plan = traffic.plan();
        let run = plan.targets.get(target).map_or(0, |entry| entry.incarnation.0);
        let run = IncarnationId::of(target, run);
        // The control thread is gone only when the process ends.
        let _ = self.sightings.send(Sighting::Ended { print, run });
    }

    fn look(&self, now: Time, target: &str) -> Rc<OnceCell<Presence>> {
        let mut looks = self.looks.borrow_mut();
        if looks.len() >= MOST_LOOKS {
            looks.retain(|_, look| now.since(look.began) < SAME_LOOK);
        }
        let new = || Look {
            began: now,
            presence: Rc::default(),
        };
        let look = looks.entry(target.to_owned()).or_insert_with(new);
        if now.since(look.began) >= SAME_LOOK {
            *look = new();
        }
        Rc::clone(&look.presence)
    }
}

/// Notes that a target ended under a call, when that is why a send of it broke off. Nobody waits for it: the call goes on
/// elsewhere, where it may.
pub fn note(call: &Call, chosen: &TargetChoice, end: SendEnd) {
    if end != SendEnd::BrokenOff {
        return;
    }
    // Not the call itself, whose body would be held meanwhile.
    let (traffic, id, print) = (Rc::clone(&call.traffic), call.head.id.clone(), call.print);
    let chosen = chosen.clone();
    spawn_local(async move {
        let ended = traffic.ends.has_ended(&traffic, &chosen.id, &chosen.address);
        if ended.await {
            traffic.ends.ended_under(&traffic, &chosen.id, (&id, print));
        }
    });
}

/// Turns a call away that targets have ended under.
///
/// # Errors
/// When it gets no target for a while. Nothing of it ran unless a send of this very try did.
pub fn check(call: &Call) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    let now = traffic.now();
    let Some(wait) = traffic.shared.refused.load().wait(now, call.print) else {
        return Ok(());
    };
    if traffic.ends.survivors.borrow_mut().contains(now, call.print) {
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
