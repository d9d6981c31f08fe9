//! The state of the control thread, and the plan for the traffic thread that is derived from it.

use super::source_access::SourceAccess;
use super::stream_queries::StreamWaiters;
use crate::event_log::{EventLog, LogEvent};
use crate::shared::Shared;
use barleyspool_core::{
    CatalogStore, Evacuations, Evidence, ForwardPlan, Incarnation, ListTransfers, MemberAction, MemberEvent,
    MemberFacts, MemberHealth, MemberView, Membership, MembershipSettings, Revision, TargetStore, Time,
    rendezvous, retain_named,
};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;

/// Time during which membership changes are collected for one plan.
const MEMBER_CHANGE_DELAY: Duration = Duration::from_millis(20);

/// Where data came from.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The source itself.
    Source,
    /// Another node, with its address.
    Node(&'a str),
    /// Answers of targets, received by this node or another one.
    Answers,
    /// A timeout after an outage or a restore of the source.
    Expiry,
}

impl<'a> Origin<'a> {
    /// The name in log events.
    pub(super) fn name(self) -> &'a str {
        match self {
            Self::Source => "source",
            Self::Node(address) => address,
            Self::Answers => "answers",
            Self::Expiry => "lapsed",
        }
    }
}

/// The state of the control thread.
pub struct ControlState {
    /// State shared with the traffic thread.
    pub shared: Arc<Shared>,
    /// The event log.
    pub log: EventLog,
    /// The current configuration.
    pub catalogs: RefCell<CatalogStore>,
    /// The evacuated zones.
    pub evacuations: RefCell<Evacuations>,
    /// The target list.
    pub targets: RefCell<TargetStore>,
    /// Whether a full target list has been received.
    pub has_target_list: Cell<bool>,
    /// The membership table.
    pub membership: RefCell<Membership>,
    /// Messages that wait to be sent to other nodes.
    pub outbox: RefCell<Vec<MemberAction>>,
    /// Wakes the task that sends the messages in `outbox`.
    pub outbox_filled: Notify,
    /// Wakes the task that publishes a new plan after membership changes.
    members_changed: Notify,
    /// When and how this node reads the source.
    pub source_access: SourceAccess,
    /// The target list, encoded for transfers to other nodes, with its revision and generation.
    pub packed_list: RefCell<Option<((Revision, u64), ByteBuf)>>,
    /// Requests for streams that wait for answers of other nodes.
    pub stream_waiters: StreamWaiters,
    /// Active transfers of full lists to other nodes.
    pub list_transfers: RefCell<ListTransfers>,
    /// Whether the known members most likely include all nodes of the fleet.
    pub converged: Cell<bool>,
    /// When a planned stop aborts unfinished calls; `None` while no stop is requested.
    pub abort_at: Cell<Option<Time>>,
}

impl ControlState {
    /// Creates the state of a node that has started and has received no data yet.
    pub fn new(shared: Arc<Shared>, log: EventLog) -> Self {
        let settings = &shared.settings;
        let seeds = settings.seeds.iter();
        let members_port = settings.members.port();
        let membership = Membership::new(MembershipSettings {
            facts: MemberFacts {
                address: settings.members.to_string(),
                caller_address: settings.callers.to_string(),
                // The port for pieces also serves placements, grants and pings.
                peer_address: settings.pieces.to_string(),
                zone: settings.zone.clone(),
                serving: false,
                link_mbps: settings.link_mbps(),
            },
            // The incarnation of this node among the members is the wall-clock time of its start.
            incarnation: Incarnation(shared.clock.started_at().0),
            seeds: seeds
                .map(|seed| format!("{}:{members_port}", seed.ip()))
                .collect(),
            seed: rand::random(),
            ..MembershipSettings::default()
        });
        let source_access = SourceAccess::new(shared.clock.now(), shared.settings.is_seed());
        let list_transfers = ListTransfers::new(shared.settings.link_mbps());
        Self {
            shared,
            log,
            catalogs: RefCell::default(),
            evacuations: RefCell::default(),
            targets: RefCell::default(),
            has_target_list: Cell::new(false),
            membership: RefCell::new(membership),
            outbox: RefCell::default(),
            outbox_filled: Notify::new(),
            members_changed: Notify::new(),
            source_access,
            packed_list: RefCell::default(),
            stream_waiters: StreamWaiters::default(),
            list_transfers: RefCell::new(list_transfers),
            converged: Cell::new(false),
            abort_at: Cell::new(None),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.abort_at.get().is_some()
    }

    /// Whether this node accepts calls.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalogs.borrow().catalog.is_some() && self.has_target_list.get()
    }

    // ------------------------------------------------------------------------
    // Members

    /// Passes an event to the membership table and executes the resulting actions. Messages go into the
    /// outbox.
    pub fn step_members(&self, event: MemberEvent) {
        let now = self.now();
        let actions = self.membership.borrow_mut().step(now, event);
        let converged = self.membership.borrow().converged(now);
        let mut changed = self.converged.replace(converged) != converged;
        if changed && converged {
            self.log_members(now);
        }
        self.publish_update_counts();
        if actions.is_empty() && !changed {
            return;
        }
        let mut leaving_incarnations = Vec::new();
        for action in actions {
            match action {
                MemberAction::Send { .. } => self.outbox.borrow_mut().push(action),
                MemberAction::SourceReported { source, reads } => self.handle_source_report(source, reads),
                MemberAction::BlockedCallsChanged => self.publish_blocked_calls(now),
                MemberAction::StreamFound(record) => {
                    self.stream_waiters.answer(record.stream, record.version);
                }
                MemberAction::StreamUnknown(stream) | MemberAction::ListsCompared(stream) => {
                    self.stream_waiters.answer(stream, None);
                }
                MemberAction::TargetLeaves { incarnation } => leaving_incarnations.push(incarnation),
                MemberAction::ReachabilityChanged
                | MemberAction::ReachChanged
                | MemberAction::BrittleChanged => changed = true,
                MemberAction::LimitsChanged => {
                    changed = true;
                    let limited = self.membership.borrow().limits().limited_count();
                    self.log.write(now, &LogEvent::LimitsChanged { limited });
                }
                MemberAction::Changed {
                    address,
                    health,
                    evidence,
                } => {
                    changed = true;
                    if !converged && health == MemberHealth::Alive {
                        // In a starting fleet, every node would log an event for every other node.
                        // `LogEvent::MembersConverged` reports their number instead.
                        continue;
                    }
                    let serving = self.membership.borrow().serving().len();
                    let event = LogEvent::MemberChanged {
                        address: &address,
                        health: health_name(health),
                        evidence: evidence_name(evidence),
                        serving,
                    };
                    self.log.write(now, &event);
                }
            }
        }
        self.outbox_filled.notify_one();
        self.note_leaving(&leaving_incarnations);
        if changed {
            self.members_changed.notify_one();
        }
    }

    fn log_members(&self, now: Time) {
        let membership = self.membership.borrow();
        let event = LogEvent::MembersConverged {
            known: membership.members().count(),
            serving: membership.serving().len(),
        };
        self.log.write(now, &event);
    }

    /// Publishes the blocked calls to the traffic thread: calls that are not sent to any target because
    /// targets have crashed while processing them.
    fn publish_blocked_calls(&self, now: Time) {
        let blocked = self.membership.borrow().blocked_calls(now);
        let event = LogEvent::BlockedCallsChanged {
            blocked: blocked.count(now),
            crash_records: self.membership.borrow().crashes().len(),
        };
        self.log.write(now, &event);
        self.shared.blocked_calls.store(Arc::new(blocked));
        self.shared.blocked_changed.send_modify(|count| *count += 1);
    }

    fn publish_update_counts(&self) {
        let counts = self.membership.borrow().counts();
        self.shared
            .queued_updates
            .store(counts.queued_updates, Ordering::Relaxed);
        self.shared
            .outdated_suspicions
            .store(counts.outdated_suspicions, Ordering::Relaxed);
    }

    /// Publishes a plan after membership changes, at most once per [`MEMBER_CHANGE_DELAY`]: when a fleet
    /// starts, hundreds of changes occur within a second.
    pub async fn publish_member_changes(&self) {
        loop {
            self.members_changed.notified().await;
            tokio::time::sleep(MEMBER_CHANGE_DELAY).await;
            self.publish_plan();
        }
    }

    // ------------------------------------------------------------------------
    // The plan

    /// Publishes a plan with the current state to the traffic thread.
    pub fn publish_plan(&self) {
        // The source state is updated first, so that the announcement that this node serves contains it.
        self.step_members(MemberEvent::Source(self.source_state()));
        self.step_members(MemberEvent::Serving(self.is_ready()));
        self.update_source_role();
        let plan = self.build_plan();
        self.shared.plan.store(Arc::new(plan));
        self.shared.plan_changed.send_modify(|count| *count += 1);
    }

    fn build_plan(&self) -> ForwardPlan {
        let membership = self.membership.borrow();
        let to_view = |facts: &MemberFacts| MemberView {
            key: rendezvous::text_key(&facts.address) as u64,
            peer_address: facts.peer_address.clone(),
            zone: facts.zone.clone(),
            unreached: membership.unreached_services(&facts.address),
            link_mbps: facts.link_mbps,
        };
        let mut members: Vec<MemberView> = membership.serving().iter().map(to_view).collect();
        members.sort_by_key(|member| member.key);
        let mut named: Vec<&MemberView> = members.iter().collect();
        retain_named(&mut named, |member| member.unreached);
        let named = named.len();
        ForwardPlan {
            created_at: self.now(),
            catalog: self.catalogs.borrow().catalog.clone(),
            listed: self.has_target_list.get(),
            zones: Arc::clone(&self.targets.borrow().zones),
            restarts: Arc::clone(&self.targets.borrow().restarts),
            services: Arc::clone(&self.targets.borrow().services),
            targets: Arc::clone(&self.targets.borrow().table),
            members: Arc::new(members),
            named,
            me: self.own_key(),
            converged: self.converged.get(),
            reachability: membership.reachability(self.now()),
            limits: Arc::new(membership.limits().clone()),
            brittle: Arc::new(membership.brittle().clone()),
            abort_at: self.abort_at.get(),
        }
    }
}

fn evidence_name(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::Answer => "answer",
        Evidence::Silence => "silence",
        Evidence::Gossip => "gossip",
    }
}

fn health_name(health: MemberHealth) -> &'static str {
    match health {
        MemberHealth::Alive => "alive",
        MemberHealth::Suspect => "suspect",
        MemberHealth::Leaving => "leaving",
        MemberHealth::Dead => "dead",
    }
}
