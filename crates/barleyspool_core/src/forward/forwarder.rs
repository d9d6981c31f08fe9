//! Selection of targets for forwarded calls, and the retry budget.

use super::sends::Send;
use super::version_history::VersionHistory;
use super::{
    BrittleTable, Catalog, ForwardPlan, InputReleases, MemberView, RetryWindow, ServiceTargets, SlotLimit,
    TargetChoice, TargetEntry, TargetKey, TargetQuery, TargetRecord, TargetTable,
};
use crate::chart::{Chart, ChartError};
use crate::{
    IncarnationId, LimitTable, Ownership, Reachability, Span, TARGET_CHART, TargetEvent, TargetPhase, Time,
    VersionId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies an active send: one attempt to have a target answer a call.
    pub struct SendKey;
}

/// Initial estimate of the prefill rate of an engine, in prompt tokens per millisecond.
const INITIAL_PREFILL_RATE: f64 = 40.0;

/// Settings of a [`Forwarder`].
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Availability zone of this node.
    pub zone: String,
    /// Retries allowed per request, over the whole fleet.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition, over the whole fleet.
    pub retry_fixed: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Span,
    /// Seed of the random number generator.
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

/// Chooses targets for forwarded calls and limits retries, for one traffic thread.
#[derive(Debug)]
pub struct Forwarder {
    pub(super) settings: ForwardSettings,
    pub(super) targets: SlotMap<TargetKey, TargetRecord>,
    /// The target list that `targets` and its indexes are built from.
    pub(super) table: Arc<TargetTable>,
    pub(super) by_id: HashMap<String, TargetKey>,
    pub(super) by_service: BTreeMap<String, Vec<TargetKey>>,
    /// Targets that are or were recently in cooldown.
    pub(super) cooldown_targets: Vec<TargetKey>,
    pub(super) sends: SlotMap<SendKey, Send>,
    /// Recent requests and retries, by service.
    pub(super) retries: HashMap<String, RetryWindow>,
    /// Average time to the answer, by service, in microseconds. Not used for engines.
    pub(super) answer_time: HashMap<String, f64>,
    /// Average time to the first output of an engine, by route, in microseconds.
    pub(super) first_output_time: HashMap<String, f64>,
    /// Average prefill rate of the engines, in prompt tokens per millisecond.
    pub(super) prefill_rate: f64,
    pub(super) members: Arc<Vec<MemberView>>,
    /// Time since which the members are unchanged.
    pub(super) members_since: Time,
    /// This node's key among the members.
    pub(super) me: u64,
    /// Whether `members` most likely contains all nodes.
    pub(super) converged: bool,
    /// Targets of each service, with their shards.
    pub(super) services: Arc<HashMap<String, ServiceTargets>>,
    pub(super) reachability: Reachability,
    /// Rate limits reported by targets.
    pub(super) limits: LimitTable,
    /// Ownership of shards and the nodes that request a share of them, with the service of the shard, by shard key.
    pub(super) ownership: HashMap<u128, (String, Ownership)>,
    /// The services whose targets are brittle.
    pub(super) brittle: BrittleTable,
    /// The calls in progress at brittle targets that this node grants.
    pub(super) slots: HashMap<TargetKey, SlotLimit>,
    pub(super) catalog: Option<Arc<Catalog>>,
    pub(super) versions: VersionHistory,
    input_releases: InputReleases,
    pub(super) random: SmallRng,
    pub(super) chart: Chart<TargetPhase, TargetEvent>,
}

impl Forwarder {
    /// Creates a forwarder without targets.
    ///
    /// # Errors
    /// Fails if the state chart file does not match the code.
    pub fn new(settings: ForwardSettings) -> Result<Self, ChartError> {
        Ok(Self {
            random: SmallRng::seed_from_u64(settings.seed),
            chart: Chart::load("target", TARGET_CHART)?,
            settings,
            targets: SlotMap::with_key(),
            table: Arc::default(),
            by_id: HashMap::new(),
            by_service: BTreeMap::new(),
            cooldown_targets: Vec::new(),
            sends: SlotMap::with_key(),
            retries: HashMap::new(),
            answer_time: HashMap::new(),
            first_output_time: HashMap::new(),
            prefill_rate: INITIAL_PREFILL_RATE,
            members: Arc::default(),
            members_since: Time(0),
            me: 0,
            converged: false,
            services: Arc::default(),
            reachability: Reachability::default(),
            limits: LimitTable::default(),
            ownership: HashMap::new(),
            brittle: BrittleTable::default(),
            slots: HashMap::new(),
            catalog: None,
            versions: VersionHistory::default(),
            input_releases: InputReleases::default(),
        })
    }

    // ------------------------------------------------------------------------
    // Plan

    /// Applies the targets and members of a newer plan.
    pub fn apply_plan(&mut self, plan: &ForwardPlan) {
        if self.members != plan.members {
            self.members_since = plan.created_at;
        }
        self.members = Arc::clone(&plan.members);
        self.me = plan.me;
        self.converged = plan.converged;
        self.services = Arc::clone(&plan.services);
        self.reachability = plan.reachability;
        self.limits.merge(plan.created_at, &plan.limits);
        self.brittle.merge(&plan.brittle);
        self.update_ownership(plan.created_at);
        self.catalog.clone_from(&plan.catalog);
        if plan.listed {
            self.versions.note_list(plan.created_at);
        }
        if Arc::ptr_eq(&self.table, &plan.targets) {
            // Members change far more often than targets; a change of members should not cost a walk through
            // a large list.
            return;
        }
        self.table = Arc::clone(&plan.targets);
        let removed: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !plan.targets.contains_key(*id))
            .cloned()
            .collect();
        for id in removed {
            if let Some(key) = self.by_id.remove(&id)
                && let Some(record) = self.targets.remove(key)
            {
                self.versions.note_gone(plan.created_at, &record.entry);
            }
        }
        for (id, entry) in plan.targets.iter() {
            match self.by_id.get(id).and_then(|key| self.targets.get_mut(*key)) {
                Some(record) if record.entry == *entry && record.entry.times == entry.times => {}
                Some(record) if record.entry.incarnation == entry.incarnation => record.entry = entry.clone(),
                // What was measured of the previous incarnation does not apply to this one; its sends end
                // without a record.
                _ => self.insert(plan.created_at, entry),
            }
        }
        let targets = &self.targets;
        self.slots.retain(|key, _| targets.contains_key(*key));
        self.by_service.clear();
        for (key, record) in &self.targets {
            self.by_service
                .entry(record.entry.service.clone())
                .or_default()
                .push(key);
        }
    }

    fn insert(&mut self, now: Time, entry: &TargetEntry) {
        let key = self.targets.insert(TargetRecord::new(entry.clone()));
        if let Some(previous) = self.by_id.insert(entry.id.clone(), key)
            && let Some(record) = self.targets.remove(previous)
        {
            self.versions.note_gone(now, &record.entry);
        }
    }

    /// The records of all targets, for status reports to operators.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// The target with this id, if this node may send the call to it at `now`: it has the version that the call needs,
    /// [`TargetRecord::usable`] holds, or there is no better target for the call, and the target is not in a cooldown. Its
    /// rate limit is not checked.
    pub fn usable(&mut self, now: Time, query: &TargetQuery, id: &str) -> Option<TargetChoice> {
        let key = *self.by_id.get(id)?;
        let record = self.targets.get_mut(key)?;
        let usable = query.accepts_version(&record.entry)
            && record.usable(now, &self.chart)
            && record.cooldown(now) == Span::ZERO;
        let usable = usable || self.suspended_targets(now, query).contains(&key);
        let record = self.targets.get(key)?;
        usable.then(|| TargetChoice {
            target: key,
            id: record.entry.id.clone(),
            address: record.entry.address.clone(),
            version: Some(record.entry.version_id()),
            source: None,
            rate_limited: false,
            brittle: false,
            wait: Span::ZERO,
            may_queue: self.may_queue(record),
        })
    }

    /// Whether a further call of this node may have to wait at a target, if all nodes send it as many as this one.
    pub(super) fn may_queue(&self, record: &TargetRecord) -> bool {
        let in_flight = u64::from(record.in_flight) * self.members.len().max(1) as u64;
        in_flight >= u64::from(record.entry.slots)
    }

    /// Whether a further call may have to wait at a target whose calls this node places for all nodes.
    pub fn is_occupied(&self, target: TargetKey) -> bool {
        let record = self.targets.get(target);
        record.is_none_or(|record| record.in_flight >= record.entry.slots)
    }

    /// How long after a send to the chosen target the inputs of the call are released; see [`InputReleases::delay`].
    pub fn input_release_delay(
        &self,
        now: Time,
        service: &str,
        chosen: &TargetChoice,
        fetch_time: Option<Span>,
    ) -> Option<Span> {
        self.input_releases
            .delay(now, service, chosen.may_queue, fetch_time)
    }

    /// Records that a target of the service has found inputs gone that this node had released.
    pub fn record_input_loss(&mut self, now: Time, service: &str) {
        self.input_releases.record_loss(now, service);
    }

    /// Whether a target may be asked for its health. That takes one of its places like a call, and so counts towards its
    /// rate, the refusals that it bears if it is brittle, and its cooldown.
    pub fn allows_health_check(&self, now: Time, id: &str) -> bool {
        let record = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        record.is_some_and(|record| {
            record.entry.accepts_work()
                && record.cooldown(now) == Span::ZERO
                && !self.needs_grants(now, &record.entry.service)
        })
    }

    /// Whether a target may be asked who it is, after an answer that ended with its connection. One that is leaving or not
    /// listed may, since that is no work; one in an evacuated zone gets no requests at all.
    pub fn allows_identity_check(&self, now: Time, id: &str) -> bool {
        let record = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        record.is_none_or(|record| {
            !record.entry.evacuated
                && record.cooldown(now) == Span::ZERO
                && !self.needs_grants(now, &record.entry.service)
        })
    }

    /// The only software version that the targets of a service have had for as long as any stream may be taken up; `None`
    /// if there were several, or if this node has not had a list for so long.
    pub fn only_version(&self, now: Time, service: &str) -> Option<VersionId> {
        self.versions.only_version(now, service, &self.table)
    }

    /// The key of the target with this id.
    pub fn key(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// The incarnation of a target that reported, in the answer to a request sent at `sent`, that it is
    /// leaving. `None` if the list has it as leaving already or has a later incarnation.
    pub fn leaving_incarnation(&self, sent: Time, id: &str) -> Option<IncarnationId> {
        let record = self.targets.get(*self.by_id.get(id)?)?;
        let entry = &record.entry;
        (!entry.leaving && sent >= entry.times.restarted_at).then_some(record.incarnation_id)
    }

    /// The record of a target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(key)
    }

    // ------------------------------------------------------------------------
    // Retries

    /// Counts a request for a service, which adds to its retry budget.
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

    /// Takes one retry from this node's share of the budget; returns false if it is used up.
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
