//! Fenced orders to model engines: what is wanted against what is reported.
//!
//! The target itself is the arbiter: an order's fence names the counter that the target reported plus one,
//! so of two keepers that give an order at once only one wins. See docs/DESIGN.md, "Orders".

use crate::{Placement, Revision, Span, TargetId, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Orders a target's orders: first by configuration revision, then by counter.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// The configuration under which the order was given.
    pub revision: Revision,
    /// The target's counter of orders.
    pub counter: u64,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The models it holds.
    pub models: BTreeSet<String>,
    /// Models that it is loading.
    #[serde(default)]
    pub loading: BTreeSet<String>,
    /// The last fence it took.
    pub fence: Fence,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The target.
    pub target: TargetId,
    /// The fence.
    pub fence: Fence,
    /// Models to load.
    pub load: BTreeSet<String>,
    /// Models to drop.
    pub unload: BTreeSet<String>,
}

/// Why an engine gets no order now.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// It holds what it should.
    Settled,
    /// Another keeper sees to it.
    NotOurs,
    /// Nothing has been heard from it lately.
    Unheard,
    /// It is loading.
    Loading,
    /// It already took an order of a newer configuration than this keeper has.
    Ahead,
    /// Loads wait for the weight store.
    Paced,
    /// What it would drop is held by no other engine.
    LastHolder,
    /// It checks no fences, and this keeper's lease is not confirmed.
    Unconfirmed,
    /// An order was given and its effect is awaited.
    Pending,
}

impl OrderState {
    /// The name that operators see.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Settled => "settled",
            Self::NotOurs => "not_ours",
            Self::Unheard => "unheard",
            Self::Loading => "loading",
            Self::Ahead => "ahead",
            Self::Paced => "paced",
            Self::LastHolder => "last_holder",
            Self::Unconfirmed => "unconfirmed",
            Self::Pending => "pending",
        }
    }
}

/// One engine as the keeper sees it.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// What it last reported, and when.
    pub report: Option<(EngineReport, Time)>,
    /// Whether it checks fences.
    pub fences: bool,
    /// Whether this keeper sees to it.
    pub ours: bool,
    ordered: Option<(Fence, Time)>,
}

/// How the keeper paces itself.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct KeeperPace {
    /// Loads a second that the weight store allows all keepers together.
    pub loads: f64,
    /// The published number of keepers.
    pub keepers: u32,
    /// A report older than this is not acted on.
    pub report_age: Span,
    /// How long an order's effect is awaited before it is given again.
    pub max_wait: Span,
}

impl Default for KeeperPace {
    fn default() -> Self {
        Self {
            loads: 1.0,
            keepers: 1,
            report_age: Span::from_secs(5),
            max_wait: Span::from_secs(3),
        }
    }
}

/// What a keeper knows and has ordered.
#[derive(Debug, Default)]
pub struct OrderBook {
    /// The engines, by target.
    pub engines: BTreeMap<TargetId, Engine>,
    /// How it paces itself.
    pub pace: KeeperPace,
    /// Models that any engine is meant to hold.
    wanted: BTreeSet<String>,
    tokens: f64,
    refilled: Time,
}

impl OrderBook {
    /// Takes what an engine reports.
    pub fn report(&mut self, now: Time, target: TargetId, report: EngineReport) {
        let engine = self.engines.entry(target).or_default();
        // An order that the engine has taken, or that a higher fence has overtaken, is not awaited any more.
        if engine.ordered.is_some_and(|(fence, _)| report.fence >= fence) {
            engine.ordered = None;
        }
        engine.report = Some((report, now));
    }

    /// The orders to give now, the most urgent first.
    ///
    /// `confirmed` says whether this keeper's lease holds; only then may engines that check no fences get
    /// an order.
    pub fn plan(
        &mut self,
        now: Time,
        revision: Revision,
        placement: &[Placement],
        confirmed: bool,
    ) -> Vec<EngineOrder> {
        self.refill(now);
        self.wanted = placement
            .iter()
            .flat_map(|placement| placement.models.iter().cloned())
            .collect();
        let mut wanted: Vec<&Placement> = placement.iter().collect();
        wanted.sort_by_key(|placement| (std::cmp::Reverse(placement.urgency), placement.target));
        let mut orders = Vec::new();
        for placement in wanted {
            let Ok(order) = self.order(now, revision, placement, confirmed) else {
                continue;
            };
            let order = self.within_pace(order);
            if !(order.load.is_empty() && order.unload.is_empty()) {
                self.tokens -= order.load.len() as f64;
                if let Some(engine) = self.engines.get_mut(&order.target) {
                    engine.ordered = Some((order.fence, now));
                }
                orders.push(order);
            }
        }
        orders
    }

    /// The order that an engine should get now.
    ///
    /// # Errors
    /// Why it gets none.
    pub fn order(
        &self,
        now: Time,
        revision: Revision,
        placement: &Placement,
        confirmed: bool,
    ) -> Result<EngineOrder, OrderState> {
        let engine = self.engines.get(&placement.target).ok_or(OrderState::Unheard)?;
        if !engine.ours {
            return Err(OrderState::NotOurs);
        }
        let (report, at) = engine.report.as_ref().ok_or(OrderState::Unheard)?;
        if now.since(*at) > self.pace.report_age {
            return Err(OrderState::Unheard);
        }
        if report.fence.revision > revision {
            return Err(OrderState::Ahead);
        }
        let wanted: BTreeSet<String> = placement.models.iter().cloned().collect();
        let load: BTreeSet<String> = wanted.difference(&report.models).cloned().collect();
        let unload: BTreeSet<String> = report.models.difference(&wanted).cloned().collect();
        if load.is_empty() && unload.is_empty() {
            return Err(OrderState::Settled);
        }
        if !report.loading.is_empty() && report.fence.revision == revision {
            return Err(OrderState::Loading);
        }
        if engine
            .ordered
            .is_some_and(|(_, at)| now.since(at) < self.pace.max_wait)
        {
            return Err(OrderState::Pending);
        }
        if !engine.fences && !confirmed {
            return Err(OrderState::Unconfirmed);
        }
        let unload = self.droppable(now, placement.target, unload);
        if load.is_empty() && unload.is_empty() {
            return Err(OrderState::LastHolder);
        }
        if !load.is_empty() && self.tokens < 1.0 {
            return Err(OrderState::Paced);
        }
        let fence = Fence {
            revision,
            counter: report.fence.counter + 1,
        };
        Ok(EngineOrder {
            target: placement.target,
            fence,
            load,
            unload,
        })
    }

    /// What an engine may drop: nothing that no other engine holds and somebody is meant to.
    fn droppable(&self, now: Time, target: TargetId, unload: BTreeSet<String>) -> BTreeSet<String> {
        let keep = |model: &String| self.wanted.contains(model) && self.last_holder(now, target, model);
        unload.into_iter().filter(|model| !keep(model)).collect()
    }

    /// Leaves out loads for which the weight store has no room yet; they follow with the next order.
    fn within_pace(&self, mut order: EngineOrder) -> EngineOrder {
        order.load = order
            .load
            .into_iter()
            .take(self.tokens.max(0.0) as usize)
            .collect();
        order
    }

    /// Whether no other engine, by a recent report, holds `model`.
    fn last_holder(&self, now: Time, target: TargetId, model: &str) -> bool {
        let holds = |engine: &Engine| {
            engine.report.as_ref().is_some_and(|(report, at)| {
                now.since(*at) <= self.pace.report_age && report.models.contains(model)
            })
        };
        !self
            .engines
            .iter()
            .any(|(id, engine)| *id != target && holds(engine))
    }

    /// Each keeper has its share of the weight store's rate, by the published number of keepers.
    fn refill(&mut self, now: Time) {
        let rate = self.pace.loads / f64::from(self.pace.keepers.max(1));
        let most = rate.max(1.0) * 2.0;
        let since = if self.refilled == Time(0) {
            Span::from_secs(1)
        } else {
            now.since(self.refilled)
        };
        self.tokens = (self.tokens + rate * since.as_secs()).min(most);
        self.refilled = now;
    }
}
