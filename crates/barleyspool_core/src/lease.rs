//! The lease under which a node runs unrepeatable requests at most once, without a shared store or
//! leader election.
//!
//! Each key has one home node in its cell, found by rendezvous hashing. A node accepts an unrepeatable
//! key only as its home node, and only while both of these hold:
//!
//! - More than half of the other nodes of its cell have recently voted that they are at exactly its epoch and
//!   know no newer incarnation of it. Its own vote does not count.
//! - The takeover wait is over, so every key that an earlier home node may have accepted is past its
//!   deadline.
//!
//! docs/DESIGN.md, "At most once", gives the argument; `tests/lease_model.rs` searches the states of
//! small cells for a counterexample.

use crate::{Cell, Epoch, Era, Guard, Guards, Incarnation, NodeId, RequestKey, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The time spans on which the lease rests. They must be the same on every node of a cell.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRules {
    /// How long a vote is valid, counted from when it was requested.
    pub freshness: Span,
    /// How far ahead the deadline of an unrepeatable request may be at most.
    pub horizon: Span,
    /// The largest difference between two clocks, including those of callers.
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
    /// How long a new home node accepts no unrepeatable keys after a majority has left all earlier
    /// epochs.
    ///
    /// The horizon alone is too short: the previous home node may accept keys until its last vote
    /// expires, up to `freshness` later. Both clocks may also be off by `skew`. See docs/DESIGN.md, "At
    /// most once".
    pub fn takeover_wait(&self) -> Span {
        self.freshness + self.horizon + self.skew + self.skew
    }
}

/// A node's vote for the lease of the peer that requested it. See [`Lease::vote_for`].
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseVote {
    /// The epoch of the voter.
    pub epoch: Epoch,
    /// A majority of the members of every epoch up to this one has moved to a later epoch.
    #[serde(rename = "sealed")]
    pub closed: Epoch,
    /// The newest incarnation of the requesting node that the voter knows.
    #[serde(rename = "asker")]
    pub requester: Incarnation,
    /// Whether the voter has caught up since it started. Votes of nodes that have not are ignored.
    pub joined: bool,
}

/// What this node knows of a peer.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PeerRecord {
    vote: LeaseVote,
    /// When the vote was requested, which is the earliest time at which it can have been given.
    requested_at: Time,
    /// Whether any vote was received.
    received: bool,
    /// The highest epoch in any vote received from it.
    highest_epoch: Epoch,
    /// The newest incarnation of the peer that requested a vote of this node.
    incarnation: Incarnation,
}

/// An era in this node's list, with when the takeover wait for it began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownEra {
    era: Era,
    /// When a majority had confirmed this node in this era and all earlier eras were closed.
    confirmed_at: Option<Time>,
}

/// Why a node does not accept an unrepeatable key.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseRefusal {
    /// Another node is the home node; `None` if the fleet list has none for the key.
    NotHome(Option<NodeId>),
    /// This node is the home node, but the takeover wait goes on for this time.
    #[serde(rename = "Settling")]
    TakeoverWait(Span),
    /// This node is the home node, but has no valid votes of a majority, or the takeover wait has not begun
    /// for any era since which it has been the home node.
    Unconfirmed,
}

/// The lease of one node in its cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    rules: LeaseRules,
    me: NodeId,
    incarnation: Incarnation,
    eras: Vec<KnownEra>,
    /// Whether the fleet list has left out eras older than the oldest in `eras`.
    truncated: bool,
    /// Every epoch up to this one is closed: a majority of its members has moved to a later epoch. An epoch
    /// that was closed once stays closed, so the highest value that any list or counted vote names holds.
    closed: Epoch,
    peers: BTreeMap<NodeId, PeerRecord>,
    /// Whether this node has caught up since it started, so that its votes count.
    joined: bool,
    guards: Guards,
}

/// An immutable snapshot for the traffic threads, which decide about keys with it.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    /// When the votes of the majority expire.
    pub confirmed_until: Time,
    /// The known eras, oldest first, each with the end of its takeover wait; `None` if the wait has not
    /// begun.
    pub eras: Vec<(Era, Option<Time>)>,
    /// This node.
    pub me: NodeId,
}

impl Lease {
    /// The lease of node `me`, which started as `incarnation` and has no fleet list or votes yet.
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

    /// Replaces the guards, for tests that show that a guard is needed.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// The current epoch of this node; 0 before the first fleet list.
    pub fn epoch(&self) -> Epoch {
        self.eras.last().map_or(Epoch(0), |known| known.era.epoch)
    }

    /// Whether this node has caught up since it started, so that its votes count.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// The incarnation of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    // ------------------------------------------------------------------------
    // Updates

    /// Adds the newer eras of this node's cell from a fleet list. An older list changes nothing.
    pub fn apply_cell(&mut self, now: Time, cell: &Cell) {
        let Some(newest) = cell.eras.last() else { return };
        if newest.epoch <= self.epoch() {
            return;
        }
        if !cell.eras.iter().any(|era| era.epoch == self.epoch()) {
            self.eras.clear();
            self.truncated = cell.truncated;
        }
        let current = self.epoch();
        let newer = cell.eras.iter().filter(|era| era.epoch > current);
        self.eras.extend(newer.map(|era| KnownEra {
            era: era.clone(),
            confirmed_at: None,
        }));
        self.closed = self.closed.max(cell.closed);
        self.advance(now);
    }

    /// Records that incarnation `incarnation` of `peer` requested a vote, and returns this node's vote.
    pub fn vote_for(&mut self, peer: NodeId, incarnation: Incarnation) -> LeaseVote {
        let peer = self.peers.entry(peer).or_default();
        peer.incarnation = peer.incarnation.max(incarnation);
        let requester = peer.incarnation;
        let joined = self.joined || !self.guards.enforces(Guard::VoteJoined);
        LeaseVote {
            epoch: self.epoch(),
            closed: self.closed,
            requester,
            joined,
        }
    }

    /// Records the vote of `peer`, which this node requested at `requested_at`. Votes requested earlier
    /// than the newest one are ignored.
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

    /// Updates what follows from the lists and votes received so far.
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

    /// Sets `joined` once a majority of the current members has voted and no vote names a later epoch.
    fn update_joined(&mut self) {
        let Some(known) = self.eras.last() else { return };
        let has_voted =
            |node: &&NodeId| **node == self.me || self.peers.get(node).is_some_and(|peer| peer.received);
        let received = known.era.members.iter().filter(has_voted).count();
        let behind = self.peers.values().any(|peer| peer.vote.epoch > known.era.epoch);
        if received >= known.era.majority() && !behind {
            self.joined = true;
        }
    }

    /// Closes epochs, oldest first, whose members have moved on to later epochs by a majority.
    fn close_epochs(&mut self) {
        let current = self.epoch();
        let oldest = self.eras.first().map_or(current, |known| known.era.epoch);
        if self.truncated && self.closed < oldest {
            // Only a node that knows the eras before the oldest one here can close them.
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
            if epoch >= current || known.era.members.iter().filter(left).count() < known.era.majority() {
                return;
            }
            self.closed = epoch;
        }
    }

    /// Whether all epochs before the current one are closed.
    fn earlier_epochs_closed(&self) -> bool {
        match self.eras.len() {
            0 => false,
            1 => !self.truncated,
            eras => self.eras[eras - 2].era.epoch <= self.closed,
        }
    }

    /// The nodes whose votes this node needs: the members of the current epoch and of every epoch that
    /// is not closed.
    pub fn voters(&self) -> BTreeSet<NodeId> {
        let current = self.epoch();
        let needed = self
            .eras
            .iter()
            .filter(|known| known.era.epoch == current || known.era.epoch > self.closed);
        needed
            .flat_map(|known| known.era.members.iter().copied())
            .filter(|node| *node != self.me)
            .collect()
    }

    // ------------------------------------------------------------------------
    // Decisions

    /// Whether the vote of a peer is for this epoch and incarnation. Its age is not considered.
    fn vote_counts(&self, peer: &PeerRecord) -> bool {
        let epoch = !self.guards.enforces(Guard::VoteEpoch) || peer.vote.epoch == self.epoch();
        let incarnation =
            !self.guards.enforces(Guard::VoteIncarnation) || peer.vote.requester == self.incarnation;
        peer.received && peer.vote.joined && epoch && incarnation
    }

    /// Whether a majority has voted, at any time, for this epoch and incarnation of this node.
    fn has_majority(&self) -> bool {
        self.majority_requested_at().is_some()
    }

    /// When the vote that completes the newest majority was requested; `None` without a majority.
    fn majority_requested_at(&self) -> Option<Time> {
        let era = &self.eras.last()?.era;
        if !era.members.contains(&self.me) {
            return None;
        }
        let others = era.members.iter().filter(|node| **node != self.me);
        let mut requested_at: Vec<Time> = others
            .filter_map(|node| self.peers.get(node))
            .filter(|peer| self.vote_counts(peer))
            .map(|peer| peer.requested_at)
            .collect();
        requested_at.sort_unstable_by(|a, b| b.cmp(a));
        let needed = if self.guards.enforces(Guard::NoSelfVote) {
            era.required_votes()
        } else {
            era.majority() - 1
        };
        match needed {
            0 => Some(Time(u64::MAX)),
            needed => requested_at.get(needed - 1).copied(),
        }
    }

    /// When the votes of the majority expire; zero without a majority.
    pub fn confirmed_until(&self) -> Time {
        match self.majority_requested_at() {
            Some(_) if !self.guards.enforces(Guard::VoteFresh) => Time(u64::MAX),
            Some(requested_at) => requested_at + self.rules.freshness,
            None => Time(0),
        }
    }

    /// A snapshot for the traffic threads.
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
    /// The home node of `key` in the current era.
    pub fn home(&self, key: RequestKey) -> Option<NodeId> {
        self.eras.last()?.0.home(key)
    }

    /// Whether this node may accept the unrepeatable `key` at `now`.
    ///
    /// If this node has been the home node of the key for several eras in a row, it is enough that the
    /// takeover wait of one of them is over, since no other node was the home node in between.
    ///
    /// # Errors
    /// Why the key is not accepted, with the time to wait if that is known.
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
