//! What the control thread knows, and how it becomes a plan.

use super::reading::Reading;
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
const GATHER: Duration = Duration::from_millis(20);

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
    pub targets_known: Cell<bool>,
    /// The other nodes.
    pub membership: RefCell<Membership>,
    /// Messages to other nodes that wait to be sent.
    pub outbox: RefCell<Vec<MemberAction>>,
    /// Tells the members task that the outbox is not empty.
    pub outbox_filled: Notify,
    /// Tells that members have changed since the last plan.
    members_changed: Notify,
    /// What this node does at the source.
    pub reading: Reading,
    /// The list as it is handed out whole, and the revision at which it stands.
    pub packed: RefCell<Option<(Revision, ByteBuf)>>,
    /// Whole lists that other nodes are taking from this one.
    pub list_transfers: RefCell<ListTransfers>,
    /// Whether the nodes that are known are likely to be all there are.
    pub settled: Cell<bool>,
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
        let reading = Reading::new(shared.clock.now(), shared.settings.is_seed());
        let list_transfers = ListTransfers::new(shared.settings.link());
        Self {
            shared,
            log,
            catalogs: RefCell::default(),
            evacuations: RefCell::default(),
            targets: RefCell::default(),
            targets_known: Cell::new(false),
            membership: RefCell::new(membership),
            outbox: RefCell::default(),
            outbox_filled: Notify::new(),
            members_changed: Notify::new(),
            reading,
            packed: RefCell::default(),
            list_transfers: RefCell::new(list_transfers),
            settled: Cell::new(false),
            abort_at: Cell::new(None),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Whether a planned stop is under way.
    pub fn stopping(&self) -> bool {
        self.abort_at.get().is_some()
    }

    /// Whether this node takes calls.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.catalogs.borrow().catalog.is_some() && self.targets_known.get()
    }

    // ------------------------------------------------------------------------
    // Members

    /// Steps the membership and puts what it wants sent into the outbox.
    pub fn step_members(&self, event: MemberEvent) {
        let now = self.now();
        let actions = self.membership.borrow_mut().step(now, event);
        let settled = self.membership.borrow().converged(now);
        let mut changed = self.settled.replace(settled) != settled;
        if changed && settled {
            self.log_members(now);
        }
        self.count_updates();
        if actions.is_empty() && !changed {
            return;
        }
        let mut leaving = Vec::new();
        for action in actions {
            match action {
                MemberAction::Send { .. } => self.outbox.borrow_mut().push(action),
                MemberAction::SourceReported { source, reads } => self.source_reported(source, reads),
                MemberAction::BlockedCallsChanged => self.publish_refused(now),
                MemberAction::TargetLeaves { incarnation: run } => leaving.push(run),
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
                    if !settled && health == MemberHealth::Alive {
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
    fn publish_refused(&self, now: Time) {
        let refused = self.membership.borrow().crashes().blocked(now);
        let line = Line::CallsRefused {
            calls: refused.count(now),
            known: self.membership.borrow().crashes().len(),
        };
        self.log.write(now, &line);
        self.shared.refused.store(Arc::new(refused));
    }

    fn count_updates(&self) {
        let counts = self.membership.borrow().counts();
        self.shared
            .updates_waiting
            .store(counts.queued_updates, Ordering::Relaxed);
        self.shared
            .updates_outdated
            .store(counts.outdated_suspicions, Ordering::Relaxed);
    }

    /// Makes a plan after members have changed, at most one every [`GATHER`]: when a fleet starts, hundreds of
    /// changes come within a second.
    pub async fn publish_members(&self) {
        loop {
            self.members_changed.notified().await;
            tokio::time::sleep(GATHER).await;
            self.publish();
        }
    }

    // ------------------------------------------------------------------------
    // The plan

    /// Hands everything to the traffic thread.
    pub fn publish(&self) {
        // Before the others hear that this node serves, so that they hear with it what it has.
        self.step_members(MemberEvent::Source(self.source_state()));
        self.step_members(MemberEvent::Serving(self.ready()));
        self.set_role();
        let plan = self.plan();
        self.shared.plan.store(Arc::new(plan));
        self.shared.plan_changed.send_modify(|count| *count += 1);
    }

    fn plan(&self) -> ForwardPlan {
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
            listed: self.targets_known.get(),
            zones: Arc::clone(&self.targets.borrow().zones),
            restarts: Arc::clone(&self.targets.borrow().restarts),
            services: Arc::clone(&self.targets.borrow().services),
            targets: Arc::clone(&self.targets.borrow().table),
            members: Arc::new(members),
            me: self.key(),
            converged: self.settled.get(),
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
