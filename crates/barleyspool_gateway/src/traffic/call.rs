//! Handling of one call, from its header to its answer.

use super::Traffic;
use super::admission::{self, PlannedPieces};
use super::answer_body::{AnswerBody, BufferedBody};
use super::call_bounds::{Interruption, bounded};
use super::call_guard::CallGuard;
use super::final_send;
use super::held_bytes::HeldBytes;
use super::placement;
use super::read_call::{AcceptedHeader, check_header, max_wait, not_begun, read_body};
use super::stage_results::StageResults;
use super::stages;
use super::starting;
use super::stopping;
use super::stream_origins::{self, StreamOrigin, StreamVersion};
use super::target_choice::{self, ReservedTarget};
use super::target_crashes;
use crate::failure::CallFailure;
use barleyspool_core::{
    CallFingerprint, CallHead, Catalog, Counter, PartId, Reason, Route, SendHistory, Span, StageProgress,
    Suspect, TargetKey, TargetQuery, Time, TrafficShare, rendezvous,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, Uri};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// A call that passed the checks of its header and whose body has been read.
pub struct Call {
    /// The state that all tasks of this traffic thread share.
    pub traffic: Rc<Traffic>,
    /// The contents of its header.
    pub head: CallHead,
    /// Its route, from the configuration in force when its header was read.
    pub route: Route,
    /// The service that answers it.
    pub service: String,
    /// The memory of one engine of that service, in tokens; `None` when no engines serve it.
    pub engine_memory: Option<u64>,
    /// Whether these engines can copy the cached shared prefix of a prompt from each other.
    pub can_copy_prefixes: bool,
    /// The organisation that its key belongs to.
    pub organisation: String,
    /// The rank of its priority class in the configuration; 0 is the most important.
    pub rank: u8,
    /// When its header arrived.
    pub arrived: Time,
    /// When the node stops working on it and fails it.
    pub deadline: Time,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The hash that all tries of this call share.
    pub fingerprint: CallFingerprint,
    /// The parts of its prompt that other calls may share.
    pub parts: Vec<PartId>,
    /// Counts the bytes of its body as held memory until the call is dropped.
    #[allow(dead_code, reason = "kept for its drop")]
    held: HeldBytes,
    /// The software version at which its stream goes on.
    pub stream_version: StreamVersion,
    /// The sends to targets so far and their outcomes.
    pub history: Cell<SendHistory>,
    /// Whether a send is in progress of which some bytes may have been written.
    pub sending: Cell<bool>,
    /// A target that was reserved for it before its stages ran.
    pub reserved: RefCell<Option<ReservedTarget>>,
    /// How many placement requests were sent to owners for it.
    placements: Cell<u32>,
    /// Targets at which it failed; the choice of its next target avoids them.
    pub failed_targets: RefCell<Vec<TargetKey>>,
    /// Whether it is sent for another node, which has read it from its caller.
    pub for_peer: bool,
    /// Peer addresses of nodes that refused to send it.
    pub failed_peers: RefCell<Vec<String>>,
    /// Why the last of these nodes refused, and when the caller should retry.
    pub peer_refusal: Cell<Option<(Reason, Span)>>,
    /// The zone in which its stages start; see [`Call::home_zone`].
    pub home_zone: OnceCell<String>,
    /// The zone that holds its inputs; empty until its stages are done.
    pub input_zone: RefCell<String>,
    /// The configuration in force when its header was read.
    pub catalog: Arc<Catalog>,
    /// The pieces that it has yet to submit to pools; `None` before it is admitted.
    pub planned: RefCell<Option<PlannedPieces>>,
    /// The forecast duration of its stages, before the correction by the stage times of earlier calls.
    pub stage_forecast: Cell<Span>,
}

/// The id of the call that an answer belongs to; a response extension that the connection reads.
#[derive(Clone)]
pub struct CallId(pub String);

/// Serves one call of a caller.
pub async fn serve(traffic: Rc<Traffic>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = traffic.now();
    traffic.count(Counter::Arrived);
    let (parts, body) = request.into_parts();
    let mut accepted = check_header(&traffic, &parts);
    // The body is read in any case: closing a connection with unread bytes resets it, and the caller
    // would not receive the refusal.
    let read = read_body(&traffic, accepted.as_ref().ok(), arrived, body).await;
    if !traffic.plan().is_complete() {
        starting::wait_for_complete_plan(&traffic, &parts, arrived).await;
        accepted = check_header(&traffic, &parts);
    }
    let (id, route, rank) = match &accepted {
        Ok(accepted) => (
            accepted.head.id.as_str(),
            accepted.route.name.as_str(),
            accepted.rank,
        ),
        Err(_) => ("", "", 0),
    };
    let guard = Rc::new(CallGuard::new(&traffic, id, route, rank, arrived));
    let (accepted, body) = match (accepted, read) {
        (Ok(accepted), Ok(body)) => (accepted, body),
        (Err(failure), _) | (_, Err(failure)) => return fail(&traffic, guard, &failure),
    };
    let deadline = arrived + max_wait(&accepted.head, &accepted.route);
    let origin = match bounded(&traffic, deadline, stream_origins::find(&traffic, &accepted)).await {
        Ok(Ok(origin)) => origin,
        Ok(Err(failure)) => return fail(&traffic, guard, &failure),
        Err(interruption) => return fail(&traffic, guard, &not_begun(interruption)),
    };
    let call = build(&traffic, accepted, parts, body, (arrived, origin));
    let id = CallId(call.head.id.clone());
    let mut answer = run(call, guard).await;
    answer.extensions_mut().insert(id);
    answer
}

/// Builds the call with this header and body. `origin` is where the stream that it takes up has to go on.
pub fn build(
    traffic: &Rc<Traffic>,
    accepted: AcceptedHeader,
    parts: Parts,
    body: Bytes,
    (arrived, origin): (Time, Option<StreamOrigin>),
) -> Call {
    let stream_version = StreamVersion::default();
    let service = match origin {
        Some(origin) => {
            stream_version.bind(origin.version);
            origin.service
        }
        None => pick_share(&accepted.route),
    };
    let engine = accepted
        .catalog
        .service(&service)
        .and_then(|service| service.engine.as_ref());
    Call {
        traffic: Rc::clone(traffic),
        engine_memory: engine.map(|engine| engine.memory_tokens),
        can_copy_prefixes: engine.is_some_and(|engine| engine.copies),
        parts: target_crashes::shared_parts(&service, &accepted.head),
        service,
        deadline: stopping::bound_deadline(traffic, arrived + max_wait(&accepted.head, &accepted.route)),
        fingerprint: call_fingerprint(&accepted, &parts, &body),
        head: accepted.head,
        route: accepted.route,
        organisation: accepted.organisation,
        rank: accepted.rank,
        arrived,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        held: HeldBytes::new(traffic, body.len()),
        body,
        stream_version,
        history: Cell::default(),
        sending: Cell::new(false),
        reserved: RefCell::default(),
        placements: Cell::new(0),
        failed_targets: RefCell::default(),
        for_peer: false,
        failed_peers: RefCell::default(),
        peer_refusal: Cell::default(),
        home_zone: OnceCell::new(),
        input_zone: RefCell::default(),
        catalog: accepted.catalog,
        planned: RefCell::default(),
        stage_forecast: Cell::new(Span::ZERO),
    }
}

/// The fingerprint of a call: a hash of its method, host, path, organisation and body, equal for all tries.
fn call_fingerprint(accepted: &AcceptedHeader, parts: &Parts, body: &[u8]) -> CallFingerprint {
    let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    CallFingerprint::of(&[
        parts.method.as_str().as_bytes(),
        accepted.head.host.as_bytes(),
        path.as_bytes(),
        accepted.organisation.as_bytes(),
        body,
    ])
}

/// Picks the service of a call at random by the weights of its route.
fn pick_share(route: &Route) -> String {
    let weight = |share: &TrafficShare| u64::from(share.weight);
    let all: u64 = route.shares.iter().map(weight).sum();
    let mut point = rand::random_range(0..all.max(1));
    for share in &route.shares {
        if point < weight(share) {
            return share.service.clone();
        }
        point -= weight(share);
    }
    route
        .shares
        .first()
        .map(|share| share.service.clone())
        .unwrap_or_default()
}

/// Runs a call until it is answered, its deadline passes or the stopping node aborts it.
async fn run(call: Call, guard: Rc<CallGuard>) -> Response<AnswerBody> {
    let call = Rc::new(call);
    let traffic = Rc::clone(&call.traffic);
    if let Err(failure) = admission::admit(&call) {
        return fail(&traffic, guard, &failure);
    }
    let planned = PlannedPieces::new(&call);
    *call.planned.borrow_mut() = Some(planned);
    traffic
        .forwarder
        .borrow_mut()
        .count_request(traffic.now(), &call.service);
    let work = answer(Rc::clone(&call), Rc::clone(&guard));
    let answered = match bounded(&traffic, call.deadline, work).await {
        Ok(answered) => answered,
        Err(Interruption::DeadlinePassed) => Err(timed_out(&call)),
        Err(Interruption::Stopped) => Err(aborted(&call)),
    };
    match answered {
        Ok(response) => response,
        Err(failure) => fail(&traffic, guard, &failure.after_sends(call.may_have_run())),
    }
}

/// The failure of a call whose deadline has passed.
fn timed_out(call: &Call) -> CallFailure {
    if call.may_have_run() {
        CallFailure::unknown(Reason::RouteTimeout)
    } else {
        CallFailure::not_run(Reason::DeadlineMissed)
    }
}

/// The failure of a call that is still in progress when a stopping node aborts its calls.
fn aborted(call: &Call) -> CallFailure {
    if call.may_have_run() {
        CallFailure::unknown(Reason::Leaving)
    } else {
        stopping::refusal()
    }
}

async fn answer(call: Rc<Call>, guard: Rc<CallGuard>) -> Result<Response<AnswerBody>, CallFailure> {
    let mut results = StageResults::new(&call.traffic);
    let mut progress = StageProgress::new(&call.route.stages, &call.head.pieces);
    if !call.route.stages.is_empty() {
        target_choice::reserve(&call, call.stage_forecast.get()).await?;
    }
    loop {
        stages::run(&call, &mut progress, &mut results).await?;
        admission::record_stage_time(&call);
        match final_send::answer(&call, &guard, &progress, results).await? {
            final_send::Outcome::Answered(response) => return Ok(response),
            final_send::Outcome::InputsGone(kept) => {
                results = kept;
                if !progress.recompute(None) {
                    return Err(CallFailure::not_run(Reason::StepFailed).at(&call.service, ""));
                }
            }
        }
    }
}

impl Call {
    /// Whether a target runs the call or may have run it.
    pub fn may_have_run(&self) -> bool {
        self.sending.get() || self.history.get().may_have_run
    }

    /// What a target that crashes under it may have crashed of.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        target_crashes::suspects(self.fingerprint, &self.parts)
    }

    /// The number of its next placement. Each placement has its own number, since the message that one has
    /// ended may arrive at the owner after the next request.
    pub fn next_placement(&self) -> u32 {
        let number = self.placements.get();
        self.placements.set(number + 1);
        number
    }

    /// The requirements that its target must meet.
    pub fn target_query(&self) -> TargetQuery {
        let affinity = self.route.affinity;
        TargetQuery {
            service: self.service.clone(),
            route: self.route.name.clone(),
            engine_memory: self.engine_memory,
            prefix: if affinity {
                self.head.shared_prefix_hash()
            } else {
                0
            },
            prefix_tokens: self.head.shared_tokens(),
            prompt_tokens: self.head.tokens.0,
            zone: self.input_zone.borrow().clone(),
            input_bytes: self.input_bytes(),
            avoid: self.failed_targets.borrow().clone(),
            version: self.stream_version.get(),
            can_copy_prefixes: self.can_copy_prefixes,
            // The wait for capacity of a rate-limited target, not the time limit of the caller.
            max_wait: Span::ZERO,
            lead: Span::ZERO,
            placing: None,
            for_other_node: false,
        }
    }

    /// The zone in which it will most likely be answered; its stage results should be held there.
    pub fn zone(&self) -> String {
        if let Some(zone) = self.reserved_zone() {
            return zone;
        }
        let mut query = self.target_query();
        if query.engine_memory.is_some() {
            query.placing = Some(placement::engine_shard(self, &query));
        }
        let mut forwarder = self.traffic.forwarder.borrow_mut();
        let likely = forwarder.likely_zone(self.traffic.now(), &query);
        likely.unwrap_or_else(|| self.traffic.shared.settings.zone.clone())
    }

    /// The zone of the target that was reserved for it, if there is one.
    fn reserved_zone(&self) -> Option<String> {
        let reserved = self.reserved.borrow();
        let plan = self.traffic.plan();
        let target = plan.targets.get(reserved.as_ref()?.id())?;
        Some(target.zone.clone())
    }

    /// The zone in which its stages start, and in which they stay where that costs nothing. It is a zone of its
    /// first pool, picked with a probability proportional to the number of targets there.
    pub fn home_zone(&self) -> String {
        let pick_home = || {
            let plan = self.traffic.plan();
            let first = self.route.stages.first();
            let shards = first.and_then(|first| plan.pool_shards(&first.service));
            let key = rendezvous::text_key(&self.head.id);
            shards.map_or(String::new(), |shards| {
                shards.zone(shards.pick(key, "", 0.0)).to_owned()
            })
        };
        self.home_zone.get_or_init(pick_home).clone()
    }

    /// The size of the stage results that the call itself reads, in bytes.
    pub fn input_bytes(&self) -> u64 {
        let stages = &self.route.stages;
        let is_last = |stage: usize| !stages.iter().any(|other| other.needs.contains(&stage));
        let last = (0..stages.len()).filter(|stage| is_last(*stage));
        last.map(|stage| self.result_bytes(stage)).sum()
    }

    /// How long a target that runs it at once needs to fetch its inputs; `None` if that is unknown.
    pub fn fetch_time(&self) -> Option<Span> {
        let bytes = self.input_bytes();
        let pools = self.route.stages.iter().map(|spec| {
            let service = self.catalog.service(&spec.service)?;
            service.pool.as_ref()?.fetch_time(bytes)
        });
        pools.collect::<Option<Vec<Span>>>()?.into_iter().max()
    }

    /// Records the zone that holds its inputs.
    pub fn note_inputs(&self, handles: &[String]) {
        if let Some(zone) = self.zone_of(handles) {
            *self.input_zone.borrow_mut() = zone;
        }
    }

    /// The zone that holds its inputs, or this node's own while that is unknown.
    pub fn zone_of_inputs(&self) -> String {
        let zone = self.input_zone.borrow();
        if zone.is_empty() {
            self.traffic.shared.settings.zone.clone()
        } else {
            zone.clone()
        }
    }

    /// The zone that holds most of the given results; `None` when no holder is known.
    pub fn zone_of(&self, handles: &[String]) -> Option<String> {
        let plan = self.traffic.plan();
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for handle in handles {
            if let Some(zone) = plan.holder_zone(handle) {
                *zones.entry(zone).or_default() += 1;
            }
        }
        let most = zones.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(zone, _)| zone.to_owned())
    }

    /// The total size of the results of one of its stages, in bytes.
    pub fn result_bytes(&self, stage: usize) -> u64 {
        let pieces = self.head.pieces.get(stage).copied().unwrap_or(1);
        self.route.stages[stage].bytes * u64::from(pieces)
    }

    /// The expected time to the first output of the call itself, without its stages.
    pub fn expected_first_output(&self) -> Span {
        self.traffic
            .forwarder
            .borrow()
            .expected_first_output(&self.target_query())
    }

    /// The run time of one batch call of its longest stage, without queueing. The batch call is taken to have as many
    /// pieces as the stage, but at least half a batch and at most a whole one.
    pub fn longest_stage_time(&self) -> Span {
        let times = self.route.stages.iter().enumerate().map(|(stage, spec)| {
            let pieces = self.head.pieces.get(stage).copied().unwrap_or(1);
            let pool = self
                .catalog
                .service(&spec.service)
                .and_then(|service| service.pool.as_ref());
            pool.map_or(Span::ZERO, |pool| {
                let full = pool.batch.min(pieces.max(pool.batch / 2));
                pool.call_overhead + Span(pool.piece_time.0 * u64::from(full))
            })
        });
        times.max().unwrap_or_default()
    }
}

/// Records a failure and builds the answer of this node that reports it.
fn fail(traffic: &Traffic, guard: Rc<CallGuard>, failure: &CallFailure) -> Response<AnswerBody> {
    let response = (traffic.adapters.caller.failure_response)(failure);
    guard.record_failure(response.status().as_u16(), failure);
    response.map(|body| AnswerBody::Buffered(BufferedBody::refusal(body, guard)))
}
