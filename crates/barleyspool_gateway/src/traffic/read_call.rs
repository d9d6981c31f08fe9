//! Reading a call: what it is, and whether it may be taken at all.

use super::Traffic;
use super::callers::duration;
use super::stopping;
use crate::failure::CallFailure;
use barleyspool_core::{CallHead, Catalog, Reason, Route, Span, Time};
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use std::sync::Arc;

/// When to come back to a node that has no configuration yet.
const CATCH_UP_WAIT: Span = Span::from_millis(300);
/// When to come back to a node that holds too many bodies.
const MEMORY_WAIT: Span = Span::from_millis(500);
/// The longest time that a call is held when neither it nor its route says.
pub const LONGEST: Span = Span::from_secs(60);

/// What a call is, before its body has been read.
pub struct Taken {
    /// What it says of itself.
    pub head: CallHead,
    /// Its route.
    pub route: Route,
    /// The organisation that its key belongs to.
    pub organisation: String,
    /// Its place among the priorities; 0 is the most important.
    pub rank: u8,
    /// The configuration under which it is taken.
    pub catalog: Arc<Catalog>,
}

/// Looks up route and key, and refuses what can never be right.
pub fn take(traffic: &Traffic, parts: &Parts) -> Result<Taken, CallFailure> {
    let head = (traffic.edges.caller.read)(parts).map_err(|cause| {
        let failure = CallFailure::not_run(Reason::InvalidCall);
        failure.at(&cause, "")
    })?;
    if stopping::is_too_late(traffic) {
        return Err(stopping::refusal());
    }
    let plan = traffic.plan();
    let Some(catalog) = plan.catalog.clone() else {
        return Err(CallFailure::not_run(Reason::NoConfiguration).after(CATCH_UP_WAIT));
    };
    let Some(route) = catalog.route(&head.host, &head.path).cloned() else {
        return Err(CallFailure::not_run(Reason::UnknownRoute));
    };
    let organisation = head.key.as_deref().and_then(|key| catalog.organisation(key));
    if organisation.is_none() && catalog.requires_key() && !route.public {
        return Err(CallFailure::not_run(Reason::UnknownKey));
    }
    let limit = traffic.shared.settings.body_memory_mb << 20;
    if traffic.held_bytes.get() > limit {
        return Err(CallFailure::not_run(Reason::MemoryFull).after(MEMORY_WAIT));
    }
    Ok(Taken {
        organisation: organisation
            .map(|organisation| organisation.name.clone())
            .unwrap_or_default(),
        rank: catalog.rank(organisation, &route),
        head,
        route,
        catalog,
    })
}

/// Reads the body of a call, within the time and the size that the configuration allows.
pub async fn read_body(
    traffic: &Traffic,
    taken: Option<&Taken>,
    arrived: Time,
    body: Incoming,
) -> Result<Bytes, CallFailure> {
    let limits = taken
        .map(|taken| taken.catalog.document.limits)
        .unwrap_or_default();
    let longest = taken.map_or(limits.idle_timeout, |taken| max_wait(&taken.head, &taken.route));
    let left = (arrived + longest).since(traffic.now());
    let read = Limited::new(body, limits.max_body_bytes).collect();
    let read = tokio::select! {
        biased;
        read = read => read,
        () = timer::sleep(duration(left)) => return Err(CallFailure::not_run(Reason::DeadlineMissed)),
        () = stopping::wait_for_abort(traffic) => return Err(stopping::refusal()),
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(CallFailure::not_run(Reason::PayloadTooLarge)),
        Err(_) => Err(CallFailure::not_run(Reason::CallerLeft)),
    }
}

/// How long a call is held at the most.
pub fn max_wait(head: &CallHead, route: &Route) -> Span {
    let route = if route.timeout == Span::ZERO {
        LONGEST
    } else {
        route.timeout
    };
    head.max_wait.map_or(route, |max_wait| max_wait.min(route))
}
