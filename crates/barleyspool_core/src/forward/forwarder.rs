//! Which target answers a forwarded call, and whether a call may be sent again.

use super::{ForwardPlan, RetryWindow, SendEnd, TargetKey, TargetRecord};
use crate::chart::{Chart, ChartError};
use crate::{Span, TARGET_CHART, TargetEvent, TargetPhase, Time, rendezvous};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap};

slotmap::new_key_type! {
    /// A send that is under way.
    pub struct SendKey;
}

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
/// Differences in the time of an answer below this share say nothing.
const SCORE_STEP: f64 = 0.1;
/// Prompt tokens read in a millisecond until something has been measured.
const FIRST_RATE: f64 = 40.0;
/// The time of an answer until something has been measured.
const FIRST_TIME: Span = Span::from_millis(60);
/// How much a new measurement moves an average.
const GAIN: f64 = 0.05;
/// How much a new time to the first output moves its average: loads change within seconds.
const FIRST_GAIN: f64 = 0.15;
/// Prompts shorter than this say little of the reading rate.
const LEAST_TOKENS: f64 = 500.0;
/// How long a target that said it is full gets nothing.
const FULL_WAIT: Span = Span::from_millis(40);
/// When to come back when every target is busy or away.
const BUSY_WAIT: Span = Span::from_millis(250);
/// The most targets, as a share, that failures may keep out; beyond it the view is suspect.
const MOST_OUT: f64 = 0.5;

/// What a forwarder is set up with.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// This node's zone.
    pub zone: String,
    /// Repeats allowed per request, over the whole fleet.
    pub retry_ratio: f64,
    /// Repeats allowed per window besides, over the whole fleet.
    pub retry_fixed: f64,
    /// The window over which repeats are counted.
    pub retry_window: Span,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            retry_ratio: 0.1,
            retry_fixed: 10.0,
            retry_window: Span::from_secs(10),
            seed: 1,
        }
    }
}

/// What a call needs of its target.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// The service.
    pub service: String,
    /// The route, whose calls resemble each other.
    pub route: String,
    /// Whether model engines serve it, and how many tokens one of them holds.
    pub engine_memory: Option<u64>,
    /// The shared beginning of its prompt; zero for none.
    pub prefix: u64,
    /// Tokens of that beginning.
    pub prefix_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Where its inputs lie; empty for this node's own zone.
    pub zone: String,
    /// The size of its inputs, in bytes.
    pub input_bytes: u64,
    /// Targets that failed it already.
    pub avoid: Vec<TargetKey>,
    /// Set when this node places the calls of all nodes at the engines of a shard.
    pub placing: Option<Shard>,
}

/// A part of the targets of a service: each belongs to one of `of` shards.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    /// Which one, from 0.
    pub number: u32,
    /// How many there are.
    pub of: u32,
}

impl Shard {
    /// Whether a target belongs to it.
    pub fn holds(self, target: &str) -> bool {
        let picked = rendezvous::pick(rendezvous::text_key(target), (0..self.of).map(u64::from));
        picked == Some(u64::from(self.number))
    }
}

/// The target of a send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The target.
    pub target: TargetKey,
    /// The run of it that is meant.
    pub id: String,
    /// IP number and port.
    pub address: String,
}

/// An answer of [`Forwarder::choose`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choose {
    /// Send it there.
    Send(Chosen),
    /// No target is usable now; when to come back.
    Busy(Span),
}

#[derive(Clone, Debug)]
struct Send {
    target: TargetKey,
    route: String,
    started: Time,
    /// The time to the first output that was expected, in microseconds.
    expected: f64,
    /// Tokens of its prompt that are not read yet.
    unread: f64,
    /// Tokens that stood before it when it was sent, its own included.
    queue_tokens: f64,
    first_output: bool,
}

/// Chooses targets for forwarded calls and rations retries, for one traffic thread.
#[derive(Debug)]
pub struct Forwarder {
    settings: ForwardSettings,
    targets: SlotMap<TargetKey, TargetRecord>,
    by_id: HashMap<String, TargetKey>,
    by_service: BTreeMap<String, Vec<TargetKey>>,
    sends: SlotMap<SendKey, Send>,
    retries: HashMap<String, RetryWindow>,
    answer_time: HashMap<String, f64>,
    /// Time to the first output of an engine, by route.
    first_time: HashMap<String, f64>,
    read_rate: f64,
    members: usize,
    random: SmallRng,
    chart: Chart<TargetPhase, TargetEvent>,
}

impl Forwarder {
    /// A forwarder that knows no targets yet.
    ///
    /// # Errors
    /// When the chart file does not fit the code.
    pub fn new(settings: ForwardSettings) -> Result<Self, ChartError> {
        Ok(Self {
            random: SmallRng::seed_from_u64(settings.seed),
            chart: Chart::load("target", TARGET_CHART)?,
            settings,
            targets: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: BTreeMap::new(),
            sends: SlotMap::with_key(),
            retries: HashMap::new(),
            answer_time: HashMap::new(),
            first_time: HashMap::new(),
            read_rate: FIRST_RATE,
            members: 1,
        })
    }

    // ------------------------------------------------------------------------
    // The plan

    /// Takes what a newer plan says of targets and members.
    pub fn take_plan(&mut self, plan: &ForwardPlan) {
        self.members = plan.members.len().max(1);
        let gone: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !plan.targets.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            if let Some(key) = self.by_id.remove(&id) {
                self.targets.remove(key);
            }
        }
        for (id, entry) in plan.targets.iter() {
            match self.by_id.get(id).and_then(|key| self.targets.get_mut(*key)) {
                Some(record) if record.entry == *entry => {}
                Some(record) => record.entry = entry.clone(),
                None => {
                    let key = self.targets.insert(TargetRecord::new(entry.clone()));
                    self.by_id.insert(id.clone(), key);
                }
            }
        }
        self.by_service.clear();
        for (key, record) in &self.targets {
            self.by_service
                .entry(record.entry.service.clone())
                .or_default()
                .push(key);
        }
    }

    /// What is known of the targets, for operators.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// The target of that id, when it may be used now.
    pub fn usable(&mut self, now: Time, id: &str) -> Option<Chosen> {
        let key = *self.by_id.get(id)?;
        let record = self.targets.get_mut(key)?;
        record.usable(now, &self.chart).then(|| Chosen {
            target: key,
            id: record.entry.id.clone(),
            address: record.entry.address.clone(),
        })
    }

    /// The key of the target of that id.
    pub fn key(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// What is known of one target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(key)
    }

    // ------------------------------------------------------------------------
    // Choice

    /// The target for a call.
    pub fn choose(&mut self, now: Time, need: &Need) -> Choose {
        let Some(keys) = self.by_service.get(&need.service).cloned() else {
            return Choose::Busy(BUSY_WAIT);
        };
        let mut usable: Vec<TargetKey> = Vec::with_capacity(keys.len());
        for key in &keys {
            if let Some(record) = self.targets.get_mut(*key)
                && need.placing.is_none_or(|shard| shard.holds(&record.entry.id))
                && record.usable(now, &self.chart)
            {
                usable.push(*key);
            }
        }
        if usable.iter().any(|key| !need.avoid.contains(key)) {
            usable.retain(|key| !need.avoid.contains(key));
        }
        if usable.is_empty() {
            return Choose::Busy(BUSY_WAIT);
        }
        let chosen = match need.engine_memory {
            Some(memory) => self.choose_engine(now, need, memory, &usable),
            None => self.choose_plain(now, need, &usable),
        };
        let Some(record) = self.targets.get(chosen) else {
            return Choose::Busy(BUSY_WAIT);
        };
        Choose::Send(Chosen {
            target: chosen,
            id: record.entry.id.clone(),
            address: record.entry.address.clone(),
        })
    }

    /// The zone of the target that a call would go to now.
    pub fn likely_zone(&mut self, now: Time, need: &Need) -> Option<String> {
        match self.choose(now, need) {
            Choose::Send(chosen) => Some(self.targets.get(chosen.target)?.entry.zone.clone()),
            Choose::Busy(_) => None,
        }
    }

    /// The zone in which a call should be answered.
    fn zone<'a>(&'a self, need: &'a Need) -> &'a str {
        if need.zone.is_empty() {
            &self.settings.zone
        } else {
            &need.zone
        }
    }

    fn choose_plain(&mut self, now: Time, need: &Need, usable: &[TargetKey]) -> TargetKey {
        let zone = self.zone(need).to_owned();
        let failing = |key: &TargetKey| self.targets[*key].failing_now(now);
        let least_failing = usable.iter().map(failing).fold(1.0, f64::min);
        let score = |key: &TargetKey| {
            let record = &self.targets[*key];
            let slots = f64::from(record.entry.slots.max(1));
            let load = f64::from(record.in_flight) * self.members as f64 / slots;
            let far = if record.entry.zone == zone { 0.0 } else { FAR_SHARE };
            let failing = FAILING_TIMES * (record.failing_now(now) - least_failing);
            let score = record.slowness_now(now) * (1.0 + load) + far + failing;
            // Small differences say nothing; without this an old failure would count for ever.
            (score / SCORE_STEP).floor()
        };
        let scores: Vec<f64> = usable.iter().map(score).collect();
        self.least(usable, &scores)
    }

    fn choose_engine(&mut self, now: Time, need: &Need, memory: u64, usable: &[TargetKey]) -> TargetKey {
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
            (record.unread_tokens + unread + running) * record.slowness_now(now) + far + failing
        };
        let scores: Vec<f64> = usable.iter().map(score).collect();
        self.least(usable, &scores)
    }

    /// The tokens of a call's shared prefix that a target would have to read, as far as is known.
    fn unread_prefix(
        &self,
        now: Time,
        need: &Need,
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

    /// The target at which all nodes let calls with the same prefix meet. Zones do not matter: reading a long
    /// prefix in each zone costs more than inputs that cross them.
    fn prefix_home(&self, prefix: u64, usable: &[TargetKey]) -> Option<TargetKey> {
        if prefix == 0 {
            return None;
        }
        let place = |key: &&TargetKey| {
            let member = rendezvous::text_key(&self.targets[**key].entry.id) as u64;
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

    // ------------------------------------------------------------------------
    // Sends

    /// A call goes out to `target`.
    pub fn begin(&mut self, now: Time, need: &Need, target: TargetKey) -> SendKey {
        let (expected, unread, queue_tokens) = match need.engine_memory {
            Some(memory) => {
                let unread = own_tokens(need) + self.unread_prefix(now, need, memory, target, None);
                let before = self
                    .targets
                    .get(target)
                    .map_or(0.0, |record| record.unread_tokens);
                let tokens = before + unread;
                (tokens / self.read_rate * 1000.0, unread, tokens)
            }
            None => (self.expected_answer(&need.service), 0.0, 0.0),
        };
        if let Some(record) = self.targets.get_mut(target) {
            record.in_flight += 1;
            record.unread_tokens += unread;
            if need.prefix != 0 {
                record.prefixes.used(now, need.prefix, need.prefix_tokens);
            }
        }
        self.sends.insert(Send {
            target,
            route: need.route.clone(),
            started: now,
            expected,
            unread,
            queue_tokens,
            first_output: false,
        })
    }

    fn expected_answer(&self, service: &str) -> f64 {
        self.answer_time
            .get(service)
            .copied()
            .unwrap_or(FIRST_TIME.0 as f64)
    }

    /// The expected time until a call of this need yields its first output, once it is sent.
    pub fn expected_first(&self, need: &Need) -> Span {
        let Some(_) = need.engine_memory else {
            return Span(self.expected_answer(&need.service) as u64);
        };
        let reading = f64::from(need.prompt_tokens) / self.read_rate * 1000.0;
        let measured = self.first_time.get(&need.route);
        Span(measured.copied().unwrap_or(reading) as u64)
    }

    /// The first output of a call came: its prompt is read.
    pub fn first_output(&mut self, now: Time, send: SendKey) {
        let Some(send) = self.sends.get_mut(send) else {
            return;
        };
        if send.first_output {
            return;
        }
        send.first_output = true;
        let took = now.since(send.started).0.max(1) as f64;
        if send.unread > 0.0 {
            let average = self.first_time.entry(send.route.clone()).or_insert(took);
            *average += FIRST_GAIN * (took - *average);
        }
        let Some(record) = self.targets.get_mut(send.target) else {
            return;
        };
        record.unread_tokens = (record.unread_tokens - send.unread).max(0.0);
        if send.queue_tokens >= LEAST_TOKENS {
            let rate = send.queue_tokens * 1000.0 / took;
            self.read_rate += GAIN * (rate - self.read_rate);
            self.read_rate = self.read_rate.max(1.0);
            record.answered(now, took / send.expected.max(10_000.0), false, &self.chart);
        }
    }

    /// A send ended. Returns true when its target went into quarantine.
    pub fn end(&mut self, now: Time, key: SendKey, end: SendEnd) -> bool {
        let Some(send) = self.sends.remove(key) else {
            return false;
        };
        let took = now.since(send.started).0.max(1) as f64;
        let Some(record) = self.targets.get_mut(send.target) else {
            return false;
        };
        let service = record.entry.service.clone();
        record.in_flight = record.in_flight.saturating_sub(1);
        if !send.first_output {
            record.unread_tokens = (record.unread_tokens - send.unread).max(0.0);
        }
        match end {
            SendEnd::Answered { success } => {
                if send.queue_tokens == 0.0 {
                    record.answered(now, took / send.expected.max(1000.0), !success, &self.chart);
                    if success {
                        let average = self.answer_time.entry(service).or_insert(took);
                        *average += GAIN * (took - *average);
                    }
                }
                false
            }
            SendEnd::Refused {
                inputs_gone: true, ..
            } => false,
            SendEnd::Refused {
                misdirected: true, ..
            } => self.failed(now, send.target, true),
            SendEnd::Refused { .. } => {
                record.full_until = now + FULL_WAIT;
                self.failed(now, send.target, false)
            }
            SendEnd::Unreachable => self.failed(now, send.target, true),
            SendEnd::BrokenOff | SendEnd::Silent => self.failed(now, send.target, false),
        }
    }

    /// The caller left or the time was up: nothing is known of the target.
    pub fn abandon(&mut self, key: SendKey) {
        let Some(send) = self.sends.remove(key) else {
            return;
        };
        if let Some(record) = self.targets.get_mut(send.target) {
            record.in_flight = record.in_flight.saturating_sub(1);
            if !send.first_output {
                record.unread_tokens = (record.unread_tokens - send.unread).max(0.0);
            }
        }
    }

    /// Counts a failure. When most targets of a service look bad the view is suspect, and none goes out.
    fn failed(&mut self, now: Time, target: TargetKey, certain: bool) -> bool {
        let Some(record) = self.targets.get(target) else {
            return false;
        };
        let keys = self.by_service.get(&record.entry.service);
        let all = keys.map_or(1, Vec::len);
        let out = keys.map_or(0, |keys| {
            let quarantined = |key: &&TargetKey| {
                self.targets
                    .get(**key)
                    .is_some_and(|record| record.phase == TargetPhase::Quarantined)
            };
            keys.iter().filter(quarantined).count()
        });
        let capped = (out + 1) as f64 > all as f64 * MOST_OUT;
        let Some(record) = self.targets.get_mut(target) else {
            return false;
        };
        if capped {
            record.failing += 0.2 * (1.0 - record.failing);
            return false;
        }
        record.failed(now, certain, &self.chart)
    }

    // ------------------------------------------------------------------------
    // Retries

    /// A call came for a service; it adds to what may be repeated there.
    pub fn count_request(&mut self, now: Time, service: &str) {
        let window = self.settings.retry_window;
        match self.retries.get_mut(service) {
            Some(retries) => retries.request(now, window),
            None => {
                let mut retries = RetryWindow::default();
                retries.request(now, window);
                self.retries.insert(service.to_owned(), retries);
            }
        }
    }

    /// Takes one repeat out of this node's part of the budget; false when it is used up.
    pub fn allow_retry(&mut self, now: Time, service: &str) -> bool {
        let settings = &self.settings;
        let fixed = settings.retry_fixed / self.members as f64;
        self.retries.entry(service.to_owned()).or_default().spend(
            now,
            settings.retry_window,
            settings.retry_ratio,
            fixed,
        )
    }
}

/// The tokens of a call's prompt that no other call shares.
fn own_tokens(need: &Need) -> f64 {
    f64::from(need.prompt_tokens.saturating_sub(need.prefix_tokens))
}
