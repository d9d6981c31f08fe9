//! Reads the header and the body of a call, and checks whether the node may accept it.

use super::Traffic;
use super::call_bounds::{Interruption, bounded};
use super::stopping;
use crate::failure::CallFailure;
use barleyspool_core::{CallHead, Catalog, Reason, Route, RouteKind, Span, Time};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Version;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The retry delay of a call that a node without a configuration refused.
const NO_CONFIGURATION_RETRY_AFTER: Span = Span::from_millis(300);
/// The retry delay of a call that a node without the latest configuration refused: most nodes have it by then.
const BEHIND_RETRY_AFTER: Span = Span::from_millis(300);
/// How long neither the source nor a node that reads it may have answered for the configuration to count as the latest one:
/// longer than a node takes to read the source itself when it receives no announcements.
const MAX_SOURCE_SILENCE: Span = Span::from_millis(3500);
/// The retry delay of a call that a node refused because it holds too many bytes of bodies.
const MEMORY_FULL_RETRY_AFTER: Span = Span::from_millis(500);
/// The maximum time that a call is held when neither the call nor its route sets one.
pub const DEFAULT_MAX_WAIT: Span = Span::from_secs(60);

/// A call whose header has been checked; its body may not have been read yet.
pub struct AcceptedHeader {
    /// The contents of its header.
    pub head: CallHead,
    /// Its route.
    pub route: Route,
    /// The organisation that its key belongs to.
    pub organisation: String,
    /// The rank of its priority class; 0 is the most important.
    pub rank: u8,
    /// The configuration in force when its header was read.
    pub catalog: Arc<Catalog>,
}

/// Looks up the route and the organisation of a call, and refuses calls that are invalid or that the node
/// cannot accept now.
pub fn check_header(traffic: &Traffic, parts: &Parts) -> Result<AcceptedHeader, CallFailure> {
    let head = (traffic.adapters.caller.read_call)(parts).map_err(|cause| {
        let failure = CallFailure::not_run(Reason::InvalidCall);
        failure.at(&cause, "")
    })?;
    if stopping::refuses_new_calls(traffic) {
        return Err(stopping::refusal());
    }
    let plan = traffic.plan();
    let Some(catalog) = plan.catalog.clone() else {
        return Err(
            CallFailure::not_run(Reason::NoConfiguration).with_retry_after(NO_CONFIGURATION_RETRY_AFTER)
        );
    };
    let Some(route) = catalog.route(&head.host, &head.path).cloned() else {
        return Err(unknown(traffic, &catalog, Reason::UnknownRoute));
    };
    let organisation = head.key.as_deref().and_then(|key| catalog.organisation(key));
    if organisation.is_none() && catalog.requires_key() && !route.public {
        return Err(unknown(traffic, &catalog, Reason::UnknownKey));
    }
    if route.kind == RouteKind::Streaming && parts.version < Version::HTTP_11 {
        // Without chunks, a stream that is broken off ends like a complete one.
        let failure = CallFailure::not_run(Reason::InvalidCall);
        return Err(failure.at("streams need HTTP/1.1", ""));
    }
    // From mebibytes to bytes.
    let limit = traffic.shared.settings.body_memory_mb << 20;
    if traffic.held_bytes.get() > limit {
        return Err(CallFailure::not_run(Reason::MemoryFull).with_retry_after(MEMORY_FULL_RETRY_AFTER));
    }
    Ok(AcceptedHeader {
        organisation: organisation
            .map(|organisation| organisation.name.clone())
            .unwrap_or_default(),
        rank: catalog.rank(organisation, &route),
        head,
        route,
        catalog,
    })
}

/// The refusal of a call whose route or key is not in the configuration. Callers take it as final, so a node that may not
/// have the latest configuration only says that the call has not run.
fn unknown(traffic: &Traffic, catalog: &Catalog, reason: Reason) -> CallFailure {
    if may_be_behind(traffic, catalog) {
        return CallFailure::not_run(Reason::ConfigurationBehind).with_retry_after(BEHIND_RETRY_AFTER);
    }
    CallFailure::not_run(reason)
}

/// Whether there may be a newer configuration, or newer targets, than those of this node.
pub fn may_be_behind(traffic: &Traffic, catalog: &Catalog) -> bool {
    let shared = &traffic.shared;
    let is_behind = shared.reported_version.load(Ordering::Relaxed) > catalog.version().0;
    let answered = Time(shared.source_answered_at.load(Ordering::Relaxed));
    is_behind || traffic.now().since(answered) > MAX_SOURCE_SILENCE
}

/// Reads the body of a call, within the time and size limits of the configuration.
pub async fn read_body(
    traffic: &Traffic,
    accepted: Option<&AcceptedHeader>,
    arrived: Time,
    body: Incoming,
) -> Result<Bytes, CallFailure> {
    let limits = accepted
        .map(|accepted| accepted.catalog.document.limits)
        .unwrap_or_default();
    let time_limit = accepted.map_or(limits.idle_timeout, |call| max_wait(&call.head, &call.route));
    let read = Limited::new(body, limits.max_body_bytes).collect();
    match bounded(traffic, arrived + time_limit, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(CallFailure::not_run(Reason::PayloadTooLarge))
        }
        Ok(Err(_)) => Err(CallFailure::not_run(Reason::CallerLeft)),
        Err(interruption) => Err(not_begun(interruption)),
    }
}

/// The failure of a call that was interrupted before any work was done for it.
pub fn not_begun(interruption: Interruption) -> CallFailure {
    match interruption {
        Interruption::DeadlinePassed => CallFailure::not_run(Reason::DeadlineMissed),
        Interruption::Stopped => stopping::refusal(),
    }
}

/// The maximum time that a call is held: the time limit that its caller states, but at most the timeout of the
/// route, or [`DEFAULT_MAX_WAIT`] when the route sets none.
pub fn max_wait(head: &CallHead, route: &Route) -> Span {
    let route = if route.timeout == Span::ZERO {
        DEFAULT_MAX_WAIT
    } else {
        route.timeout
    };
    head.max_wait.map_or(route, |max_wait| max_wait.min(route))
}
