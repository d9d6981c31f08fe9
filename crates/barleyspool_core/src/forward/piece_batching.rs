//! Selects the waiting pieces of the next batch call, and the target of the pool that gets it.

use super::call_space::CallSpace;
use super::piece_order::BatchItem;
use super::piece_queue::QueuedOrder;
use super::pool_target::MAX_SLOWNESS_RATIO;
use super::{BatchCall, OrderKey, PieceQueue, PoolTarget};
use crate::{OrgKey, Span, Time};
use std::collections::{BTreeMap, HashMap};

/// A slow target gets a call again this long after its last measured one.
const SLOW_RETRY_INTERVAL: Span = Span::from_millis(1500);
/// Pieces of rank r are scheduled as if they were due r times this much later. For a target outside the zone
/// in which the results of an order are read, the order is scheduled as if it were due this much later once
/// more.
const RANK_PENALTY: Span = Span::from_millis(150);
/// An order that can no longer be done when it is due is scheduled as if it were due this much later.
const LATE_PENALTY: Span = Span::from_secs(2);
/// Waiting pieces are spread over the idle targets as long as each call is filled to at least this share of
/// a batch.
const MIN_FILL: f64 = 0.25;

/// An idle target that may get the next call.
#[derive(Clone, Debug)]
struct IdleTarget {
    id: String,
    zone: String,
    /// Whether its last call became overdue.
    suspect: bool,
    /// Its slowness in tenths, rounded down so that small differences do not affect the order.
    slowness: u64,
}

/// The pieces that wait for a zone, and the targets there.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneLoad {
    /// Waiting pieces of orders whose results are read in the zone.
    waiting: u32,
    /// Usable targets in the zone, including busy ones.
    targets: u32,
}

/// The place of an order among the waiting ones. The derived order over the fields is the scheduling order.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    late: bool,
    rank: u8,
    /// In a shortage, the pieces computed recently for its organisation, and those of its orders that go before this
    /// one.
    used: u64,
    /// Its due time and offsets.
    due: Time,
    submitted_at: Time,
}

/// The load of each zone of a pool.
pub(super) type ZoneLoads = BTreeMap<String, ZoneLoad>;

impl PieceQueue {
    pub(super) fn next_call(&mut self, now: Time) -> Option<BatchCall> {
        let waiting = self.waiting();
        if waiting == 0 {
            return None;
        }
        let loads = self.zone_loads(now);
        let idle = self.idle_targets(now, waiting);
        for target in &idle {
            let zone_peers = idle.iter().filter(|other| other.zone == target.zone).count();
            let share = self.fair_share(now, &loads, &target.zone, idle.len(), zone_peers);
            let least = f64::from(self.spec.batch) * MIN_FILL;
            let size = (share.max(least).ceil() as u32).clamp(1, self.spec.batch.max(1));
            let items = self.select_items(now, &loads, target, size);
            if !items.is_empty() {
                return Some(self.start_call(now, target.id.clone(), items));
            }
        }
        None
    }

    // ------------------------------------------------------------------------
    // Targets

    /// The idle targets that may get a call: those with an overdue call last, then those in the zone of the
    /// most urgent order first, then the fastest first.
    fn idle_targets(&self, now: Time, waiting: u32) -> Vec<IdleTarget> {
        let slots = self.spec.slots.max(1);
        let usable = || self.targets.iter().filter(|(_, target)| target.usable(now));
        let fastest = usable()
            .map(|(_, target)| target.slowness)
            .fold(f64::MAX, f64::min);
        let worth_using = |target: &PoolTarget| {
            let slow = target.slowness > fastest * MAX_SLOWNESS_RATIO;
            let retry_due = now.since(target.measured_at) > SLOW_RETRY_INTERVAL;
            let overloaded = waiting > self.spec.batch.saturating_mul(self.targets.len() as u32);
            !slow || retry_due || overloaded
        };
        let mut idle: Vec<IdleTarget> = usable()
            .filter(|(_, target)| target.in_flight < slots && worth_using(target))
            .map(|(id, target)| IdleTarget {
                id: id.clone(),
                zone: target.entry.zone.clone(),
                suspect: target.overdue_streak > 0,
                slowness: (target.slowness * 10.0) as u64,
            })
            .collect();
        let preferred = self.preferred_zone();
        idle.sort_by_key(|target| (target.suspect, target.zone != preferred, target.slowness));
        idle
    }

    /// The zone in which the results of the most urgent order are read.
    fn preferred_zone(&self) -> String {
        let urgent = self.orders.values().filter(|order| order.waiting > 0);
        urgent
            .min_by_key(|order| order.order.due)
            .map(|order| order.order.zone.clone())
            .unwrap_or_default()
    }

    /// The share of an idle target in the waiting pieces: those of its zone are divided among the idle
    /// targets there, all others among all idle targets.
    fn fair_share(&self, now: Time, loads: &ZoneLoads, zone: &str, idle: usize, zone_peers: usize) -> f64 {
        let (mut local, mut remote) = (0, 0);
        for order in self.orders.values() {
            if order.order.zone == zone {
                local += order.waiting;
            } else if self.may_spill(now, loads, order) {
                remote += order.waiting;
            }
        }
        f64::from(local) / zone_peers.max(1) as f64 + f64::from(remote) / idle.max(1) as f64
    }

    // ------------------------------------------------------------------------
    // Pieces

    pub(super) fn zone_loads(&self, now: Time) -> ZoneLoads {
        let mut loads = ZoneLoads::new();
        for order in self.orders.values().filter(|order| order.waiting > 0) {
            loads.entry(order.order.zone.clone()).or_default().waiting += order.waiting;
        }
        for target in self.targets.values().filter(|target| target.usable(now)) {
            loads.entry(target.entry.zone.clone()).or_default().targets += 1;
        }
        loads
    }

    /// Whether an order may be computed outside its zone. Results or inputs would then cross zones, the
    /// inputs once for each piece, so an order waits for a target of its zone as long as it has time. If
    /// more pieces wait for the zone than the next calls of its targets hold, idle targets of other zones
    /// may take them.
    fn may_spill(&self, now: Time, loads: &ZoneLoads, order: &QueuedOrder) -> bool {
        let zone = &order.order.zone;
        if zone.is_empty() || now + self.call_time(self.spec.batch).scale(2.0) > order.order.due {
            return true;
        }
        let local = loads.get(zone).cloned().unwrap_or_default();
        local.waiting > local.targets * self.spec.batch.max(1)
    }

    /// Whether more pieces wait than the next call of every usable target holds.
    pub(super) fn is_short(&self, now: Time) -> bool {
        let usable = self.targets.values().filter(|target| target.usable(now)).count();
        u64::from(self.waiting()) > usable as u64 * u64::from(self.spec.batch.max(1))
    }

    /// Whether an order cannot be done when it is due; it may still meet its deadline. In a shortage its call will be
    /// full, and take as long.
    pub(super) fn is_late(&self, now: Time, short: bool, order: &QueuedOrder) -> bool {
        let pieces = if short { self.spec.batch } else { 1 };
        now + self.call_time(pieces) > order.order.due
    }

    /// The scheduling key of an order; the lowest is scheduled first. In a shortage a less important order gets only
    /// what more important ones leave, and one that is late anyway what is left then. Otherwise nearly all orders are in
    /// time, and the rank is only an offset.
    fn urgency(&self, now: Time, short: bool, order: &QueuedOrder) -> Urgency {
        let late = self.is_late(now, short, order);
        let rank = order.order.rank;
        let offset = match (short, late) {
            (true, _) => Span::ZERO,
            (false, true) => Span(RANK_PENALTY.0 * u64::from(rank)) + LATE_PENALTY,
            (false, false) => Span(RANK_PENALTY.0 * u64::from(rank)),
        };
        Urgency {
            late: late && short,
            rank: if short { rank } else { 0 },
            used: 0,
            due: order.order.due + offset,
            submitted_at: order.submitted_at,
        }
    }

    /// The orders with pieces that targets of a zone may compute now, the most urgent first.
    pub(super) fn eligible(&self, now: Time, loads: &ZoneLoads, zone: &str) -> Vec<OrderKey> {
        let local = |order: &QueuedOrder| order.order.zone == zone || order.order.zone.is_empty();
        let short = self.is_short(now);
        let mut waiting: Vec<(Urgency, OrderKey)> = self
            .orders
            .iter()
            .filter(|(_, order)| order.waiting > 0 && (local(order) || self.may_spill(now, loads, order)))
            .map(|(key, order)| {
                let mut urgency = self.urgency(now, short, order);
                if !local(order) {
                    // Prefer orders of the zone of the target, so that large results stay in the zone where they
                    // are read.
                    urgency.due = urgency.due + RANK_PENALTY;
                }
                (urgency, key)
            })
            .collect();
        waiting.sort_unstable();
        if short {
            self.share_capacity(now, &mut waiting);
        }
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Reorders sorted orders so that among those of one rank, the organisation for which the fewest pieces were
    /// computed recently goes first. Each order counts against the next ones of its organisation, so that the calls
    /// started at one moment are shared too.
    fn share_capacity(&self, now: Time, waiting: &mut [(Urgency, OrderKey)]) {
        let mut used: HashMap<OrgKey, f64> = HashMap::new();
        for (urgency, key) in waiting.iter_mut() {
            let order = &self.orders[*key];
            let organisation = order.order.organisation;
            let before = used
                .entry(organisation)
                .or_insert_with(|| self.shares.usage(now, organisation));
            urgency.used = *before as u64;
            *before += f64::from(order.waiting);
        }
        waiting.sort_unstable();
    }

    /// Takes the pieces of the next call to `target` out of the queue: about `size` of them, the most urgent first.
    ///
    /// An order is started at a target only if there is capacity for the results of all its waiting pieces: results of
    /// a part of an order occupy capacity until the other pieces are computed, and these may wait for capacity
    /// themselves. Only an order that fits into no empty call, or into no empty target, is started without that. The
    /// last order of a call is split if the call cannot carry all of it: with orders of six pieces, calls of ten would
    /// otherwise go four pieces short.
    ///
    /// Smaller orders could take all capacity that is freed at a target before there is enough for a large
    /// order. So an order that has not fitted for the time of a full call keeps less urgent orders from being
    /// started at a target that lacks only the capacity for it. Orders with started pieces are exempt, since they
    /// occupy capacity until they are complete.
    fn select_items(
        &mut self,
        now: Time,
        loads: &ZoneLoads,
        target: &IdleTarget,
        size: u32,
    ) -> Vec<BatchItem> {
        let Some(state) = self.targets.get(&target.id) else {
            return Vec::new();
        };
        let capacity = self.spec.result_capacity;
        let mut space = CallSpace::new(&self.spec, state.free_capacity(now, capacity));
        let empty = CallSpace::new(&self.spec, capacity);
        // The space once the results of the target are freed.
        let freed = CallSpace::new(&self.spec, capacity.saturating_sub(self.overdue_bytes(state)));
        let max_skipped = self.call_time(self.spec.batch);
        let mut held = false;
        let mut items = Vec::new();
        for key in self.eligible(now, loads, &target.zone) {
            if space.pieces == 0 || items.len() as u32 >= size {
                break;
            }
            let Some(order) = self.orders.get_mut(key) else {
                continue;
            };
            let isolated = order.is_isolated();
            if (isolated && !items.is_empty()) || (held && !order.is_started()) {
                continue;
            }
            let (pieces, bytes) = (order.waiting, order.order.bytes);
            if empty.fits(pieces, bytes) && !space.has_capacity(pieces, bytes) {
                let skipped_at = *order.skipped_at.get_or_insert(now);
                let starves = now.since(skipped_at) >= max_skipped;
                held |= starves && freed.fits(pieces, bytes);
                continue;
            }
            order.skipped_at = None;
            order.take_pieces(key, &mut space, &mut items);
            if isolated && !items.is_empty() {
                break;
            }
        }
        items
    }

    /// Capacity of a target that is reserved for overdue calls, in bytes: it is not known when it is free again.
    fn overdue_bytes(&self, target: &PoolTarget) -> u64 {
        let entry = &target.entry;
        let calls = self.calls.values().filter(|call| call.overdue);
        let overdue = calls.filter(|call| call.target == entry.id && call.incarnation == entry.incarnation);
        overdue.map(|call| call.reserved).sum()
    }
}
