//! Keeps streams at the software version that began them. See docs/DESIGN.md, "Streams and software versions".

use super::Traffic;
use super::call::Call;
use super::read_call::{self, AcceptedHeader};
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use crate::shared::{StreamQuery, TargetObservation};
use barleyspool_core::{
    ForwardPlan, IncarnationId, Reason, Route, RouteKind, STREAM_RETENTION, Span, StreamId, StreamRecord,
    TargetChoice, TargetEntry, Time, VersionId,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// The retry delay of a call that takes up a stream whose version no node knows. The nodes that did not answer may do so by
/// then.
const UNKNOWN_RETRY_AFTER: Span = Span::from_millis(500);
/// The retry delay while no target of the version accepts work, which is about as long as a target takes to start.
const GONE_RETRY_AFTER: Span = Span::from_secs(1);
/// How often a stream that is still relayed is reported again, so that other nodes don't forget it.
const REPORT_INTERVAL: Span = Span(STREAM_RETENTION.0 / 3);
/// How long after its restart a target may still be listed with the version that it had before. The version of a stream that
/// began within this time before the list showed the restart cannot be known.
const RESTART_REPORT_DELAY: Span = Span::from_secs(2);

/// Where a stream that a caller takes up has to go on.
#[derive(Clone, Debug)]
pub struct StreamOrigin {
    /// The service that began it.
    pub service: String,
    /// The software version.
    pub version: VersionId,
}

/// Where and when the first event of a stream came from.
#[derive(Clone, Debug)]
struct Beginning {
    at: Time,
    target: String,
    incarnation: IncarnationId,
}

impl Beginning {
    /// Whether the target has turned out to have restarted about when the stream began.
    fn is_doubtful(&self, plan: &ForwardPlan) -> bool {
        let Some(entry) = plan.targets.get(&self.target) else {
            return false;
        };
        let restarted_at = entry.times.restarted_at;
        entry.incarnation_id() != self.incarnation
            && restarted_at > self.at
            && restarted_at.since(self.at) < RESTART_REPORT_DELAY
    }
}

/// Reports the streams that this node relays, and asks for those of others.
#[derive(Debug)]
pub struct StreamOrigins {
    observations: mpsc::UnboundedSender<TargetObservation>,
    queries: mpsc::UnboundedSender<StreamQuery>,
    /// Streams whose target may turn out to have restarted before they began, in the order in which they did.
    recent: RefCell<VecDeque<(StreamId, Beginning)>>,
}

impl StreamOrigins {
    /// Creates a reporter that sends to the control thread.
    pub fn new(
        observations: mpsc::UnboundedSender<TargetObservation>,
        queries: mpsc::UnboundedSender<StreamQuery>,
    ) -> Self {
        Self {
            observations,
            queries,
            recent: RefCell::default(),
        }
    }

    fn report(&self, stream: StreamId, version: Option<VersionId>) {
        let record = StreamRecord { stream, version };
        // The receiver, the control thread, is gone only when the process ends.
        let _ = self.observations.send(TargetObservation::Stream(record));
    }

    /// Withdraws the versions of streams whose targets have turned out to have restarted about when they began.
    pub fn apply_plan(&self, now: Time, plan: &ForwardPlan) {
        let mut recent = self.recent.borrow_mut();
        while let Some((_, first)) = recent.front()
            && now.since(first.at) >= RESTART_REPORT_DELAY
        {
            recent.pop_front();
        }
        recent.retain(|(stream, beginning)| {
            let is_doubtful = beginning.is_doubtful(plan);
            if is_doubtful {
                self.report(*stream, None);
            }
            !is_doubtful
        });
    }

    async fn find(&self, stream: StreamId) -> Option<VersionId> {
        let (reply, found) = oneshot::channel();
        self.queries.send(StreamQuery::Version { stream, reply }).ok()?;
        found.await.ok().flatten()
    }

    async fn is_list_current(&self, call: StreamId) -> bool {
        let (reply, current) = oneshot::channel();
        let sent = self.queries.send(StreamQuery::ListCheck { call, reply });
        sent.is_ok() && current.await.unwrap_or(false)
    }
}

/// The version of a stream that this node relays, and when it was last reported to other nodes.
#[derive(Debug, Default)]
pub struct StreamVersion {
    version: Cell<Option<VersionId>>,
    beginning: RefCell<Option<Beginning>>,
    reported_at: Cell<Time>,
}

impl StreamVersion {
    /// The version at which the stream has to go on; `None` while none of its events has reached the caller, or if the
    /// version is unknown.
    pub fn get(&self) -> Option<VersionId> {
        self.version.get()
    }

    /// Binds the stream to a version that an earlier call has begun.
    pub fn bind(&self, version: VersionId) {
        self.version.set(Some(version));
    }

    /// Records that an event of a target is about to reach the caller, and reports the stream to other nodes now and then.
    pub fn record_event(&self, call: &Call, chosen: &TargetChoice) {
        let traffic = &call.traffic;
        let now = traffic.now();
        if self.beginning.borrow().is_none() {
            let beginning = Beginning {
                at: now,
                target: chosen.id.clone(),
                incarnation: incarnation(traffic, &chosen.id),
            };
            self.version.set(self.version.get().or(chosen.version));
            if call.head.resume_after.is_none() {
                note_recent(call, &beginning);
            }
            *self.beginning.borrow_mut() = Some(beginning);
        } else if now.since(self.reported_at.get()) < REPORT_INTERVAL {
            return;
        }
        self.reported_at.set(now);
        let Some(version) = self.version.get() else { return };
        let ids = [call.head.stream_id.as_deref(), Some(call.head.id.as_str())];
        for id in ids.into_iter().flatten() {
            traffic.streams.report(StreamId::of(id), Some(version));
        }
    }

    /// Whether the stream may go on: its version is known, or none of its events has reached the caller.
    pub fn may_resume(&self, plan: &ForwardPlan) -> bool {
        match &*self.beginning.borrow() {
            Some(beginning) => self.version.get().is_some() && !beginning.is_doubtful(plan),
            None => true,
        }
    }
}

fn incarnation(traffic: &Traffic, target: &str) -> IncarnationId {
    let plan = traffic.plan();
    let entry = plan.targets.get(target);
    entry.map(TargetEntry::incarnation_id).unwrap_or_default()
}

/// Remembers a stream of a target whose entry names an incarnation. Other targets have a new id after each restart.
fn note_recent(call: &Call, beginning: &Beginning) {
    let traffic = &call.traffic;
    let plan = traffic.plan();
    let entry = plan.targets.get(&beginning.target);
    if entry.is_some_and(|entry| entry.incarnation.0 != 0) {
        let stream = StreamId::of(&call.head.id);
        let mut recent = traffic.streams.recent.borrow_mut();
        recent.push_back((stream, beginning.clone()));
    }
}

/// Finds where the stream that a call takes up has to go on; `None` if the call takes up no stream.
///
/// # Errors
/// When no node knows the version that began the stream, or no target of it accepts work.
pub async fn find(traffic: &Traffic, accepted: &AcceptedHeader) -> Result<Option<StreamOrigin>, CallFailure> {
    let (head, route) = (&accepted.head, &accepted.route);
    if head.resume_after.is_none() || route.kind != RouteKind::Streaming {
        return Ok(None);
    }
    let version = match &head.stream_id {
        Some(id) => traffic.streams.find(StreamId::of(id)).await,
        None => only_version(traffic, accepted).await,
    };
    let origin = version.and_then(|version| find_service(&traffic.plan(), route, version));
    let line = LogEvent::StreamTakenUp {
        id: &head.id,
        stream: head.stream_id.as_deref().unwrap_or_default(),
        known: version.is_some(),
        service: origin.as_ref().map_or("", |origin| &origin.service),
    };
    traffic.log.write(traffic.now(), &line);
    match (version, origin) {
        (_, Some(origin)) => Ok(Some(origin)),
        (None, None) => {
            Err(CallFailure::not_run(Reason::VersionUnknown).with_retry_after(UNKNOWN_RETRY_AFTER))
        }
        (Some(_), None) => Err(CallFailure::not_run(Reason::VersionGone).with_retry_after(GONE_RETRY_AFTER)),
    }
}

/// The version of a stream whose caller does not name it: the only one that the service has had, if this node knows all of
/// them. Another node may have begun the stream at a target that this node has not heard of, so its list must have been current
/// after the call arrived.
async fn only_version(traffic: &Traffic, accepted: &AcceptedHeader) -> Option<VersionId> {
    let [share] = accepted.route.shares.as_slice() else {
        return None;
    };
    if read_call::may_be_behind(traffic, &accepted.catalog) {
        return None;
    }
    let only = || {
        let forwarder = traffic.forwarder.borrow();
        forwarder.only_version(traffic.now(), &share.service)
    };
    // The other nodes are asked only where their answers matter.
    only()?;
    if !traffic
        .streams
        .is_list_current(StreamId::of(&accepted.head.id))
        .await
    {
        return None;
    }
    // The control thread may have a newer list than this thread has applied.
    let latest = traffic.shared.plan.load_full();
    let is_applied = Arc::ptr_eq(&latest.targets, &traffic.plan().targets);
    is_applied.then(only).flatten()
}

/// The service of a route with targets of this version that accept work.
fn find_service(plan: &ForwardPlan, route: &Route, version: VersionId) -> Option<StreamOrigin> {
    let mut entries = plan.targets.values();
    let entry = entries.find(|entry| {
        let is_share = || route.shares.iter().any(|share| share.service == entry.service);
        entry.accepts_work() && is_share() && entry.version_id() == version
    })?;
    Some(StreamOrigin {
        service: entry.service.clone(),
        version,
    })
}
