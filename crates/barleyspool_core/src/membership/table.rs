//! The table of nodes, stepped with the time and what was heard.

use super::catch_up::CatchUp;
use super::crash_updates::Crashes;
use super::leaving_updates::Leaving;
use super::limit_updates::Limits;
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

/// A question that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: String,
    pub(super) sent: Time,
    pub(super) helped: bool,
    /// Whoever asked for this probe, with the number to answer.
    pub(super) asked_by: Option<(String, u64)>,
}

/// How often an update is passed on, times the logarithm of the number of nodes.
const SPREAD: f64 = 3.0;
/// A node that itself was asleep this long suspects nobody for what it missed.
const SLEPT: Span = Span::from_millis(800);

/// The nodes that this one knows.
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
    pub(super) reach: Reachability,
    pub(super) probes: HashMap<u64, Probe>,
    pub(super) turn: VecDeque<String>,
    pub(super) updates: UpdateQueue,
    pub(super) outdated: u64,
    pub(super) next_number: u64,
    pub(super) next_round: Time,
    pub(super) next_join: Time,
    pub(super) next_revive: Time,
    pub(super) last_step: Time,
    pub(super) random: SmallRng,
    pub(super) actions: Vec<MemberAction>,
}

impl Membership {
    /// A table that knows only its own node.
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
            crashes: Crashes::default(),
            limits: Limits::default(),
            leaving: Leaving::default(),
            reach: Reachability::default(),
            members: BTreeMap::new(),
            probes: HashMap::new(),
            turn: VecDeque::new(),
            updates: UpdateQueue::default(),
            outdated: 0,
            next_number: 1,
            next_round: Time(0),
            next_join: Time(0),
            next_revive: Time(0),
            last_step: Time(0),
            actions: Vec::new(),
            settings,
        }
    }

    /// Tells the table what happened at `now`, and takes what it wants done.
    pub fn step(&mut self, now: Time, event: MemberEvent) -> Vec<MemberAction> {
        self.notice_sleep(now);
        match event {
            MemberEvent::Message { from, message } => self.message(now, &from, message),
            MemberEvent::Tick => {}
            MemberEvent::Serving(serving) => self.serves(serving),
            MemberEvent::Source(source) => self.source = source,
            MemberEvent::Announce(audience) => self.announce(audience),
            MemberEvent::Crashed {
                fingerprint: print,
                incarnation: run,
            } => self.crashed(now, print, run),
            MemberEvent::LimitReceived {
                incarnation: run,
                per_s,
            } => self.limit_received(now, run, per_s),
            MemberEvent::TargetLeaves { incarnation: run } => self.target_leaves(now, run),
            MemberEvent::Leave => self.leave(),
            MemberEvent::Seeds(seeds) => self.settings.seeds = seeds,
        }
        self.check_probes(now);
        self.check_suspects(now);
        self.catch_up(now);
        self.join(now);
        self.revive(now);
        self.round(now);
        std::mem::take(&mut self.actions)
    }

    /// When the table next wants a [`MemberEvent::Tick`].
    pub fn next_wake(&self) -> Time {
        let probe = self
            .probes
            .values()
            .map(|probe| probe.sent + self.settings.probe_timeout)
            .min();
        probe.map_or(self.next_round, |at| at.min(self.next_round))
    }

    /// The nodes besides this one, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// This node as the others hear of it.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// How well updates travel.
    pub fn counts(&self) -> MemberCounts {
        MemberCounts {
            queued_updates: self.updates.len(),
            outdated_suspicions: self.outdated,
        }
    }

    /// The nodes that take calls now, by address, this one included when it does.
    ///
    /// A suspected node still counts: a suspicion is often wrong, and leaving it out would move work twice.
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

    // ------------------------------------------------------------------------
    // This node

    fn serves(&mut self, serving: bool) {
        if self.me.facts.serving == serving {
            return;
        }
        self.me.facts.serving = serving;
        self.me.facts_version += 1;
        self.notify_some();
    }

    fn leave(&mut self) {
        self.me.health = MemberHealth::Leaving;
        self.me.facts_version += 1;
        self.notify_some();
    }

    /// Notifies some others at once of what this node says of itself, and nothing else; they pass it on.
    pub(super) fn notify_some(&mut self) {
        for address in self.some_reachable(self.settings.max_updates * 4) {
            self.notify(address, MessageKind::Update, Vec::new());
        }
    }

    /// Notifies another node at once, with nothing but this node's own update.
    pub(super) fn notify(&mut self, to: String, question: MessageKind, crashes: Vec<CrashUpdate>) {
        let updates = vec![self.me.clone()];
        self.post(to, question, updates, crashes);
    }

    pub(super) fn post(
        &mut self,
        to: String,
        question: MessageKind,
        updates: Vec<MemberUpdate>,
        crashes: Vec<CrashUpdate>,
    ) {
        let message = MemberMessage {
            kind: question,
            source: self.source,
            updates,
            crashes,
        };
        self.actions.push(MemberAction::Send { to, message });
    }

    /// Tells others how far this node has read the source, and nothing else.
    fn announce(&mut self, audience: Vec<String>) {
        for address in audience {
            self.post(address, MessageKind::Announce, Vec::new(), Vec::new());
        }
    }

    /// After a pause of its own, a node has missed answers, for which nobody is to blame, and updates.
    fn notice_sleep(&mut self, now: Time) {
        if self.last_step != Time(0) && now.since(self.last_step) > SLEPT {
            self.probes.clear();
            self.ask_again(now);
            let asleep = now.since(self.last_step);
            for member in self.members.values_mut() {
                if member.health == MemberHealth::Suspect {
                    member.health_since = member.health_since + asleep;
                }
            }
        }
        self.last_step = now;
    }

    pub(super) fn notice_reach(&mut self, now: Time) {
        let reach = self.reachability(now);
        if reach != self.reach {
            self.reach = reach;
            self.actions.push(MemberAction::ReachabilityChanged);
        }
    }

    // ------------------------------------------------------------------------
    // Sending

    pub(super) fn reachable(&self) -> impl Iterator<Item = String> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect))
            .map(|(address, _)| address.clone())
    }

    /// Nodes that can be notified, chosen at random, so many at the most.
    pub(super) fn some_reachable(&mut self, most: usize) -> Vec<String> {
        let reachable: Vec<String> = self.reachable().collect();
        reachable.into_iter().choose_multiple(&mut self.random, most)
    }

    pub(super) fn send(&mut self, now: Time, to: String, question: MessageKind) {
        let mut updates = vec![self.me.clone()];
        // What a node is thought of comes first to itself, so that it can refute.
        if let Some(member) = self.members.get(&to)
            && member.health != MemberHealth::Alive
        {
            updates.push(update_of(member));
        }
        updates.extend(self.next_updates());
        let crashes = self.next_crashes(now, 0);
        self.post(to, question, updates, crashes);
    }

    fn next_updates(&mut self) -> Vec<MemberUpdate> {
        let often = (SPREAD * ((self.members.len() + 2) as f64).log2()).ceil() as u32;
        let next = self.updates.take(self.settings.max_updates, often);
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
