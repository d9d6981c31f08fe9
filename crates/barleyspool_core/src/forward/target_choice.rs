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
    pub fn choose(&mut self, now: Time, need: &TargetQuery) -> ChooseResult {
        let Some(keys) = self.by_service.get(&need.service).cloned() else {
            return ChooseResult::Busy(BUSY_WAIT);
        };
        let mut usable: Vec<TargetKey> = Vec::with_capacity(keys.len());
        for key in &keys {
            if let Some(record) = self.targets.get_mut(*key)
                && need.placing.is_none_or(|shard| shard.holds(record.hash))
                && record.usable(now, &self.chart)
                && (need.for_other || record.rest(now) == Span::ZERO)
            {
                usable.push(*key);
            }
        }
        let room = self.with_room(now, need, &mut usable);
        if usable.iter().any(|key| !need.avoid.contains(key)) {
            usable.retain(|key| !need.avoid.contains(key));
        }
        if usable.is_empty() {
            return self.when_room(now, need, &room);
        }
        let chosen = match need.engine_memory {
            Some(memory) => self.choose_engine(now, need, memory, &usable),
            None => self.choose_plain(now, need, &usable),
        };
        let source = need
            .engine_memory
            .filter(|_| need.copies)
            .and_then(|memory| self.prefix_source(now, need, memory, &usable, chosen));
        let bounded = self.bound(now, chosen, self.cold_spec(&need.service)).is_some();
        self.send_to(chosen, source, bounded, Span::ZERO)
    }

    /// The target for a call that this node places for another one, or for itself. When the target takes so many calls a
    /// second and no more, this one is counted.
    pub fn place(&mut self, now: Time, need: &TargetQuery, asker: u64) -> ChooseResult {
        // Other nodes may name a service or a shard that there is not, or not any more; nothing is kept for those.
        let known = self.by_service.contains_key(&need.service);
        let placing = need.placing.filter(|shard| known && shard.number < shard.of);
        let share = placing.map(|shard| {
            let shard = shard_key(&need.service, shard.number);
            self.rate_share(now, shard, asker)
        });
        let choice = self.choose(now, need);
        if let (ChooseResult::Send(chosen), Some(share)) = (&choice, share) {
            let bound = self.bound(now, chosen.target, self.cold_spec(&need.service));
            if let (Some(bound), Some(record)) = (bound, self.targets.get_mut(chosen.target)) {
                record.bucket.take(now, bound.per_s, share);
            }
        }
        choice
    }

    /// Takes those out of `usable` that have been given all that they take. Returns when one of them has room again.
    fn with_room(&mut self, now: Time, need: &TargetQuery, usable: &mut Vec<TargetKey>) -> Room {
        let mut room = Room::default();
        let cold = self.cold_spec(&need.service);
        if cold.is_none() && self.limits.is_empty() {
            return room;
        }
        let share = need.placing.map(|shard| {
            let shard = shard_key(&need.service, shard.number);
            self.known_share(now, shard)
        });
        usable.retain(|key| {
            let Some(bound) = self.bound(now, *key, cold) else {
                return true;
            };
            let wait = match share {
                // It may give out nothing, and cannot say when it may.
                Some(share) if share.part <= 0.0 => return false,
                Some(share) => {
                    let wait = self.room_in(now, *key, bound, share);
                    if !bound.ends_within(now, wait) && room.first.is_none_or(|(_, least)| wait < least) {
                        room.first = Some((*key, wait));
                    }
                    share.ask_again(bound.wait(now, wait))
                }
                // Only their owner chooses among engines that have a rate.
                None if need.engine_memory.is_some() => return false,
                // Whoever gives out its rate is asked, unless that would be in vain.
                None => {
                    let record = &self.targets[*key];
                    let wait = record.no_room_until.since(now);
                    let old = now.since(record.no_room_at) >= NO_CAPACITY_TTL;
                    if old || wait <= need.max_wait {
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
    fn when_room(&self, now: Time, need: &TargetQuery, room: &Room) -> ChooseResult {
        let rest = self.all_rest(now, need);
        if rest > need.max_wait {
            return ChooseResult::Resting(rest);
        }
        if let Some((key, wait)) = room.first
            && wait <= need.max_wait
        {
            return self.send_to(key, None, true, wait);
        }
        match room.wait {
            // One that is only full for a moment, or warm in a moment, is worth waiting for.
            Some(wait) if wait > need.max_wait && !self.has_unbounded(now, need) => {
                ChooseResult::NoCapacity(wait)
            }
            _ => ChooseResult::Busy(BUSY_WAIT),
        }
    }

    /// Whether any target that nothing bounds and that does not rest may get work, if not at this moment.
    fn has_unbounded(&self, now: Time, need: &TargetQuery) -> bool {
        let rests = |record: &TargetRecord| !need.for_other && record.rest(now) > Span::ZERO;
        let placed_here = |hash| need.placing.is_none_or(|shard| shard.holds(hash));
        self.working_bounds(now, &need.service)
            .any(|(record, bound)| bound.is_none() && !rests(record) && placed_here(record.hash))
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
            bounded,
            wait,
        })
    }

    /// The zone of the target that a call would go to now.
    pub fn likely_zone(&mut self, now: Time, need: &TargetQuery) -> Option<String> {
        match self.choose(now, need) {
            ChooseResult::Send(chosen) => Some(self.targets.get(chosen.target)?.entry.zone.clone()),
            ChooseResult::NoCapacity(_) | ChooseResult::Resting(_) | ChooseResult::Busy(_) => None,
        }
    }

    /// The zone in which a call should be answered.
    fn zone<'a>(&'a self, need: &'a TargetQuery) -> &'a str {
        if need.zone.is_empty() {
            &self.settings.zone
        } else {
            &need.zone
        }
    }

    fn choose_plain(&mut self, now: Time, need: &TargetQuery, usable: &[TargetKey]) -> TargetKey {
        let zone = self.zone(need).to_owned();
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
        need: &TargetQuery,
        memory: u64,
        usable: &[TargetKey],
    ) -> TargetKey {
        let zone = self.zone(need).to_owned();
        let home = self.prefix_home(need.prefix, usable);
        let own = own_tokens(need);
        let crossing = FAR_TOKENS + FAR_TOKENS_PER_MB * need.input_bytes as f64 / 1e6;
        let score = |key: &TargetKey| {
            let record = &self.targets[*key];
            let far = if record.entry.zone == zone { 0.0 } else { crossing };
            let prefix = self.unread_prefix(now, need, memory, *key, home);
            let unread = own + prefix * REREAD_WEIGHT;
            let running = RUNNING_TOKENS * f64::from(record.in_flight);
            let failing = FAILING_TOKENS * record.failing_now(now);
            (record.unread_tokens + unread + running) * record.slowness_now(now, AS_EXPECTED) + far + failing
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
    pub(super) fn unread_prefix(
        &self,
        now: Time,
        need: &TargetQuery,
        memory: u64,
        key: TargetKey,
        home: Option<TargetKey>,
    ) -> f64 {
        let held = if need.prefix == 0 {
            0.0
        } else if self.targets[key].prefixes.holds(now, need.prefix, memory) {
            1.0
        } else if Some(key) == home {
            // Whoever places the calls of all nodes knows better what the home was sent, but not what an
            // owner before it did.
            if need.placing.is_some() { HOME_TRUST } else { 1.0 }
        } else {
            0.0
        };
        f64::from(need.prefix_tokens) * (1.0 - held)
    }

    /// The address of the engine from which the chosen one should take the shared beginning of a prompt: one that was
    /// sent it lately, or else its home. That costs a tenth of reading it again, but it is no reason to choose another
    /// engine: with it in the choice prompts were spread, and moved, far more often (docs/DECISIONS.md).
    fn prefix_source(
        &self,
        now: Time,
        need: &TargetQuery,
        memory: u64,
        usable: &[TargetKey],
        chosen: TargetKey,
    ) -> Option<String> {
        let home = self.prefix_home(need.prefix, usable)?;
        let holds = |key: &TargetKey| self.targets[*key].prefixes.holds(now, need.prefix, memory);
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
pub(super) fn own_tokens(need: &TargetQuery) -> f64 {
    f64::from(need.prompt_tokens.saturating_sub(need.prefix_tokens))
}
