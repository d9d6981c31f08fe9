//! Fast discovery of all nodes after a start or a suspension.
//!
//! Updates that are piggybacked on probes reach a large fleet within seconds, which is enough when a single
//! node joins or leaves. When all nodes start at the same moment it is not: a node that knows only a few
//! others believes that it owns pools (the targets of a stage, whose calls one owner node makes) which other
//! nodes own too. So a node that has just started sends
//! `Join` requests repeatedly, at first to the seeds and then to any node, with short digests of what it
//! knows; the receiver replies with what is missing. Each reply is limited in size, so that no seed has to
//! send everything to everyone (docs/DESIGN.md, "Members").
//!
//! A node that was suspended does the same. An update is passed on some twenty times and then no more, so
//! the node would find what it missed only by its own probes, and probing every node of a fleet of 86 once
//! takes 21 s.

use super::table::{Membership, update_of};
use super::{Member, MemberUpdate, MessageKind};
use crate::{Span, Time, rendezvous};
use rand::seq::{IteratorRandom, SliceRandom};
use std::collections::HashSet;

/// How long a node sends `Join` requests after its start or a suspension.
const CATCH_UP_PERIOD: Span = Span::from_secs(4);
/// The minimum time between two `Join` requests until the table has converged. After a simultaneous start of
/// all 295 nodes of a fleet, the median node knows all of them 0.6 s after the last one is up; with 100 ms it
/// would know 252.
const JOIN_INTERVAL: Span = Span::from_millis(50);
/// The time between two `Join` requests once the table has converged: by then little is missing, and each
/// request carries a digest of every known node.
const CONVERGED_JOIN_INTERVAL: Span = Span::from_millis(100);
/// The time window in which reply messages are counted.
const REPLY_WINDOW: Span = Span::from_millis(100);
/// Maximum number of messages in the reply to one request.
const MAX_REPLY_MESSAGES: usize = 8;
/// Number of reply messages per [`REPLY_WINDOW`] up to which requests get a full reply; after that each
/// gets a few updates only.
const FULL_REPLY_MESSAGES: usize = 50;
/// Number of updates in a reply after [`FULL_REPLY_MESSAGES`].
const SHORT_REPLY_UPDATES: usize = 3;
/// Number of reply messages per [`REPLY_WINDOW`] after which requests get no reply. The sender repeats its
/// request, and by then knows other nodes to ask.
const MAX_WINDOW_MESSAGES: usize = 100;
/// Number of consecutive replies without anything new after which a node assumes that it knows all nodes.
const UNCHANGED_REPLIES: u32 = 2;
/// The earliest time after its start at which a table can have converged: all nodes may have started at the
/// same moment.
const MIN_CONVERGENCE_TIME: Span = Span::from_millis(300);
/// The time after its start at which a table counts as converged in any case: it is better to begin
/// while some nodes are still unknown than to wait longer. If the pools of a fleet of 295 wait until all
/// nodes are known, only a third as many pieces (the units of work that are batched into the calls to a
/// pool) run in the first two seconds after a start of all nodes. Not waiting at all costs something too: 50
/// nodes then own nine shards (parts of pools that should have one owner each) for half a second, and nine
/// of ten calls meet a full target, which costs 2 ms each.
const MAX_CONVERGENCE_TIME: Span = Span::from_millis(600);
/// A node that has received no reply by this time after its start assumes that it is alone.
const ALONE_AFTER: Span = Span::from_millis(600);

/// Progress of a node that has just started or resumed.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    /// When [`Membership::step`] was first called.
    started: Option<Time>,
    /// Until when the node sends `Join` requests.
    until: Time,
    next_join: Time,
    /// The node that the latest request was sent to, until its reply arrives; `None` if it went to the seeds.
    awaited_node: Option<String>,
    /// Number of nodes discovered so far.
    discovered: usize,
    /// The value of `discovered` at the latest request.
    discovered_before: usize,
    /// Whether any reply was ever received.
    received_reply: bool,
    /// Number of consecutive replies without anything new.
    unchanged_replies: u32,
    /// End of the current [`REPLY_WINDOW`].
    window_end: Time,
    /// Number of reply messages sent in this window.
    window_messages: usize,
}

impl Membership {
    /// Whether this node acts as if it knew all nodes: because the latest replies contained nothing new,
    /// because it seems to be alone, or because it has waited long enough even if some nodes are still
    /// unknown.
    /// Until then it should not act as the only owner of anything.
    pub fn converged(&self, now: Time) -> bool {
        let Some(started) = self.catch_up.started else {
            return false;
        };
        let age = now.since(started);
        let no_contact = !self.catch_up.received_reply && self.members.is_empty();
        let is_alone = no_contact && (self.other_seeds().is_empty() || age > ALONE_AFTER);
        is_alone
            || age > MAX_CONVERGENCE_TIME
            || (age > MIN_CONVERGENCE_TIME && self.catch_up.unchanged_replies >= UNCHANGED_REPLIES)
    }

    /// The time since [`Membership::step`] was first called.
    pub(super) fn age(&self, now: Time) -> Span {
        self.catch_up
            .started
            .map_or(Span::ZERO, |started| now.since(started))
    }

    /// Sends the next `Join` request while this node catches up after its start or a suspension.
    pub(super) fn catch_up(&mut self, now: Time) {
        if self.catch_up.started.is_none() {
            self.catch_up.started = Some(now);
            self.restart_catch_up(now);
        }
        if !self.is_catching_up(now) || now < self.catch_up.next_join {
            return;
        }
        let converged = self.converged(now);
        self.catch_up.next_join = now
            + if converged {
                CONVERGED_JOIN_INTERVAL
            } else {
                JOIN_INTERVAL
            };
        let reachable: Vec<String> = self.reachable().collect();
        let node = reachable.into_iter().choose(&mut self.random);
        self.catch_up.awaited_node.clone_from(&node);
        self.catch_up.discovered_before = self.catch_up.discovered;
        // Some seeds may be stale or down, so all are asked until another node is known.
        let receivers = node.map_or_else(|| self.other_seeds(), |node| vec![node]);
        let known = self.digests();
        for address in receivers {
            let known = known.clone();
            self.send(now, address, MessageKind::Join { known });
        }
    }

    /// The digests of all known nodes.
    pub(super) fn digests(&self) -> Vec<u32> {
        self.members.values().map(digest).collect()
    }

    /// Replies to a `Join` with some of the updates that are missing from `known`, or with none if nothing
    /// is missing.
    pub(super) fn reply_to_join(&mut self, now: Time, to: &str, known: &[u32]) {
        // Checked before any other work: when a fleet starts, a seed receives thousands of requests a
        // second.
        let sent = self.messages_in_window(now);
        if sent >= MAX_WINDOW_MESSAGES {
            return;
        }
        let known: HashSet<u32> = known.iter().copied().collect();
        let mut missing: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|member| member.facts.address != to && !known.contains(&digest(member)))
            .map(update_of)
            .collect();
        // Shuffled, so that nodes which ask at the same moment receive different updates and then exchange
        // them.
        missing.shuffle(&mut self.random);
        let max_updates = self.settings.max_updates.max(1);
        let members = self.members.len() as u32;
        let empty_reply = [Vec::new()];
        let chunks: Vec<Vec<MemberUpdate>> = missing.chunks(max_updates).map(<[_]>::to_vec).collect();
        let chunks = if chunks.is_empty() {
            &empty_reply[..]
        } else {
            &chunks
        };
        let busy = sent >= FULL_REPLY_MESSAGES;
        let (max_messages, updates_per_message) = if busy {
            (1, SHORT_REPLY_UPDATES)
        } else {
            (MAX_REPLY_MESSAGES, max_updates)
        };
        for chunk in chunks.iter().take(max_messages) {
            self.catch_up.window_messages += 1;
            let mut updates = vec![self.me.clone()];
            updates.extend(chunk.iter().take(updates_per_message).cloned());
            let spare_updates = max_updates.saturating_sub(chunk.len());
            let crashes = self.take_crash_updates(now, spare_updates);
            self.push_message(
                to.to_owned(),
                MessageKind::JoinReply { members },
                updates,
                crashes,
            );
        }
    }

    /// Number of reply messages sent in this window.
    fn messages_in_window(&mut self, now: Time) -> usize {
        if now >= self.catch_up.window_end {
            self.catch_up.window_end = now + REPLY_WINDOW;
            self.catch_up.window_messages = 0;
        }
        self.catch_up.window_messages
    }

    /// Restarts the period in which this node sends `Join` requests.
    pub(super) fn restart_catch_up(&mut self, now: Time) {
        self.catch_up.until = now + CATCH_UP_PERIOD;
    }

    /// Whether this node is still in the period in which it sends `Join` requests.
    pub(super) fn is_catching_up(&self, now: Time) -> bool {
        self.catch_up.started.is_none() || now <= self.catch_up.until
    }

    /// Counts a node that was not known before.
    pub(super) fn count_discovered(&mut self) {
        self.catch_up.discovered += 1;
    }

    /// Records a reply after its updates were applied. Only a sender that knows as many nodes as this one
    /// can confirm that there are no more.
    pub(super) fn handle_join_reply(&mut self, from: &str, members: u32) {
        self.catch_up.received_reply = true;
        if self.catch_up.awaited_node.as_deref() != Some(from) {
            return;
        }
        self.catch_up.awaited_node = None;
        let nothing_new = self.catch_up.discovered == self.catch_up.discovered_before;
        let is_unchanged = nothing_new && members as usize >= self.members.len();
        self.catch_up.unchanged_replies = if is_unchanged {
            self.catch_up.unchanged_replies + 1
        } else {
            0
        };
    }
}

/// A short digest of what is known about a node.
fn digest(member: &Member) -> u32 {
    let state = member.incarnation.0 ^ (member.facts_version << 32) ^ (member.health as u64) << 60;
    rendezvous::order(member.key, state) as u32
}
