//! Learning at once who is there, after a start.
//!
//! News that ride on probes reach a large fleet within seconds, which is enough for one node that comes or goes.
//! When all start at the same moment it is not: a node that knows a few others takes pools for its own that
//! others own too. So a node that has just started asks one other, a seed at first, again and again for what
//! that one has learnt since the last time (docs/DESIGN.md, "Members").

use super::table::{Membership, news_of};
use super::{MemberAction, MemberMessage, MemberNews, MemberQuestion};
use crate::{Span, Time};
use rand::seq::IteratorRandom;

/// How long after its start a node asks.
const YOUNG: Span = Span::from_secs(3);
/// The time between two questions.
const ASK_EVERY: Span = Span::from_millis(120);
/// Answers in a row without anything new after which a node takes what it knows for all there is.
const QUIET_ANSWERS: u32 = 2;
/// And after this time in any case.
const SETTLE: Span = Span::from_millis(800);
/// Whoever did not answer for this long is not asked again; somebody else is.
const PATIENCE: Span = Span::from_millis(400);

/// Whom a node asks, and how far it has got there.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    /// Until when it asks; `None` before its first step.
    until: Option<Time>,
    next: Time,
    /// The node asked.
    partner: String,
    /// What it has told so far.
    position: u64,
    /// When it last answered, or was first asked.
    heard: Time,
    /// Whether the last question is still to be answered.
    waiting: bool,
    /// Answers in a row that told nothing new.
    quiet: u32,
}

impl Membership {
    /// The position in the order of what this node has learnt, for a member about which something is new.
    pub(super) fn next_place(&mut self) -> u64 {
        self.places += 1;
        self.places
    }

    /// Whether what this node knows of the others is likely to be all there is. Before that it should not act as
    /// the only owner of anything.
    pub fn settled(&self, now: Time) -> bool {
        let Some(until) = self.catch_up.until else {
            return false;
        };
        let alone = self.catch_up.partner.is_empty();
        alone || self.catch_up.quiet >= QUIET_ANSWERS || now + YOUNG > until + SETTLE
    }

    pub(super) fn catch_up(&mut self, now: Time) {
        let until = *self.catch_up.until.get_or_insert(now + YOUNG);
        if now > until || now < self.catch_up.next {
            return;
        }
        self.catch_up.next = now + ASK_EVERY;
        let silent = now.since(self.catch_up.heard) > PATIENCE;
        if self.catch_up.partner.is_empty() || silent {
            let Some(partner) = self.partner() else { return };
            self.catch_up.partner = partner;
            self.catch_up.position = 0;
            self.catch_up.heard = now;
        }
        self.catch_up.waiting = true;
        let (partner, after) = (self.catch_up.partner.clone(), self.catch_up.position);
        self.send(partner, MemberQuestion::Join { after });
    }

    /// A seed other than the one asked so far, or else anybody.
    fn partner(&mut self) -> Option<String> {
        let asked = self.catch_up.partner.clone();
        let mut seeds = self.other_seeds();
        seeds.retain(|seed| *seed != asked);
        let seed = seeds.into_iter().choose(&mut self.random);
        let anybody: Vec<String> = self.reachable().collect();
        seed.or_else(|| anybody.into_iter().choose(&mut self.random))
    }

    /// Tells another node what this one has learnt after that position, in as many messages as it takes.
    pub(super) fn share(&mut self, to: &str, after: u64) {
        // A position of an earlier run of this node says nothing.
        let mut from = if after > self.places { 0 } else { after };
        let mut newer: Vec<(u64, MemberNews)> = self
            .members
            .values()
            .filter(|member| member.place > from && member.facts.address != to)
            .map(|member| (member.place, news_of(member)))
            .collect();
        newer.sort_by_key(|(place, _)| *place);
        let mut parts = newer.chunks(self.settings.most_news.max(1)).peekable();
        loop {
            let part = parts.next().unwrap_or_default();
            let last = parts.peek().is_none();
            let upto = match part.last() {
                Some((place, _)) if !last => *place,
                _ => self.places,
            };
            let mut news = vec![self.me.clone()];
            news.extend(part.iter().map(|(_, news)| news.clone()));
            self.actions.push(MemberAction::Send {
                to: to.to_owned(),
                message: MemberMessage {
                    question: MemberQuestion::Share { from, upto },
                    list: self.list,
                    news,
                },
            });
            if last {
                return;
            }
            from = upto;
        }
    }

    /// Notes how far another node has told; a part that follows on a lost one is told again.
    pub(super) fn shared(&mut self, now: Time, teller: &str, from: u64, upto: u64) {
        let asking = &mut self.catch_up;
        if asking.partner != teller {
            return;
        }
        asking.heard = now;
        if from == asking.position && std::mem::take(&mut asking.waiting) {
            let quiet = upto == from && upto > 0;
            asking.quiet = if quiet { asking.quiet + 1 } else { 0 };
        }
        if from <= asking.position {
            asking.position = if from == 0 {
                upto
            } else {
                upto.max(asking.position)
            };
        }
    }
}
