//! One pool that this node owns: its queue, and the calls to its targets.

use super::Traffic;
use super::callers::duration;
use super::connections::{Connection, SendFailure};
use super::pools::PoolId;
use super::target_reports::{self, SentRequest};
use crate::edges::AnswerHead;
use crate::event_log::Line;
use barleyspool_core::{
    BatchCall, BatchKey, BatchOutcome, Counter, OrderKey, OrderOutcome, PieceOrder, PieceOutcome, PieceQueue,
    PieceRequest, PoolSpec, Span, Time,
};
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

/// The largest answer of a call, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A call without an answer is given up after this time.
const BATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// How long results wait to be freed together with others.
const RELEASE_DELAY: Duration = Duration::from_millis(10);
/// How long a pool without work sleeps.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// A pool that this node owns.
pub struct Pool {
    /// The key by which its owner is picked.
    key: u128,
    /// The waiting pieces.
    pub queue: RefCell<PieceQueue>,
    waiters: RefCell<HashMap<OrderKey, oneshot::Sender<OrderOutcome>>>,
    /// The nodes whose orders wait here, and how many of each.
    requesters: RefCell<HashMap<u64, usize>>,
    changed: Notify,
    releasable: Notify,
}

/// Withdraws an order whose request does not wait for it any more.
struct OrderGuard<'a> {
    pool: &'a Pool,
    key: Option<OrderKey>,
    /// The node that wants it.
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
    /// A pool with nothing to do, and the tasks that drive it.
    pub fn start(traffic: &Rc<Traffic>, id: &PoolId, spec: PoolSpec) -> Rc<Self> {
        let pool = Rc::new(Self {
            key: id.owner_key(),
            queue: RefCell::new(PieceQueue::new(spec)),
            waiters: RefCell::default(),
            requesters: RefCell::default(),
            changed: Notify::new(),
            releasable: Notify::new(),
        });
        spawn_local(drive(Rc::clone(traffic), Rc::clone(&pool)));
        spawn_local(release_results(Rc::clone(traffic), Rc::clone(&pool)));
        pool
    }

    /// Something changed that the driver should look at.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Makes the pieces of an order of the node `asker`.
    pub async fn compute(&self, traffic: &Traffic, order: PieceOrder, requester: u64) -> OrderOutcome {
        let submitted = self.queue.borrow_mut().submit(traffic.now(), order);
        let key = match submitted {
            Ok(key) => key,
            Err(retry_after) => return OrderOutcome::TooLate(retry_after),
        };
        let (sender, ended) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        let mut guard = OrderGuard {
            pool: self,
            key: Some(key),
            requester,
        };
        *self.requesters.borrow_mut().entry(requester).or_default() += 1;
        self.wake();
        let end = ended.await.unwrap_or(OrderOutcome::Failed);
        guard.key = None;
        end
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

    /// Another node owns the pool now: what was not begun goes there.
    pub fn hand_over(&self) {
        self.queue.borrow_mut().hand_over();
        self.notify_ended();
    }

    /// Frees results that nobody needs any more.
    pub fn release(&self, handles: Vec<String>) {
        self.queue.borrow_mut().release(handles);
        self.releasable.notify_one();
    }

    /// How long a full call that came now would take.
    pub fn expected_wait(&self, traffic: &Traffic) -> Span {
        self.queue.borrow().expected_wait(traffic.now(), 1)
    }

    /// Tells those who wait for orders that have ended.
    pub fn notify_ended(&self) {
        let ended = self.queue.borrow_mut().take_ended();
        let mut waiters = self.waiters.borrow_mut();
        for (key, end) in ended {
            if let Some(waiter) = waiters.remove(&key) {
                // The request may have gone in the same moment; then its guard frees the results.
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
            // Until it is clear who owns the pool, orders gather: most of them go to another node.
            let calls = if traffic.plan().converged {
                queue.next_calls(now)
            } else {
                Vec::new()
            };
            (calls, queue.next_wake(now))
        };
        pool.notify_ended();
        for call in calls {
            spawn_local(run_batch(Rc::clone(&traffic), Rc::clone(&pool), call));
        }
        let wait = wake.map_or(IDLE_WAIT, |at| {
            Duration::from_micros(at.since(traffic.now()).0.max(1000))
        });
        // Whatever ends or comes notifies; the time is for what is overdue.
        let _ = tokio::time::timeout(wait, pool.changed.notified()).await;
        // Orders that come in the same moment share a call.
        tokio::task::yield_now().await;
    }
}

/// Takes what targets said of their limits and of rest since the last look, and what this node may give out of their rates.
///
/// A node asks for as long as an order of it waits here, and this one always does: without a part of the rate it would refuse its own callers,
/// and ask nobody for one.
fn apply_reports(traffic: &Traffic, pool: &Pool, queue: &mut PieceQueue) {
    let (now, me) = (traffic.now(), traffic.plan().me);
    let mut forwarder = traffic.forwarder.borrow_mut();
    for requester in pool.requesters.borrow().keys() {
        forwarder.rate_share(now, pool.key, *requester);
    }
    let share = forwarder.rate_share(now, pool.key, me);
    queue.apply_rates(now, share, me, |id| forwarder.limit(id));
    queue.apply_cooldowns(|id| forwarder.cooldown_until(id));
}

async fn run_batch(traffic: Rc<Traffic>, pool: Rc<Pool>, call: BatchCall) {
    let (key, target, pieces) = (call.call, call.id.clone(), call.pieces.len());
    let cross_zone_kb = cross_zone_bytes(&traffic, &call) / 1000;
    let started_at = traffic.now();
    let mut answer = match timer::timeout(BATCH_TIMEOUT, send_batch(&traffic, &call)).await {
        Ok(answer) => answer,
        Err(_) => BatchAnswer::without_connection(BatchOutcome::BrokenOff),
    };
    if answer.outcome == BatchOutcome::BrokenOff && has_crashed(&traffic, &call).await {
        answer.outcome = BatchOutcome::TargetCrashed;
    }
    let now = traffic.now();
    let line = Line::PoolCall {
        target: &target,
        pieces,
        made: computed_count(&answer.outcome),
        waiting: pool.queue.borrow().waiting(),
        far_kb: cross_zone_kb,
        end: outcome_name(&answer.outcome),
        took_ms: now.since(started_at).as_millis(),
    };
    if matches!(answer.outcome, BatchOutcome::Done(_)) {
        traffic.log.write_good(now, &line);
    } else {
        traffic.log.write(now, &line);
    }
    finish_batch(&traffic, &pool, key, answer);
}

/// Whether the target of a call that was broken off has ended, which is noted for all requests that had pieces there.
async fn has_crashed(traffic: &Traffic, call: &BatchCall) -> bool {
    if !traffic.ends.has_crashed(traffic, &call.id, &call.address).await {
        return false;
    }
    let requests = call
        .pieces
        .iter()
        .map(|piece| (piece.request.as_str(), piece.fingerprint));
    for request in requests.collect::<HashSet<_>>() {
        traffic.ends.record_crash(traffic, &call.id, request);
    }
    true
}

/// The bytes of inputs that a call's target has to fetch from another zone; each piece fetches its own.
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

fn finish_batch(traffic: &Traffic, pool: &Pool, key: BatchKey, answer: BatchAnswer) {
    let done = matches!(answer.outcome, BatchOutcome::Done(_));
    let usable = pool
        .queue
        .borrow_mut()
        .call_ended(traffic.now(), key, answer.outcome);
    match answer.connection {
        Some((connection, keep)) if usable => traffic.connections.put_back(connection, keep),
        Some(_) if done => traffic.count(Counter::Misdirected),
        _ => {}
    }
    pool.notify_ended();
    pool.wake();
    if pool.queue.borrow().has_releasable() {
        pool.releasable.notify_one();
    }
}

/// What came of a call, and its connection when a whole answer was read from it.
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
    }
}

async fn send_batch(traffic: &Traffic, call: &BatchCall) -> BatchAnswer {
    let sent_at = traffic.now();
    let (path, body) = (traffic.edges.pool.run)(&call.pieces);
    let Some(request) = request(traffic, path, &call.address, &call.id, body) else {
        return BatchAnswer::without_connection(BatchOutcome::BrokenOff);
    };
    let sent = traffic
        .connections
        .send(&call.address, &call.id, request, || {})
        .await;
    let (connection, response) = match sent {
        Ok(sent) => sent,
        Err(SendFailure::NotWritten) => return BatchAnswer::without_connection(BatchOutcome::Unreachable),
        Err(SendFailure::BrokenOff) => return BatchAnswer::without_connection(BatchOutcome::BrokenOff),
    };
    let (parts, body) = response.into_parts();
    let head = target_reports::read_head(traffic, batch_request(&call.id, sent_at), &parts);
    let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return BatchAnswer::without_connection(BatchOutcome::BrokenOff);
    };
    BatchAnswer {
        outcome: outcome(traffic, &head, parts.status, &body.to_bytes()),
        connection: Some((connection, head.keep.map(duration))),
    }
}

fn outcome(traffic: &Traffic, head: &AnswerHead, status: StatusCode, body: &[u8]) -> BatchOutcome {
    if head.not_run || head.misdirected {
        return BatchOutcome::Refused {
            misdirected: head.misdirected,
        };
    }
    if !status.is_success() {
        return BatchOutcome::BrokenOff;
    }
    match (traffic.edges.pool.run_answer)(body) {
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
    (traffic.edges.pool.prepare)(request.headers_mut(), target);
    Some(request)
}

/// Frees results, many at a time.
async fn release_results(traffic: Rc<Traffic>, pool: Rc<Pool>) {
    loop {
        pool.releasable.notified().await;
        tokio::time::sleep(RELEASE_DELAY).await;
        let releasable = pool.queue.borrow_mut().take_releasable(traffic.now());
        for (address, target, handles) in releasable {
            let (path, body) = (traffic.edges.pool.free)(&handles);
            if let Some(request) = request(&traffic, path, &address, &target, body) {
                let to = (address, target);
                spawn_local(send_release(
                    Rc::clone(&traffic),
                    Rc::clone(&pool),
                    to,
                    handles,
                    request,
                ));
            }
        }
    }
}

/// Results that cannot be freed go by themselves after their time.
async fn send_release(
    traffic: Rc<Traffic>,
    pool: Rc<Pool>,
    (address, target): (String, String),
    handles: Vec<String>,
    request: Request<Full<Bytes>>,
) {
    let sent_at = traffic.now();
    let work = async {
        let sent = traffic.connections.send(&address, &target, request, || {}).await;
        let Ok((connection, response)) = sent else { return };
        let (parts, body) = response.into_parts();
        target_reports::read_head(&traffic, batch_request(&target, sent_at), &parts);
        let freed = parts.status.is_success();
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        if whole.is_ok() {
            traffic.connections.put_back(connection, None);
        }
        if freed {
            pool.queue.borrow_mut().mark_freed(&handles);
            // Room has come free.
            pool.wake();
        }
    };
    let _ = timer::timeout(BATCH_TIMEOUT, work).await;
}
