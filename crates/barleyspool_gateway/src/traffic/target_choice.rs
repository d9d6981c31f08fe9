//! Choosing the target that answers a call, with what owners give out of the rates of targets.

use super::call::Call;
use super::callers::duration;
use super::grants;
use super::placement::{self, Place, Placement};
use crate::event_log::Line;
use crate::failure::CallFailure;
use barleyspool_core::{ChooseResult, Reason, Span, TargetChoice, TargetQuery, Time};
use barleyspool_wire::timer;
use std::time::Duration;

/// How long a call may wait for a target that is full, as a share of its objective.
const FULL_SHARE: f64 = 0.15;
/// How often it looks meanwhile.
const FULL_LOOK: Duration = Duration::from_millis(15);
/// How often it asks the owner of its engines meanwhile: an owner has 60 ms to answer, and with a question at each look a shortage
/// of engines would bring each owner some ten questions for each call.
const OWNER_LOOK: Span = Span::from_millis(60);
/// How much later than it was told a call may be sent. Later ones could meet those that were told a later time: with
/// half a second more in each span a target still gets less than one and a half times its rate and five calls.
const MOST_LATE: Span = Span::from_millis(500);

/// A target, and the placement when its owner chose it.
pub type Found = (TargetChoice, Option<Placement>);

/// A target that was given out to a call before its stages are made.
pub struct Reserved {
    found: Found,
    due: Time,
}

/// What one look for a target came to.
enum Look {
    /// The call goes there.
    At(Box<Found>),
    /// All usable targets have been given all that they take; when there is room again.
    NoRoom(Span),
    /// All that may get work have asked this node for rest; when the first one's is over.
    Resting(Span),
    /// None is usable; when to come back.
    Busy(Span),
}

/// Chooses a target; waits a little when all are full. Engines are chosen by their owner when it answers, and only by it while
/// they take so many calls a second and no more. When that is so of all targets, and none has room within the little while, the call ends at once.
///
/// # Errors
/// When no target can be had.
pub async fn choose(call: &Call) -> Result<Found, CallFailure> {
    let traffic = &call.traffic;
    if let Some(found) = use_reserved(call).await {
        return Ok(found);
    }
    let until = traffic.now() + call.route.objective.scale(FULL_SHARE);
    let mut ask_at = traffic.now();
    loop {
        let now = traffic.now();
        let ask = now >= ask_at;
        if ask {
            ask_at = now + OWNER_LOOK;
        }
        match look(call, until.since(now), ask).await {
            Look::At(found) => {
                let due = traffic.now() + found.0.wait;
                if wait_until(call, &found.0, due).await {
                    return Ok(*found);
                }
            }
            Look::NoRoom(wait) => return Err(no_room(call, wait)),
            Look::Resting(wait) => return Err(at_rest(call, wait)),
            Look::Busy(come_back) if traffic.now() >= until => {
                return Err(no_target(call, Reason::NoTarget, come_back));
            }
            Look::Busy(_) => tokio::time::sleep(FULL_LOOK).await,
        }
    }
}

/// Has a target given out to a call whose stages take `ahead`, when every target of its service takes so many calls a second and no more. A
/// call that would find no room after its stages, or only targets at rest, is refused before they are made.
///
/// # Errors
/// When there will be no room.
pub async fn reserve(call: &Call, ahead: Span) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    let max_wait = ahead + call.route.objective.scale(FULL_SHARE);
    let rest = traffic
        .forwarder
        .borrow()
        .service_cooldown(traffic.now(), &call.need());
    if rest > max_wait {
        return Err(at_rest(call, Span(rest.0.saturating_sub(ahead.0))));
    }
    // A target that is warm by then is not bounded any more.
    let bounded = traffic
        .forwarder
        .borrow()
        .all_rate_limited(traffic.now() + ahead, &call.service);
    if !bounded {
        return Ok(());
    }
    match look(call, max_wait, true).await {
        Look::At(found) => {
            let due = traffic.now() + found.0.wait;
            *call.reserved.borrow_mut() = Some(Reserved { found: *found, due });
            Ok(())
        }
        // The stages of a call that comes back take their time again.
        Look::NoRoom(wait) => Err(no_room(call, Span(wait.0.saturating_sub(ahead.0)))),
        Look::Resting(wait) => Err(at_rest(call, Span(wait.0.saturating_sub(ahead.0)))),
        Look::Busy(_) => Ok(()),
    }
}

/// The target that was given out to a call, when it can still be used.
async fn use_reserved(call: &Call) -> Option<Found> {
    let Reserved { found, due } = call.reserved.borrow_mut().take()?;
    let usable = !call.avoid.borrow().contains(&found.0.target);
    (usable && wait_until(call, &found.0, due).await).then_some(found)
}

/// Looks for a target once; with `ask` the owner of its engines chooses.
async fn look(call: &Call, max_wait: Span, ask: bool) -> Look {
    let traffic = &call.traffic;
    if ask {
        match placement::place(call, max_wait).await {
            Place::At(chosen, placement) => return Look::At(Box::new((chosen, Some(placement)))),
            Place::NoRoom(wait) => return Look::NoRoom(wait),
            Place::Nowhere => {}
        }
    }
    let need = TargetQuery {
        max_wait,
        ..call.need()
    };
    loop {
        let choice = traffic.forwarder.borrow_mut().choose(traffic.now(), &need);
        match choice {
            // Each question that is answered with no takes a target out of the choice.
            ChooseResult::Send(mut chosen) if chosen.rate_limited => {
                if let Some(wait) = grants::ask(traffic, &chosen, max_wait).await {
                    chosen.wait = wait;
                    return Look::At(Box::new((chosen, None)));
                }
            }
            ChooseResult::Send(chosen) => return Look::At(Box::new((chosen, None))),
            ChooseResult::NoCapacity(wait) => return Look::NoRoom(wait),
            ChooseResult::CoolingDown(wait) => return Look::Resting(wait),
            ChooseResult::Busy(come_back) => return Look::Busy(come_back),
        }
    }
}

/// Waits until the call may be sent; false when its target cannot be used then, or when it is too late for that, as after a pause of
/// this process.
async fn wait_until(call: &Call, chosen: &TargetChoice, due: Time) -> bool {
    let traffic = &call.traffic;
    let wait = due.since(traffic.now());
    if wait > Span::ZERO {
        timer::sleep(duration(wait)).await;
    }
    let now = traffic.now();
    let usable = traffic.forwarder.borrow_mut().usable(now, &chosen.id).is_some();
    usable && (!chosen.rate_limited || now.since(due) < MOST_LATE)
}

fn no_room(call: &Call, wait: Span) -> CallFailure {
    let traffic = &call.traffic;
    let line = Line::AtLimit {
        id: &call.head.id,
        service: &call.service,
        wait_ms: wait.as_millis(),
        limited: traffic.forwarder.borrow().limited_count(),
        steady: traffic.plan().reach.steady,
    };
    traffic.log.write(traffic.now(), &line);
    no_target(call, Reason::AtLimit, wait)
}

fn at_rest(call: &Call, wait: Span) -> CallFailure {
    let traffic = &call.traffic;
    let line = Line::AtRest {
        id: &call.head.id,
        service: &call.service,
        wait_ms: wait.as_millis(),
    };
    traffic.log.write(traffic.now(), &line);
    no_target(call, Reason::TargetsRest, wait)
}

/// The end of a call that gets no target now, with when to come back unless an earlier send of it may have run.
fn no_target(call: &Call, reason: Reason, come_back: Span) -> CallFailure {
    let failure = if call.history.get().may_have_run {
        CallFailure::unknown(reason)
    } else {
        CallFailure::not_run(reason).after(come_back)
    };
    failure.at(&call.service, "")
}
