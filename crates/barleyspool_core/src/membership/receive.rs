//! Handling of messages and of the updates in them.

use super::table::Membership;
use super::{
    Evidence, Member, MemberAction, MemberHealth, MemberMessage, MemberUpdate, MessageKind, SourceState,
};
use crate::{Incarnation, Time, rendezvous};
use rand::Rng;

impl Membership {
    /// Handles a message from the node at `from` and replies where the message requires it.
    pub(super) fn handle_message(&mut self, now: Time, from: &str, message: MemberMessage) {
        for (index, update) in message.updates.into_iter().enumerate() {
            self.apply_update(now, update, index == 0);
        }
        if let Some(member) = self.members.get_mut(from) {
            member.heard_directly = true;
            member.source = message.source;
            // Accepted from known members only, since these reports block calls. A sender that was unknown
            // is known by now if the message holds an update about it; one whose message holds none, as an
            // `Announce` does, stays unknown.
            self.apply_crashes(now, &message.crashes);
            match &message.kind {
                MessageKind::Limits { updates } => self.apply_limits(now, updates),
                MessageKind::Leaving { updates } => self.apply_leaving(now, updates),
                MessageKind::Reach { updates } => self.apply_reach(now, updates),
                MessageKind::Brittle { updates } => self.apply_brittle(now, updates),
                MessageKind::Streams { records } => self.apply_streams(now, records),
                MessageKind::StreamAnswer { stream, record } => {
                    self.handle_stream_answer(now, from, *stream, *record);
                    self.handle_list_answer(from, *stream, message.source);
                }
                _ => {}
            }
            self.report_source(message.source, message.kind == MessageKind::Announce);
        }
        match message.kind {
            MessageKind::Probe { number } => {
                self.send(now, from.to_owned(), MessageKind::Ack { number });
            }
            MessageKind::IndirectProbe { number, target } => {
                let requested_by = Some((from.to_owned(), number));
                self.probe(now, target, requested_by);
            }
            MessageKind::Ack { number } => self.handle_ack(now, number),
            MessageKind::Join { known } => {
                self.reply_to_join(now, from, &known);
                self.share_limits(now, from);
                self.share_leaving(now, from);
                self.share_reach(from);
                self.share_brittle(now, from);
            }
            MessageKind::JoinReply { members } => self.handle_join_reply(from, members),
            MessageKind::StreamQuery { stream } => self.answer_stream_query(now, from, stream),
            MessageKind::Limits { .. }
            | MessageKind::Leaving { .. }
            | MessageKind::Reach { .. }
            | MessageKind::Brittle { .. }
            | MessageKind::Streams { .. }
            | MessageKind::StreamAnswer { .. }
            | MessageKind::Update
            | MessageKind::Announce => {}
        }
    }

    /// Reports the source state of another node if its configuration, list of targets or evacuated zones are newer than
    /// those of this node, or if that node reads the source.
    fn report_source(&mut self, source: SourceState, reads: bool) {
        let newer = source.version > self.source.version
            || source.list > self.source.list
            || source.evacuations > self.source.evacuations;
        if newer || reads {
            self.actions.push(MemberAction::SourceReported { source, reads });
        }
    }

    fn handle_ack(&mut self, now: Time, number: u64) {
        let Some(probe) = self.probes.remove(&number) else {
            return;
        };
        if let Some(member) = self.members.get_mut(&probe.target) {
            member.heard_directly = true;
            // The node responded, so it is alive, whatever others report. It refutes the suspicion itself
            // once it receives it.
            if member.health == MemberHealth::Suspect {
                self.set_health(now, &probe.target, MemberHealth::Alive, Evidence::Answer);
            }
        }
        if let Some((requester, number)) = probe.requested_by {
            self.send(now, requester, MessageKind::Ack { number });
        }
    }

    /// Applies an update about a node, sent by the node itself (`first_hand`) or by another.
    fn apply_update(&mut self, now: Time, mut update: MemberUpdate, first_hand: bool) {
        let address = update.facts.address.clone();
        if address == self.me.facts.address {
            self.handle_own_update(&update);
            return;
        }
        let evidence = if first_hand {
            Evidence::Answer
        } else {
            Evidence::Gossip
        };
        let Some(known) = self.members.get_mut(&address) else {
            // Dead nodes are recorded too: an outdated update that shows the node alive may come later,
            // from a node that was suspended.
            self.insert_member(now, address, &update, evidence);
            return;
        };
        let newer = (update.incarnation, update.facts_version) > (known.incarnation, known.facts_version);
        let same_incarnation = update.incarnation == known.incarnation;
        if same_incarnation && update.health == MemberHealth::Dead && !accepts_reported_death(known) {
            update.health = MemberHealth::Suspect;
        }
        let worse =
            same_incarnation && update.facts_version >= known.facts_version && update.health > known.health;
        // An update from the node itself overrides what others reported about it.
        let is_own_change = first_hand
            && same_incarnation
            && update.facts_version >= known.facts_version
            && update.health != known.health;
        if same_incarnation && update.facts_version < known.facts_version && update.health > known.health {
            self.outdated_suspicions += 1;
        }
        if !newer && !worse && !is_own_change {
            return;
        }
        let revived = newer && (!same_incarnation || first_hand);
        let health = update.health;
        let changed = health > known.health || revived || is_own_change;
        if newer {
            self.apply_newer_facts(update, evidence);
        }
        if changed {
            self.set_health(now, &address, health, evidence);
        }
    }

    /// Applies newer facts of a known node.
    fn apply_newer_facts(&mut self, update: MemberUpdate, evidence: Evidence) {
        let address = update.facts.address.clone();
        let Some(known) = self.members.get_mut(&address) else {
            return;
        };
        let same_incarnation = update.incarnation == known.incarnation;
        let serving_changed = known.facts.serving != update.facts.serving;
        known.incarnation = update.incarnation;
        known.facts_version = update.facts_version;
        known.facts = update.facts;
        let health = known.health;
        if same_incarnation {
            self.updates.add_facts(&address);
        } else {
            // It refutes a suspicion or has restarted, which is as urgent as a suspicion.
            self.updates.add_health(&address);
        }
        if serving_changed {
            self.actions.push(MemberAction::Changed {
                address,
                health,
                evidence,
            });
        }
    }

    /// Handles an update about this node. If it reports the current incarnation as unhealthy, or shows a
    /// later incarnation, a higher incarnation refutes it.
    fn handle_own_update(&mut self, update: &MemberUpdate) {
        let is_unhealthy = update.health != MemberHealth::Alive && self.me.health == MemberHealth::Alive;
        let is_later = update.incarnation > self.me.incarnation;
        if (is_unhealthy && update.incarnation >= self.me.incarnation) || is_later {
            self.me.incarnation = Incarnation(update.incarnation.0 + 1);
            // The suspicion times out at every node that received it, so the refutation is sent at once and
            // not only with the next probes. In a fleet of 86 nodes, the time for which nodes take one that
            // paused for 0.7 s for dead, added up over the nodes, is then 2.9 s instead of 10 s.
            self.send_own_update();
        }
    }

    fn insert_member(&mut self, now: Time, address: String, update: &MemberUpdate, evidence: Evidence) {
        let member = Member {
            facts: update.facts.clone(),
            incarnation: update.incarnation,
            facts_version: update.facts_version,
            health: update.health,
            source: SourceState::default(),
            key: rendezvous::text_key(&update.facts.address),
            health_since: now,
            heard_directly: false,
            left_gracefully: update.health == MemberHealth::Leaving,
        };
        let health = member.health;
        self.count_discovered();
        self.members.insert(address.clone(), member);
        self.updates.add_facts(&address);
        let position = self.random.random_range(0..=self.probe_order.len());
        self.probe_order.insert(position, address.clone());
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
        member.left_gracefully =
            health == MemberHealth::Leaving || (member.left_gracefully && health == MemberHealth::Dead);
        member.health = health;
        member.health_since = now;
        self.updates.add_health(address);
        self.actions.push(MemberAction::Changed {
            address: address.to_owned(),
            health,
            evidence,
        });
    }
}

/// Whether an update that reports `member` dead is enough for this node to mark it dead rather than
/// suspect.
///
/// A node that was cut off takes all other nodes for dead and reports so on its return. If every node
/// accepted such reports, 848 of 7,140 pairs of other nodes would take each other for dead two seconds after
/// one node of 86 returned from a partition of 8 s, instead of 197. So the first report of a death only
/// starts the suspicion timeout, unless this node has never received anything from the member directly.
fn accepts_reported_death(member: &Member) -> bool {
    member.health == MemberHealth::Suspect || !member.heard_directly
}
