//! What the control thread knows, and how it becomes a plan.

use super::source_access::SourceAccess;
use crate::event_log::{EventLog, Line};
use crate::shared::Shared;
use barleyspool_core::{
    CatalogStore, Evacuations, Evidence, ForwardPlan, Incarnation, ListTransfers, MemberAction, MemberEvent,
    MemberFacts, MemberHealth, MemberView, Membership, MembershipSettings, Revision, TargetStore, Time,
    rendezvous,
};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;

/// How long changes of members are gathered for one plan.
const MEMBER_CHANGE_DELAY: Duration = Duration::from_millis(20);

/// From whom something came.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The source itself.
    Source,
    /// Another node, at this address.
    Node(&'a str),
    /// Targets themselves, in their answers to this node or another one.
    Answers,
    /// Time: entries did not come back after an outage of the source.
    Expiry,
}

impl<'a> Origin<'a> {
    /// Its name in log lines.
    pub(super) fn name(self) -> &'a str {
        match self {
            Self::Source => "source",
            Self::Node(address) => address,
            Self::Answers => "answers",
            Self::Expiry => "lapsed",
        }
    }
}

/// What the control thread knows.
pub struct ControlState {
    /// What the threads share.
    pub shared: Arc<Shared>,
    /// The log.
    pub log: EventLog,
    /// The configuration in force.
    pub catalogs: RefCell<CatalogStore>,
    /// The zones that are evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// The list of targets.
    pub targets: RefCell<TargetStore>,
    /// Whether the list was ever read whole.
    pub has_target_list: Cell<bool>,
    /// The other nodes.
    pub membership: RefCell<Membership>,
    /// Messages to other nodes that wait to be sent.
    pub outbox: RefCell<Vec<MemberAction>>,
    /// Tells the members task that the outbox is not empty.
    pub outbox_filled: Notify,
    /// Tells that members have changed since the last plan.
    members_changed: Notify,
    /// What this node does at the source.
    pub source_access: SourceAccess,
    /// The list as it is handed out whole, and the revision at which it stands.
    pub packed_list: RefCell<Option<(Revision, ByteBuf)>>,
    /// Whole lists that other nodes are taking from this one.
    pub list_transfers: RefCell<ListTransfers>,
    /// Whether the nodes that are known are likely to be all there are.
    pub converged: Cell<bool>,
    /// When the last answers of a planned stop are given; `None` while no stop was asked for.
    pub abort_at: Cell<Option<Time>>,
}

impl ControlState {
    /// A control state that knows only its settings.
    pub fn new(shared: Arc<Shared>, log: EventLog) -> Self {
        let settings = &shared.settings;
        let seeds = settings.seeds.iter();
        let members_port = settings.members.port();
        let membership = Membership::new(MembershipSettings {
            facts: MemberFacts {
                address: settings.members.to_string(),
                caller_address: settings.callers.to_string(),
                peer_address: settings.pieces.to_string(),
                zone: settings.zone.clone(),
                serving: false,
                link_mbps: settings.link(),
            },
            incarnation: Incarnation(shared.clock.started().0),
            seeds: seeds
                .map(|seed| format!("{}:{members_port}", seed.ip()))
                .collect(),
            seed: rand::random(),
            ..MembershipSettings::default()
        });
        let source_access = SourceAccess::new(shared.clock.now(), shared.settings.is_seed());
        let list_transfers = ListTransfers::new(shared.settings.link());
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
            list_transfers: RefCell::new(list_transfers),
            converged: Cell::new(false),
            abort_at: Cell::new(None),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Whether a planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        self.abort_at.get().is_some()
    }

    /// Whether this node takes calls.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalogs.borrow().catalog.is_some() && self.has_target_list.get()
    }

    // ------------------------------------------------------------------------
    // Members

    /// Steps the membership and puts what it wants sent into the outbox.
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
        let mut leaving = Vec::new();
        for action in actions {
            match action {
                MemberAction::Send { .. } => self.outbox.borrow_mut().push(action),
                MemberAction::SourceReported { source, reads } => self.handle_source_report(source, reads),
                MemberAction::BlockedCallsChanged => self.publish_blocked_calls(now),
                MemberAction::TargetLeaves { incarnation } => leaving.push(incarnation),
                MemberAction::ReachabilityChanged => changed = true,
                MemberAction::LimitsChanged => {
                    changed = true;
                    let limited = self.membership.borrow().limits().limited_count();
                    self.log.write(now, &Line::LimitsChanged { limited });
                }
                MemberAction::Changed {
                    address,
                    health,
                    evidence,
                } => {
                    changed = true;
                    if !converged && health == MemberHealth::Alive {
                        // One line a node and member of a fleet that starts: `Line::Members` counts them.
                        continue;
                    }
                    let serving = self.membership.borrow().serving().len();
                    let line = Line::Member {
                        address: &address,
                        health: health_name(health),
                        evidence: evidence_name(evidence),
                        serving,
                    };
                    self.log.write(now, &line);
                }
            }
        }
        self.outbox_filled.notify_one();
        self.note_leaving(&leaving);
        if changed {
            self.members_changed.notify_one();
        }
    }

    fn log_members(&self, now: Time) {
        let membership = self.membership.borrow();
        let line = Line::Members {
            known: membership.members().count(),
            serving: membership.serving().len(),
        };
        self.log.write(now, &line);
    }

    /// Hands the calls that get no target to the traffic thread.
    fn publish_blocked_calls(&self, now: Time) {
        let blocked = self.membership.borrow().crashes().blocked(now);
        let line = Line::CallsRefused {
            calls: blocked.count(now),
            known: self.membership.borrow().crashes().len(),
        };
        self.log.write(now, &line);
        self.shared.refused.store(Arc::new(blocked));
    }

    fn publish_update_counts(&self) {
        let counts = self.membership.borrow().counts();
        self.shared
            .updates_waiting
            .store(counts.queued_updates, Ordering::Relaxed);
        self.shared
            .updates_outdated
            .store(counts.outdated_suspicions, Ordering::Relaxed);
    }

    /// Makes a plan after members have changed, at most one every [`MEMBER_CHANGE_DELAY`]: when a fleet starts, hundreds of
    /// changes come within a second.
    pub async fn publish_member_changes(&self) {
        loop {
            self.members_changed.notified().await;
            tokio::time::sleep(MEMBER_CHANGE_DELAY).await;
            self.publish_plan();
        }
    }

    // ------------------------------------------------------------------------
    // The plan

    /// Hands everything to the traffic thread.
    pub fn publish_plan(&self) {
        // Before the others hear that this node serves, so that they hear with it what it has.
        self.step_members(MemberEvent::Source(self.source_state()));
        self.step_members(MemberEvent::Serving(self.is_ready()));
        self.update_source_role();
        let plan = self.build_plan();
        self.shared.plan.store(Arc::new(plan));
        self.shared.plan_changed.send_modify(|count| *count += 1);
    }

    fn build_plan(&self) -> ForwardPlan {
        let membership = self.membership.borrow();
        let view = |facts: &MemberFacts| MemberView {
            key: rendezvous::text_key(&facts.address) as u64,
            peer_address: facts.peer_address.clone(),
            zone: facts.zone.clone(),
        };
        let mut members: Vec<MemberView> = membership.serving().iter().map(view).collect();
        members.sort_by_key(|member| member.key);
        ForwardPlan {
            created_at: self.now(),
            catalog: self.catalogs.borrow().catalog.clone(),
            listed: self.has_target_list.get(),
            zones: Arc::clone(&self.targets.borrow().zones),
            restarts: Arc::clone(&self.targets.borrow().restarts),
            services: Arc::clone(&self.targets.borrow().services),
            targets: Arc::clone(&self.targets.borrow().table),
            members: Arc::new(members),
            me: self.own_key(),
            converged: self.converged.get(),
            reachability: membership.reachability(self.now()),
            limits: Arc::new(membership.limits().clone()),
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
