//! The choice of a target for a call.

use super::target_record::AS_EXPECTED;
use super::{
    ChooseResult, Forwarder, NO_CAPACITY_TTL, TargetChoice, TargetKey, TargetQuery, TargetRecord, shard_key,
};
use crate::{Span, Time, rendezvous};
use rand::Rng;

/// How sure the owner of engines is that a prefix is held at its home when it has not sent it there itself.
const HOME_TRUST: f64 = 0.6;
/// What a token of a shared prefix that has to be read counts: reading it elsewhere again is waste besides.
const REREAD_WEIGHT: f64 = 1.5;
/// What one running request adds to the expected wait, in prompt tokens.
const RUNNING_TOKENS: f64 = 250.0;
/// What a megabyte of inputs that has to cross zones is weighed with, in prompt tokens.
const FAR_TOKENS_PER_MB: f64 = 400.0;
/// What a target in another zone has to be better by in any case, in prompt tokens.
const FAR_TOKENS: f64 = 200.0;
/// What a target in another zone has to be better by, as a share of the time of an answer.
const FAR_SHARE: f64 = 0.5;
/// What an engine that fails every call has to be better by, in prompt tokens.
const FAILING_TOKENS: f64 = 20_000.0;
/// What a plain target that fails every call has to be better by, in times of an answer.
const FAILING_TIMES: f64 = 4.0;
/// An engine that fails more than this share of its calls is not one to take a prompt from.
const MOST_FAILING: f64 = 0.2;
/// Differences in the time of an answer below this share say nothing.
const SCORE_STEP: f64 = 0.1;
/// When to come back when every target is busy or away.
const BUSY_WAIT: Span = Span::from_millis(250);

/// When targets that have been given all that they take have room again.
#[derive(Copy, Clone, Debug, Default)]
struct Room {
    /// The first whose rate allows another call, and after which wait, where this node gives it out.
    first: Option<(TargetKey, Span)>,
    /// The least wait until one may be asked for again, or is bounded no more.
    wait: Option<Span>,
}

impl Forwarder {
    /// The target for a call.
    pub fn choose(&mut self, now: Time, query: &TargetQuery) -> ChooseResult {
        let Some(keys) = self.by_service.get(&query.service).cloned() else {
            return ChooseResult::Busy(BUSY_WAIT);
        };
        let mut usable: Vec<TargetKey> = Vec::with_capacity(keys.len());
        for key in &keys {
            if let Some(record) = self.targets.get_mut(*key)
                && query.placing.is_none_or(|shard| shard.holds(record.hash))
                && record.usable(now, &self.chart)
                && (query.for_other_node || record.cooldown(now) == Span::ZERO)
            {
                usable.push(*key);
            }
        }
        let room = self.with_room(now, query, &mut usable);
        if usable.iter().any(|key| !query.avoid.contains(key)) {
            usable.retain(|key| !query.avoid.contains(key));
        }
        if usable.is_empty() {
            return self.when_room(now, query, &room);
        }
        let chosen = match query.engine_memory {
            Some(memory) => self.choose_engine(now, query, memory, &usable),
            None => self.choose_plain(now, query, &usable),
        };
        let source = query
            .engine_memory
            .filter(|_| query.copies)
            .and_then(|memory| self.prefix_source(now, query, memory, &usable, chosen));
        let bounded = self
            .rate_limit(now, chosen, self.cold_spec(&query.service))
            .is_some();
        self.send_to(chosen, source, bounded, Span::ZERO)
    }

    /// The target for a call that this node places for another one, or for itself. When the target takes so many calls a
    /// second and no more, this one is counted.
    pub fn place(&mut self, now: Time, query: &TargetQuery, asker: u64) -> ChooseResult {
        // Other nodes may name a service or a shard that there is not, or not any more; nothing is kept for those.
        let known = self.by_service.contains_key(&query.service);
        let placing = query.placing.filter(|shard| known && shard.number < shard.of);
        let share = placing.map(|shard| {
            let shard = shard_key(&query.service, shard.number);
            self.rate_share(now, shard, asker)
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

    /// Takes those out of `usable` that have been given all that they take. Returns when one of them has room again.
    fn with_room(&mut self, now: Time, query: &TargetQuery, usable: &mut Vec<TargetKey>) -> Room {
        let mut room = Room::default();
        let cold = self.cold_spec(&query.service);
        if cold.is_none() && self.limits.is_empty() {
            return room;
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
                // It may give out nothing, and cannot say when it may.
                Some(share) if share.fraction <= 0.0 => return false,
                Some(share) => {
                    let wait = self.capacity_wait(now, *key, rate_limit, share);
                    if !rate_limit.ends_within(now, wait) && room.first.is_none_or(|(_, least)| wait < least)
                    {
                        room.first = Some((*key, wait));
                    }
                    share.retry_after(rate_limit.wait(now, wait))
                }
                // Only their owner chooses among engines that have a rate.
                None if query.engine_memory.is_some() => return false,
                // Whoever gives out its rate is asked, unless that would be in vain.
                None => {
                    let record = &self.targets[*key];
                    let wait = record.no_capacity_until.since(now);
                    let old = now.since(record.no_capacity_at) >= NO_CAPACITY_TTL;
                    if old || wait <= query.max_wait {
                        Span::ZERO
                    } else {
                        wait
                    }
                }
            };
            room.wait = Some(room.wait.map_or(wait, |least| least.min(wait)));
            wait == Span::ZERO
        });
        room
    }

    /// The answer when no target can be used at once.
    fn when_room(&self, now: Time, query: &TargetQuery, room: &Room) -> ChooseResult {
        let rest = self.service_cooldown(now, query);
        if rest > query.max_wait {
            return ChooseResult::CoolingDown(rest);
        }
        if let Some((key, wait)) = room.first
            && wait <= query.max_wait
        {
            return self.send_to(key, None, true, wait);
        }
        match room.wait {
            // One that is only full for a moment, or warm in a moment, is worth waiting for.
            Some(wait) if wait > query.max_wait && !self.has_unbounded(now, query) => {
                ChooseResult::NoCapacity(wait)
            }
            _ => ChooseResult::Busy(BUSY_WAIT),
        }
    }

    /// Whether any target that nothing bounds and that does not rest may get work, if not at this moment.
    fn has_unbounded(&self, now: Time, query: &TargetQuery) -> bool {
        let rests = |record: &TargetRecord| !query.for_other_node && record.cooldown(now) > Span::ZERO;
        let placed_here = |hash| query.placing.is_none_or(|shard| shard.holds(hash));
        self.working_rate_limits(now, &query.service)
            .any(|(record, rate_limit)| rate_limit.is_none() && !rests(record) && placed_here(record.hash))
    }

    fn send_to(&self, target: TargetKey, source: Option<String>, bounded: bool, wait: Span) -> ChooseResult {
        let Some(record) = self.targets.get(target) else {
            return ChooseResult::Busy(BUSY_WAIT);
        };
        ChooseResult::Send(TargetChoice {
            target,
            id: record.entry.id.clone(),
            address: record.entry.address.clone(),
            source,
            rate_limited: bounded,
            wait,
        })
    }

    /// The zone of the target that a call would go to now.
    pub fn likely_zone(&mut self, now: Time, query: &TargetQuery) -> Option<String> {
        match self.choose(now, query) {
            ChooseResult::Send(chosen) => Some(self.targets.get(chosen.target)?.entry.zone.clone()),
            ChooseResult::NoCapacity(_) | ChooseResult::CoolingDown(_) | ChooseResult::Busy(_) => None,
        }
    }

    /// The zone in which a call should be answered.
    fn zone<'a>(&'a self, query: &'a TargetQuery) -> &'a str {
        if query.zone.is_empty() {
            &self.settings.zone
        } else {
            &query.zone
        }
    }

    fn choose_plain(&mut self, now: Time, query: &TargetQuery, usable: &[TargetKey]) -> TargetKey {
        let zone = self.zone(query).to_owned();
        let failing = |key: &TargetKey| self.targets[*key].failing_now(now);
        let least_failing = usable.iter().map(failing).fold(1.0, f64::min);
        let fastest = self.least_slowness(now, usable);
        let score = |key: &TargetKey| {
            let record = &self.targets[*key];
            let slots = f64::from(record.entry.slots.max(1));
            let load = f64::from(record.in_flight) * self.members.len().max(1) as f64 / slots;
            let far = if record.entry.zone == zone { 0.0 } else { FAR_SHARE };
            let failing = FAILING_TIMES * (record.failing_now(now) - least_failing);
            let score = record.slowness_now(now, fastest) * (1.0 + load) + far + failing;
            // Small differences say nothing; without this an old failure would count for ever.
            (score / SCORE_STEP).floor()
        };
        let scores: Vec<f64> = usable.iter().map(score).collect();
        self.least(usable, &scores)
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
        let own = unshared_tokens(query);
        let crossing = FAR_TOKENS + FAR_TOKENS_PER_MB * query.input_bytes as f64 / 1e6;
        let score = |key: &TargetKey| {
            let record = &self.targets[*key];
            let far = if record.entry.zone == zone { 0.0 } else { crossing };
            let prefix = self.uncached_prefix_tokens(now, query, memory, *key, home);
            let unread = own + prefix * REREAD_WEIGHT;
            let running = RUNNING_TOKENS * f64::from(record.in_flight);
            let failing = FAILING_TOKENS * record.failing_now(now);
            (record.pending_prefill_tokens + unread + running) * record.slowness_now(now, AS_EXPECTED)
                + far
                + failing
        };
        let scores: Vec<f64> = usable.iter().map(score).collect();
        self.least(usable, &scores)
    }

    /// How slow the fastest of `usable` is, at most as slow as is expected.
    fn least_slowness(&self, now: Time, usable: &[TargetKey]) -> f64 {
        let slowness = |key: &TargetKey| self.targets[*key].slowness_now(now, AS_EXPECTED);
        usable.iter().map(slowness).fold(AS_EXPECTED, f64::min)
    }

    /// The tokens of a call's shared prefix that a target would have to read, as far as is known.
    pub(super) fn uncached_prefix_tokens(
        &self,
        now: Time,
        query: &TargetQuery,
        memory: u64,
        key: TargetKey,
        home: Option<TargetKey>,
    ) -> f64 {
        let held = if query.prefix == 0 {
            0.0
        } else if self.targets[key].prefixes.holds(now, query.prefix, memory) {
            1.0
        } else if Some(key) == home {
            // Whoever places the calls of all nodes knows better what the home was sent, but not what an
            // owner before it did.
            if query.placing.is_some() { HOME_TRUST } else { 1.0 }
        } else {
            0.0
        };
        f64::from(query.prefix_tokens) * (1.0 - held)
    }

    /// The address of the engine from which the chosen one should take the shared beginning of a prompt: one that was
    /// sent it lately, or else its home. That costs a tenth of reading it again, but it is no reason to choose another
    /// engine: with it in the choice prompts were spread, and moved, far more often (docs/DECISIONS.md).
    fn prefix_source(
        &self,
        now: Time,
        query: &TargetQuery,
        memory: u64,
        usable: &[TargetKey],
        chosen: TargetKey,
    ) -> Option<String> {
        let home = self.prefix_home(query.prefix, usable)?;
        let holds = |key: &TargetKey| self.targets[*key].prefixes.holds(now, query.prefix, memory);
        if holds(&chosen) {
            return None;
        }
        let sound = |key: &&TargetKey| self.targets[**key].failing_now(now) < MOST_FAILING;
        let held = usable.iter().filter(sound).find(|key| holds(key));
        let source = held.copied().unwrap_or(home);
        (source != chosen).then(|| self.targets[source].entry.address.clone())
    }

    /// The target at which all nodes let calls with the same prefix meet. Zones do not matter: reading a long
    /// prefix in each zone costs more than inputs that cross them.
    fn prefix_home(&self, prefix: u64, usable: &[TargetKey]) -> Option<TargetKey> {
        if prefix == 0 {
            return None;
        }
        let place = |key: &&TargetKey| {
            let member = self.targets[**key].hash as u64;
            rendezvous::place(u128::from(prefix), member)
        };
        usable.iter().min_by_key(place).copied()
    }

    /// The key with the least score; among equals a random one.
    fn least(&mut self, keys: &[TargetKey], scores: &[f64]) -> TargetKey {
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

/// The tokens of a call's prompt that no other call shares.
pub(super) fn unshared_tokens(query: &TargetQuery) -> f64 {
    f64::from(query.prompt_tokens.saturating_sub(query.prefix_tokens))
}
