//! The table of nodes, stepped with the time and what was heard.

use super::catch_up::CatchUp;
use super::news_queue::NewsQueue;
use super::{
    Evidence, Member, MemberFacts, MemberHealth, MemberMessage, MemberNews, MemberQuestion, SourceState,
};
use crate::{Incarnation, Span, Time, rendezvous};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a membership table is set up with.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// What this node says of itself at its start.
    pub facts: MemberFacts,
    /// This run of the node.
    pub incarnation: Incarnation,
    /// Where to find others before any is known; some may be stale or dead.
    pub seeds: Vec<String>,
    /// The time between two probes.
    pub round: Span,
    /// How long an answer may take before others are asked to probe.
    pub answer: Span,
    /// How long a suspected node may take to refute.
    pub refute: Span,
    /// How long a dead node is remembered, so that old news of a node that slept or was cut off does not revive it.
    /// Longer than machines are usually suspended; each dead node costs some 200 bytes.
    pub forget: Span,
    /// How many others are asked to probe.
    pub helpers: usize,
    /// The most news in one message besides the sender's own.
    pub most_news: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            facts: MemberFacts::default(),
            incarnation: Incarnation(1),
            seeds: Vec::new(),
            round: Span::from_millis(250),
            answer: Span::from_millis(120),
            refute: Span::from_millis(1000),
            forget: Span::from_secs(600),
            helpers: 2,
            most_news: 8,
            seed: 1,
        }
    }
}

/// Something that happened to the table.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// A message came.
    Message {
        /// From which address.
        from: String,
        /// The message.
        message: MemberMessage,
    },
    /// Time has passed.
    Tick,
    /// Whether this node takes calls now.
    Serving(bool),
    /// How far this node has read the source.
    Source(SourceState),
    /// A planned stop begins.
    Leave,
    /// New seeds are in the settings.
    Seeds(Vec<String>),
}

/// What the table wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// The address.
        to: String,
        /// The message.
        message: MemberMessage,
    },
    /// Who is there, how they are, or whether they serve has changed.
    Changed {
        /// The node's address.
        address: String,
        /// How it is now.
        health: MemberHealth,
        /// What that rests on.
        evidence: Evidence,
    },
}

/// How well news travel, for operators.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Nodes of which there is news that is to be passed on.
    pub waiting: usize,
    /// Suspicions that were ignored because the teller knew older facts of the same run.
    pub outdated: u64,
}

/// A question that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: String,
    pub(super) sent: Time,
    pub(super) helped: bool,
    /// Whoever asked for this probe, with the number to answer.
    pub(super) asked_by: Option<(String, u64)>,
}

/// How often a piece of news is passed on, times the logarithm of the number of nodes.
const SPREAD: f64 = 3.0;
/// A node that itself was asleep this long suspects nobody for what it missed.
const SLEPT: Span = Span::from_millis(800);

/// The nodes that this one knows.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) members: BTreeMap<String, Member>,
    pub(super) me: MemberNews,
    pub(super) source: SourceState,
    pub(super) catch_up: CatchUp,
    pub(super) probes: HashMap<u64, Probe>,
    pub(super) turn: VecDeque<String>,
    pub(super) to_tell: NewsQueue,
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
        let me = MemberNews {
            facts: settings.facts.clone(),
            incarnation: settings.incarnation,
            change: 0,
            health: MemberHealth::Alive,
        };
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            me,
            source: SourceState::default(),
            catch_up: CatchUp::default(),
            members: BTreeMap::new(),
            probes: HashMap::new(),
            turn: VecDeque::new(),
            to_tell: NewsQueue::default(),
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
            .map(|probe| probe.sent + self.settings.answer)
            .min();
        probe.map_or(self.next_round, |at| at.min(self.next_round))
    }

    /// The nodes besides this one, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// This node as the others hear of it.
    pub fn me(&self) -> &MemberNews {
        &self.me
    }

    /// How well news travel.
    pub fn counts(&self) -> MemberCounts {
        MemberCounts {
            waiting: self.to_tell.len(),
            outdated: self.outdated,
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
        self.me.change += 1;
        self.tell_some();
    }

    fn leave(&mut self) {
        self.me.health = MemberHealth::Leaving;
        self.me.change += 1;
        self.tell_some();
    }

    /// Tells some others at once what this node says of itself, and nothing else; they pass it on.
    fn tell_some(&mut self) {
        let everybody: Vec<String> = self.reachable().collect();
        let most = self.settings.most_news * 4;
        let told: Vec<String> = everybody.into_iter().choose_multiple(&mut self.random, most);
        for address in told {
            self.actions.push(MemberAction::Send {
                to: address,
                message: MemberMessage {
                    question: MemberQuestion::News,
                    source: self.source,
                    news: vec![self.me.clone()],
                },
            });
        }
    }

    /// After a pause of its own, a node has missed answers, for which nobody is to blame, and news.
    fn notice_sleep(&mut self, now: Time) {
        if self.last_step != Time(0) && now.since(self.last_step) > SLEPT {
            self.probes.clear();
            self.ask_again(now);
            let asleep = now.since(self.last_step);
            for member in self.members.values_mut() {
                if member.health == MemberHealth::Suspect {
                    member.since = member.since + asleep;
                }
            }
        }
        self.last_step = now;
    }

    // ------------------------------------------------------------------------
    // Messages

    fn message(&mut self, now: Time, from: &str, message: MemberMessage) {
        for (place, news) in message.news.into_iter().enumerate() {
            self.news(now, news, place == 0);
        }
        if let Some(member) = self.members.get_mut(from) {
            member.spoke = true;
            member.source = message.source;
        }
        match message.question {
            MemberQuestion::Probe { number } => {
                self.send(from.to_owned(), MemberQuestion::Answer { number });
            }
            MemberQuestion::ProbeFor { number, target } => {
                let asked_by = Some((from.to_owned(), number));
                self.probe(now, target, asked_by);
            }
            MemberQuestion::Answer { number } => self.answered(now, number),
            MemberQuestion::Join { known } => self.share(now, from, &known),
            MemberQuestion::Share { members } => self.shared(from, members),
            MemberQuestion::News => {}
        }
    }

    fn answered(&mut self, now: Time, number: u64) {
        let Some(probe) = self.probes.remove(&number) else {
            return;
        };
        if let Some(member) = self.members.get_mut(&probe.target) {
            member.spoke = true;
            // It answered, so it is there, whatever others say; it refutes by itself when it hears of it.
            if member.health == MemberHealth::Suspect {
                self.set_health(now, &probe.target, MemberHealth::Alive, Evidence::Answer);
            }
        }
        if let Some((asker, number)) = probe.asked_by {
            self.send(asker, MemberQuestion::Answer { number });
        }
    }

    fn news(&mut self, now: Time, mut news: MemberNews, first_hand: bool) {
        let address = news.facts.address.clone();
        if address == self.me.facts.address {
            self.news_of_me(&news);
            return;
        }
        let evidence = if first_hand {
            Evidence::Answer
        } else {
            Evidence::News
        };
        let Some(known) = self.members.get_mut(&address) else {
            // Also when it is dead: older news of it may come later, from a node that slept.
            self.learn(now, address, &news, evidence);
            return;
        };
        let newer = (news.incarnation, news.change) > (known.incarnation, known.change);
        let same_run = news.incarnation == known.incarnation;
        if same_run && news.health == MemberHealth::Dead && !believes_death(known) {
            news.health = MemberHealth::Suspect;
        }
        let worse = same_run && news.change >= known.change && news.health > known.health;
        // A node that speaks for itself is alive, however it was thought of.
        let speaks = first_hand && same_run && news.change >= known.change && news.health != known.health;
        if same_run && news.change < known.change && news.health > known.health {
            self.outdated += 1;
        }
        if !newer && !worse && !speaks {
            return;
        }
        let mut told_facts = false;
        if newer {
            known.incarnation = news.incarnation;
            known.change = news.change;
            told_facts = known.facts.serving != news.facts.serving;
            known.facts = news.facts;
        }
        let revived = newer && (!same_run || first_hand);
        if news.health > known.health || revived || speaks {
            self.set_health(now, &address, news.health, evidence);
        }
        if told_facts {
            self.tell_change(&address, evidence);
        }
        if newer && same_run {
            self.to_tell.add_facts(&address);
        } else if newer {
            // It refutes a suspicion, or has started again: as urgent as a suspicion itself.
            self.to_tell.add_health(&address);
        }
    }

    fn tell_change(&mut self, address: &str, evidence: Evidence) {
        if let Some(member) = self.members.get(address) {
            self.actions.push(MemberAction::Changed {
                address: address.to_owned(),
                health: member.health,
                evidence,
            });
        }
    }

    /// Somebody thinks ill of this run of the node, or knows a later one: a higher incarnation refutes both.
    fn news_of_me(&mut self, news: &MemberNews) {
        let ill = news.health != MemberHealth::Alive && self.me.health == MemberHealth::Alive;
        let later = news.incarnation > self.me.incarnation;
        if (ill && news.incarnation >= self.me.incarnation) || later {
            self.me.incarnation = Incarnation(news.incarnation.0 + 1);
            // The time to refute runs at all who heard of the suspicion. With probes alone to carry the refutation, a pause
            // of 0.7 s was taken for a death for 10 node-seconds in a fleet of 86, told at once for 2.9.
            self.tell_some();
        }
    }

    fn learn(&mut self, now: Time, address: String, news: &MemberNews, evidence: Evidence) {
        let member = Member {
            facts: news.facts.clone(),
            incarnation: news.incarnation,
            change: news.change,
            health: news.health,
            source: SourceState::default(),
            key: rendezvous::text_key(&news.facts.address),
            since: now,
            spoke: false,
        };
        let health = member.health;
        self.note_learnt();
        self.members.insert(address.clone(), member);
        self.to_tell.add_facts(&address);
        let place = self.random.random_range(0..=self.turn.len());
        self.turn.insert(place, address.clone());
        self.actions.push(MemberAction::Changed {
            address,
            health,
            evidence,
        });
    }

    pub(super) fn set_health(&mut self, now: Time, address: &str, health: MemberHealth, evidence: Evidence) {
        let Some(member) = self.members.get_mut(address) else {
            return;
        };
        if member.health == health {
            return;
        }
        member.health = health;
        member.since = now;
        self.to_tell.add_health(address);
        self.actions.push(MemberAction::Changed {
            address: address.to_owned(),
            health,
            evidence,
        });
    }

    // ------------------------------------------------------------------------
    // Sending

    pub(super) fn reachable(&self) -> impl Iterator<Item = String> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect))
            .map(|(address, _)| address.clone())
    }

    pub(super) fn send(&mut self, to: String, question: MemberQuestion) {
        let mut news = vec![self.me.clone()];
        // What a node is thought of comes first to itself, so that it can refute.
        if let Some(member) = self.members.get(&to)
            && member.health != MemberHealth::Alive
        {
            news.push(news_of(member));
        }
        news.extend(self.news_to_tell());
        self.actions.push(MemberAction::Send {
            to,
            message: MemberMessage {
                question,
                source: self.source,
                news,
            },
        });
    }

    fn news_to_tell(&mut self) -> Vec<MemberNews> {
        let often = (SPREAD * ((self.members.len() + 2) as f64).log2()).ceil() as u32;
        let next = self.to_tell.take(self.settings.most_news, often);
        let known = next.iter().filter_map(|address| self.members.get(address));
        known.map(news_of).collect()
    }
}

/// Whether word of its death is enough for this node to take `member` for dead, and not only for suspect.
///
/// A node that was cut off takes everybody else for dead, and says so when it is back. When all believed it, 848 of
/// 7,140 pairs of others took each other for dead two seconds after one node of 86 was back from a cut of 8 s; now 197.
/// So the first word of a death only gives the node the time to refute it, unless it never spoke to this one.
fn believes_death(member: &Member) -> bool {
    member.health == MemberHealth::Suspect || !member.spoke
}

pub(super) fn news_of(member: &Member) -> MemberNews {
    MemberNews {
        facts: member.facts.clone(),
        incarnation: member.incarnation,
        change: member.change,
        health: member.health,
    }
}
