//! Choosing the target that answers a call, with what owners give out of the rates of targets.

use super::call::Call;
use super::callers::duration;
use super::grants;
use super::placement::{self, PlaceResult, Placement};
use crate::event_log::Line;
use crate::failure::CallFailure;
use barleyspool_core::{ChooseResult, Reason, Span, TargetChoice, TargetQuery, Time};
use barleyspool_wire::timer;
use std::time::Duration;

/// How long a call may wait for a target that is full, as a share of its objective.
const FULL_WAIT_SHARE: f64 = 0.15;
/// How often it looks meanwhile.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// How often it asks the owner of its engines meanwhile: an owner has 60 ms to answer, and with a question at each look a shortage
/// of engines would bring each owner some ten questions for each call.
const OWNER_POLL_INTERVAL: Span = Span::from_millis(60);
/// How much later than it was told a call may be sent. Later ones could meet those that were told a later time: with
/// half a second more in each span a target still gets less than one and a half times its rate and five calls.
const MAX_SEND_DELAY: Span = Span::from_millis(500);

/// A target, and the placement when its owner chose it.
pub type Selection = (TargetChoice, Option<Placement>);

/// A target that was given out to a call before its stages are made.
pub struct ReservedTarget {
    selection: Selection,
    due: Time,
}

/// What one look for a target came to.
enum Attempt {
    /// The call goes there.
    Selected(Box<Selection>),
    /// All usable targets have been given all that they take; when there is room again.
    NoCapacity(Span),
    /// All that may get work have asked this node for rest; when the first one's is over.
    CoolingDown(Span),
    /// None is usable; when to come back.
    Busy(Span),
}

/// Chooses a target; waits a little when all are full. Engines are chosen by their owner when it answers, and only by it while
/// they take so many calls a second and no more. When that is so of all targets, and none has room within the little while, the call ends at once.
///
/// # Errors
/// When no target can be had.
pub async fn choose(call: &Call) -> Result<Selection, CallFailure> {
    let traffic = &call.traffic;
    if let Some(selection) = use_reserved(call).await {
        return Ok(selection);
    }
    let until = traffic.now() + call.route.objective.scale(FULL_WAIT_SHARE);
    let mut ask_owner_at = traffic.now();
    loop {
        let now = traffic.now();
        let ask_owner = now >= ask_owner_at;
        if ask_owner {
            ask_owner_at = now + OWNER_POLL_INTERVAL;
        }
        match try_choose(call, until.since(now), ask_owner).await {
            Attempt::Selected(selection) => {
                let due = traffic.now() + selection.0.wait;
                if wait_until(call, &selection.0, due).await {
                    return Ok(*selection);
                }
            }
            Attempt::NoCapacity(wait) => return Err(no_capacity(call, wait)),
            Attempt::CoolingDown(wait) => return Err(cooling_down(call, wait)),
            Attempt::Busy(retry_after) if traffic.now() >= until => {
                return Err(no_target(call, Reason::NoTarget, retry_after));
            }
            Attempt::Busy(_) => tokio::time::sleep(FULL_POLL_INTERVAL).await,
        }
    }
}

/// Has a target given out to a call whose stages take `ahead`, when every target of its service takes so many calls a second and no more. A
/// call that would find no room after its stages, or only targets at rest, is refused before they are made.
///
/// # Errors
/// When there will be no room.
pub async fn reserve(call: &Call, stage_time: Span) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    let max_wait = stage_time + call.route.objective.scale(FULL_WAIT_SHARE);
    let cooldown = traffic
        .forwarder
        .borrow()
        .service_cooldown(traffic.now(), &call.need());
    if cooldown > max_wait {
        return Err(cooling_down(call, Span(cooldown.0.saturating_sub(stage_time.0))));
    }
    // A target that is warm by then is not bounded any more.
    let rate_limited = traffic
        .forwarder
        .borrow()
        .all_rate_limited(traffic.now() + stage_time, &call.service);
    if !rate_limited {
        return Ok(());
    }
    match try_choose(call, max_wait, true).await {
        Attempt::Selected(selection) => {
            let due = traffic.now() + selection.0.wait;
            *call.reserved.borrow_mut() = Some(ReservedTarget {
                selection: *selection,
                due,
            });
            Ok(())
        }
        // The stages of a call that comes back take their time again.
        Attempt::NoCapacity(wait) => Err(no_capacity(call, Span(wait.0.saturating_sub(stage_time.0)))),
        Attempt::CoolingDown(wait) => Err(cooling_down(call, Span(wait.0.saturating_sub(stage_time.0)))),
        Attempt::Busy(_) => Ok(()),
    }
}

/// The target that was given out to a call, when it can still be used.
async fn use_reserved(call: &Call) -> Option<Selection> {
    let ReservedTarget { selection, due } = call.reserved.borrow_mut().take()?;
    let usable = !call.avoid.borrow().contains(&selection.0.target);
    (usable && wait_until(call, &selection.0, due).await).then_some(selection)
}

/// Looks for a target once; with `ask` the owner of its engines chooses.
async fn try_choose(call: &Call, max_wait: Span, ask_owner: bool) -> Attempt {
    let traffic = &call.traffic;
    if ask_owner {
        match placement::place(call, max_wait).await {
            PlaceResult::Placed(chosen, placement) => {
                return Attempt::Selected(Box::new((chosen, Some(placement))));
            }
            PlaceResult::NoCapacity(wait) => return Attempt::NoCapacity(wait),
            PlaceResult::NotPlaced => {}
        }
    }
    let query = TargetQuery {
        max_wait,
        ..call.need()
    };
    loop {
        let choice = traffic.forwarder.borrow_mut().choose(traffic.now(), &query);
        match choice {
            // Each question that is answered with no takes a target out of the choice.
            ChooseResult::Send(mut chosen) if chosen.rate_limited => {
                if let Some(wait) = grants::request_grant(traffic, &chosen, max_wait).await {
                    chosen.wait = wait;
                    return Attempt::Selected(Box::new((chosen, None)));
                }
            }
            ChooseResult::Send(chosen) => return Attempt::Selected(Box::new((chosen, None))),
            ChooseResult::NoCapacity(wait) => return Attempt::NoCapacity(wait),
            ChooseResult::CoolingDown(wait) => return Attempt::CoolingDown(wait),
            ChooseResult::Busy(retry_after) => return Attempt::Busy(retry_after),
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
    usable && (!chosen.rate_limited || now.since(due) < MAX_SEND_DELAY)
}

fn no_capacity(call: &Call, wait: Span) -> CallFailure {
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

fn cooling_down(call: &Call, wait: Span) -> CallFailure {
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
fn no_target(call: &Call, reason: Reason, retry_after: Span) -> CallFailure {
    let failure = if call.history.get().may_have_run {
        CallFailure::unknown(reason)
    } else {
        CallFailure::not_run(reason).after(retry_after)
    };
    failure.at(&call.service, "")
}
