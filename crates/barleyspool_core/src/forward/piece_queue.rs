//! Pieces of many requests share the calls of one stage pool.
//!
//! A call to a pool's target costs a fixed time plus a little for each piece, so a pool holds several times
//! as much when its calls are full. One node owns a pool (or a shard of a large one) and makes all its calls;
//! the others hand it their orders. Two owners at once, after a cut or a death, cost time and never
//! correctness: a piece may be made anew.

use super::{PoolSpec, TargetEntry, TargetTable};
use crate::{Span, Time};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap, VecDeque};

slotmap::new_key_type! {
    /// An order that is waiting or at work.
    pub struct OrderKey;
    /// A call to a target.
    pub struct CallKey;
}

/// A call is overdue after this many times its expected time.
const PATIENCE: f64 = 2.0;
/// And never before this much beyond it.
const PATIENCE_LEAST: Span = Span::from_millis(60);
/// A piece that failed this often is given up.
const MOST_TRIES: u8 = 4;
/// How much a new measurement moves an average.
const GAIN: f64 = 0.3;
/// A runner this much slower than the pool is used only while others are all busy and much waits.
const TOO_SLOW: f64 = 1.8;
/// How long a runner that failed gets nothing, the first time.
const OUT_FIRST: Span = Span::from_millis(300);
/// And at the most.
const OUT_LONGEST: Span = Span::from_secs(4);
/// How long a runner that said it is full gets nothing, the first time.
const FULL_FIRST: Span = Span::from_millis(25);
/// And at the most.
const FULL_LONGEST: Span = Span::from_millis(400);
/// How long a runner without room is reckoned to have none: results of which this node does not know, since
/// another node owned the pool before, are freed or expire meanwhile.
const NO_ROOM: Span = Span::from_millis(250);
/// What a runner's room is multiplied with when it had none: sizes of results are approximate.
const ROOM_SHRINK: f64 = 0.9;
/// What it is multiplied with after a call.
const ROOM_GROW: f64 = 1.01;
/// The least part of its room that is reckoned with.
const LEAST_ROOM: f64 = 0.5;
/// The part of a runner's room that is still tried after it said that it has none.
const NO_ROOM_SHARE: u64 = 16;
/// The span over which the rate of made pieces is measured.
const RATE_SPAN: Span = Span::from_millis(1000);
/// A slow runner is tried again after this time.
const SLOW_TRIAL: Span = Span::from_millis(1500);
/// Pieces of priority r are taken as if they were due this much later, times r.
const RANK_STEP: Span = Span::from_millis(150);
/// What an order that can no longer make its aim is put back by.
const LATE_STEP: Span = Span::from_secs(2);
/// Work in progress is spread over idle runners down to this share of a full call.
const LEAST_SHARE: f64 = 0.25;

/// Pieces of one stage of one request, to be made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceOrder {
    /// The request's id.
    pub request: String,
    /// The stage's place in the route.
    pub stage: u32,
    /// How many pieces; they are counted from 0.
    pub pieces: u32,
    /// What pieces without inputs work on; empty otherwise.
    pub key: String,
    /// The results that each piece needs.
    pub inputs: Vec<String>,
    /// When the request is given up.
    pub deadline: Time,
    /// When the stage should be done for the request to be in time.
    pub due: Time,
    /// The request's priority; 0 is the most important.
    pub rank: u8,
    /// The approximate size of one result, in bytes.
    pub bytes: u64,
    /// The zone where the results will be read; empty when it does not matter.
    pub zone: String,
}

/// What became of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// It was made.
    Made(String),
    /// Its time was over when its turn came.
    Late,
    /// One of its inputs is gone.
    InputsGone,
    /// The target has no room for the result.
    NoRoom,
    /// It failed otherwise.
    Failed,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered, with one outcome for each of its items.
    Done(Vec<PieceOutcome>),
    /// The target said that it did not run it.
    Refused {
        /// Whether its address belongs to another target now.
        misdirected: bool,
    },
    /// Nothing of it was written.
    Unreachable,
    /// Something was written, and no whole answer came back.
    BrokenOff,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderEnd {
    /// Every piece was made; the handles in order.
    Made(Vec<String>),
    /// Inputs are gone.
    InputsGone,
    /// It cannot be made in time; when to come back.
    TooLate(Span),
    /// Pieces failed too often.
    Failed,
}

/// One piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceItem {
    /// The order it belongs to.
    pub order: OrderKey,
    /// Which piece of it.
    pub piece: u32,
}

/// A call that is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceCall {
    /// The call.
    pub call: CallKey,
    /// The run of the target that is meant.
    pub id: String,
    /// Its address.
    pub address: String,
    /// The pieces.
    pub items: Vec<PieceItem>,
}

/// A target of the pool as its owner sees it.
#[derive(Clone, Debug, Default)]
pub struct PieceRunner {
    /// What the list says.
    pub entry: TargetEntry,
    /// Calls that it is working on for this node.
    pub calls: u32,
    /// Time of its calls over what was expected.
    pub slowness: f64,
    /// Bytes of results that it keeps.
    pub kept: u64,
    out_until: Time,
    out_for: Span,
    full_for: Span,
    /// The part of its room that it is reckoned to have; it shrinks when it had none, and recovers.
    room_share: f64,
    no_room_until: Time,
    measured: Time,
}

#[derive(Clone, Debug)]
enum Piece {
    Waiting,
    InCall,
    Made(String),
}

#[derive(Clone, Debug)]
struct Order {
    order: PieceOrder,
    came: Time,
    pieces: Vec<Piece>,
    tries: Vec<u8>,
    made: u32,
    waiting: u32,
}

#[derive(Clone, Debug)]
struct Call {
    runner: String,
    items: Vec<PieceItem>,
    started: Time,
    expected: Span,
    reserved: u64,
    overdue: bool,
}

#[derive(Clone, Debug)]
struct Kept {
    runner: String,
    bytes: u64,
    until: Time,
}

/// The pieces that wait for one pool, and the calls at its targets.
#[derive(Clone, Debug, Default)]
pub struct PieceQueue {
    spec: PoolSpec,
    orders: SlotMap<OrderKey, Order>,
    calls: SlotMap<CallKey, Call>,
    runners: BTreeMap<String, PieceRunner>,
    kept: HashMap<String, Kept>,
    ended: Vec<(OrderKey, OrderEnd)>,
    /// When pieces were made lately.
    made: VecDeque<Time>,
    unneeded: Vec<String>,
    /// Time of calls over what the specification says, over all runners.
    pace: f64,
}

impl PieceQueue {
    /// The queue of a pool without targets yet.
    pub fn new(spec: PoolSpec) -> Self {
        Self {
            spec,
            pace: 1.0,
            ..Self::default()
        }
    }

    /// Takes a newer specification and the targets of the pool that this queue owns.
    pub fn take_plan(&mut self, spec: &PoolSpec, table: &TargetTable, mine: impl Fn(&TargetEntry) -> bool) {
        self.spec = spec.clone();
        self.runners
            .retain(|id, runner| table.contains_key(id) || runner.calls > 0);
        for (id, entry) in table.iter().filter(|(_, entry)| mine(entry)) {
            let runner = self.runners.entry(id.clone()).or_insert_with(|| PieceRunner {
                slowness: 1.0,
                out_for: OUT_FIRST,
                full_for: FULL_FIRST,
                room_share: 1.0,
                ..PieceRunner::default()
            });
            runner.entry = entry.clone();
        }
        for (id, runner) in &mut self.runners {
            if !table.contains_key(id) {
                runner.entry.leaving = true;
            }
        }
    }

    /// The targets, for operators.
    pub fn runners(&self) -> impl Iterator<Item = &PieceRunner> {
        self.runners.values()
    }

    /// Pieces that wait.
    pub fn waiting(&self) -> u32 {
        self.orders.values().map(|order| order.waiting).sum()
    }

    /// Whether nothing waits or is at work.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.calls.is_empty()
    }

    // ------------------------------------------------------------------------
    // Orders

    /// Takes an order, or says when to come back because it cannot be made by its deadline.
    ///
    /// # Errors
    /// The time after which the same order should find room.
    pub fn submit(&mut self, now: Time, order: PieceOrder) -> Result<OrderKey, Span> {
        let wait = self.expected_wait(now, u64::from(order.pieces));
        if now + wait > order.deadline {
            return Err(wait.scale(0.5).min(Span::from_secs(2)));
        }
        let count = order.pieces as usize;
        Ok(self.orders.insert(Order {
            came: now,
            pieces: vec![Piece::Waiting; count],
            tries: vec![0; count],
            made: 0,
            waiting: order.pieces,
            order,
        }))
    }

    /// The request does not need the order any more: what waits is dropped, what was made is given up.
    pub fn withdraw(&mut self, key: OrderKey) {
        if let Some(order) = self.orders.remove(key) {
            let made = order.pieces.into_iter().filter_map(|piece| match piece {
                Piece::Made(handle) => Some(handle),
                _ => None,
            });
            self.unneeded.extend(made);
        }
    }

    /// What an order asks for.
    pub fn order(&self, key: OrderKey) -> Option<&PieceOrder> {
        self.orders.get(key).map(|order| &order.order)
    }

    /// How long `more` pieces that came now would take to be made, waiting included.
    pub fn expected_wait(&self, now: Time, more: u64) -> Span {
        let usable = self
            .runners
            .values()
            .filter(|runner| !runner.entry.leaving && now >= runner.out_until)
            .count();
        if usable == 0 {
            // A pool without targets may get some; until then a call's time is the best guess.
            return self.call_time(self.spec.batch) + self.call_time(self.spec.batch);
        }
        let ahead = u64::from(self.waiting()) + more;
        let full_calls = ahead as f64 / f64::from(self.spec.batch.max(1));
        let rounds = full_calls / usable as f64;
        let busy = self
            .calls
            .values()
            .map(|call| call.expected.0.saturating_sub(now.since(call.started).0))
            .sum::<u64>()
            / usable as u64;
        let last = more.min(u64::from(self.spec.batch)) as u32;
        let queue = self.call_time(self.spec.batch).scale((rounds - 1.0).max(0.0));
        let queue = queue.max(self.measured_wait(now));
        Span(busy) + queue + self.call_time(last)
    }

    /// How long what waits now takes at the rate at which pieces were made lately. It counts only when more
    /// waits than a few calls hold: an idle pool makes few pieces because few come.
    fn measured_wait(&self, now: Time) -> Span {
        let waiting = self.waiting();
        if waiting <= self.spec.batch {
            return Span::ZERO;
        }
        let made = self.made.iter().filter(|at| now.since(**at) <= RATE_SPAN).count();
        let rate = made.max(1) as f64 / RATE_SPAN.as_secs();
        Span((f64::from(waiting) / rate * 1e6) as u64)
    }

    /// The expected time of a call with `pieces` pieces.
    pub fn call_time(&self, pieces: u32) -> Span {
        (self.spec.call + Span(self.spec.item.0 * u64::from(pieces))).scale(self.pace)
    }

    // ------------------------------------------------------------------------
    // Calls

    /// The calls to make now.
    pub fn next_calls(&mut self, now: Time) -> Vec<PieceCall> {
        self.drop_late(now);
        self.expire_kept(now);
        let mut calls = Vec::new();
        while let Some(call) = self.next_call(now) {
            calls.push(call);
        }
        calls
    }

    fn next_call(&mut self, now: Time) -> Option<PieceCall> {
        let waiting = self.waiting();
        if waiting == 0 {
            return None;
        }
        let (runner, idle) = self.pick_runner(now, waiting)?;
        let share = f64::from(waiting) / idle as f64;
        let least = f64::from(self.spec.batch) * LEAST_SHARE;
        let size = (share.max(least).ceil() as u32).clamp(1, self.spec.batch.max(1));
        let items = self.take_items(now, &runner, size);
        if items.is_empty() {
            return None;
        }
        Some(self.start_call(now, runner, items))
    }

    /// The idle runner to use next, and how many are idle.
    fn pick_runner(&self, now: Time, waiting: u32) -> Option<(String, usize)> {
        let slots = self.spec.slots.max(1);
        let idle: Vec<(&String, &PieceRunner)> = self
            .runners
            .iter()
            .filter(|(_, runner)| !runner.entry.leaving && now >= runner.out_until && runner.calls < slots)
            .collect();
        let fastest = self
            .runners
            .values()
            .filter(|runner| !runner.entry.leaving && now >= runner.out_until)
            .map(|runner| runner.slowness)
            .fold(f64::MAX, f64::min);
        let fit = |runner: &PieceRunner| {
            let slow = runner.slowness > fastest * TOO_SLOW;
            let trial = now.since(runner.measured) > SLOW_TRIAL;
            let crowded = waiting > self.spec.batch.saturating_mul(self.runners.len() as u32);
            !slow || trial || crowded
        };
        let fit: Vec<_> = idle.into_iter().filter(|(_, runner)| fit(runner)).collect();
        let wanted = self.wanted_zone();
        let best = fit.iter().min_by(|(_, one), (_, other)| {
            let key = |runner: &PieceRunner| (runner.entry.zone != wanted, (runner.slowness * 10.0) as u64);
            key(one).cmp(&key(other))
        });
        best.map(|(id, _)| ((*id).clone(), fit.len()))
    }

    /// The zone that the most urgent order wants.
    fn wanted_zone(&self) -> String {
        let urgent = self.orders.values().filter(|order| order.waiting > 0);
        urgent
            .min_by_key(|order| order.order.due)
            .map(|order| order.order.zone.clone())
            .unwrap_or_default()
    }

    /// When an order is to be taken; the lower, the sooner.
    fn urgency(&self, now: Time, order: &Order) -> (Time, Time) {
        let rank = Span(RANK_STEP.0 * u64::from(order.order.rank));
        let late = now + self.call_time(1) > order.order.due;
        let put_back = if late { LATE_STEP } else { Span::ZERO };
        (order.order.due + rank + put_back, order.came)
    }

    fn take_items(&mut self, now: Time, runner: &str, size: u32) -> Vec<PieceItem> {
        let zone = self
            .runners
            .get(runner)
            .map_or(String::new(), |runner| runner.entry.zone.clone());
        let mut room = self.room(now, runner);
        let mut waiting: Vec<OrderKey> = self
            .orders
            .iter()
            .filter(|(_, order)| order.waiting > 0)
            .map(|(key, _)| key)
            .collect();
        waiting.sort_by_cached_key(|key| {
            let order = &self.orders[*key];
            let (at, came) = self.urgency(now, order);
            // Large results stay in the zone where they are read when something else can fill the call.
            let far = order.order.zone != zone && !order.order.zone.is_empty();
            (if far { at + RANK_STEP } else { at }, came)
        });
        let mut items = Vec::new();
        for key in waiting {
            let Some(order) = self.orders.get_mut(key) else {
                continue;
            };
            for piece in 0..order.pieces.len() {
                let full = items.len() as u32 >= self.spec.batch.max(1);
                // An order that was begun is taken whole: its pieces read the same inputs.
                let begun = items.last().is_some_and(|item: &PieceItem| item.order == key);
                if full || (items.len() as u32 >= size && !begun) {
                    return items;
                }
                if !matches!(order.pieces[piece], Piece::Waiting) || order.order.bytes > room {
                    continue;
                }
                room -= order.order.bytes;
                order.pieces[piece] = Piece::InCall;
                order.waiting -= 1;
                items.push(PieceItem {
                    order: key,
                    piece: piece as u32,
                });
            }
        }
        items
    }

    /// What a runner still has room for. Small results, of which many calls fit in, are always tried.
    fn room(&self, now: Time, id: &str) -> u64 {
        let Some(runner) = self.runners.get(id) else {
            return 0;
        };
        let room = (self.spec.room as f64 * runner.room_share) as u64;
        let free = room.saturating_sub(runner.kept);
        if now < runner.no_room_until {
            free.min(self.spec.room / NO_ROOM_SHARE)
        } else {
            free
        }
    }

    fn start_call(&mut self, now: Time, runner: String, items: Vec<PieceItem>) -> PieceCall {
        let slowness = self.runners.get(&runner).map_or(1.0, |runner| runner.slowness);
        let expected = self.call_time(items.len() as u32).scale(slowness);
        let bytes = |item: &PieceItem| self.orders.get(item.order).map_or(0, |order| order.order.bytes);
        let reserved = items.iter().map(bytes).sum();
        let (id, address) = match self.runners.get_mut(&runner) {
            Some(runner) => {
                runner.calls += 1;
                runner.kept += reserved;
                (runner.entry.id.clone(), runner.entry.address.clone())
            }
            None => (String::new(), String::new()),
        };
        let call = self.calls.insert(Call {
            runner,
            items: items.clone(),
            started: now,
            expected,
            reserved,
            overdue: false,
        });
        PieceCall {
            call,
            id,
            address,
            items,
        }
    }

    /// A call ended.
    pub fn call_ended(&mut self, now: Time, key: CallKey, outcome: CallOutcome) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(runner) = self.runners.get_mut(&call.runner) {
            runner.calls = runner.calls.saturating_sub(1);
            runner.kept = runner.kept.saturating_sub(call.reserved);
        }
        match outcome {
            CallOutcome::Done(outcomes) => self.call_done(now, &call, outcomes),
            CallOutcome::Refused { misdirected: false } => {
                self.runner_full(now, &call.runner);
                self.requeue(&call, false);
            }
            CallOutcome::Refused { misdirected: true } | CallOutcome::Unreachable => {
                self.runner_failed(now, &call.runner);
                self.requeue(&call, false);
            }
            CallOutcome::BrokenOff => {
                self.runner_failed(now, &call.runner);
                self.requeue(&call, true);
            }
        }
    }

    fn call_done(&mut self, now: Time, call: &Call, outcomes: Vec<PieceOutcome>) {
        let base = self.call_time(call.items.len() as u32).0.max(1) as f64;
        let relative = now.since(call.started).0 as f64 / base;
        if let Some(runner) = self.runners.get_mut(&call.runner) {
            runner.slowness += GAIN * (relative - runner.slowness);
            runner.measured = now;
            runner.out_for = OUT_FIRST;
            runner.full_for = FULL_FIRST;
            runner.room_share = (runner.room_share * ROOM_GROW).min(1.0);
        }
        // The whole pool's pace moves slowly and little: one slow runner must not look normal.
        self.pace = (self.pace * (1.0 + 0.02 * (relative.min(1.5) - 1.0))).clamp(0.3, 3.0);
        let mut outcomes = outcomes.into_iter();
        for item in &call.items {
            let outcome = outcomes.next().unwrap_or(PieceOutcome::Failed);
            self.piece_ended(now, call, item, outcome);
        }
    }

    fn piece_ended(&mut self, now: Time, call: &Call, item: &PieceItem, outcome: PieceOutcome) {
        let known = self.orders.contains_key(item.order);
        match outcome {
            PieceOutcome::Made(handle) => {
                let bytes = self.orders.get(item.order).map_or(0, |order| order.order.bytes);
                self.keep(now, &call.runner, &handle, bytes);
                if !known || !self.piece_made(now, item, &handle) {
                    self.unneeded.push(handle);
                }
            }
            PieceOutcome::InputsGone => self.end_order(item.order, OrderEnd::InputsGone),
            PieceOutcome::Late => {
                let come_back = self.expected_wait(now, 1);
                self.end_order(item.order, OrderEnd::TooLate(come_back));
            }
            PieceOutcome::NoRoom => {
                // That is no fault of the piece: it waits for room elsewhere.
                if let Some(runner) = self.runners.get_mut(&call.runner) {
                    if now >= runner.no_room_until {
                        runner.room_share = (runner.room_share * ROOM_SHRINK).max(LEAST_ROOM);
                    }
                    runner.no_room_until = now + NO_ROOM;
                }
                self.requeue_item(item, false);
            }
            PieceOutcome::Failed => self.requeue_item(item, true),
        }
    }

    /// Notes a result; false when the piece had one already.
    fn piece_made(&mut self, now: Time, item: &PieceItem, handle: &str) -> bool {
        let Some(order) = self.orders.get_mut(item.order) else {
            return false;
        };
        let Some(piece) = order.pieces.get_mut(item.piece as usize) else {
            return false;
        };
        match piece {
            Piece::Made(_) => return false,
            Piece::Waiting => order.waiting -= 1,
            Piece::InCall => {}
        }
        *piece = Piece::Made(handle.to_owned());
        self.made.push_back(now);
        order.made += 1;
        if order.made as usize == order.pieces.len() {
            let handles = order.pieces.iter().map(|piece| match piece {
                Piece::Made(handle) => handle.clone(),
                _ => String::new(),
            });
            let end = OrderEnd::Made(handles.collect());
            self.orders.remove(item.order);
            self.ended.push((item.order, end));
        }
        true
    }

    fn end_order(&mut self, key: OrderKey, end: OrderEnd) {
        if self.orders.contains_key(key) {
            self.withdraw(key);
            self.ended.push((key, end));
        }
    }

    fn requeue(&mut self, call: &Call, tried: bool) {
        // An overdue call was put back when it became overdue.
        if call.overdue {
            return;
        }
        for item in &call.items {
            self.requeue_item(item, tried);
        }
    }

    fn requeue_item(&mut self, item: &PieceItem, tried: bool) {
        let Some(order) = self.orders.get_mut(item.order) else {
            return;
        };
        let place = item.piece as usize;
        if !matches!(order.pieces.get(place), Some(Piece::InCall)) {
            return;
        }
        order.pieces[place] = Piece::Waiting;
        order.waiting += 1;
        order.tries[place] += u8::from(tried);
        if order.tries[place] >= MOST_TRIES {
            self.end_order(item.order, OrderEnd::Failed);
        }
    }

    // ------------------------------------------------------------------------
    // Time

    /// Puts back the pieces of calls that take far too long; their late results still count.
    pub fn tick(&mut self, now: Time) {
        let overdue: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.overdue && now >= overdue_at(call))
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            let Some(call) = self.calls.get_mut(key) else {
                continue;
            };
            let copy = call.clone();
            call.overdue = true;
            self.runner_overdue(now, &copy.runner);
            for item in &copy.items {
                self.requeue_item(item, true);
            }
        }
    }

    /// When [`PieceQueue::tick`] or [`PieceQueue::next_calls`] has something to do, if nothing happens before.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let overdue = self
            .calls
            .values()
            .filter(|call| !call.overdue)
            .map(overdue_at)
            .min();
        let waits = self.waiting() > 0;
        let back = self
            .runners
            .values()
            .filter(|runner| waits && runner.out_until > now)
            .map(|runner| runner.out_until)
            .min();
        let look = waits.then(|| now + Span::from_millis(100));
        [overdue, back, look].into_iter().flatten().min()
    }

    fn drop_late(&mut self, now: Time) {
        let least = self.call_time(1);
        let late: Vec<OrderKey> = self
            .orders
            .iter()
            .filter(|(_, order)| order.waiting > 0 && now + least > order.order.deadline)
            .map(|(key, _)| key)
            .collect();
        for key in late {
            let come_back = self.expected_wait(now, 1);
            self.end_order(key, OrderEnd::TooLate(come_back));
        }
    }

    // ------------------------------------------------------------------------
    // Runners

    fn runner_full(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.out_until = runner.out_until.max(now + runner.full_for);
            runner.full_for = FULL_LONGEST.min(runner.full_for + runner.full_for);
        }
    }

    fn runner_failed(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.out_until = now + runner.out_for;
            runner.out_for = OUT_LONGEST.min(runner.out_for + runner.out_for);
        }
    }

    fn runner_overdue(&mut self, now: Time, id: &str) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.slowness = runner.slowness.max(TOO_SLOW + 1.0);
            runner.measured = now;
        }
    }

    // ------------------------------------------------------------------------
    // Results

    fn keep(&mut self, now: Time, runner: &str, handle: &str, bytes: u64) {
        let until = now + self.spec.hold;
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.kept += bytes;
        }
        let kept = Kept {
            runner: runner.to_owned(),
            bytes,
            until,
        };
        self.kept.insert(handle.to_owned(), kept);
    }

    /// Results that nobody needs any more.
    pub fn give_up(&mut self, handles: Vec<String>) {
        self.unneeded.extend(handles);
    }

    /// The results to be freed: address and id of their maker, and their handles.
    pub fn take_unneeded(&mut self) -> Vec<(String, String, Vec<String>)> {
        let mut by_maker: BTreeMap<String, (String, Vec<String>)> = BTreeMap::new();
        for handle in std::mem::take(&mut self.unneeded) {
            let maker = match self.kept.get(&handle) {
                Some(kept) => Some(kept.runner.clone()),
                // Made for another owner of the pool; the handle tells by whom.
                None => self.maker_of(&handle),
            };
            let Some(id) = maker else { continue };
            let Some(runner) = self.runners.get(&id) else {
                continue;
            };
            let address = runner.entry.address.clone();
            let maker = by_maker.entry(id).or_insert((address, Vec::new()));
            maker.1.push(handle);
        }
        by_maker
            .into_iter()
            .map(|(target, (address, handles))| (address, target, handles))
            .collect()
    }

    /// Their maker has freed them: only now is there room.
    pub fn freed(&mut self, handles: &[String]) {
        for handle in handles {
            let Some(kept) = self.kept.remove(handle) else {
                continue;
            };
            if let Some(runner) = self.runners.get_mut(&kept.runner) {
                runner.kept = runner.kept.saturating_sub(kept.bytes);
            }
        }
    }

    fn maker_of(&self, handle: &str) -> Option<String> {
        let address = handle_address(handle);
        let maker = self
            .runners
            .iter()
            .find(|(_, runner)| runner.entry.address == address);
        maker.map(|(id, _)| id.clone())
    }

    /// Whether results wait to be freed.
    pub fn has_unneeded(&self) -> bool {
        !self.unneeded.is_empty()
    }

    fn expire_kept(&mut self, now: Time) {
        while self.made.front().is_some_and(|at| now.since(*at) > RATE_SPAN) {
            self.made.pop_front();
        }
        let runners = &mut self.runners;
        self.kept.retain(|_, kept| {
            let expired = now > kept.until;
            if expired && let Some(runner) = runners.get_mut(&kept.runner) {
                runner.kept = runner.kept.saturating_sub(kept.bytes);
            }
            !expired
        });
    }

    /// Orders that have ended since the last time.
    pub fn take_ended(&mut self) -> Vec<(OrderKey, OrderEnd)> {
        std::mem::take(&mut self.ended)
    }
}

/// The address of the target that made a result: a handle names it before its first slash.
pub fn handle_address(handle: &str) -> &str {
    handle.split('/').next().unwrap_or_default()
}

fn overdue_at(call: &Call) -> Time {
    call.started + call.expected.scale(PATIENCE).max(call.expected + PATIENCE_LEAST)
}
