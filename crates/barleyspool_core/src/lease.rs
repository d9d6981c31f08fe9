//! The lease under which a home takes unrepeatable requests, with no store and no elections.
//!
//! A node may take an unrepeatable key only while a majority of its cell said lately that they are at
//! exactly its epoch and know no newer run of it, and only after it has been silent for long enough that
//! every key which an earlier home may have taken is past its deadline. docs/DESIGN.md, "At most once",
//! gives the argument; `tests/lease_model.rs` searches small cells for a counterexample.

use crate::{Cell, Epoch, Era, Guard, Guards, Incarnation, NodeId, RequestKey, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The spans on which the lease rests. They must be the same on every node of a cell.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRules {
    /// How long a peer's word counts, from when it was asked for.
    pub freshness: Span,
    /// The furthest that the deadline of an unrepeatable request may lie ahead.
    pub horizon: Span,
    /// How far two clocks, a caller's included, may disagree.
    pub skew: Span,
}

impl Default for LeaseRules {
    fn default() -> Self {
        Self {
            freshness: Span::from_secs(2),
            horizon: Span::from_secs(15),
            skew: Span::from_millis(500),
        }
    }
}

impl LeaseRules {
    /// How long a node stays silent after a majority has left the epochs before.
    ///
    /// The horizon alone is not enough: the home before may take a key until the last word it was given
    /// runs out, which is up to `freshness` later. See docs/DESIGN.md, "At most once".
    pub fn takeover_wait(&self) -> Span {
        self.freshness + self.horizon + self.skew + self.skew
    }
}

/// What a node says of itself to a peer that asked. See [`Lease::word`].
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseVote {
    /// The epoch it is at.
    pub epoch: Epoch,
    /// Every epoch at or below this one has been left by a majority of its set.
    #[serde(rename = "sealed")]
    pub closed: Epoch,
    /// The newest run of the asking node that it knows.
    pub asker: Incarnation,
    /// Whether it has caught up since it started, so that its word counts.
    pub joined: bool,
}

/// What is kept of a peer.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PeerRecord {
    vote: LeaseVote,
    /// When the word was asked for: the earliest time at which it can have been given.
    requested_at: Time,
    /// Whether anything was heard at all.
    received: bool,
    /// The highest epoch ever heard from it.
    highest_epoch: Epoch,
    /// The newest run of it that asked this node.
    incarnation: Incarnation,
}

/// When an era of which this node knows began to be safe.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownEra {
    era: Era,
    /// When a majority had confirmed this node in this era and all earlier ones were sealed.
    confirmed_at: Option<Time>,
}

/// Why a node does not take an unrepeatable key.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseRefusal {
    /// Another node is the home; `None` when the list names none.
    NotHome(Option<NodeId>),
    /// It is the home, but too recently.
    #[serde(rename = "Settling")]
    TakeoverWait(Span),
    /// It is the home, but no majority confirmed it lately.
    Unconfirmed,
}

/// The lease of one node in its cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    rules: LeaseRules,
    me: NodeId,
    incarnation: Incarnation,
    eras: Vec<KnownEra>,
    /// Whether eras before the oldest known one have been left out of the list.
    truncated: bool,
    closed: Epoch,
    peers: BTreeMap<NodeId, PeerRecord>,
    joined: bool,
    guards: Guards,
}

/// An immutable copy of what decides about a key, for the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    /// Until when the confirmation holds.
    pub confirmed_until: Time,
    /// The eras that this node knows, oldest first, and from when each is settled.
    pub eras: Vec<(Era, Option<Time>)>,
    /// The node itself.
    pub me: NodeId,
}

impl Lease {
    /// The lease of node `me`, which started as `incarnation` and knows nothing yet.
    pub fn new(rules: LeaseRules, me: NodeId, incarnation: Incarnation) -> Self {
        Self {
            rules,
            me,
            incarnation,
            eras: Vec::new(),
            truncated: false,
            closed: Epoch(0),
            peers: BTreeMap::new(),
            joined: false,
            guards: Guards::default(),
        }
    }

    /// The same lease with other guards; proofs use this.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// The epoch this node is at; 0 before the first list.
    pub fn epoch(&self) -> Epoch {
        self.eras.last().map_or(Epoch(0), |known| known.era.epoch)
    }

    /// Whether the word of this node counts yet.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// The run of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    // ------------------------------------------------------------------------
    // What is learnt

    /// Takes the eras of the node's cell from a newer list. An older list changes nothing.
    pub fn apply_cell(&mut self, now: Time, cell: &Cell) {
        let Some(newest) = cell.eras.last() else { return };
        if newest.epoch <= self.epoch() {
            return;
        }
        if !cell.eras.iter().any(|era| era.epoch == self.epoch()) {
            self.eras.clear();
            self.truncated = cell.truncated;
        }
        let present = self.epoch();
        let newer = cell.eras.iter().filter(|era| era.epoch > present);
        self.eras.extend(newer.map(|era| KnownEra {
            era: era.clone(),
            confirmed_at: None,
        }));
        self.closed = self.closed.max(cell.closed);
        self.advance(now);
    }

    /// Hears that `peer` asked as its run `incarnation`, and gives this node's word in return.
    pub fn vote_for(&mut self, peer: NodeId, incarnation: Incarnation) -> LeaseVote {
        let peer = self.peers.entry(peer).or_default();
        peer.incarnation = peer.incarnation.max(incarnation);
        let asker = peer.incarnation;
        let joined = self.joined || !self.guards.enforces(Guard::VoteJoined);
        LeaseVote {
            epoch: self.epoch(),
            closed: self.closed,
            asker,
            joined,
        }
    }

    /// Takes the word that `peer` gave to a question of this node, asked at `asked`.
    pub fn apply_vote(&mut self, now: Time, peer: NodeId, requested_at: Time, vote: LeaseVote) {
        let peer = self.peers.entry(peer).or_default();
        if peer.received && requested_at < peer.requested_at {
            return;
        }
        peer.received = true;
        peer.requested_at = requested_at;
        peer.vote = vote;
        if vote.joined {
            peer.highest_epoch = peer.highest_epoch.max(vote.epoch);
            self.closed = self.closed.max(vote.closed);
        }
        self.advance(now);
    }

    /// Moves on whatever can move on with what is known.
    fn advance(&mut self, now: Time) {
        self.update_joined();
        self.close_epochs();
        let confirmed = self.has_majority();
        let closed = !self.guards.enforces(Guard::EarlierEpochsClosed) || self.earlier_epochs_closed();
        if let Some(last) = self.eras.last_mut()
            && last.confirmed_at.is_none()
            && confirmed
            && closed
        {
            last.confirmed_at = Some(now);
        }
    }

    /// Joined: heard from a majority of the present set, none of which knows a later epoch.
    fn update_joined(&mut self) {
        let Some(known) = self.eras.last() else { return };
        let heard =
            |node: &&NodeId| **node == self.me || self.peers.get(node).is_some_and(|peer| peer.received);
        let received = known.era.members.iter().filter(heard).count();
        let behind = self.peers.values().any(|peer| peer.vote.epoch > known.era.epoch);
        if received >= known.era.majority() && !behind {
            self.joined = true;
        }
    }

    /// Seals each epoch, oldest first, whose set has been left by a majority.
    fn close_epochs(&mut self) {
        let present = self.epoch();
        let oldest = self.eras.first().map_or(present, |known| known.era.epoch);
        if self.truncated && self.closed < oldest {
            // What came before the oldest known era can only be sealed by somebody who knows it.
            return;
        }
        for known in &self.eras {
            let epoch = known.era.epoch;
            if epoch <= self.closed {
                continue;
            }
            let left = |node: &&NodeId| {
                **node == self.me
                    || self
                        .peers
                        .get(node)
                        .is_some_and(|peer| peer.highest_epoch > epoch)
            };
            if epoch >= present || known.era.members.iter().filter(left).count() < known.era.majority() {
                return;
            }
            self.closed = epoch;
        }
    }

    fn earlier_epochs_closed(&self) -> bool {
        match self.eras.len() {
            0 => false,
            1 => !self.truncated,
            eras => self.eras[eras - 2].era.epoch <= self.closed,
        }
    }

    /// The nodes whose word this node needs: its cell's present set and every set not yet sealed.
    pub fn voters(&self) -> BTreeSet<NodeId> {
        let present = self.epoch();
        let needed = self
            .eras
            .iter()
            .filter(|known| known.era.epoch == present || known.era.epoch > self.closed);
        needed
            .flat_map(|known| known.era.members.iter().copied())
            .filter(|node| *node != self.me)
            .collect()
    }

    // ------------------------------------------------------------------------
    // What is decided

    fn counts(&self, peer: &PeerRecord) -> bool {
        let epoch = !self.guards.enforces(Guard::VoteEpoch) || peer.vote.epoch == self.epoch();
        let run = !self.guards.enforces(Guard::VoteIncarnation) || peer.vote.asker == self.incarnation;
        peer.received && peer.vote.joined && epoch && run
    }

    /// Whether a majority has said, at any time, that it is at this epoch and knows this run.
    fn has_majority(&self) -> bool {
        self.majority_requested_at().is_some()
    }

    /// When the word was asked for that completes a majority; `None` without one.
    fn majority_requested_at(&self) -> Option<Time> {
        let era = &self.eras.last()?.era;
        if !era.members.contains(&self.me) {
            return None;
        }
        let others = era.members.iter().filter(|node| **node != self.me);
        let mut requested_at: Vec<Time> = others
            .filter_map(|node| self.peers.get(node))
            .filter(|peer| self.counts(peer))
            .map(|peer| peer.requested_at)
            .collect();
        requested_at.sort_unstable_by(|a, b| b.cmp(a));
        let needed = if self.guards.enforces(Guard::NoSelfVote) {
            era.confirming()
        } else {
            era.majority() - 1
        };
        match needed {
            0 => Some(Time(u64::MAX)),
            needed => requested_at.get(needed - 1).copied(),
        }
    }

    /// Until when a majority's word holds; zero without one.
    pub fn confirmed_until(&self) -> Time {
        match self.majority_requested_at() {
            Some(_) if !self.guards.enforces(Guard::VoteFresh) => Time(u64::MAX),
            Some(requested_at) => requested_at + self.rules.freshness,
            None => Time(0),
        }
    }

    /// A copy for the traffic threads.
    pub fn view(&self) -> LeaseView {
        let wait = match (
            self.guards.enforces(Guard::TakeoverWait),
            self.guards.enforces(Guard::TakeoverFreshness),
        ) {
            (false, _) => Span::ZERO,
            (_, false) => self.rules.horizon + self.rules.skew + self.rules.skew,
            _ => self.rules.takeover_wait(),
        };
        let eras = self
            .eras
            .iter()
            .map(|known| (known.era.clone(), known.confirmed_at.map(|at| at + wait)))
            .collect();
        LeaseView {
            confirmed_until: self.confirmed_until(),
            eras,
            me: self.me,
        }
    }
}

impl LeaseView {
    /// The home of `key` in the present era.
    pub fn home(&self, key: RequestKey) -> Option<NodeId> {
        self.eras.last()?.0.home(key)
    }

    /// Whether this node may take the unrepeatable `key` at `now`.
    ///
    /// A key that has been here for several eras is settled as soon as one of them is: no other node was
    /// its home since.
    ///
    /// # Errors
    /// Why not, and how long to wait where that is known.
    pub fn check(&self, now: Time, key: RequestKey) -> Result<(), LeaseRefusal> {
        let home = self.home(key);
        if home != Some(self.me) {
            return Err(LeaseRefusal::NotHome(home));
        }
        if now >= self.confirmed_until {
            return Err(LeaseRefusal::Unconfirmed);
        }
        let held = self
            .eras
            .iter()
            .rev()
            .take_while(|(era, _)| era.home(key) == Some(self.me));
        let Some(owned_from) = held.filter_map(|(_, owned_from)| *owned_from).min() else {
            return Err(LeaseRefusal::Unconfirmed);
        };
        if now < owned_from {
            return Err(LeaseRefusal::TakeoverWait(owned_from.since(now)));
        }
        Ok(())
    }
}
