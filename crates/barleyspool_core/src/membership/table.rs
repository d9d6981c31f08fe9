//! The membership table, stepped with the time and an event.

use super::brittle_updates::Brittle;
use super::catch_up::CatchUp;
use super::crash_updates::Crashes;
use super::leaving_updates::Leaving;
use super::limit_updates::Limits;
use super::list_checks::ListChecks;
use super::reach_updates::Reach;
use super::stream_updates::Streams;
use super::update_queue::UpdateQueue;
use super::{
    Member, MemberAction, MemberCounts, MemberEvent, MemberFacts, MemberHealth, MemberMessage, MemberUpdate,
    MembershipSettings, MessageKind, SourceState,
};
use crate::{CrashUpdate, Reachability, Span, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: String,
    pub(super) sent: Time,
    /// Whether other nodes have been asked to probe too.
    pub(super) indirect: bool,
    /// The node that requested this probe, with the number to acknowledge.
    pub(super) requested_by: Option<(String, u64)>,
}

/// How often an update is sent, as a multiple of the binary logarithm of the number of nodes.
const RETRANSMIT_FACTOR: f64 = 3.0;
/// A longer time between two steps means that this node was suspended. It then suspects no node for acks
/// that it missed.
const PAUSE_THRESHOLD: Span = Span::from_millis(800);

/// The membership table of a node, which also distributes what nodes learn about calls and targets.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) members: BTreeMap<String, Member>,
    pub(super) me: MemberUpdate,
    pub(super) source: SourceState,
    pub(super) catch_up: CatchUp,
    pub(super) crashes: Crashes,
    pub(super) limits: Limits,
    pub(super) leaving: Leaving,
    pub(super) reach: Reach,
    pub(super) brittle: Brittle,
    pub(super) streams: Streams,
    pub(super) list_checks: ListChecks,
    pub(super) reachability: Reachability,
    pub(super) probes: HashMap<u64, Probe>,
    pub(super) probe_order: VecDeque<String>,
    pub(super) updates: UpdateQueue,
    pub(super) outdated_suspicions: u64,
    pub(super) next_number: u64,
    pub(super) next_probe: Time,
    pub(super) next_join: Time,
    pub(super) next_reconnect: Time,
    pub(super) last_step: Time,
    pub(super) random: SmallRng,
    pub(super) actions: Vec<MemberAction>,
}

impl Membership {
    /// Creates a table that knows only its own node.
    pub fn new(settings: MembershipSettings) -> Self {
        let me = MemberUpdate {
            facts: settings.facts.clone(),
            incarnation: settings.incarnation,
            facts_version: 0,
            health: MemberHealth::Alive,
        };
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            me,
            source: SourceState::default(),
            catch_up: CatchUp::default(),
            crashes: Crashes::new(&settings.facts.address),
            limits: Limits::default(),
            leaving: Leaving::default(),
            reach: Reach::default(),
            brittle: Brittle::default(),
            streams: Streams::default(),
            list_checks: ListChecks::default(),
            reachability: Reachability::default(),
            members: BTreeMap::new(),
            probes: HashMap::new(),
            probe_order: VecDeque::new(),
            updates: UpdateQueue::default(),
            outdated_suspicions: 0,
            next_number: 1,
            next_probe: Time(0),
            next_join: Time(0),
            next_reconnect: Time(0),
            last_step: Time(0),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event at the time `now` and returns the resulting actions.
    pub fn step(&mut self, now: Time, event: MemberEvent) -> Vec<MemberAction> {
        self.detect_pause(now);
        match event {
            MemberEvent::Message { from, message } => self.handle_message(now, &from, message),
            MemberEvent::Tick => {}
            MemberEvent::Serving(serving) => self.set_serving(serving),
            MemberEvent::Source(source) => self.source = source,
            MemberEvent::Announce(recipients) => self.announce(recipients),
            MemberEvent::Crashed(report) => self.handle_crash(now, report),
            MemberEvent::Answered { suspect, at, count } => self.handle_answer(now, suspect, (at, count)),
            MemberEvent::LimitReceived { incarnation, per_s } => self.handle_limit(now, incarnation, per_s),
            MemberEvent::TargetLeaves { incarnation } => self.handle_target_leaving(now, incarnation),
            MemberEvent::BrittleReported { service, refusals } => {
                self.handle_brittle(now, &service, refusals);
            }
            MemberEvent::Unreached(services) => self.set_unreached(now, services),
            MemberEvent::Stream(record) => self.handle_stream(now, record),
            MemberEvent::FindStream(stream) => self.find_stream(now, stream),
            MemberEvent::CompareLists(call) => self.compare_lists(now, call),
            MemberEvent::Leave => self.leave(),
            MemberEvent::Seeds(seeds) => self.settings.seeds = seeds,
        }
        self.check_probes(now);
        self.check_suspects(now);
        self.catch_up(now);
        self.join(now);
        self.reconnect(now);
        self.probe_round(now);
        std::mem::take(&mut self.actions)
    }

    /// When the table next needs a [`MemberEvent::Tick`] for its probes: at the start of the next probe
    /// interval, or when a probe times out. Nothing else that falls due by time (`Join` requests,
    /// reconnection, suspicion timeouts) is considered. Every step handles it, so it waits for the next tick
    /// or other event, which is no later than the next probe interval.
    pub fn next_wake(&self) -> Time {
        let probe = self
            .probes
            .values()
            .map(|probe| probe.sent + self.settings.probe_timeout)
            .min();
        probe.map_or(self.next_probe, |at| at.min(self.next_probe))
    }

    /// All known nodes except this one, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What this node publishes about itself.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Counts that show how well updates propagate.
    pub fn counts(&self) -> MemberCounts {
        MemberCounts {
            queued_updates: self.updates.len(),
            outdated_suspicions: self.outdated_suspicions,
        }
    }

    /// The nodes that accept calls now, sorted by address, including this one if it does.
    ///
    /// Suspected nodes are included: suspicions are often wrong, and leaving the node out would move its
    /// work twice.
    pub fn serving(&self) -> Vec<MemberFacts> {
        let others = self
            .members
            .values()
            .filter(|member| matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect))
            .map(|member| &member.facts);
        let me = (self.me.health == MemberHealth::Alive).then_some(&self.me.facts);
        let mut serving: Vec<MemberFacts> = others.chain(me).filter(|facts| facts.serving).cloned().collect();
        serving.sort_by(|one, other| one.address.cmp(&other.address));
        serving
    }

    fn set_serving(&mut self, serving: bool) {
        if self.me.facts.serving == serving {
            return;
        }
        self.me.facts.serving = serving;
        self.me.facts_version += 1;
        self.send_own_update();
    }

    fn leave(&mut self) {
        self.me.health = MemberHealth::Leaving;
        self.me.facts_version += 1;
        self.send_own_update();
    }

    /// Sends the update of this node, and nothing else, to some nodes at once. They pass it on.
    pub(super) fn send_own_update(&mut self) {
        for address in self.random_reachable(self.settings.max_updates * 4) {
            self.notify(address, MessageKind::Update, Vec::new());
        }
    }

    /// Sends a message at once with no update but that of this node.
    pub(super) fn notify(&mut self, to: String, kind: MessageKind, crashes: Vec<CrashUpdate>) {
        let updates = vec![self.me.clone()];
        self.push_message(to, kind, updates, crashes);
    }

    pub(super) fn push_message(
        &mut self,
        to: String,
        kind: MessageKind,
        updates: Vec<MemberUpdate>,
        crashes: Vec<CrashUpdate>,
    ) {
        let message = MemberMessage {
            kind,
            source: self.source,
            updates,
            crashes,
        };
        self.actions.push(MemberAction::Send { to, message });
    }

    /// Sends the source state of this node, and nothing else, to the nodes at these addresses.
    fn announce(&mut self, recipients: Vec<String>) {
        for address in recipients {
            self.push_message(address, MessageKind::Announce, Vec::new(), Vec::new());
        }
    }

    /// After a pause of its own a node has missed acks, for which no other node is to blame, and updates.
    fn detect_pause(&mut self, now: Time) {
        if self.last_step != Time(0) && now.since(self.last_step) > PAUSE_THRESHOLD {
            self.probes.clear();
            self.restart_catch_up(now);
            let paused_for = now.since(self.last_step);
            for member in self.members.values_mut() {
                if member.health == MemberHealth::Suspect {
                    member.health_since = member.health_since + paused_for;
                }
            }
        }
        self.last_step = now;
    }

    /// Reports a change of how many nodes this one reaches.
    pub(super) fn check_reachability(&mut self, now: Time) {
        let reachability = self.reachability(now);
        if reachability != self.reachability {
            self.reachability = reachability;
            self.actions.push(MemberAction::ReachabilityChanged);
        }
    }

    /// The addresses of the nodes that are not known to be leaving or dead.
    pub(super) fn reachable(&self) -> impl Iterator<Item = String> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect))
            .map(|(address, _)| address.clone())
    }

    /// Returns the addresses of up to `max_nodes` reachable nodes, chosen at random.
    pub(super) fn random_reachable(&mut self, max_nodes: usize) -> Vec<String> {
        let reachable: Vec<String> = self.reachable().collect();
        reachable.into_iter().choose_multiple(&mut self.random, max_nodes)
    }

    /// Sends a message with the updates that are queued, as many as fit.
    pub(super) fn send(&mut self, now: Time, to: String, kind: MessageKind) {
        let mut updates = vec![self.me.clone()];
        // The receiver has to know first what is recorded about itself, so that it can refute a suspicion.
        if let Some(member) = self.members.get(&to)
            && member.health != MemberHealth::Alive
        {
            updates.push(update_of(member));
        }
        updates.extend(self.take_updates());
        let crashes = self.take_crash_updates(now, 0);
        self.push_message(to, kind, updates, crashes);
    }

    fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let max_sends = (RETRANSMIT_FACTOR * ((self.members.len() + 2) as f64).log2()).ceil() as u32;
        let next = self.updates.take(self.settings.max_updates, max_sends);
        let known = next.iter().filter_map(|address| self.members.get(address));
        known.map(update_of).collect()
    }
}

pub(super) fn update_of(member: &Member) -> MemberUpdate {
    MemberUpdate {
        facts: member.facts.clone(),
        incarnation: member.incarnation,
        facts_version: member.facts_version,
        health: member.health,
    }
}
