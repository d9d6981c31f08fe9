//! A pool that this node owns: its queue of pieces, and the batch calls to its targets.

use super::Traffic;
use super::answer_reader;
use super::callers::duration;
use super::connections::{Connection, SendFailure};
use super::pools::PoolId;
use super::target_crashes::CrashedCall;
use super::target_reports::{self, SentRequest};
use crate::adapters::AnswerHead;
use crate::event_log::LogEvent;
use barleyspool_core::{
    AnnouncedPieces, BatchCall, BatchKey, BatchOutcome, Counter, OrderKey, OrderOutcome, PieceOrder,
    PieceOutcome, PieceQueue, PieceRequest, PoolDemand, PoolSpec, RankWaits, RankedPieces, Span, Time,
};
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

/// Largest answer of a batch call, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A batch call, or a request to release results, without an answer is given up after this time.
const BATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// How long results wait to be released together with others.
const RELEASE_DELAY: Duration = Duration::from_millis(10);
/// Longest time that the driver of a pool waits when its queue has no timer.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// How often the load of a pool is logged.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A pool that this node owns.
pub struct Pool {
    /// The service and shard of its targets.
    id: PoolId,
    /// The queued and running pieces.
    pub queue: RefCell<PieceQueue>,
    waiters: RefCell<HashMap<OrderKey, oneshot::Sender<OrderOutcome>>>,
    /// Number of open orders by the key of the node that requested them.
    requesters: RefCell<HashMap<u64, usize>>,
    /// The pieces that nodes plan to submit.
    announced: RefCell<AnnouncedPieces>,
    /// The pieces a second that calls at each node ask of the pool.
    offered: RefCell<AnnouncedPieces>,
    changed: Notify,
    releasable: Notify,
}

/// Cancels an order when its request is dropped before the order has ended.
struct OrderGuard<'a> {
    pool: &'a Pool,
    key: Option<OrderKey>,
    /// Key of the node that requested the order.
    requester: u64,
}

impl Drop for OrderGuard<'_> {
    fn drop(&mut self) {
        self.pool.requester_done(self.requester);
        if let Some(key) = self.key.take() {
            self.pool.waiters.borrow_mut().remove(&key);
            self.pool.queue.borrow_mut().cancel(key);
            self.pool.releasable.notify_one();
        }
    }
}

impl Pool {
    /// Creates an empty pool and spawns the tasks that drive it.
    pub fn start(traffic: &Rc<Traffic>, id: &PoolId, spec: PoolSpec) -> Rc<Self> {
        let pool = Rc::new(Self {
            id: id.clone(),
            queue: RefCell::new(PieceQueue::new(spec)),
            waiters: RefCell::default(),
            requesters: RefCell::default(),
            announced: RefCell::default(),
            offered: RefCell::default(),
            changed: Notify::new(),
            releasable: Notify::new(),
        });
        spawn_local(drive(Rc::clone(traffic), Rc::clone(&pool)));
        spawn_local(release_results(Rc::clone(traffic), Rc::clone(&pool)));
        spawn_local(log_load(Rc::clone(traffic), Rc::clone(&pool)));
        pool
    }

    /// Wakes the driver, because the state of the pool has changed.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Computes the pieces of an order that the node `requester` sent.
    pub async fn compute(&self, traffic: &Traffic, order: PieceOrder, requester: u64) -> OrderOutcome {
        let submitted = self.queue.borrow_mut().submit(traffic.now(), order);
        let key = match submitted {
            Ok(key) => key,
            Err(retry_after) => return OrderOutcome::TooLate(retry_after),
        };
        let (sender, outcome) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        let mut guard = OrderGuard {
            pool: self,
            key: Some(key),
            requester,
        };
        *self.requesters.borrow_mut().entry(requester).or_default() += 1;
        self.wake();
        let outcome = outcome.await.unwrap_or(OrderOutcome::Failed);
        guard.key = None;
        outcome
    }

    fn requester_done(&self, requester: u64) {
        let mut requesters = self.requesters.borrow_mut();
        if let Some(orders) = requesters.get_mut(&requester) {
            *orders -= 1;
            if *orders == 0 {
                requesters.remove(&requester);
            }
        }
    }

    /// Hands the pool over after its owner has changed: orders end, and go to the new owner. If this node reaches the
    /// targets of the pool, it completes those that were started.
    pub fn hand_over(&self, reaches_targets: bool) {
        self.queue.borrow_mut().hand_over(reaches_targets);
        self.notify_ended();
    }

    /// Releases results that are not needed any more.
    pub fn release(&self, now: Time, handles: Vec<String>) {
        self.queue.borrow_mut().release(now, handles);
        self.releasable.notify_one();
    }

    /// How long one piece that is submitted now is expected to take until it is computed: its wait in the queue and
    /// the run time of its batch call.
    pub fn expected_wait(&self, traffic: &Traffic) -> Span {
        self.queue.borrow().expected_wait(traffic.now(), 1)
    }

    /// Records the pieces that the node `requester` plans to submit, and those a second that calls there ask for, by
    /// rank.
    pub fn record_announcement(
        &self,
        now: Time,
        requester: u64,
        planned: RankedPieces,
        offered: RankedPieces,
    ) {
        self.announced.borrow_mut().record(now, requester, planned);
        self.offered.borrow_mut().record(now, requester, offered);
    }

    fn record_own_announcement(&self, traffic: &Traffic) {
        let planned = traffic.planned.borrow().get(&self.id).cloned();
        let offered = traffic.offered_to(&self.id);
        let (now, me) = (traffic.now(), traffic.plan().me);
        self.record_announcement(now, me, planned.unwrap_or_default(), offered);
    }

    /// What calls at all nodes ask of the pool.
    pub fn demand(&self, traffic: &Traffic) -> PoolDemand {
        self.record_own_announcement(traffic);
        let now = traffic.now();
        let mut offered = self.offered.borrow_mut();
        self.queue.borrow().demand(now, offered.sum(now))
    }

    /// Same as [`Self::expected_wait`], by the rank of the call and with the pieces that all nodes plan to submit.
    pub fn rank_waits(&self, traffic: &Traffic) -> RankWaits {
        self.record_own_announcement(traffic);
        let now = traffic.now();
        let mut announced = self.announced.borrow_mut();
        self.queue.borrow().rank_waits(now, announced.sum(now))
    }

    /// Notifies the waiters of orders that have ended, and releases results that are not needed any more.
    pub fn notify_ended(&self) {
        let ended = self.queue.borrow_mut().take_ended();
        if self.queue.borrow().has_releasable() {
            self.releasable.notify_one();
        }
        let mut waiters = self.waiters.borrow_mut();
        for (key, end) in ended {
            if let Some(waiter) = waiters.remove(&key) {
                // The request may have been dropped just now; its guard then cancels the order, which
                // releases the results.
                let _ = waiter.send(end);
            }
        }
    }
}

async fn drive(traffic: Rc<Traffic>, pool: Rc<Pool>) {
    loop {
        let now = traffic.now();
        let (calls, wake) = {
            let mut queue = pool.queue.borrow_mut();
            queue.tick(now);
            apply_reports(&traffic, &pool, &mut queue);
            // Until the membership has converged, this node may not be the owner. Orders are only queued
            // then, since most of them will go to another node.
            let calls = if traffic.plan().converged {
                queue.next_calls(now)
            } else {
                Vec::new()
            };
            (calls, queue.next_wake(now))
        };
        report_starved(&traffic, &pool, now);
        pool.notify_ended();
        for call in calls {
            spawn_local(run_batch(Rc::clone(&traffic), Rc::clone(&pool), call));
        }
        let wait = wake.map_or(IDLE_WAIT, |at| {
            Duration::from_micros(at.since(traffic.now()).0.max(1000))
        });
        // Calls that end and orders that arrive notify the driver; the timeout is for timers of the queue.
        let _ = tokio::time::timeout(wait, pool.changed.notified()).await;
        // Lets orders that arrive at the same moment share a batch call.
        tokio::task::yield_now().await;
    }
}

/// Logs and counts the orders that were refused because they starved.
fn report_starved(traffic: &Traffic, pool: &Pool, now: Time) {
    for order in pool.queue.borrow_mut().take_starved() {
        traffic.count(Counter::OrderStarved);
        let line = LogEvent::OrderStarved {
            id: &order.request,
            service: &pool.id.service,
            shard: pool.id.shard,
            rank: order.rank,
            pieces: order.pieces,
            waited_ms: order.waited.as_millis(),
            ahead: order.ahead,
            retry_ms: order.retry_after.as_millis(),
        };
        traffic.log.write(now, &line);
    }
}

/// Applies to the queue the rate limits and cooldowns that targets reported since the last time, and the
/// share of the rates that this node may grant.
///
/// A node counts as a requester while an order of it is open here, and this node always does: without a share
/// of the rate it would refuse the orders of its own callers and never request a share. Asking for the share on behalf
/// of a node records that node as a requester, which raises the share of a fallback owner. The share returned in the
/// loop is dropped, since the one returned for this node, after it, counts all recorded requesters.
fn apply_reports(traffic: &Traffic, pool: &Pool, queue: &mut PieceQueue) {
    let (now, me) = (traffic.now(), traffic.plan().me);
    let mut forwarder = traffic.forwarder.borrow_mut();
    for requester in pool.requesters.borrow().keys() {
        forwarder.rate_share(now, &pool.id.service, pool.id.owner_key(), *requester);
    }
    let share = forwarder.rate_share(now, &pool.id.service, pool.id.owner_key(), me);
    queue.apply_rates(now, share, me, |id| forwarder.limit(id));
    queue.apply_brittle(forwarder.brittle_refusals(now, &pool.id.service));
    queue.apply_cooldowns(|id| forwarder.cooldown_until(id));
}

/// Logs and publishes the load of the pool now and then while it has any. Results that are still held are published
/// without a log line.
async fn log_load(traffic: Rc<Traffic>, pool: Rc<Pool>) {
    loop {
        timer::sleep(LOAD_LOG_INTERVAL).await;
        let now = traffic.now();
        let (usage, waiting, in_flight) = {
            let queue = pool.queue.borrow();
            (queue.capacity_usage(now), queue.waiting(), queue.in_flight())
        };
        let has_work = waiting > 0 || in_flight > 0;
        let published = (has_work || usage.used() > 0).then_some(usage);
        let usages = &traffic.shared.pool_usages;
        usages.publish(&pool.id.service, pool.id.shard, published);
        if !has_work {
            continue;
        }
        let line = LogEvent::PoolLoad {
            service: &pool.id.service,
            shard: pool.id.shard,
            waiting,
            in_flight,
            capacity_kb: usage.capacity / 1000,
            reserved_kb: usage.reserved / 1000,
            collecting_kb: usage.collecting.bytes / 1000,
            collecting_ms: usage.collecting.mean_age_ms(),
            in_use_kb: usage.in_use.bytes / 1000,
            in_use_ms: usage.in_use.mean_age_ms(),
            releasing_kb: usage.releasing.bytes / 1000,
            releasing_ms: usage.releasing.mean_age_ms(),
        };
        traffic.log.write(now, &line);
    }
}

async fn run_batch(traffic: Rc<Traffic>, pool: Rc<Pool>, call: BatchCall) {
    let (key, target, pieces) = (call.call, call.id.clone(), call.pieces.len());
    let cross_zone_kb = cross_zone_bytes(&traffic, &call) / 1000;
    let started_at = traffic.now();
    let mut answer = match timer::timeout(BATCH_TIMEOUT, send_batch(&traffic, &pool, &call)).await {
        Ok(answer) => answer,
        Err(_) => BatchAnswer::without_connection(BatchOutcome::BrokenOff),
    };
    if answer.outcome == BatchOutcome::BrokenOff && has_crashed(&traffic, &call, started_at).await {
        answer.outcome = BatchOutcome::TargetCrashed;
    }
    let now = traffic.now();
    let line = LogEvent::BatchEnded {
        target: &target,
        pieces,
        computed: computed_count(&answer.outcome),
        waiting: pool.queue.borrow().waiting(),
        cross_zone_kb,
        outcome: outcome_name(&answer.outcome),
        took_ms: now.since(started_at).as_millis(),
    };
    if matches!(answer.outcome, BatchOutcome::Done(_)) {
        traffic.log.write_routine(now, &line);
    } else {
        traffic.log.write(now, &line);
    }
    finish_batch(&traffic, &pool, key, answer);
}

/// Whether the target of an interrupted batch call has crashed. A crash is recorded for every request that
/// had pieces in the call.
async fn has_crashed(traffic: &Rc<Traffic>, call: &BatchCall, sent_at: Time) -> bool {
    if !traffic
        .crashes
        .has_crashed(traffic, &call.id, &call.address)
        .await
    {
        return false;
    }
    let requests = call
        .pieces
        .iter()
        .map(|piece| (piece.request.as_str(), piece.fingerprint));
    for (id, fingerprint) in requests.collect::<HashSet<_>>() {
        let crashed = CrashedCall {
            id,
            fingerprint,
            parts: &[],
            sent_at,
        };
        traffic.crashes.record_crash(traffic, &call.id, crashed);
    }
    true
}

/// Bytes of inputs that the target of a batch call has to fetch from other zones. Each piece fetches its own
/// inputs.
fn cross_zone_bytes(traffic: &Traffic, call: &BatchCall) -> u64 {
    let plan = traffic.plan();
    let Some(zone) = plan.targets.get(&call.id).map(|target| &target.zone) else {
        return 0;
    };
    let piece_bytes = |piece: &PieceRequest| {
        let cross_zone_inputs = plan.count_held_outside(&piece.inputs, zone) as u64;
        piece.input_bytes * cross_zone_inputs / piece.inputs.len().max(1) as u64
    };
    call.pieces.iter().map(piece_bytes).sum()
}

fn computed_count(outcome: &BatchOutcome) -> usize {
    match outcome {
        BatchOutcome::Done(pieces) => pieces
            .iter()
            .filter(|piece| matches!(piece, PieceOutcome::Computed(_)))
            .count(),
        _ => 0,
    }
}

fn outcome_name(outcome: &BatchOutcome) -> &'static str {
    match outcome {
        BatchOutcome::Done(_) => "answered",
        BatchOutcome::Refused { .. } => "refused",
        BatchOutcome::Unreachable => "unreachable",
        BatchOutcome::BrokenOff => "broken_off",
        BatchOutcome::TargetCrashed => "target_ended",
    }
}

/// How long a connection may be idle: no longer than results last. A copy of an answer can arrive only while its connection is
/// kept, so this bounds how late it can be.
fn max_idle(pool: &Pool, keep_alive: Option<Duration>) -> Duration {
    let result_ttl = duration(pool.queue.borrow().result_ttl());
    keep_alive.map_or(result_ttl, |keep_alive| keep_alive.min(result_ttl))
}

fn finish_batch(traffic: &Traffic, pool: &Pool, key: BatchKey, answer: BatchAnswer) {
    let done = matches!(answer.outcome, BatchOutcome::Done(_));
    let usable = pool
        .queue
        .borrow_mut()
        .call_ended(traffic.now(), key, answer.outcome);
    match answer.connection {
        Some((connection, keep_alive)) if usable => {
            let idle = max_idle(pool, keep_alive);
            traffic.connections.add_idle(connection, Some(idle));
        }
        // An answer that parses but is not usable for this call: its outcomes do not match the pieces, or the call is
        // no longer known. An answer by which the target reports that it was not the intended one is a refusal,
        // which is not counted here.
        Some(_) if done => traffic.count(Counter::Misdirected),
        _ => {}
    }
    pool.notify_ended();
    pool.wake();
}

/// Outcome of a batch call, and its connection if a complete answer was read from it.
struct BatchAnswer {
    outcome: BatchOutcome,
    connection: Option<(Connection, Option<Duration>)>,
}

impl BatchAnswer {
    fn without_connection(outcome: BatchOutcome) -> Self {
        Self {
            outcome,
            connection: None,
        }
    }
}

fn batch_request(target: &str, sent_at: Time) -> SentRequest<'_> {
    SentRequest {
        target,
        call: "",
        sent_at,
        by_peer: false,
    }
}

/// Sends a batch call once. [`BatchOutcome::BrokenOff`] also covers calls whose request could not be built,
/// answers that are too large or malformed, and answers with an error status that do not report a refusal.
async fn send_batch(traffic: &Rc<Traffic>, pool: &Pool, call: &BatchCall) -> BatchAnswer {
    let sent_at = traffic.now();
    let (path, body) = (traffic.adapters.pool.run_request)(&call.pieces);
    let Some(request) = request(traffic, path, &call.address, &call.id, body) else {
        return BatchAnswer::without_connection(BatchOutcome::BrokenOff);
    };
    let sent = traffic
        .send(&pool.id.service, (&call.address, &call.id), request, || {})
        .await;
    let (mut connection, response) = match sent {
        Ok(sent) => sent,
        Err(SendFailure::NotWritten) => return BatchAnswer::without_connection(BatchOutcome::Unreachable),
        Err(SendFailure::Interrupted | SendFailure::NoResult | SendFailure::Faulty(_)) => {
            return BatchAnswer::without_connection(BatchOutcome::BrokenOff);
        }
    };
    let (parts, body) = response.into_parts();
    let head = target_reports::read_head(traffic, batch_request(&call.id, sent_at), &parts);
    let body = answer_reader::read_whole(traffic, &call.address, body, MAX_ANSWER_BYTES).await;
    let Some(body) = body else {
        return BatchAnswer::without_connection(BatchOutcome::BrokenOff);
    };
    let outcome = read_outcome(traffic, &head, parts.status, &body.to_bytes());
    if let BatchOutcome::Done(outcomes) = &outcome
        && !connection.record_answer(outcomes)
    {
        traffic.count(Counter::Misdirected);
        return BatchAnswer::without_connection(BatchOutcome::BrokenOff);
    }
    // Only a new result shows that an answer is not a late one. After a late answer without results the answer to this call would follow, and be taken for that of the next one.
    if connection.is_reused() && computed_count(&outcome) == 0 {
        return BatchAnswer::without_connection(outcome);
    }
    BatchAnswer {
        outcome,
        connection: Some((connection, head.keep_alive.map(duration))),
    }
}

/// Whether a connection may be used again after this answer to a release. Requests to pools have no id that a refusal could name.
/// On a connection that was used before, a refusal may be a late one of an earlier request. The answer to this request would then
/// follow, and be taken for that of the next one.
fn may_reuse(connection: &Connection, head: &AnswerHead) -> bool {
    !(connection.is_reused() && (head.not_run || head.misdirected))
}

fn read_outcome(traffic: &Traffic, head: &AnswerHead, status: StatusCode, body: &[u8]) -> BatchOutcome {
    if head.not_run || head.misdirected {
        return BatchOutcome::Refused {
            misdirected: head.misdirected,
        };
    }
    if !status.is_success() {
        return BatchOutcome::BrokenOff;
    }
    match (traffic.adapters.pool.read_run_answer)(body) {
        Some(outcomes) => BatchOutcome::Done(outcomes),
        None => BatchOutcome::BrokenOff,
    }
}

fn request(
    traffic: &Traffic,
    path: &str,
    address: &str,
    target: &str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::post(path)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(body))
        .ok()?;
    (traffic.adapters.pool.prepare_headers)(request.headers_mut(), target).then_some(request)
}

/// Releases results in batches.
async fn release_results(traffic: Rc<Traffic>, pool: Rc<Pool>) {
    loop {
        pool.releasable.notified().await;
        tokio::time::sleep(RELEASE_DELAY).await;
        let releasable = pool.queue.borrow_mut().take_releasable(traffic.now());
        for (address, target, handles) in releasable {
            let (path, body) = (traffic.adapters.pool.release_request)(&handles);
            if let Some(request) = request(&traffic, path, &address, &target, body) {
                let destination = (address, target);
                spawn_local(send_release(
                    Rc::clone(&traffic),
                    Rc::clone(&pool),
                    destination,
                    handles,
                    request,
                ));
            }
        }
    }
}

/// Sends a request to release results. Results that cannot be released expire after their time to live.
async fn send_release(
    traffic: Rc<Traffic>,
    pool: Rc<Pool>,
    (address, target): (String, String),
    handles: Vec<String>,
    request: Request<Full<Bytes>>,
) {
    let sent_at = traffic.now();
    let work = async {
        let sent = traffic
            .send(&pool.id.service, (&address, &target), request, || {})
            .await;
        let Ok((connection, response)) = sent else { return };
        let (parts, body) = response.into_parts();
        let head = target_reports::read_head(&traffic, batch_request(&target, sent_at), &parts);
        let body = answer_reader::read_whole(&traffic, &address, body, MAX_ANSWER_BYTES).await;
        let Some(body) = body else { return };
        // A late copy of the answer to a batch call, behind which the answer to this request would follow.
        if (traffic.adapters.pool.read_run_answer)(&body.to_bytes()).is_some() {
            traffic.count(Counter::Misdirected);
            return;
        }
        let is_refusal = head.not_run || head.misdirected;
        if may_reuse(&connection, &head) {
            traffic
                .connections
                .add_idle(connection, Some(max_idle(&pool, None)));
        }
        if parts.status.is_success() && !is_refusal {
            pool.queue.borrow_mut().mark_freed(&handles);
            // The released results make capacity available.
            pool.wake();
        }
    };
    let _ = timer::timeout(BATCH_TIMEOUT, work).await;
}
