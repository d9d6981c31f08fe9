//! What the control thread knows, and how it becomes a plan.

use crate::edges::{Feed, SourceChange};
use crate::event_log::{EventLog, Line};
use crate::shared::Shared;
use barleyspool_core::{
    CatalogDocument, CatalogStore, Evidence, ForwardPlan, Incarnation, MemberAction, MemberEvent,
    MemberFacts, MemberHealth, MemberView, Membership, MembershipSettings, Offered, Revision, SourceState,
    Span, TargetChange, TargetStore, TargetTable, Time, is_short_poller, rendezvous,
};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a feed may be silent after an error before other nodes are asked.
const SOURCE_LOST: Span = Span::from_millis(300);
/// How long changes of members are gathered for one plan.
const GATHER: Duration = Duration::from_millis(20);

/// What the control thread knows.
pub struct ControlState {
    /// What the threads share.
    pub shared: Arc<Shared>,
    /// The log.
    pub log: EventLog,
    /// The configuration in force.
    pub catalogs: RefCell<CatalogStore>,
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
    /// Since when each feed has failed, and why it did last; `None` while it answers.
    failing: RefCell<[Option<(Time, String)>; 2]>,
    /// Whether the nodes that are known are likely to be all there are.
    settled: Cell<bool>,
    /// Whether a planned stop is under way.
    pub stopping: Cell<bool>,
    /// Whether this node watches the feeds for a short time only.
    short_poll: Cell<bool>,
    /// Tells the reader of each feed that its watch may hear nothing any more.
    suspect: [Notify; 2],
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
                callers: settings.callers.to_string(),
                peers: settings.pieces.to_string(),
                zone: settings.zone.clone(),
                serving: false,
            },
            incarnation: Incarnation(shared.clock.started().0),
            seeds: seeds
                .map(|seed| format!("{}:{members_port}", seed.ip()))
                .collect(),
            seed: rand::random(),
            ..MembershipSettings::default()
        });
        Self {
            shared,
            log,
            catalogs: RefCell::default(),
            targets: RefCell::default(),
            targets_known: Cell::new(false),
            membership: RefCell::new(membership),
            outbox: RefCell::default(),
            outbox_filled: Notify::new(),
            members_changed: Notify::new(),
            failing: RefCell::default(),
            settled: Cell::new(false),
            stopping: Cell::new(false),
            short_poll: Cell::new(true),
            suspect: [Notify::new(), Notify::new()],
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Whether this node takes calls.
    pub fn ready(&self) -> bool {
        !self.stopping.get() && self.catalogs.borrow().catalog.is_some() && self.targets_known.get()
    }

    // ------------------------------------------------------------------------
    // Configuration and targets

    /// Takes a configuration that `from` offers.
    ///
    /// Returns whether it is in force now.
    pub fn offer(&self, document: CatalogDocument, from: &str) -> bool {
        let before = self.catalogs.borrow().version().0;
        let version = document.version.0;
        let offered = self.catalogs.borrow_mut().offer(document);
        let accepted = offered == Offered::Accepted;
        match offered {
            Offered::Accepted => {
                self.log.write(
                    self.now(),
                    &Line::Configuration {
                        version,
                        before,
                        from,
                    },
                );
                self.publish();
            }
            Offered::Old => {}
            Offered::Bad(faults) => {
                let cause = faults.first().map(ToString::to_string).unwrap_or_default();
                self.log.write(
                    self.now(),
                    &Line::ConfigurationRefused {
                        version,
                        cause: &cause,
                        from,
                    },
                );
            }
        }
        accepted
    }

    /// Takes a whole list of targets. Returns whether it is another one than before.
    pub fn replace_targets(&self, at: Revision, table: TargetTable, from: &str) -> bool {
        let first = !self.targets_known.replace(true);
        let changed = self.targets.borrow_mut().replace(self.now(), at, table);
        self.list_stands_at();
        if changed || first {
            self.targets_changed(from);
        }
        changed
    }

    /// Takes changes that the source told.
    pub fn take_changes(&self, feed: Feed, at: Revision, changes: Vec<SourceChange>) {
        let mut target_changes = Vec::new();
        for change in changes {
            match change {
                SourceChange::Configuration(document) => {
                    self.offer(*document, "source");
                }
                SourceChange::Target(entry) => target_changes.push(TargetChange::Put(entry)),
                SourceChange::TargetGone(id) => target_changes.push(TargetChange::Gone(id)),
                SourceChange::Malformed { key, cause } => self.skipped(&key, &cause),
            }
        }
        if feed != Feed::Targets {
            // Its revision says nothing of how far the list of targets was heard.
            return;
        }
        let mut targets = self.targets.borrow_mut();
        let changed = targets.apply(self.now(), at, target_changes);
        drop(targets);
        self.list_stands_at();
        if changed {
            self.targets_changed("source");
        }
    }

    /// Takes entries as gone that lapsed while the source was away and did not come back.
    pub fn expire_targets(&self) {
        if self.targets.borrow_mut().expire(self.now()) {
            self.targets_changed("lapsed");
        }
    }

    fn list_stands_at(&self) {
        let source = self.source_state();
        self.step_members(MemberEvent::Source(source));
    }

    fn source_state(&self) -> SourceState {
        SourceState {
            version: self.catalogs.borrow().version(),
            list: self.targets.borrow().changed_at,
        }
    }

    /// An item of the source cannot be read.
    pub fn skipped(&self, key: &str, cause: &str) {
        self.log.write(self.now(), &Line::ItemSkipped { key, cause });
    }

    fn targets_changed(&self, from: &str) {
        let (targets, leaving, at) = {
            let store = self.targets.borrow();
            let leaving = store.table.values().filter(|entry| entry.leaving).count();
            (store.table.len(), leaving, store.at.0)
        };
        self.log.write(
            self.now(),
            &Line::Targets {
                targets,
                leaving,
                at,
                from,
            },
        );
        self.publish();
    }

    /// A feed answered, or failed with `cause`.
    pub fn feed_result(&self, feed: Feed, cause: Option<&str>) {
        let now = self.now();
        let place = feed as usize;
        let before = self.failing.borrow()[place].clone();
        if before.as_ref().map(|(_, cause)| cause.as_str()) == cause {
            return;
        }
        let since = before.as_ref().map_or(now, |(since, _)| *since);
        self.failing.borrow_mut()[place] = cause.map(|cause| (since, cause.to_owned()));
        let line = Line::Source {
            feed: feed_name(feed),
            answers: cause.is_none(),
            cause: cause.unwrap_or_default(),
        };
        self.log.write(now, &line);
    }

    /// A feed is about to be taken after it failed: what is missing in it now may only have lapsed.
    pub fn feed_back(&self, feed: Feed) {
        let since = self.failing.borrow()[feed as usize]
            .as_ref()
            .map(|(since, _)| *since);
        let away = since.is_some_and(|since| self.now().since(since) > SOURCE_LOST);
        if feed == Feed::Targets && away {
            self.targets.borrow_mut().source_back(self.now());
        }
    }

    /// Another node had something newer than this one: unless the feed is known to fail, its watch hears nothing.
    pub fn overtaken(&self, feed: Feed) {
        if self.failing.borrow()[feed as usize].is_none() {
            self.suspect[feed as usize].notify_one();
        }
    }

    /// Waits until the watch of a feed may hear nothing any more, or should be a shorter one.
    pub async fn watch_suspect(&self, feed: Feed) {
        self.suspect[feed as usize].notified().await;
    }

    /// Whether this node watches the feeds for a short time only.
    pub fn is_short_poller(&self) -> bool {
        self.short_poll.get()
    }

    /// Begins to watch for a short time in the place of a node that has gone: the long watches of before end.
    fn take_polling(&self, plan: &ForwardPlan) {
        let members = plan.members.iter().map(|member| member.key);
        let short = is_short_poller(members, plan.me);
        if short && !self.short_poll.replace(short) {
            self.suspect.iter().for_each(Notify::notify_one);
        }
        self.short_poll.set(short);
    }

    /// Whether other nodes should be asked for what the source does not tell.
    pub fn source_lost(&self) -> bool {
        let now = self.now();
        let failing = self.failing.borrow();
        let mut lost = failing.iter().flatten();
        lost.any(|(since, _)| now.since(*since) > SOURCE_LOST)
    }

    // ------------------------------------------------------------------------
    // Members

    /// Steps the membership and puts what it wants sent into the outbox.
    pub fn step_members(&self, event: MemberEvent) {
        let now = self.now();
        let actions = self.membership.borrow_mut().step(now, event);
        let settled = self.membership.borrow().settled(now);
        let mut changed = self.settled.replace(settled) != settled;
        self.count_news();
        if actions.is_empty() && !changed {
            return;
        }
        for action in actions {
            match action {
                MemberAction::Send { .. } => self.outbox.borrow_mut().push(action),
                MemberAction::Changed {
                    address,
                    health,
                    evidence,
                } => {
                    changed = true;
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
        if changed {
            self.members_changed.notify_one();
        }
    }

    fn count_news(&self) {
        let counts = self.membership.borrow().counts();
        self.shared.news_waiting.store(counts.waiting, Ordering::Relaxed);
        self.shared
            .news_outdated
            .store(counts.outdated, Ordering::Relaxed);
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
        self.step_members(MemberEvent::Source(self.source_state()));
        self.step_members(MemberEvent::Serving(self.ready()));
        let plan = self.plan();
        self.take_polling(&plan);
        self.shared.plan.store(Arc::new(plan));
        self.shared.plan_changed.send_modify(|count| *count += 1);
    }

    fn plan(&self) -> ForwardPlan {
        let membership = self.membership.borrow();
        let view = |facts: &MemberFacts| MemberView {
            key: rendezvous::text_key(&facts.address) as u64,
            peer_address: facts.peers.clone(),
            zone: facts.zone.clone(),
        };
        let mut members: Vec<MemberView> = membership.serving().iter().map(view).collect();
        members.sort_by_key(|member| member.key);
        ForwardPlan {
            made: self.now(),
            catalog: self.catalogs.borrow().catalog.clone(),
            zones: Arc::clone(&self.targets.borrow().zones),
            targets: Arc::clone(&self.targets.borrow().table),
            members: Arc::new(members),
            me: rendezvous::text_key(&self.shared.settings.members.to_string()) as u64,
            settled: self.settled.get(),
            stopping: self.stopping.get(),
        }
    }
}

fn feed_name(feed: Feed) -> &'static str {
    match feed {
        Feed::Configuration => "configuration",
        Feed::Targets => "targets",
    }
}

fn evidence_name(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::Answer => "answer",
        Evidence::Silence => "silence",
        Evidence::News => "news",
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
