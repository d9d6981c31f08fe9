//! One call, from its head to its answer.

use super::Traffic;
use super::admission::{self, PlannedPieces};
use super::answer_body::{AnswerBody, WholeBody};
use super::call_guard::CallGuard;
use super::callers::duration;
use super::final_send;
use super::held_bytes::HeldBytes;
use super::placement;
use super::read_call::{Taken, max_wait, read_body, take};
use super::stage_results::StageResults;
use super::stages;
use super::starting;
use super::stopping;
use super::target_choice::{self, ReservedTarget};
use crate::failure::CallFailure;
use barleyspool_core::{
    CallFingerprint, CallHead, Catalog, Counter, Reason, Route, SendHistory, Span, StageProgress, TargetKey,
    TargetQuery, Time, rendezvous,
};
use barleyspool_wire::timer;
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

/// A call that was taken.
pub struct Call {
    /// What the tasks share.
    pub traffic: Rc<Traffic>,
    /// What it says of itself.
    pub head: CallHead,
    /// Its route, from the configuration under which it was taken.
    pub route: Route,
    /// The service that answers it.
    pub service: String,
    /// Tokens that fit into one engine of that service, when engines serve it.
    pub engine_memory: Option<u64>,
    /// Whether these engines can take the shared beginning of a prompt from each other.
    pub copies: bool,
    /// The organisation that its key belongs to.
    pub organisation: String,
    /// Its place among the priorities of the configuration; 0 is the most important.
    pub rank: u8,
    /// When it came.
    pub arrived: Time,
    /// When it is given up.
    pub deadline: Time,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it has in common with other tries of the same call.
    pub print: CallFingerprint,
    /// Counts its body as held.
    #[allow(dead_code, reason = "kept for its drop")]
    held: HeldBytes,
    /// What has been done for it.
    pub history: Cell<SendHistory>,
    /// Whether a send is under way of which something may have been written.
    pub sending: Cell<bool>,
    /// A target that was given out to it before its stages were made.
    pub reserved: RefCell<Option<ReservedTarget>>,
    /// How often an owner was asked to place it.
    placements: Cell<u32>,
    /// Targets that failed it.
    pub avoid: RefCell<Vec<TargetKey>>,
    /// The zone in which its stages begin; see [`Call::home_zone`].
    pub home: OnceCell<String>,
    /// Where its inputs lie; empty before its stages are done.
    pub input_zone: RefCell<String>,
    /// The configuration.
    pub catalog: Arc<Catalog>,
    /// The pieces that it will still bring to pools; `None` before it is taken.
    pub planned: RefCell<Option<PlannedPieces>>,
    /// How long its stages were forecast to take, before the correction by what others took.
    pub stage_forecast: Cell<Span>,
}

/// The id of the call that an answer belongs to, for those who write the answer.
#[derive(Clone)]
pub struct CallId(pub String);

/// Serves one call of a caller.
pub async fn serve(traffic: Rc<Traffic>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = traffic.now();
    traffic.count(Counter::Arrived);
    let (parts, body) = request.into_parts();
    let mut taken = take(&traffic, &parts);
    // The body is read in any case: closing a connection with unread bytes resets it, and the caller
    // would not see why.
    let read = read_body(&traffic, taken.as_ref().ok(), arrived, body).await;
    if !traffic.plan().is_complete() {
        starting::until_known(&traffic, &parts, arrived).await;
        taken = take(&traffic, &parts);
    }
    let (id, route, rank) = match &taken {
        Ok(taken) => (taken.head.id.as_str(), taken.route.name.as_str(), taken.rank),
        Err(_) => ("", "", 0),
    };
    let guard = Rc::new(CallGuard::new(&traffic, id, route, rank, arrived));
    let (taken, body) = match (taken, read) {
        (Ok(taken), Ok(body)) => (taken, body),
        (Err(failure), _) | (_, Err(failure)) => return fail(&traffic, guard, &failure),
    };
    let call = call(&traffic, taken, parts, body, arrived);
    let id = CallId(call.head.id.clone());
    let mut answer = run(call, guard).await;
    answer.extensions_mut().insert(id);
    answer
}

fn call(traffic: &Rc<Traffic>, taken: Taken, parts: Parts, body: Bytes, arrived: Time) -> Call {
    let service = pick_share(&taken.route);
    let engine = taken
        .catalog
        .service(&service)
        .and_then(|service| service.engine.as_ref());
    Call {
        traffic: Rc::clone(traffic),
        engine_memory: engine.map(|engine| engine.memory_tokens),
        copies: engine.is_some_and(|engine| engine.copies),
        service,
        deadline: stopping::bounded(traffic, arrived + max_wait(&taken.head, &taken.route)),
        print: call_print(&taken, &parts, &body),
        head: taken.head,
        route: taken.route,
        organisation: taken.organisation,
        rank: taken.rank,
        arrived,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        held: HeldBytes::new(traffic, body.len()),
        body,
        history: Cell::default(),
        sending: Cell::new(false),
        reserved: RefCell::default(),
        placements: Cell::new(0),
        avoid: RefCell::default(),
        home: OnceCell::new(),
        input_zone: RefCell::default(),
        catalog: taken.catalog,
        planned: RefCell::default(),
        stage_forecast: Cell::new(Span::ZERO),
    }
}

/// What all tries of a call share: what it asks for, and for whom.
fn call_print(taken: &Taken, parts: &Parts, body: &[u8]) -> CallFingerprint {
    let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    CallFingerprint::of(&[
        parts.method.as_str().as_bytes(),
        taken.head.host.as_bytes(),
        path.as_bytes(),
        taken.organisation.as_bytes(),
        body,
    ])
}

/// Picks the service of a call by the weights of its route.
fn pick_share(route: &Route) -> String {
    let all: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut point = rand::random_range(0..all.max(1));
    for share in &route.shares {
        if point < share.weight {
            return share.service.clone();
        }
        point -= share.weight;
    }
    route
        .shares
        .first()
        .map(|share| share.service.clone())
        .unwrap_or_default()
}

/// Runs a call to its answer, or to the end of its time.
async fn run(call: Call, guard: Rc<CallGuard>) -> Response<AnswerBody> {
    let call = Rc::new(call);
    let traffic = Rc::clone(&call.traffic);
    if let Err(failure) = admission::admit(&call) {
        return fail(&traffic, guard, &failure);
    }
    let planned = PlannedPieces::new(&traffic, &call.route, &call.head.pieces);
    *call.planned.borrow_mut() = Some(planned);
    traffic
        .forwarder
        .borrow_mut()
        .count_request(traffic.now(), &call.service);
    let left = duration(call.deadline.since(traffic.now()));
    let work = answer(Rc::clone(&call), Rc::clone(&guard));
    let answered = tokio::select! {
        // An answer that is ready is delivered, however late it is.
        biased;
        answered = work => answered,
        () = timer::sleep(left) => Err(time_over(&call)),
        () = stopping::cut(&traffic) => Err(cut_off(&call)),
    };
    match answered {
        Ok(response) => response,
        Err(failure) => fail(&traffic, guard, &failure),
    }
}

/// A call whose time is over.
fn time_over(call: &Call) -> CallFailure {
    if call.may_have_run() {
        CallFailure::unknown(Reason::RouteTimeout)
    } else {
        CallFailure::not_run(Reason::DeadlineMissed)
    }
}

/// A call that is not done when the process is about to end.
fn cut_off(call: &Call) -> CallFailure {
    if call.may_have_run() {
        CallFailure::unknown(Reason::Leaving)
    } else {
        stopping::refusal()
    }
}

async fn answer(call: Rc<Call>, guard: Rc<CallGuard>) -> Result<Response<AnswerBody>, CallFailure> {
    let mut results = StageResults::new(&call.traffic);
    let mut run = StageProgress::new(&call.route.stages, &call.head.pieces);
    if !call.route.stages.is_empty() {
        target_choice::reserve(&call, call.stage_forecast.get()).await?;
    }
    loop {
        stages::run(&call, &mut run, &mut results).await?;
        admission::stages_done(&call);
        match final_send::answer(&call, &guard, &run, results).await? {
            final_send::Outcome::Answered(response) => return Ok(response),
            final_send::Outcome::InputsGone(kept) => {
                results = kept;
                if !run.recompute(None) {
                    return Err(CallFailure::not_run(Reason::StepFailed).at(&call.service, ""));
                }
            }
        }
    }
}

impl Call {
    /// Whether a target runs it or may have run it.
    fn may_have_run(&self) -> bool {
        self.sending.get() || self.history.get().may_have_run
    }

    /// The number of its next placement: the owner keeps each apart, since word that one has ended may overtake the next.
    pub fn next_placement(&self) -> u32 {
        let number = self.placements.get();
        self.placements.set(number + 1);
        number
    }

    /// What its target must offer.
    pub fn need(&self) -> TargetQuery {
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
            avoid: self.avoid.borrow().clone(),
            copies: self.copies,
            max_wait: Span::ZERO,
            placing: None,
            for_other_node: false,
        }
    }

    /// The zone in which it will most likely be answered; its stages' results should lie there.
    pub fn zone(&self) -> String {
        let mut need = self.need();
        if need.engine_memory.is_some() {
            need.placing = Some(placement::engine_shard(self, &need));
        }
        let mut forwarder = self.traffic.forwarder.borrow_mut();
        let likely = forwarder.likely_zone(self.traffic.now(), &need);
        likely.unwrap_or_else(|| self.traffic.shared.settings.zone.clone())
    }

    /// The zone in which its stages begin, and in which they stay where that costs nothing: a zone of its first pool, as often
    /// as there are targets.
    pub fn home_zone(&self) -> String {
        let home = || {
            let plan = self.traffic.plan();
            let first = self.route.stages.first();
            let shards = first.and_then(|first| plan.pool_shards(&first.service));
            let key = rendezvous::text_key(&self.head.id);
            shards.map_or(String::new(), |shards| {
                shards.zone(shards.pick(key, "", 0.0)).to_owned()
            })
        };
        self.home.get_or_init(home).clone()
    }

    /// The size of what the call itself reads of its stages, in bytes.
    pub fn input_bytes(&self) -> u64 {
        let stages = &self.route.stages;
        let is_last = |stage: usize| !stages.iter().any(|other| other.needs.contains(&stage));
        let last = (0..stages.len()).filter(|stage| is_last(*stage));
        last.map(|stage| self.result_bytes(stage)).sum()
    }

    /// How long its inputs are kept once it has been sent; `None` when only its first output shows that they
    /// have been fetched.
    pub fn fetch_time(&self) -> Option<Span> {
        let bytes = self.input_bytes();
        let pools = self.route.stages.iter().map(|spec| {
            let service = self.catalog.service(&spec.service)?;
            service.pool.as_ref()?.fetch_time(bytes)
        });
        pools.collect::<Option<Vec<Span>>>()?.into_iter().max()
    }

    /// Notes where its inputs lie.
    pub fn note_inputs(&self, handles: &[String]) {
        if let Some(zone) = self.zone_of(handles) {
            *self.input_zone.borrow_mut() = zone;
        }
    }

    /// The zone of its inputs, or this node's own.
    pub fn zone_of_inputs(&self) -> String {
        let zone = self.input_zone.borrow();
        if zone.is_empty() {
            self.traffic.shared.settings.zone.clone()
        } else {
            zone.clone()
        }
    }

    /// The zone of most of the makers of some results.
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

    /// The size of all results of one of its stages, in bytes.
    pub fn result_bytes(&self, stage: usize) -> u64 {
        let pieces = self.head.pieces.get(stage).copied().unwrap_or(1);
        self.route.stages[stage].bytes * u64::from(pieces)
    }

    /// The expected time of the call itself, without its stages.
    pub fn first_time(&self) -> Span {
        self.traffic
            .forwarder
            .borrow()
            .expected_first_output(&self.need())
    }

    /// The time of one of its stages, without waiting.
    pub fn stage_time(&self) -> Span {
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

/// The answer to a call that no target answered.
fn fail(traffic: &Traffic, guard: Rc<CallGuard>, failure: &CallFailure) -> Response<AnswerBody> {
    let response = (traffic.edges.caller.fail)(failure);
    guard.failed(response.status().as_u16(), failure);
    response.map(|body| AnswerBody::Whole(WholeBody::refusal(body, guard)))
}
