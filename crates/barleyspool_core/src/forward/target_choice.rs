//! Chooses a target for a call.

use super::target_record::EXPECTED_SLOWNESS;
use super::{
    ChooseResult, Forwarder, NO_CAPACITY_TTL, Shard, TargetChoice, TargetKey, TargetQuery, TargetRecord,
    shard_key,
};
use crate::{Span, Time, rendezvous};
use rand::Rng;

/// The assumed probability that a prefix is cached at its home engine if the owner of the engines has
/// not sent it there itself.
const HOME_CACHED_PROBABILITY: f64 = 0.6;
/// The weight of a shared prefix token that has to be recomputed; above 1, since the work was already
/// done elsewhere and is wasted.
const RECOMPUTE_WEIGHT: f64 = 1.5;
/// The cost of one running request, in prompt tokens.
const RUNNING_TOKENS: f64 = 250.0;
/// The cost of a megabyte of inputs that crosses zones, in prompt tokens.
const CROSS_ZONE_TOKENS_PER_MB: f64 = 400.0;
/// The fixed penalty of an engine in another zone, in prompt tokens.
const CROSS_ZONE_TOKENS: f64 = 200.0;
/// The penalty of a plain target in another zone, as a share of the answer time.
const CROSS_ZONE_PENALTY: f64 = 0.5;
/// The penalty of an engine that fails every call, in prompt tokens.
const FAILURE_PENALTY_TOKENS: f64 = 20_000.0;
/// The penalty of a plain target that fails every call, as a multiple of the answer time.
const FAILURE_PENALTY: f64 = 4.0;
/// An engine with a higher share of failed calls is not used as the source of a prefix.
const MAX_SOURCE_FAILURE_RATE: f64 = 0.2;
/// Differences below this share of the answer time count as noise.
const SCORE_STEP: f64 = 0.1;
/// The greatest share of the calls to plain targets that only renew measurements of slow ones.
const REMEASURE_SHARE: f64 = 0.1;
/// The delay before another attempt when every target is busy or unavailable.
const BUSY_RETRY_DELAY: Span = Span::from_millis(250);

/// When targets that have used up their rate limit have capacity again.
#[derive(Copy, Clone, Debug, Default)]
struct Capacity {
    /// The first target whose rate allows another call, with the wait until then, if this node grants
    /// its rate.
    first: Option<(TargetKey, Span)>,
    /// The shortest wait until the owner of a target may be asked again or the target's rate limit ends.
    wait: Option<Span>,
}

impl Forwarder {
    /// Chooses the target for a call.
    pub fn choose(&mut self, now: Time, query: &TargetQuery) -> ChooseResult {
        let Some(keys) = self.by_service.get(&query.service).cloned() else {
            return ChooseResult::Busy(BUSY_RETRY_DELAY);
        };
        let mut usable: Vec<TargetKey> = Vec::with_capacity(keys.len());
        for key in &keys {
            if let Some(record) = self.targets.get_mut(*key)
                && query.accepts(now, record)
                && record.usable(now, &self.chart)
            {
                usable.push(*key);
            }
        }
        if usable.is_empty() {
            usable = self.suspended_targets(now, query);
        }
        // So far the targets are usable apart from their rate limits; these are applied next.
        let capacity = self.retain_with_capacity(now, query, &mut usable);
        self.retain_with_room(now, query, &mut usable);
        if usable.iter().any(|key| !query.avoid.contains(key)) {
            usable.retain(|key| !query.avoid.contains(key));
        }
        if usable.is_empty() {
            return self.unavailable_result(now, query, &capacity);
        }
        let chosen = match query.engine_memory {
            Some(memory) => self.choose_engine(now, query, memory, &usable),
            None => self.choose_plain(now, query, &usable),
        };
        let source = query
            .engine_memory
            .filter(|_| query.can_copy_prefixes)
            .and_then(|memory| self.prefix_source(now, query, memory, &usable, chosen));
        let rate_limited = self
            .rate_limit(now, chosen, self.cold_spec(&query.service))
            .is_some();
        self.send_to(
            now,
            query.engine_memory.is_some(),
            chosen,
            source,
            rate_limited,
            Span::ZERO,
        )
    }

    /// The targets for a call if all that could answer it are in quarantine or on trial, and none otherwise. The cap on
    /// quarantines leaves half of a service's targets, which may all be unsuitable for the call. Quarantine only directs
    /// calls to better targets, so it does not apply where there are none.
    pub(super) fn suspended_targets(&self, now: Time, query: &TargetQuery) -> Vec<TargetKey> {
        let keys = self.by_service.get(&query.service).into_iter().flatten();
        let suitable = keys.filter_map(|key| Some((*key, self.targets.get(*key)?)));
        let suitable =
            suitable.filter(|(_, record)| query.accepts(now, record) && record.entry.accepts_work());
        let mut suspended = Vec::new();
        for (key, record) in suitable {
            if !record.is_suspended() {
                return Vec::new();
            }
            if now >= record.full_until {
                suspended.push(key);
            }
        }
        suspended
    }

    /// The shards whose owners may place a call, in the order in which they are asked, from `first` on: all of them, or those
    /// with targets of the version that the call needs.
    pub fn shards_to_ask(&self, query: &TargetQuery, first: Shard) -> Vec<Shard> {
        let shards = (0..first.of).map(|offset| Shard {
            number: (first.number + offset) % first.of,
            of: first.of,
        });
        if query.version.is_none() {
            return shards.collect();
        }
        let keys = self.by_service.get(&query.service).into_iter().flatten();
        let records: Vec<&TargetRecord> = keys
            .filter_map(|key| self.targets.get(*key))
            .filter(|record| record.entry.accepts_work() && query.accepts_version(&record.entry))
            .collect();
        let holds_one = |shard: &Shard| records.iter().any(|record| shard.holds(record.hash));
        shards.filter(holds_one).collect()
    }

    /// Chooses the target for a call that this node places for itself or another node, and counts the
    /// call against the target's rate limit if it has one.
    pub fn place(&mut self, now: Time, query: &TargetQuery, asker: u64) -> ChooseResult {
        // Another node may name a service or a shard that does not exist or no longer exists; no state
        // is kept for those.
        let known = self.by_service.contains_key(&query.service);
        let placing = query.placing.filter(|shard| known && shard.number < shard.of);
        let share = placing.map(|shard| {
            let shard = shard_key(&query.service, shard.number);
            self.rate_share(now, &query.service, shard, asker)
        });
        let choice = self.choose(now, query);
        if let (ChooseResult::Send(chosen), Some(share)) = (&choice, share) {
            let rate_limit = self.rate_limit(now, chosen.target, self.cold_spec(&query.service));
            if let (Some(rate_limit), Some(record)) = (rate_limit, self.targets.get_mut(chosen.target)) {
                record.bucket.take(now, rate_limit.per_s, share);
            }
        }
        choice
    }

    /// Removes targets that have used up their rate limit from `usable`, and returns when one of them
    /// has capacity again.
    fn retain_with_capacity(
        &mut self,
        now: Time,
        query: &TargetQuery,
        usable: &mut Vec<TargetKey>,
    ) -> Capacity {
        let mut capacity = Capacity::default();
        let cold = self.cold_spec(&query.service);
        if cold.is_none() && self.limits.is_empty() {
            return capacity;
        }
        let share = query.placing.map(|shard| {
            let shard = shard_key(&query.service, shard.number);
            self.known_share(now, shard)
        });
        usable.retain(|key| {
            let Some(rate_limit) = self.rate_limit(now, *key, cold) else {
                return true;
            };
            let wait = match share {
                // This node may grant nothing yet and does not know when it may.
                Some(share) if share.fraction <= 0.0 => return false,
                Some(share) => {
                    let wait = self.capacity_wait(now, *key, rate_limit, share);
                    if !rate_limit.ends_within(now, wait)
                        && capacity.first.is_none_or(|(_, least)| wait < least)
                    {
                        capacity.first = Some((*key, wait));
                    }
                    share.retry_after(rate_limit.wait(now, wait))
                }
                // Only the owner of rate-limited engines chooses among them.
                None if query.engine_memory.is_some() => return false,
                // The node that grants the rate is asked, unless it has reported a lack of capacity for
                // longer than the call may wait.
                None => {
                    let record = &self.targets[*key];
                    let wait = record.no_capacity_until.since(now);
                    let report_expired = now.since(record.no_capacity_at) >= NO_CAPACITY_TTL;
                    if report_expired || wait <= query.max_wait {
                        Span::ZERO
                    } else {
                        wait
                    }
                }
            };
            capacity.wait = Some(capacity.wait.map_or(wait, |least| least.min(wait)));
            wait == Span::ZERO
        });
        capacity
    }

    /// The result if no target can be used at once.
    fn unavailable_result(&self, now: Time, query: &TargetQuery, capacity: &Capacity) -> ChooseResult {
        let cooldown = self.service_cooldown(now, query);
        if cooldown > query.max_wait {
            return ChooseResult::CoolingDown(cooldown);
        }
        if let Some((key, wait)) = capacity.first
            && wait <= query.max_wait
        {
            return self.send_to(now, query.engine_memory.is_some(), key, None, true, wait);
        }
        match capacity.wait {
            // A target that is full for a moment, or warm soon, is worth waiting for.
            Some(wait) if wait > query.max_wait && !self.has_unlimited_target(now, query) => {
                ChooseResult::NoCapacity(wait)
            }
            _ => ChooseResult::Busy(BUSY_RETRY_DELAY),
        }
    }

    /// Whether the list entry of any target without a rate limit and outside a cooldown accepts work. The
    /// target may be in quarantine or full now.
    fn has_unlimited_target(&self, now: Time, query: &TargetQuery) -> bool {
        let in_cooldown = |record: &TargetRecord| !query.for_other_node && record.cooldown(now) > Span::ZERO;
        let placed_here = |hash| query.placing.is_none_or(|shard| shard.holds(hash));
        self.working_rate_limits(now, &query.service)
            .any(|(record, rate_limit)| {
                rate_limit.is_none()
                    && !in_cooldown(record)
                    && placed_here(record.hash)
                    && query.accepts_version(&record.entry)
            })
    }

    fn send_to(
        &self,
        now: Time,
        is_engine: bool,
        target: TargetKey,
        source: Option<String>,
        rate_limited: bool,
        wait: Span,
    ) -> ChooseResult {
        let Some(record) = self.targets.get(target) else {
            return ChooseResult::Busy(BUSY_RETRY_DELAY);
        };
        let is_brittle = self.brittle_refusals(now, &record.entry.service).is_some();
        ChooseResult::Send(TargetChoice {
            target,
            id: record.entry.id.clone(),
            address: record.entry.address.clone(),
            version: Some(record.entry.version_id()),
            source,
            rate_limited,
            brittle: is_brittle && !is_engine,
            wait,
            may_queue: self.may_queue(record),
        })
    }

    /// The zone of the target that a call would be sent to now.
    pub fn likely_zone(&mut self, now: Time, query: &TargetQuery) -> Option<String> {
        match self.choose(now, query) {
            ChooseResult::Send(chosen) => Some(self.targets.get(chosen.target)?.entry.zone.clone()),
            ChooseResult::NoCapacity(_) | ChooseResult::CoolingDown(_) | ChooseResult::Busy(_) => None,
        }
    }

    /// The zone whose targets are preferred for a call: the one that holds its inputs, or this node's own
    /// zone if the query names none.
    fn zone<'a>(&'a self, query: &'a TargetQuery) -> &'a str {
        if query.zone.is_empty() {
            &self.settings.zone
        } else {
            &query.zone
        }
    }

    fn choose_plain(&mut self, now: Time, query: &TargetQuery, usable: &[TargetKey]) -> TargetKey {
        let zone = self.zone(query).to_owned();
        let failure_rate = |key: &TargetKey| self.targets[*key].failure_rate_now(now);
        let lowest_failure_rate = usable.iter().map(failure_rate).fold(1.0, f64::min);
        let fastest = self.fastest_slowness(now, usable);
        if self.random.random_bool(REMEASURE_SHARE) {
            let is_due = |key: &&TargetKey| self.targets[**key].is_due(now, fastest);
            if let Some(due) = usable.iter().copied().find(|key| is_due(&key)) {
                return due;
            }
        }
        let score = |key: &TargetKey| {
            let record = &self.targets[*key];
            let slots = f64::from(record.entry.slots.max(1));
            let load = f64::from(record.in_flight) * self.members.len().max(1) as f64 / slots;
            let zone_penalty = if record.entry.zone == zone {
                0.0
            } else {
                CROSS_ZONE_PENALTY
            };
            let failure_penalty = FAILURE_PENALTY * (record.failure_rate_now(now) - lowest_failure_rate);
            let time = record.slowness_now(now, fastest) * record.load.time_factor(now);
            let score = time * (1.0 + load) + zone_penalty + failure_penalty;
            // Rounded, since small differences are noise and an old failure would count forever.
            (score / SCORE_STEP).floor()
        };
        let scores: Vec<f64> = usable.iter().map(score).collect();
        self.lowest_score(usable, &scores)
    }

    fn choose_engine(
        &mut self,
        now: Time,
        query: &TargetQuery,
        memory: u64,
        usable: &[TargetKey],
    ) -> TargetKey {
        let zone = self.zone(query).to_owned();
        let home = self.prefix_home(query.prefix, usable);
        let unshared = unshared_tokens(query);
        let usual = self.usual_token_time();
        let cross_zone_penalty = cross_zone_penalty(query);
        let score = |key: &TargetKey| {
            let record = &self.targets[*key];
            let zone_penalty = if record.entry.zone == zone {
                0.0
            } else {
                cross_zone_penalty
            };
            let uncached = self.uncached_prefix_tokens(now, query, memory, *key, home);
            let to_compute = unshared + uncached * RECOMPUTE_WEIGHT;
            let running = RUNNING_TOKENS * f64::from(record.in_flight);
            let failure_penalty = FAILURE_PENALTY_TOKENS * record.failure_rate_now(now);
            let (backlog, delay) = record.prefill_backlog(now, usual);
            let tokens = backlog + to_compute + running;
            record.speed.time(now, tokens, delay, usual) / usual + zone_penalty + failure_penalty
        };
        let scores: Vec<f64> = usable.iter().map(score).collect();
        self.lowest_score(usable, &scores)
    }

    /// The slowness of the fastest of `usable`, at most that of a target as fast as expected.
    fn fastest_slowness(&self, now: Time, usable: &[TargetKey]) -> f64 {
        let slowness = |key: &TargetKey| self.targets[*key].slowness_now(now, EXPECTED_SLOWNESS);
        usable.iter().map(slowness).fold(EXPECTED_SLOWNESS, f64::min)
    }

    /// The estimated number of shared prefix tokens that a target would have to compute.
    pub(super) fn uncached_prefix_tokens(
        &self,
        now: Time,
        query: &TargetQuery,
        memory: u64,
        key: TargetKey,
        home: Option<TargetKey>,
    ) -> f64 {
        let cached = if query.prefix == 0 {
            0.0
        } else if self.targets[key].prefixes.holds(now, query.prefix, memory) {
            1.0
        } else if Some(key) == home {
            // The node that places the calls of all nodes knows best what it sent to the home engine,
            // but not what an earlier owner sent there.
            if query.placing.is_some() {
                HOME_CACHED_PROBABILITY
            } else {
                1.0
            }
        } else {
            0.0
        };
        f64::from(query.prefix_tokens) * (1.0 - cached)
    }

    /// The address of the engine from which the chosen one should copy the shared prefix: one that
    /// received it recently, or else its home engine.
    ///
    /// A copy costs a tenth of recomputing the prefix, but does not influence the choice of the engine:
    /// as a part of the score it spread and moved prefixes far more often (docs/DECISIONS.md).
    fn prefix_source(
        &self,
        now: Time,
        query: &TargetQuery,
        memory: u64,
        usable: &[TargetKey],
        chosen: TargetKey,
    ) -> Option<String> {
        // What engines of two software versions keep in memory does not fit together.
        let version = &self.targets[chosen].entry.software_version;
        let fits = |key: &&TargetKey| self.targets[**key].entry.software_version == *version;
        let usable: Vec<TargetKey> = usable.iter().filter(fits).copied().collect();
        let home = self.prefix_home(query.prefix, &usable)?;
        let holds = |key: &TargetKey| self.targets[*key].prefixes.holds(now, query.prefix, memory);
        if holds(&chosen) {
            return None;
        }
        let reliable = |key: &&TargetKey| self.targets[**key].failure_rate_now(now) < MAX_SOURCE_FAILURE_RATE;
        let holder = usable.iter().filter(reliable).find(|key| holds(key));
        let source = holder.copied().unwrap_or(home);
        (source != chosen).then(|| self.targets[source].entry.address.clone())
    }

    /// The engine to which all nodes send calls with the same prefix. Zones are ignored: computing a
    /// long prefix in each zone costs more than sending inputs across zones.
    fn prefix_home(&self, prefix: u64, usable: &[TargetKey]) -> Option<TargetKey> {
        if prefix == 0 {
            return None;
        }
        let place = |key: &&TargetKey| {
            let member = self.targets[**key].hash as u64;
            rendezvous::order(u128::from(prefix), member)
        };
        usable.iter().min_by_key(place).copied()
    }

    /// The key with the lowest score; ties are broken at random.
    fn lowest_score(&mut self, keys: &[TargetKey], scores: &[f64]) -> TargetKey {
        let start = self.random.random_range(0..keys.len());
        let mut best = start;
        for step in 0..keys.len() {
            let place = (start + step) % keys.len();
            if scores[place] < scores[best] {
                best = place;
            }
        }
        keys[best]
    }
}

/// The penalty of an engine outside the zone of the inputs, in prompt tokens.
fn cross_zone_penalty(query: &TargetQuery) -> f64 {
    CROSS_ZONE_TOKENS + CROSS_ZONE_TOKENS_PER_MB * query.input_bytes as f64 / 1e6
}

impl TargetQuery {
    /// Whether it costs more to compute the shared prefix again than to fetch the inputs from another zone: then the engine
    /// is chosen by its cache, and the inputs should be computed near it.
    pub fn is_prefix_decisive(&self) -> bool {
        self.engine_memory.is_some()
            && f64::from(self.prefix_tokens) * RECOMPUTE_WEIGHT > cross_zone_penalty(self)
    }
}

/// The number of prompt tokens that the call shares with no other call.
pub(super) fn unshared_tokens(query: &TargetQuery) -> f64 {
    f64::from(query.prompt_tokens.saturating_sub(query.prefix_tokens))
}
