//! Which target answers a forwarded call, and whether a call may be sent again.

use super::target_choice::unshared_tokens;
use super::{
    Catalog, ForwardPlan, MemberView, RetryWindow, SendEnd, ServiceTargets, TargetChoice, TargetEntry,
    TargetKey, TargetQuery, TargetRecord, TargetTable,
};
use crate::chart::{Chart, ChartError};
use crate::{
    IncarnationId, LimitTable, Ownership, Reachability, Span, TARGET_CHART, TargetEvent, TargetPhase, Time,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

slotmap::new_key_type! {
    /// A send that is under way.
    pub struct SendKey;
}

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

/// A send that is under way, for the books.
#[derive(Clone, Debug)]
pub(super) struct Send {
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
    pub(super) settings: ForwardSettings,
    pub(super) targets: SlotMap<TargetKey, TargetRecord>,
    /// The list that the books below were made from.
    pub(super) table: Arc<TargetTable>,
    pub(super) by_id: HashMap<String, TargetKey>,
    pub(super) by_service: BTreeMap<String, Vec<TargetKey>>,
    /// Targets that rest, or did a while ago.
    pub(super) resting: Vec<TargetKey>,
    pub(super) sends: SlotMap<SendKey, Send>,
    pub(super) retries: HashMap<String, RetryWindow>,
    pub(super) answer_time: HashMap<String, f64>,
    /// Time to the first output of an engine, by route.
    pub(super) first_time: HashMap<String, f64>,
    pub(super) read_rate: f64,
    pub(super) members: Arc<Vec<MemberView>>,
    /// Since when these are the members.
    pub(super) members_since: Time,
    /// This node's key among the members.
    pub(super) me: u64,
    /// Whether the members are likely to be all there are.
    pub(super) converged: bool,
    /// How the targets of each service are split.
    pub(super) services: Arc<HashMap<String, ServiceTargets>>,
    pub(super) reach: Reachability,
    /// What targets have said of their limits.
    pub(super) limits: LimitTable,
    /// Which shards of services this node owns, by their keys, and who asks it.
    pub(super) owned: HashMap<u128, Ownership>,
    pub(super) catalog: Option<Arc<Catalog>>,
    pub(super) random: SmallRng,
    pub(super) chart: Chart<TargetPhase, TargetEvent>,
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
            table: Arc::default(),
            by_id: HashMap::new(),
            by_service: BTreeMap::new(),
            resting: Vec::new(),
            sends: SlotMap::with_key(),
            retries: HashMap::new(),
            answer_time: HashMap::new(),
            first_time: HashMap::new(),
            read_rate: FIRST_RATE,
            members: Arc::default(),
            members_since: Time(0),
            me: 0,
            converged: false,
            services: Arc::default(),
            reach: Reachability::default(),
            limits: LimitTable::default(),
            owned: HashMap::new(),
            catalog: None,
        })
    }

    // ------------------------------------------------------------------------
    // The plan

    /// Takes what a newer plan says of targets and members.
    pub fn apply_plan(&mut self, plan: &ForwardPlan) {
        if self.members != plan.members {
            self.members_since = plan.made;
        }
        self.members = Arc::clone(&plan.members);
        self.me = plan.me;
        self.converged = plan.converged;
        self.services = Arc::clone(&plan.services);
        self.reach = plan.reach;
        self.limits.merge(plan.made, &plan.limits);
        self.update_ownership(plan.made);
        self.catalog.clone_from(&plan.catalog);
        if Arc::ptr_eq(&self.table, &plan.targets) {
            // Members come and go far more often than a large list should be walked through.
            return;
        }
        self.table = Arc::clone(&plan.targets);
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
                Some(record) if record.entry == *entry && record.entry.times == entry.times => {}
                Some(record) if record.entry.incarnation == entry.incarnation => record.entry = entry.clone(),
                // Nothing that was seen of the run before holds for this one; its sends end without a record.
                _ => self.insert(entry),
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

    fn insert(&mut self, entry: &TargetEntry) {
        let key = self.targets.insert(TargetRecord::new(entry.clone()));
        if let Some(before) = self.by_id.insert(entry.id.clone(), key) {
            self.targets.remove(before);
        }
    }

    /// What is known of the targets, for operators.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// The target of that id, when this node may use it now.
    pub fn usable(&mut self, now: Time, id: &str) -> Option<TargetChoice> {
        let key = *self.by_id.get(id)?;
        let record = self.targets.get_mut(key)?;
        let usable = record.usable(now, &self.chart) && record.cooldown(now) == Span::ZERO;
        usable.then(|| TargetChoice {
            target: key,
            id: record.entry.id.clone(),
            address: record.entry.address.clone(),
            source: None,
            rate_limited: false,
            wait: Span::ZERO,
        })
    }

    /// The key of the target of that id.
    pub fn key(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// The run of a target that said in the answer to a request sent at `sent` that it leaves; `None` when the list has it so already, or has a later run.
    pub fn leaving_incarnation(&self, sent: Time, id: &str) -> Option<IncarnationId> {
        let record = self.targets.get(*self.by_id.get(id)?)?;
        let entry = &record.entry;
        (!entry.leaving && sent >= entry.times.restarted_at).then_some(record.incarnation_id)
    }

    /// What is known of one target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(key)
    }

    // ------------------------------------------------------------------------
    // Sends

    /// A call goes out to `target`.
    pub fn begin(&mut self, now: Time, need: &TargetQuery, target: TargetKey) -> SendKey {
        let (expected, unread, queue_tokens) = match need.engine_memory {
            Some(memory) => {
                let unread =
                    unshared_tokens(need) + self.uncached_prefix_tokens(now, need, memory, target, None);
                let before = self
                    .targets
                    .get(target)
                    .map_or(0.0, |record| record.pending_prefill_tokens);
                let tokens = before + unread;
                (tokens / self.read_rate * 1000.0, unread, tokens)
            }
            None => (self.expected_answer(&need.service), 0.0, 0.0),
        };
        if let Some(record) = self.targets.get_mut(target) {
            record.in_flight += 1;
            record.pending_prefill_tokens += unread;
            if need.prefix != 0 {
                record.prefixes.record(now, need.prefix, need.prefix_tokens);
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
    pub fn expected_first_output(&self, need: &TargetQuery) -> Span {
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
        record.pending_prefill_tokens = (record.pending_prefill_tokens - send.unread).max(0.0);
        if send.queue_tokens >= LEAST_TOKENS {
            let rate = send.queue_tokens * 1000.0 / took;
            self.read_rate += GAIN * (rate - self.read_rate);
            self.read_rate = self.read_rate.max(1.0);
            record.record_answer(now, took / send.expected.max(10_000.0), false, &self.chart);
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
            record.pending_prefill_tokens = (record.pending_prefill_tokens - send.unread).max(0.0);
        }
        match end {
            SendEnd::Answered { success } => {
                if send.queue_tokens == 0.0 {
                    record.record_answer(now, took / send.expected.max(1000.0), !success, &self.chart);
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
            SendEnd::BrokenOff | SendEnd::TimedOut => self.failed(now, send.target, false),
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
                record.pending_prefill_tokens = (record.pending_prefill_tokens - send.unread).max(0.0);
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
            record.failure_rate += 0.2 * (1.0 - record.failure_rate);
            return false;
        }
        record.record_failure(now, certain, &self.chart)
    }

    // ------------------------------------------------------------------------
    // Retries

    /// A call came for a service; it adds to what may be repeated there.
    pub fn count_request(&mut self, now: Time, service: &str) {
        let window = self.settings.retry_window;
        match self.retries.get_mut(service) {
            Some(retries) => retries.record_request(now, window),
            None => {
                let mut retries = RetryWindow::default();
                retries.record_request(now, window);
                self.retries.insert(service.to_owned(), retries);
            }
        }
    }

    /// Takes one repeat out of this node's part of the budget; false when it is used up.
    pub fn allow_retry(&mut self, now: Time, service: &str) -> bool {
        let settings = &self.settings;
        let fixed = settings.retry_fixed / self.members.len().max(1) as f64;
        self.retries.entry(service.to_owned()).or_default().try_spend(
            now,
            settings.retry_window,
            settings.retry_ratio,
            fixed,
        )
    }
}
