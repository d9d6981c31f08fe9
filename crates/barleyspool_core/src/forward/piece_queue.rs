//! The queue of a stage pool, which batches pieces of many requests into shared calls.
//!
//! A call to a target of a pool takes a fixed time plus a little for each piece, so the throughput of a
//! pool is several times higher when its calls are full. One node owns a pool (or a shard of a large one)
//! and makes all its calls; the other nodes send it their orders. Two owners at once, after a network
//! partition or a crash, cost time but never correctness: at worst a piece is computed twice.

use super::call_space::CallSpace;
use super::capacity_usage::Holding;
use super::piece_order::BatchItem;
use super::recent_arrivals::RecentArrivals;
use super::result_store::StoredResult;
use super::{
    BatchCall, BatchKey, BatchOutcome, OrderKey, OrderOutcome, OrganisationShares, PieceOrder, PieceOutcome,
    PieceRequest, PoolSpec, PoolTarget, StarvedOrder, TargetIncarnation,
};
use crate::{Span, Time};
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// An order fails when one of its pieces has failed this often.
const MAX_ATTEMPTS: u8 = 4;
/// An order fails when this many targets have crashed while computing its pieces; after the first crash its
/// pieces go into calls without those of other orders.
const MAX_CRASHES: u8 = 2;

/// The state of one piece of an order.
#[derive(Clone, Debug)]
pub(super) enum Piece {
    Waiting,
    InCall,
    Computed(String),
}

#[derive(Clone, Debug)]
pub(super) struct QueuedOrder {
    pub(super) order: PieceOrder,
    pub(super) submitted_at: Time,
    pub(super) pieces: Vec<Piece>,
    attempts: Vec<u8>,
    pub(super) computed: u32,
    pub(super) waiting: u32,
    /// The number of targets that crashed while computing its pieces.
    crashes: u8,
    /// Since when it has been skipped because it did not fit; `None` if it was not, or pieces of it were started
    /// afterwards.
    pub(super) skipped_at: Option<Time>,
    /// Since when it has been expected to miss its deadline if work continues to arrive as it does; `None` if it is not.
    pub(super) missing_since: Option<Time>,
}

impl QueuedOrder {
    /// Whether its pieces go into calls without pieces of other orders. A target has crashed while
    /// computing them; if they are the cause, pieces of other orders in the next call would fail with them
    /// and be suspected too.
    pub(super) fn is_isolated(&self) -> bool {
        self.crashes > 0
    }

    /// Whether a piece of it is computed or in a call. Its end then frees capacity, or will.
    pub(super) fn is_started(&self) -> bool {
        (self.waiting as usize) < self.pieces.len()
    }

    /// Puts as many waiting pieces into a call as fit into the space that it has left.
    pub(super) fn take_pieces(&mut self, key: OrderKey, space: &mut CallSpace, items: &mut Vec<BatchItem>) {
        let bytes = self.order.bytes;
        for (index, piece) in self.pieces.iter_mut().enumerate() {
            if matches!(piece, Piece::Waiting) && space.take(bytes) {
                *piece = Piece::InCall;
                self.waiting -= 1;
                items.push(BatchItem {
                    order: key,
                    piece: index as u32,
                    bytes,
                });
            }
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct InFlightCall {
    pub(super) target: String,
    /// The incarnation of the target to which it was sent.
    pub(super) incarnation: TargetIncarnation,
    pub(super) items: Vec<BatchItem>,
    pub(super) started: Time,
    /// The expected duration: `call_time` of its pieces times the slowness of the target.
    pub(super) expected: Span,
    pub(super) reserved: u64,
    /// The size of the results that the target was known to hold before the call, in bytes.
    stored_before: u64,
    pub(super) overdue: bool,
}

/// The pieces that wait for one pool, and the calls in flight at its targets.
#[derive(Clone, Debug, Default)]
pub struct PieceQueue {
    pub(super) spec: PoolSpec,
    pub(super) orders: SlotMap<OrderKey, QueuedOrder>,
    pub(super) calls: SlotMap<BatchKey, InFlightCall>,
    pub(super) targets: BTreeMap<String, PoolTarget>,
    pub(super) results: HashMap<String, StoredResult>,
    pub(super) ended: Vec<(OrderKey, OrderOutcome)>,
    /// The times at which pieces were computed within the last `RATE_WINDOW`.
    pub(super) completions: VecDeque<Time>,
    pub(super) releasable: Vec<String>,
    /// The pieces computed recently, by organisation.
    pub(super) shares: OrganisationShares,
    /// The ratio of the duration of calls to that in the specification, averaged over all targets. It is
    /// part of `call_time`; the slowness of a target is relative to that.
    pub(super) slowdown: f64,
    /// How many refusals in a second the targets bear, if they are brittle.
    pub(super) refusals: Option<f64>,
    pub(super) arrivals: RecentArrivals,
    pub(super) starved: Vec<StarvedOrder>,
    pub(super) next_starvation_check: Time,
}

impl PieceQueue {
    /// Creates the queue of a pool that has no targets yet.
    pub fn new(spec: PoolSpec) -> Self {
        Self {
            spec,
            slowdown: 1.0,
            ..Self::default()
        }
    }

    /// The targets of the pool, for status output.
    pub fn targets(&self) -> impl Iterator<Item = &PoolTarget> {
        self.targets.values()
    }

    /// The number of waiting pieces.
    pub fn waiting(&self) -> u32 {
        self.orders.values().map(|order| order.waiting).sum()
    }

    /// The number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    // ------------------------------------------------------------------------
    // Orders

    /// Queues an order, or refuses it when it cannot be completed by its deadline.
    ///
    /// # Errors
    /// The time after which to submit the order again: half the expected time until its pieces would be
    /// computed, and at most two seconds.
    pub fn submit(&mut self, now: Time, order: PieceOrder) -> Result<OrderKey, Span> {
        let wait = self.order_wait(now, &order);
        if now + wait > order.deadline {
            return Err(wait.scale(0.5).min(Span::from_secs(2)));
        }
        let (count, rank) = (order.pieces as usize, order.rank);
        let key = self.orders.insert(QueuedOrder {
            submitted_at: now,
            pieces: vec![Piece::Waiting; count],
            attempts: vec![0; count],
            computed: 0,
            waiting: order.pieces,
            crashes: 0,
            skipped_at: None,
            missing_since: None,
            order,
        });
        if !self.is_late(now, true, &self.orders[key]) {
            self.arrivals.record(now, key, rank, count as u32);
        }
        Ok(key)
    }

    /// Cancels an order that its request no longer needs: waiting pieces are dropped, and computed results
    /// released.
    pub fn cancel(&mut self, key: OrderKey) {
        if self.orders.get(key).is_some_and(|order| !order.is_started()) {
            self.arrivals.forget(key);
        }
        self.remove_order(key);
    }

    fn remove_order(&mut self, key: OrderKey) {
        if let Some(order) = self.orders.remove(key) {
            let computed = order.pieces.into_iter().filter_map(|piece| match piece {
                Piece::Computed(handle) => Some(handle),
                _ => None,
            });
            self.releasable.extend(computed);
        }
    }

    /// Ends the orders that another node is to get, because it now owns the pool. Two owners would send small calls to
    /// the same targets, which have a fraction of the throughput of full calls.
    ///
    /// An owner that still reaches the targets completes the orders of which a piece was started; otherwise their
    /// answers may never arrive, and the new owner computes their pieces again.
    pub fn hand_over(&mut self, reaches_targets: bool) {
        self.end_orders(
            |order| !reaches_targets || !order.is_started(),
            &OrderOutcome::Moved,
        );
        if !reaches_targets {
            self.drop_calls();
        }
    }

    /// Drops all calls in flight, with the room at their targets; their answers are not used any more.
    fn drop_calls(&mut self) {
        let calls: Vec<InFlightCall> = self.calls.drain().map(|(_, call)| call).collect();
        for call in calls {
            self.release_target(&call);
        }
    }

    fn release_target(&mut self, call: &InFlightCall) {
        if let Some(target) = self.target_of(call) {
            // The slot of an overdue call was released when the call became overdue.
            target.in_flight = target.in_flight.saturating_sub(u32::from(!call.overdue));
            target.stored_bytes = target.stored_bytes.saturating_sub(call.reserved);
        }
    }

    /// Forgets what calls showed of the targets, since this node has just regained its links to them: the failures were
    /// its own.
    pub fn links_restored(&mut self) {
        self.targets.values_mut().for_each(PoolTarget::links_restored);
    }

    /// The order that was submitted under the key.
    pub fn order(&self, key: OrderKey) -> Option<&PieceOrder> {
        self.orders.get(key).map(|order| &order.order)
    }

    // ------------------------------------------------------------------------
    // Calls

    /// The calls to send now.
    pub fn next_calls(&mut self, now: Time) -> Vec<BatchCall> {
        self.fail_late_orders(now);
        self.expire_results(now);
        let mut calls = Vec::new();
        while let Some(call) = self.next_call(now) {
            calls.push(call);
        }
        self.refuse_starving(now);
        calls
    }

    pub(super) fn start_call(&mut self, now: Time, target: String, items: Vec<BatchItem>) -> BatchCall {
        let slowness = self.targets.get(&target).map_or(1.0, |target| target.slowness);
        let expected = self.call_time(items.len() as u32).scale(slowness);
        let reserved = items.iter().map(|item| item.bytes).sum();
        let stored_before = self.targets.get(&target).map_or(0, |target| target.stored_bytes);
        let (id, address, incarnation) = match self.targets.get_mut(&target) {
            Some(target) => {
                target.record_call(now);
                target.stored_bytes += reserved;
                (
                    target.entry.id.clone(),
                    target.entry.address.clone(),
                    target.entry.incarnation,
                )
            }
            None => (String::new(), String::new(), TargetIncarnation::default()),
        };
        for item in &items {
            if let Some(order) = self.orders.get(item.order) {
                self.shares.record(now, order.order.organisation, 1);
            }
        }
        let pieces = items.iter().map(|item| self.piece_request(now, *item)).collect();
        let call = self.calls.insert(InFlightCall {
            target,
            incarnation,
            items,
            started: now,
            expected,
            reserved,
            stored_before,
            overdue: false,
        });
        BatchCall {
            call,
            id,
            address,
            pieces,
        }
    }

    fn piece_request(&self, now: Time, item: BatchItem) -> PieceRequest {
        // The item was just selected from this order, so the order exists.
        let order = &self.orders[item.order].order;
        PieceRequest {
            request: order.request.clone(),
            fingerprint: order.fingerprint,
            stage: order.stage,
            piece: item.piece,
            time_left: order.deadline.since(now),
            key: order.key.clone(),
            inputs: order.inputs.clone(),
            input_bytes: order.input_bytes,
        }
    }

    /// Handles the end of a call. Returns whether its connection may be reused: after an answer that does
    /// not belong to this call, the right one may still follow on the connection.
    pub fn call_ended(&mut self, now: Time, key: BatchKey, outcome: BatchOutcome) -> bool {
        let Some(call) = self.calls.remove(key) else {
            return false;
        };
        self.release_target(&call);
        match outcome {
            BatchOutcome::Done(outcomes) if self.matches_call(&call, &outcomes) => {
                self.handle_answer(now, &call, outcomes);
                true
            }
            BatchOutcome::Refused { misdirected: false } => {
                let refusals = self.refusals;
                self.update_target(&call, |target| target.record_full(now, refusals));
                self.requeue(&call, false);
                true
            }
            BatchOutcome::Refused { misdirected: true } | BatchOutcome::Unreachable => {
                self.update_target(&call, |target| target.record_failure(now));
                self.requeue(&call, false);
                false
            }
            BatchOutcome::TargetCrashed => {
                self.update_target(&call, |target| target.record_failure(now));
                self.count_crash(&call);
                self.requeue(&call, true);
                false
            }
            // An answer that does not belong to this call says nothing about its pieces, like a missing one.
            BatchOutcome::Done(_) | BatchOutcome::BrokenOff => {
                self.update_target(&call, |target| target.record_failure(now));
                self.requeue(&call, true);
                false
            }
        }
    }

    /// Counts a crash of a target against all orders of a call. Which of them caused it, if any, shows when
    /// the pieces of each are computed without those of the others.
    fn count_crash(&mut self, call: &InFlightCall) {
        let orders: HashSet<OrderKey> = call.items.iter().map(|item| item.order).collect();
        for key in orders {
            let Some(order) = self.orders.get_mut(key) else {
                continue;
            };
            order.crashes += 1;
            if order.crashes >= MAX_CRASHES {
                self.end_order(key, OrderOutcome::Failed);
            }
        }
    }

    pub(super) fn update_target(&mut self, call: &InFlightCall, change: impl FnOnce(&mut PoolTarget)) {
        if let Some(target) = self.target_of(call) {
            change(target);
        }
    }

    /// The target of a call, if it is still the incarnation to which the call was sent: what an earlier
    /// incarnation did says nothing about a later one.
    fn target_of(&mut self, call: &InFlightCall) -> Option<&mut PoolTarget> {
        let target = self.targets.get_mut(&call.target);
        target.filter(|target| target.entry.incarnation == call.incarnation)
    }

    /// Whether an answer can belong to a call: it has one outcome for each piece, and no result that an
    /// earlier answer named. Only the connection ties the two together otherwise, and a target may send an
    /// answer twice on it.
    fn matches_call(&self, call: &InFlightCall, outcomes: &[PieceOutcome]) -> bool {
        let mut seen = HashSet::new();
        let is_new = |outcome: &PieceOutcome| match outcome {
            PieceOutcome::Computed(name) => !self.results.contains_key(name) && seen.insert(name.clone()),
            _ => true,
        };
        outcomes.len() == call.items.len() && outcomes.iter().all(is_new)
    }

    fn handle_answer(&mut self, now: Time, call: &InFlightCall, outcomes: Vec<PieceOutcome>) {
        let base = self.call_time(call.items.len() as u32).0.max(1) as f64;
        let relative = now.since(call.started).0 as f64 / base;
        self.update_target(call, |target| target.record_answer(now, relative));
        // The slowdown of the whole pool changes slowly and little, so that one slow target does not look
        // normal.
        self.slowdown = (self.slowdown * (1.0 + 0.02 * (relative.min(1.5) - 1.0))).clamp(0.3, 3.0);
        let mut computed = 0;
        let mut refused: Option<u64> = None;
        for (item, outcome) in call.items.iter().zip(outcomes) {
            match outcome {
                PieceOutcome::Computed(_) => computed += item.bytes,
                PieceOutcome::NoCapacity => {
                    refused = Some(refused.map_or(item.bytes, |least| least.min(item.bytes)));
                }
                _ => {}
            }
            self.handle_piece_outcome(now, call, item, outcome);
        }
        if let Some(bytes) = refused {
            let (limit, held) = (self.spec.result_capacity, call.stored_before + computed);
            self.update_target(call, |target| target.record_no_capacity(now, limit, held, bytes));
        }
    }

    fn handle_piece_outcome(
        &mut self,
        now: Time,
        call: &InFlightCall,
        item: &BatchItem,
        outcome: PieceOutcome,
    ) {
        let known = self.orders.contains_key(item.order);
        match outcome {
            PieceOutcome::Computed(handle) => {
                self.store_result(now, &call.target, &handle, item.bytes);
                if !known || !self.record_piece(now, item, &handle) {
                    self.release(now, vec![handle]);
                }
            }
            PieceOutcome::InputsGone => self.end_order(item.order, OrderOutcome::InputsGone),
            PieceOutcome::Expired => {
                let retry_after = self.expected_wait(now, 1);
                self.end_order(item.order, OrderOutcome::TooLate(retry_after));
            }
            // The piece did not fail; it waits until a target has memory for its result.
            PieceOutcome::NoCapacity => self.requeue_item(item, false),
            PieceOutcome::Failed => self.requeue_item(item, true),
        }
    }

    /// Records the result of a piece. Returns false when the piece already had one or is no longer needed.
    fn record_piece(&mut self, now: Time, item: &BatchItem, handle: &str) -> bool {
        let Some(order) = self.orders.get_mut(item.order) else {
            return false;
        };
        let Some(piece) = order.pieces.get_mut(item.piece as usize) else {
            return false;
        };
        match piece {
            Piece::Computed(_) => return false,
            Piece::Waiting => order.waiting -= 1,
            Piece::InCall => {}
        }
        *piece = Piece::Computed(handle.to_owned());
        self.completions.push_back(now);
        order.computed += 1;
        if order.computed as usize == order.pieces.len() {
            let handles = order.pieces.iter().map(|piece| match piece {
                Piece::Computed(handle) => handle.clone(),
                _ => String::new(),
            });
            let handles: Vec<String> = handles.collect();
            self.set_holding(now, &handles, Holding::InUse);
            let end = OrderOutcome::Computed(handles);
            self.orders.remove(item.order);
            self.ended.push((item.order, end));
        }
        true
    }

    pub(super) fn end_order(&mut self, key: OrderKey, end: OrderOutcome) {
        if self.orders.contains_key(key) {
            self.remove_order(key);
            self.ended.push((key, end));
        }
    }

    /// Ends the orders that `selects` returns true for.
    pub(super) fn end_orders(&mut self, selects: impl Fn(&QueuedOrder) -> bool, end: &OrderOutcome) {
        let ended = self.orders.iter().filter(|(_, order)| selects(order));
        let keys: Vec<OrderKey> = ended.map(|(key, _)| key).collect();
        for key in keys {
            self.end_order(key, end.clone());
        }
    }

    fn requeue(&mut self, call: &InFlightCall, failed: bool) {
        // The pieces of an overdue call were requeued when the call became overdue.
        if call.overdue {
            return;
        }
        for item in &call.items {
            self.requeue_item(item, failed);
        }
    }

    pub(super) fn requeue_item(&mut self, item: &BatchItem, failed: bool) {
        let Some(order) = self.orders.get_mut(item.order) else {
            return;
        };
        let place = item.piece as usize;
        if !matches!(order.pieces.get(place), Some(Piece::InCall)) {
            return;
        }
        order.pieces[place] = Piece::Waiting;
        order.waiting += 1;
        order.attempts[place] += u8::from(failed);
        if order.attempts[place] >= MAX_ATTEMPTS {
            self.end_order(item.order, OrderOutcome::Failed);
        }
    }

    /// Takes the orders that have ended since the last call of this method.
    pub fn take_ended(&mut self) -> Vec<(OrderKey, OrderOutcome)> {
        std::mem::take(&mut self.ended)
    }
}
