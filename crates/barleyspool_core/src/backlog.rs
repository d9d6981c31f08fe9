//! Outstanding work per service: the steps that admitted requests have yet to send. Admission control
//! estimates the queueing delay of a new request from it.

use crate::{OrgKey, Span, Time};
use std::collections::{BTreeMap, HashMap};

#[derive(Debug, Default)]
struct OrgBacklog {
    steps: u32,
    weight: u32,
}

#[derive(Debug, Default)]
struct RankBacklog {
    /// Exponentially decayed count of arrivals, as of `rate_updated`.
    recent_arrivals: f64,
    rate_updated: Time,
    steps: u32,
    weight: u64,
    orgs: HashMap<OrgKey, OrgBacklog>,
}

/// Later arrivals of other organisations overtake an organisation of low weight. The steps ahead of it are
/// therefore estimated as its fair share implies, limited to this multiple of the queued steps of its class.
const OVERTAKE_FACTOR: f64 = 1.5;
/// Time constant of the exponential moving average of the arrival rate.
const RATE_TIME_CONSTANT: Span = Span::from_secs(1);

/// The steps that admitted requests have yet to send to one service, by class and organisation.
///
/// Only organisations with outstanding steps have an entry, so memory grows with the work in progress and
/// not with the 47,000 configured organisations.
#[derive(Debug, Default)]
pub struct Backlog {
    ranks: BTreeMap<u8, RankBacklog>,
}

impl RankBacklog {
    /// Recent arrivals per second.
    fn arrival_rate(&self, now: Time) -> f64 {
        self.recent_arrivals * (-now.since(self.rate_updated).as_secs() / RATE_TIME_CONSTANT.as_secs()).exp()
            / RATE_TIME_CONSTANT.as_secs()
    }

    fn record_arrival(&mut self, now: Time) {
        self.recent_arrivals = self.arrival_rate(now) * RATE_TIME_CONSTANT.as_secs() + 1.0;
        self.rate_updated = now;
    }
}

impl Backlog {
    /// Adds a step of a newly admitted request and counts it in the arrival rate of its class.
    pub fn record_arrival(&mut self, now: Time, rank: u8, org: OrgKey, weight: u32) {
        self.add(rank, org, weight);
        if let Some(class) = self.ranks.get_mut(&rank) {
            class.record_arrival(now);
        }
    }

    /// Recent arrival rate, in steps per second, of the classes that take precedence over `rank`.
    pub fn arrival_rate_above(&self, now: Time, rank: u8) -> f64 {
        self.ranks
            .range(..rank)
            .map(|(_, class)| class.arrival_rate(now))
            .sum()
    }

    /// Adds a step without counting an arrival, for example one that has to be retried.
    pub fn add(&mut self, rank: u8, org: OrgKey, weight: u32) {
        let class = self.ranks.entry(rank).or_default();
        let entry = class.orgs.entry(org).or_insert_with(|| {
            class.weight += u64::from(weight.max(1));
            OrgBacklog {
                steps: 0,
                weight: weight.max(1),
            }
        });
        entry.steps += 1;
        class.steps += 1;
    }

    /// Removes a step that was dispatched or is no longer needed.
    pub fn remove(&mut self, rank: u8, org: OrgKey) {
        let Some(class) = self.ranks.get_mut(&rank) else {
            return;
        };
        let Some(entry) = class.orgs.get_mut(&org) else {
            return;
        };
        entry.steps -= 1;
        class.steps -= 1;
        if entry.steps == 0 {
            class.weight -= u64::from(entry.weight);
            class.orgs.remove(&org);
        }
    }

    /// Number of outstanding steps.
    pub fn len(&self) -> u32 {
        self.ranks.values().map(|class| class.steps).sum()
    }

    /// Whether no step is outstanding.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of entries: organisations with outstanding steps, summed over the classes.
    pub fn organisation_count(&self) -> usize {
        self.ranks.values().map(|class| class.orgs.len()).sum()
    }

    /// Number of outstanding steps of `org`.
    pub fn steps_of(&self, rank: u8, org: OrgKey) -> f64 {
        let entry = self.ranks.get(&rank).and_then(|class| class.orgs.get(&org));
        entry.map_or(0.0, |entry| f64::from(entry.steps))
    }

    /// The fair share of its class that `org` is entitled to among the organisations with outstanding steps,
    /// between 0 and 1.
    pub fn fair_share(&self, rank: u8, org: OrgKey, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let Some(class) = self.ranks.get(&rank) else {
            return 1.0;
        };
        let own = if class.orgs.contains_key(&org) {
            0.0
        } else {
            weight
        };
        weight / (class.weight as f64 + own)
    }

    /// Estimates how many steps are dispatched before a new one of `org`.
    ///
    /// This includes all steps of more important classes and, of its own class, those that fair queueing
    /// serves first: an organisation with few outstanding steps is not delayed by one that floods the
    /// queue. The cost is independent of the number of organisations.
    pub fn steps_ahead(&self, rank: u8, org: OrgKey, weight: u32) -> f64 {
        let above: u32 = self.ranks.range(..rank).map(|(_, class)| class.steps).sum();
        let Some(class) = self.ranks.get(&rank) else {
            return f64::from(above);
        };
        let weight = f64::from(weight.max(1));
        let (own, total) = match class.orgs.get(&org) {
            Some(entry) => (f64::from(entry.steps), class.weight as f64),
            None => (0.0, class.weight as f64 + weight),
        };
        let fair = (own + 1.0) * total / weight - 1.0;
        f64::from(above) + fair.min(f64::from(class.steps) * OVERTAKE_FACTOR)
    }
}
