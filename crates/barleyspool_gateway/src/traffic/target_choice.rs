//! Chooses the target that answers a call, within the rates that owners grant.

use super::call::Call;
use super::callers::duration;
use super::grants;
use super::placement::{self, InputLocation, PlaceResult, Placement};
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{ChooseResult, Reason, Span, TargetChoice, TargetQuery, Time};
use barleyspool_wire::timer;
use std::time::Duration;

/// How long a call may wait for a target while all are full, as a share of its objective.
const FULL_WAIT_SHARE: f64 = 0.15;
/// How often a waiting call tries again.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// How often a waiting call asks the owner of its engines: an owner has 60 ms to answer, and with a request
/// at each try a shortage of engines would bring each owner some ten requests for each call.
const OWNER_POLL_INTERVAL: Span = Span::from_millis(60);
/// How much later than granted a call may be sent. A later one could coincide with calls that were granted a
/// later time. With this delay, the calls that a target receives within any span of a second or more were granted
/// within a span that is half a second longer, and are still fewer than one and a half times its rate plus five calls.
const MAX_SEND_DELAY: Span = Span::from_millis(500);

/// A call that reads stage results of this size, in bytes, has its engine chosen before its stages run.
const MIN_RESERVE_BYTES: u64 = 1_000_000;

/// The chosen target, and the placement when the owner chose it.
pub type Selection = (TargetChoice, Option<Placement>);

/// A target that was granted to a call before its stages run.
pub struct ReservedTarget {
    selection: Selection,
    due: Time,
}

impl ReservedTarget {
    /// The id of the target.
    pub fn id(&self) -> &str {
        &self.selection.0.id
    }
}

/// Result of one attempt to choose a target.
enum Attempt {
    /// The call goes to this target.
    Selected(Box<Selection>),
    /// All usable targets have been granted their whole rate; the time until one has capacity again.
    NoCapacity(Span),
    /// All targets that may receive work have requested a cooldown from this node; the time until the first
    /// one ends.
    CoolingDown(Span),
    /// No target is usable; when to retry.
    Busy(Span),
}

/// Chooses a target, and waits for a short time while all are full. The owner of engines chooses among them
/// when it answers, and is the only one to do so while they are rate-limited. When all targets are
/// rate-limited and none has capacity within that time, the call ends at once.
///
/// # Errors
/// When there is no target for the call.
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

/// Reserves a target for a call whose stages take `stage_time`, if all targets of its service are
/// rate-limited. A call that would find no capacity after its stages, or only targets in cooldown, is refused
/// before the stages run.
///
/// # Errors
/// When there will be no capacity.
pub async fn reserve(call: &Call, stage_time: Span) -> Result<(), CallFailure> {
    let traffic = &call.traffic;
    if traffic.reach.is_unreached(&call.service) {
        // The node that sends the call chooses its target.
        return Ok(());
    }
    let max_wait = stage_time + call.route.objective.scale(FULL_WAIT_SHARE);
    let cooldown = traffic
        .forwarder
        .borrow()
        .service_cooldown(traffic.now(), &call.target_query());
    if cooldown > max_wait {
        return Err(cooling_down(call, Span(cooldown.0.saturating_sub(stage_time.0))));
    }
    // A target that has warmed up by then is not rate-limited any more.
    let rate_limited = traffic
        .forwarder
        .borrow()
        .all_rate_limited(traffic.now() + stage_time, &call.service);
    if !rate_limited {
        reserve_near(call, stage_time).await;
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
        // A retried call runs its stages again, which takes the same time.
        Attempt::NoCapacity(wait) => Err(no_capacity(call, Span(wait.0.saturating_sub(stage_time.0)))),
        Attempt::CoolingDown(wait) => Err(cooling_down(call, Span(wait.0.saturating_sub(stage_time.0)))),
        Attempt::Busy(_) => Ok(()),
    }
}

/// Reserves an engine for a call that reads large stage results and has a long prefix, so that the results are computed in
/// the zone of the engine. The owner of the engines knows which of them holds the prefix; a guess of this node was wrong for
/// a quarter of such calls.
async fn reserve_near(call: &Call, stage_time: Span) {
    if call.input_bytes() < MIN_RESERVE_BYTES || !call.target_query().is_prefix_decisive() {
        return;
    }
    let inputs = InputLocation {
        zone: call.home_zone(),
        bytes: 0,
        lead: stage_time,
    };
    if let PlaceResult::Placed(chosen, placement) = placement::place(call, &inputs, Span::ZERO).await {
        *call.reserved.borrow_mut() = Some(ReservedTarget {
            selection: (chosen, Some(placement)),
            due: call.traffic.now(),
        });
    }
}

/// The target that was reserved for a call, if it can still be used.
async fn use_reserved(call: &Call) -> Option<Selection> {
    let ReservedTarget { selection, due } = call.reserved.borrow_mut().take()?;
    let usable = !call.failed_targets.borrow().contains(&selection.0.target);
    (usable && wait_until(call, &selection.0, due).await).then_some(selection)
}

/// Tries once to choose a target; with `ask_owner` the owner of its engines chooses first.
async fn try_choose(call: &Call, max_wait: Span, ask_owner: bool) -> Attempt {
    let traffic = &call.traffic;
    if ask_owner {
        match placement::place(call, &InputLocation::of(call), max_wait).await {
            PlaceResult::Placed(chosen, placement) => {
                return Attempt::Selected(Box::new((chosen, Some(placement))));
            }
            PlaceResult::NoCapacity(wait) => return Attempt::NoCapacity(wait),
            PlaceResult::NotPlaced => {}
        }
    }
    let query = TargetQuery {
        max_wait,
        ..call.target_query()
    };
    loop {
        let choice = traffic.forwarder.borrow_mut().choose(traffic.now(), &query);
        match choice {
            // Each refused request for a grant removes a target from the next choice.
            ChooseResult::Send(mut chosen) if chosen.rate_limited => {
                if let Some(wait) = grants::request_grant(traffic, &chosen, max_wait).await {
                    chosen.wait = wait;
                    if let Some(selection) = with_room(call, chosen).await {
                        return Attempt::Selected(Box::new(selection));
                    }
                }
            }
            ChooseResult::Send(chosen) => {
                if let Some(selection) = with_room(call, chosen).await {
                    return Attempt::Selected(Box::new(selection));
                }
            }
            ChooseResult::NoCapacity(wait) => return Attempt::NoCapacity(wait),
            ChooseResult::CoolingDown(wait) => return Attempt::CoolingDown(wait),
            ChooseResult::Busy(retry_after) => return Attempt::Busy(retry_after),
        }
    }
}

/// The selection of a target that has room for the call. If it is brittle, its owner reserves the room.
async fn with_room(call: &Call, chosen: TargetChoice) -> Option<Selection> {
    if !chosen.brittle {
        return Some((chosen, None));
    }
    let placement = grants::request_slot(call, &chosen).await?;
    Some((chosen, Some(placement)))
}

/// Waits until the call may be sent. Returns `false` when its target is not usable then, or when it is too
/// late to send it, as after a pause of this process.
async fn wait_until(call: &Call, chosen: &TargetChoice, due: Time) -> bool {
    let traffic = &call.traffic;
    let wait = due.since(traffic.now());
    if wait > Span::ZERO {
        timer::sleep(duration(wait)).await;
    }
    let now = traffic.now();
    let mut forwarder = traffic.forwarder.borrow_mut();
    let usable = forwarder.usable(now, &call.target_query(), &chosen.id).is_some();
    usable && (!chosen.rate_limited || now.since(due) < MAX_SEND_DELAY)
}

fn no_capacity(call: &Call, wait: Span) -> CallFailure {
    let traffic = &call.traffic;
    let line = LogEvent::TargetsAtLimit {
        id: &call.head.id,
        service: &call.service,
        wait_ms: wait.as_millis(),
        limited: traffic.forwarder.borrow().limited_count(),
        steady: traffic.plan().reachability.steady,
    };
    traffic.log.write(traffic.now(), &line);
    no_target(call, Reason::TargetsAtLimit, wait)
}

fn cooling_down(call: &Call, wait: Span) -> CallFailure {
    let traffic = &call.traffic;
    let line = LogEvent::TargetsCoolingDown {
        id: &call.head.id,
        service: &call.service,
        wait_ms: wait.as_millis(),
    };
    traffic.log.write(traffic.now(), &line);
    no_target(call, Reason::TargetsCoolingDown, wait)
}

/// The failure of a call without a target. It names when to retry, unless an earlier send of the call may
/// have run.
fn no_target(call: &Call, reason: Reason, retry_after: Span) -> CallFailure {
    let failure = if call.history.get().may_have_run {
        CallFailure::unknown(reason)
    } else {
        CallFailure::not_run(reason).with_retry_after(retry_after)
    };
    failure.at(&call.service, "")
}
