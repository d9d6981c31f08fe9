//! Fenced orders to model engines: reconciles the models that an engine reports with its placement.
//!
//! A keeper sends these orders to the engines that it is responsible for; [`OrderBook`] holds the engines
//! that it knows and the orders that it has sent. Engines load models from the weight store, whose rate of
//! loads all keepers share.
//!
//! The target itself arbitrates between keepers: the fence of an order holds the counter that the target
//! reported plus one, so if two keepers send an order concurrently, only one is accepted. See docs/DESIGN.md,
//! "Orders".

use crate::{Placement, Revision, Span, TargetId, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Position of an order in the sequence of a target's orders: by configuration revision, then by counter.
/// A target rejects an order whose fence is not higher than that of the last order it accepted.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// The configuration revision that the order implements.
    pub revision: Revision,
    /// The target's order counter.
    pub counter: u64,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The models that are loaded.
    pub models: BTreeSet<String>,
    /// The models that are being loaded.
    #[serde(default)]
    pub loading: BTreeSet<String>,
    /// The fence of the last order that it accepted.
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
    /// Models to unload.
    pub unload: BTreeSet<String>,
}

/// Why an engine gets no order at present.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderState {
    /// It holds exactly the models of its placement.
    #[serde(rename = "Settled")]
    Converged,
    /// Another keeper is responsible for it.
    NotOurs,
    /// It has sent no report recently enough.
    #[serde(rename = "Unheard")]
    NoRecentReport,
    /// It is loading models under the current configuration.
    Loading,
    /// It has accepted an order of a newer configuration than this keeper has.
    #[serde(rename = "Ahead")]
    NewerRevision,
    /// The load rate of the weight store is used up for now.
    #[serde(rename = "Paced")]
    RateLimited,
    /// It is the last engine that holds the models it would unload.
    LastHolder,
    /// It does not check fences, and this keeper's lease is not confirmed.
    Unconfirmed,
    /// An order was sent and its effect has not been reported yet.
    Pending,
}

impl OrderState {
    /// The stable name shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Converged => "settled",
            Self::NotOurs => "not_ours",
            Self::NoRecentReport => "unheard",
            Self::Loading => "loading",
            Self::NewerRevision => "ahead",
            Self::RateLimited => "paced",
            Self::LastHolder => "last_holder",
            Self::Unconfirmed => "unconfirmed",
            Self::Pending => "pending",
        }
    }
}

/// The keeper's view of one engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// The last report and when it was received.
    pub report: Option<(EngineReport, Time)>,
    /// Whether it checks fences.
    pub fences: bool,
    /// Whether this keeper is responsible for it.
    pub assigned: bool,
    pending_order: Option<(Fence, Time)>,
}

/// Rate limits and timeouts of a keeper's orders.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct OrderLimits {
    /// Model loads per second that the weight store sustains for all keepers together.
    pub loads_per_s: f64,
    /// The published number of keepers.
    pub keeper_count: u32,
    /// The age beyond which a report is not acted on.
    pub max_report_age: Span,
    /// How long to wait for the effect of an order before sending it again.
    pub effect_timeout: Span,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            loads_per_s: 1.0,
            keeper_count: 1,
            max_report_age: Span::from_secs(5),
            effect_timeout: Span::from_secs(3),
        }
    }
}

/// The engines that a keeper knows and the orders it has sent.
#[derive(Debug, Default)]
pub struct OrderBook {
    /// The engines, by target.
    pub engines: BTreeMap<TargetId, Engine>,
    /// Rate limits and timeouts.
    pub limits: OrderLimits,
    /// Models that the placement assigns to any engine.
    wanted: BTreeSet<String>,
    tokens: f64,
    refilled_at: Time,
}

impl OrderBook {
    /// Records a report of an engine.
    pub fn apply_report(&mut self, now: Time, target: TargetId, report: EngineReport) {
        let engine = self.engines.entry(target).or_default();
        // The pending order was accepted, or superseded by an order with a higher fence.
        if engine
            .pending_order
            .is_some_and(|(fence, _)| report.fence >= fence)
        {
            engine.pending_order = None;
        }
        engine.report = Some((report, now));
    }

    /// The orders to send now, the most urgent first. They are recorded as pending.
    ///
    /// `confirmed` says whether this keeper's lease is confirmed; engines that do not check fences get orders
    /// only then.
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
            let Ok(order) = self.order_for(now, revision, placement, confirmed) else {
                continue;
            };
            let order = self.limit_loads(order);
            if !(order.load.is_empty() && order.unload.is_empty()) {
                self.tokens -= order.load.len() as f64;
                if let Some(engine) = self.engines.get_mut(&order.target) {
                    engine.pending_order = Some((order.fence, now));
                }
                orders.push(order);
            }
        }
        orders
    }

    /// The order that brings an engine to its placement.
    ///
    /// # Errors
    /// Why the engine gets no order now.
    pub fn order_for(
        &self,
        now: Time,
        revision: Revision,
        placement: &Placement,
        confirmed: bool,
    ) -> Result<EngineOrder, OrderState> {
        let engine = self
            .engines
            .get(&placement.target)
            .ok_or(OrderState::NoRecentReport)?;
        if !engine.assigned {
            return Err(OrderState::NotOurs);
        }
        let (report, at) = engine.report.as_ref().ok_or(OrderState::NoRecentReport)?;
        if now.since(*at) > self.limits.max_report_age {
            return Err(OrderState::NoRecentReport);
        }
        if report.fence.revision > revision {
            return Err(OrderState::NewerRevision);
        }
        let wanted: BTreeSet<String> = placement.models.iter().cloned().collect();
        let load: BTreeSet<String> = wanted.difference(&report.models).cloned().collect();
        let unload: BTreeSet<String> = report.models.difference(&wanted).cloned().collect();
        if load.is_empty() && unload.is_empty() {
            return Err(OrderState::Converged);
        }
        if !report.loading.is_empty() && report.fence.revision == revision {
            return Err(OrderState::Loading);
        }
        if engine
            .pending_order
            .is_some_and(|(_, at)| now.since(at) < self.limits.effect_timeout)
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
            return Err(OrderState::RateLimited);
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

    /// The models of `unload` that an engine may unload: all but those that some engine is meant to hold and no
    /// other engine holds yet.
    fn droppable(&self, now: Time, target: TargetId, unload: BTreeSet<String>) -> BTreeSet<String> {
        let keep = |model: &String| self.wanted.contains(model) && self.is_last_holder(now, target, model);
        unload.into_iter().filter(|model| !keep(model)).collect()
    }

    /// Removes loads that exceed the available tokens; they follow with the next order.
    fn limit_loads(&self, mut order: EngineOrder) -> EngineOrder {
        order.load = order
            .load
            .into_iter()
            .take(self.tokens.max(0.0) as usize)
            .collect();
        order
    }

    /// Whether no other engine holds `model` according to a recent report.
    fn is_last_holder(&self, now: Time, target: TargetId, model: &str) -> bool {
        let holds = |engine: &Engine| {
            engine.report.as_ref().is_some_and(|(report, at)| {
                now.since(*at) <= self.limits.max_report_age && report.models.contains(model)
            })
        };
        !self
            .engines
            .iter()
            .any(|(id, engine)| *id != target && holds(engine))
    }

    /// Adds the load tokens for the time since the last refill. Each keeper gets an equal share of the weight
    /// store's rate, by the published number of keepers.
    fn refill(&mut self, now: Time) {
        let rate = self.limits.loads_per_s / f64::from(self.limits.keeper_count.max(1));
        let most = rate.max(1.0) * 2.0;
        let since = if self.refilled_at == Time(0) {
            Span::from_secs(1)
        } else {
            now.since(self.refilled_at)
        };
        self.tokens = (self.tokens + rate * since.as_secs()).min(most);
        self.refilled_at = now;
    }
}
