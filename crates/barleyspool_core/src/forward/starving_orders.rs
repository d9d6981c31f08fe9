//! Refuses orders that starve: in a shortage they are passed over for others, and will miss their deadlines.
//!
//! Their callers can retry much earlier than at the deadline. Two forecasts are made for an order of which nothing was
//! started and that has waited for `MIN_WAITED` of its time. The first counts only what is ahead of the order now, at the
//! full throughput of the pool: nothing but orders that are cancelled or targets that are added could still make it
//! wrong, so that it is acted on at once. The second adds what will arrive and go ahead of the order if work continues to
//! arrive as in the last second. A burst may end, so the second must be the same for `MIN_MISSING`.

use super::wait_estimate::RATE_WINDOW;
use super::{MAX_RETRY_WAIT, OrderKey, OrderOutcome, PieceQueue, PoolTarget};
use crate::{Span, Time};
use std::collections::{HashMap, HashSet};

/// The part of its time that an order has waited before it may be refused. Less than half, so that the refusal comes
/// within half of the time although orders are looked through at intervals.
const MIN_WAITED: f64 = 0.45;
/// How long an order must be expected to miss its deadline because of work that has yet to arrive. The rates that are
/// compared are those of a window of this length: all arrivals before the first such forecast are out of the window then.
const MIN_MISSING: Span = RATE_WINDOW;
/// How often the waiting orders are looked through. The forecast sorts all of them.
const CHECK_INTERVAL: Span = Span::from_millis(50);

/// An order that was refused because it starved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StarvedOrder {
    /// The id of the request.
    pub request: String,
    /// The rank of the request.
    pub rank: u8,
    /// The number of its pieces.
    pub pieces: u32,
    /// How long it waited.
    pub waited: Span,
    /// The pieces that were ahead of it.
    pub ahead: u64,
    /// The time after which its caller is told to retry.
    pub retry_after: Span,
}

/// What is expected of a waiting order if nothing arrives any more.
#[derive(Copy, Clone, Debug)]
struct TurnForecast {
    /// The pieces that go ahead of it.
    ahead: u64,
    /// Whether it is late when its turn comes, so that all orders that are not go ahead of it.
    late: bool,
    /// Whether it will not be computed by its deadline.
    misses: bool,
}

impl PieceQueue {
    /// Ends the orders that starve. Called after the calls of the moment were started, so that what waits then is passed
    /// over.
    pub(super) fn refuse_starving(&mut self, now: Time) {
        if now < self.next_starvation_check {
            return;
        }
        self.next_starvation_check = now + CHECK_INTERVAL;
        // While no target is available, nothing is computed and the time until one returns is unknown.
        let available = self.targets.values().any(|target| target.is_available(now));
        if !available || !self.is_short(now) {
            let orders = self.orders.values_mut();
            orders.for_each(|order| order.missing_since = None);
            return;
        }
        let mut by_zone: HashMap<String, HashMap<OrderKey, TurnForecast>> = HashMap::new();
        let mut starving = Vec::new();
        for key in self.passed_over(now) {
            let zone = self.orders[key].order.zone.clone();
            let forecasts = by_zone.entry(zone);
            let forecasts = forecasts.or_insert_with_key(|zone| self.turn_forecasts(now, zone));
            let Some(forecast) = forecasts.get(&key).copied() else {
                continue;
            };
            let arrivals_miss = self.misses_with_arrivals(now, key, forecast);
            let order = &mut self.orders[key];
            order.missing_since = arrivals_miss.then(|| order.missing_since.unwrap_or(now));
            let missing = order.missing_since.is_some_and(|at| now.since(at) >= MIN_MISSING);
            if forecast.misses || missing {
                starving.push((key, forecast.ahead));
            }
        }
        for (key, ahead) in starving {
            self.refuse_starved(now, key, ahead);
        }
    }

    /// Takes the orders that were refused because they starved since the last call of this method.
    pub fn take_starved(&mut self) -> Vec<StarvedOrder> {
        std::mem::take(&mut self.starved)
    }

    fn refuse_starved(&mut self, now: Time, key: OrderKey, ahead: u64) {
        let Some(order) = self.orders.get(key) else {
            return;
        };
        // The wait of the same order if it were submitted now: its caller would be passed over again if it came back
        // earlier.
        let retry_after = self.order_wait(now, &order.order).min(MAX_RETRY_WAIT);
        self.starved.push(StarvedOrder {
            request: order.order.request.clone(),
            rank: order.order.rank,
            pieces: order.order.pieces,
            waited: now.since(order.submitted_at),
            ahead,
            retry_after,
        });
        self.end_order(key, OrderOutcome::TooLate(retry_after));
    }

    /// The orders that have waited for long and of which nothing was started. The pieces of an overdue call wait again,
    /// but its answer may still arrive, so that they count as started.
    fn passed_over(&self, now: Time) -> Vec<OrderKey> {
        let waited = |at: Time, deadline: Time| now.since(at) >= deadline.since(at).scale(MIN_WAITED);
        let orders = self.orders.iter().filter(|(_, order)| {
            order.waiting > 0 && !order.is_started() && waited(order.submitted_at, order.order.deadline)
        });
        let mut keys: Vec<OrderKey> = orders.map(|(key, _)| key).collect();
        if !keys.is_empty() {
            let overdue = self.calls.values().filter(|call| call.overdue);
            let sent: HashSet<OrderKey> = overdue
                .flat_map(|call| call.items.iter().map(|item| item.order))
                .collect();
            keys.retain(|key| !sent.contains(key));
        }
        keys
    }

    /// Forecasts the turn of each order that targets of a zone may compute, if nothing arrives any more. An order that
    /// misses its deadline is not counted as ahead of others.
    ///
    /// Each wait is the least possible one: all targets are taken as working, and one full call of each is left out,
    /// because the order of the pieces changes when the shortage ends.
    fn turn_forecasts(&self, now: Time, zone: &str) -> HashMap<OrderKey, TurnForecast> {
        let throughput = self.full_throughput(|_| true).max(self.recent_throughput(now));
        let working = self.targets.values().filter(|target| is_working(target)).count();
        let last_round = working as u64 * u64::from(self.spec.batch);
        let turn = |ahead: u64| now + time_for(ahead.saturating_sub(last_round) as f64, throughput);
        let least = self.call_time(1);
        let misses = |ahead: u64, key: OrderKey| turn(ahead) + least > self.orders[key].order.deadline;

        let mut forecasts = HashMap::new();
        let mut ahead = 0;
        let mut add = |key: OrderKey, late: bool, ahead: &mut u64| {
            let misses = misses(*ahead, key);
            let forecast = TurnForecast {
                ahead: *ahead,
                late,
                misses,
            };
            forecasts.insert(key, forecast);
            *ahead += u64::from(self.orders[key].waiting) * u64::from(!misses);
        };
        let (mut late, mut late_by_then) = (Vec::new(), Vec::new());
        for key in self.eligible(now, &self.zone_loads(now), zone) {
            let order = &self.orders[key];
            if self.is_late(now, true, order) {
                late.push(key);
            } else if self.is_late(turn(ahead), true, order) {
                late_by_then.push(key);
            } else {
                add(key, false, &mut ahead);
            }
        }
        late.append(&mut late_by_then);
        late.sort_by_key(|key| self.orders[*key].order.rank);
        for key in late {
            add(key, true, &mut ahead);
        }
        forecasts
    }

    /// Whether an order misses its deadline if work continues to arrive as in the last second, and the pool continues to
    /// compute as much as then. Targets that compute nothing now, because they are excluded or lack capacity for
    /// results, are taken as working. An order that was skipped for lack of capacity has had its turn and is not passed
    /// over.
    fn misses_with_arrivals(&self, now: Time, key: OrderKey, forecast: TurnForecast) -> bool {
        let queued = &self.orders[key];
        if queued.skipped_at.is_some() {
            return false;
        }
        let order = &queued.order;
        let arriving = match (forecast.late, order.rank) {
            (true, _) => self.arrivals.rate(now, u8::MAX),
            (false, 0) => 0.0,
            (false, rank) => self.arrivals.rate(now, rank - 1),
        };
        let unused = |target: &PoolTarget| !target.is_available(now) || target.in_flight == 0;
        let throughput = self.recent_throughput(now) + self.full_throughput(unused);
        let time_left = order.deadline.since(now + self.call_time(1)).as_secs();
        forecast.ahead as f64 + arriving * time_left > throughput * time_left
    }

    /// The pieces a second that the working targets which `selects` returns true for compute in full calls. Limits of
    /// their rates are not counted, since they change within seconds after a start and with the owner.
    fn full_throughput(&self, selects: impl Fn(&PoolTarget) -> bool) -> f64 {
        let full_call = self.call_time(self.spec.batch).as_secs().max(1e-3);
        let pieces = f64::from(self.spec.batch.max(1)) * f64::from(self.spec.slots.max(1));
        let targets = self.targets.values();
        let selected = targets.filter(|target| is_working(target) && selects(target));
        selected
            .map(|target| pieces / (full_call * target.slowness.max(0.1)))
            .sum()
    }
}

fn is_working(target: &PoolTarget) -> bool {
    target.owned && target.entry.accepts_work()
}

/// The time for a number of pieces at a throughput in pieces a second.
fn time_for(pieces: f64, throughput: f64) -> Span {
    Span((pieces / throughput.max(1e-3) * 1e6) as u64)
}
