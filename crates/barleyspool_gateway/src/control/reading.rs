//! What this node does at the source: whether its feeds read it, and whom it tells or asks instead.

use super::state::ControlState;
use crate::adapters::Feed;
use crate::event_log::Line;
use barleyspool_core::{
    FleetView, HeldRevisions, InitialListRead, Member, MemberEvent, MemberHealth, ReaderCandidate, Revision,
    SourceState, SourceWatch, Span, Time, rendezvous, source_recipients, source_role,
};
use std::cell::{Cell, RefCell};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How long a feed may be silent after an error before what is missing in it counts as expired.
const SOURCE_LOST: Span = Span::from_millis(300);
/// The feeds.
const FEEDS: [Feed; 2] = [Feed::Configuration, Feed::Targets];

/// What this node does at the source.
pub struct Reading {
    watch: RefCell<SourceWatch>,
    /// Whom this node tells what it reads.
    audience: RefCell<Vec<String>>,
    /// Feeds that have to be read whole.
    missing: [Cell<bool>; 2],
    /// When a node without a list reads it although others may have it.
    first_list: InitialListRead,
    /// What this node knows of the fleet, for that.
    fleet: Cell<FleetView>,
    /// Since when each feed has failed, and why it did last; `None` while it answers.
    failing: RefCell<[Option<(Time, String)>; 2]>,
    /// Whether the members are likely to be all there are; before that no node watches the source.
    settled: Cell<bool>,
    /// What was last told to others.
    announced: Cell<SourceState>,
    /// Tells the feeds that they may have to read now.
    changed: watch::Sender<()>,
    /// Ends the watch of each feed: it may hear nothing any more, or should be a shorter one.
    suspect: [Notify; 2],
    /// Notified when another node has something newer.
    ahead: Notify,
}

impl Reading {
    /// A node that starts at `now` and has read nothing; whether it is one of its seeds.
    pub fn new(now: Time, seed: bool) -> Self {
        let fleet = FleetView {
            nodes: 1,
            seed,
            ..FleetView::default()
        };
        Self {
            watch: RefCell::new(SourceWatch::new(now, rand::random())),
            audience: RefCell::default(),
            missing: [Cell::new(true), Cell::new(true)],
            first_list: InitialListRead::new(now, rand::random()),
            fleet: Cell::new(fleet),
            failing: RefCell::default(),
            settled: Cell::new(false),
            announced: Cell::default(),
            changed: watch::Sender::new(()),
            suspect: [Notify::new(), Notify::new()],
            ahead: Notify::new(),
        }
    }

    /// Whether this node watches the feeds for a short time only: as one of the few that find out whether watches are lost, or because no other
    /// node would tell it what a lost watch does not.
    pub fn watches_briefly(&self) -> bool {
        let watch = self.watch.borrow();
        watch.uses_short_watch() || !watch.is_reader()
    }

    /// How long another node has been known to have something newer.
    pub fn behind_for(&self, now: Time) -> Span {
        self.watch.borrow().behind_for(now)
    }

    /// Waits until the watch of a feed may hear nothing any more, or should be a shorter one.
    pub async fn watch_suspect(&self, feed: Feed) {
        self.suspect[feed as usize].notified().await;
    }

    /// Ends the watch of a feed that is under way.
    fn end_watch(&self, feed: Feed) {
        self.suspect[feed as usize].notify_waiters();
    }

    /// Waits until another node has something newer, `longest` at the most.
    pub async fn until_reported(&self, longest: Duration) {
        // Either is a reason to look.
        let _ = tokio::time::timeout(longest, self.ahead.notified()).await;
    }

    /// The feed has to be read whole at the source. A watch of it that is under way ends: it should have told what is missing,
    /// and may hear nothing for as long as it waits, 20 s (five seconds of an older configuration were seen).
    pub fn read_again(&self, feed: Feed) {
        self.missing[feed as usize].set(true);
        self.end_watch(feed);
        self.changed.send_replace(());
    }

    /// Whether nothing of a feed is known yet.
    pub fn is_missing(&self, feed: Feed) -> bool {
        self.missing[feed as usize].get()
    }

    /// The feed was read whole, at the source or at another node.
    pub fn has_read(&self, feed: Feed) {
        self.missing[feed as usize].set(false);
    }

    /// Whether a feed does not answer this node.
    pub fn is_failing(&self, feed: Feed) -> bool {
        self.failing.borrow()[feed as usize].is_some()
    }

    fn any_failing(&self) -> bool {
        FEEDS.iter().any(|feed| self.is_failing(*feed))
    }

    /// The longest wait before the next try at a source that does not answer.
    pub fn retry_delay(&self, wait: Span) -> Span {
        self.watch.borrow().retry_delay(wait)
    }

    /// Whether a feed reads the source now.
    fn wants(&self, now: Time, feed: Feed) -> bool {
        let watch = self.watch.borrow();
        let alone = !watch.is_reader() && watch.reads(now);
        let reader = watch.is_reader() && self.settled.get();
        alone || reader || self.wants_whole(now, feed)
    }

    /// Whether a feed reads the source now because this node has nothing of it.
    fn wants_whole(&self, now: Time, feed: Feed) -> bool {
        let missing = self.missing[feed as usize].get();
        missing && (feed == Feed::Configuration || self.first_list.should_read(now, self.fleet.get()))
    }

    /// When a feed that does not read the source looks again whether it should.
    fn look_at(&self, now: Time, feed: Feed) -> Time {
        let alone_at = self.watch.borrow().next_check();
        if feed == Feed::Targets && self.missing[feed as usize].get() {
            return alone_at.min(self.first_list.next_check(now, self.fleet.get()));
        }
        alone_at
    }
}

impl ControlState {
    /// Waits until a feed has to read the source. Returns whether it had to wait, so that what it read before is old.
    pub async fn until_reading(&self, feed: Feed) -> bool {
        let mut changed = self.reading.changed.subscribe();
        let mut waited = false;
        while !self.reading.wants(self.now(), feed) {
            waited = true;
            // Whether the source would answer this node is not known any more.
            self.reading.failing.borrow_mut()[feed as usize] = None;
            let look_at = self.reading.look_at(self.now(), feed);
            let look = Duration::from_micros(look_at.since(self.now()).0.max(1000));
            tokio::select! {
                // The sender lives as long as this state.
                _ = changed.changed() => {}
                () = tokio::time::sleep(look) => {}
            }
        }
        waited
    }

    /// Waits before the next try at a source that does not answer, or until there is no need for it any more.
    pub async fn until_retry(&self, feed: Feed, wait: Span) {
        let mut changed = self.reading.changed.subscribe();
        let slept = tokio::time::sleep(Duration::from_micros(wait.0));
        let mut slept = std::pin::pin!(slept);
        loop {
            tokio::select! {
                () = slept.as_mut() => return,
                _ = changed.changed() => if !self.reading.wants(self.now(), feed) { return },
            }
        }
    }

    // ------------------------------------------------------------------------
    // What the source answers

    /// A feed answered, or failed with `cause`.
    pub fn feed_result(&self, feed: Feed, cause: Option<&str>) {
        let now = self.now();
        let place = feed as usize;
        if cause.is_none() {
            self.record_reader_answer(now);
        }
        let before = self.reading.failing.borrow()[place].clone();
        if before.as_ref().map(|(_, cause)| cause.as_str()) == cause {
            return;
        }
        let since = before.as_ref().map_or(now, |(since, _)| *since);
        self.reading.failing.borrow_mut()[place] = cause.map(|cause| (since, cause.to_owned()));
        let line = Line::Source {
            feed: feed.name(),
            answers: cause.is_none(),
            cause: cause.unwrap_or_default(),
        };
        self.log.write(now, &line);
        self.source_moved(false);
    }

    /// A feed is about to be taken after it failed: what is missing in it now may only have expired.
    pub fn feed_back(&self, feed: Feed) {
        let since = self.reading.failing.borrow()[feed as usize]
            .as_ref()
            .map(|(since, _)| *since);
        let away = since.is_some_and(|since| self.now().since(since) > SOURCE_LOST);
        if feed == Feed::Targets && away {
            self.targets.borrow_mut().source_recovered(self.now());
        }
    }

    /// Another node had something newer than this one: unless the feed is known to fail, its watch hears nothing.
    pub fn overtaken(&self, feed: Feed) {
        if !self.reading.is_failing(feed) {
            self.reading.end_watch(feed);
        }
    }

    fn record_reader_answer(&self, now: Time) {
        self.reading.watch.borrow_mut().record_reader_answer(now);
        self.shared.source_answered.store(now.0, Ordering::Relaxed);
    }

    // ------------------------------------------------------------------------
    // What this node tells

    /// How far this node has read the source.
    pub(super) fn source_state(&self) -> SourceState {
        SourceState {
            version: self.catalogs.borrow().version(),
            list: self.targets.borrow().changed_at,
            evacuations: self.evacuations.borrow().changed_at,
            failing: self.reading.any_failing(),
        }
    }

    /// From which revision on a watch of a feed tells all that this node has not; `None` when the feed has to be read whole. The configuration
    /// is one call, so it is read again.
    pub fn held_at(&self, feed: Feed) -> Option<Revision> {
        let known = feed == Feed::Targets && self.targets_known.get();
        known.then(|| self.targets.borrow().at)
    }

    /// What this node has, for questions to others.
    pub fn held(&self) -> HeldRevisions {
        HeldRevisions {
            version: self.catalogs.borrow().version(),
            list: self.targets.borrow().at,
            evacuations: self.evacuations.borrow().at,
        }
    }

    /// What this node has of the source may be another than before. Whoever has it from the source itself (`first_hand`)
    /// or reads for others tells them at once.
    pub fn source_moved(&self, first_hand: bool) {
        let state = self.source_state();
        self.step_members(MemberEvent::Source(state));
        let announces = first_hand || self.reading.watch.borrow().is_reader();
        if announces && self.reading.announced.get() != state {
            self.announce(state);
        }
    }

    /// Tells others how far this node has read, when it has not for a while.
    pub fn announce_now_and_then(&self) {
        let due = || self.reading.watch.borrow_mut().announcement_due(self.now());
        if self.reading.settled.get() && due() {
            self.announce(self.source_state());
        }
    }

    fn announce(&self, state: SourceState) {
        self.reading.announced.set(state);
        self.reading.watch.borrow_mut().record_announcement(self.now());
        let audience = self.reading.audience.borrow().clone();
        self.step_members(MemberEvent::Announce(audience));
    }

    // ------------------------------------------------------------------------
    // What others tell

    /// Another node told how far it has read the source.
    pub fn source_reported(&self, state: SourceState, reads: bool) {
        let now = self.now();
        if reads && !state.failing {
            self.record_reader_answer(now);
        }
        let held = self.held();
        self.reading.watch.borrow_mut().handle_report(now, state, held);
        if held.is_behind(state) {
            self.reading.ahead.notify_one();
        }
    }

    /// Whether this node asks another one for what is newer there.
    pub fn asks(&self) -> bool {
        let failing = self.reading.any_failing();
        let held = self.held();
        self.reading
            .watch
            .borrow_mut()
            .should_ask(self.now(), held, failing)
    }

    /// Takes the role at the source that follows from the members.
    pub fn set_role(&self) {
        let membership = self.membership.borrow();
        let settings = &self.shared.settings;
        let me = self.key();
        let alive = membership
            .members()
            .filter(|member| member.health == MemberHealth::Alive);
        let others = alive.map(|member| ReaderCandidate {
            address: &member.facts.address,
            key: member.key as u64,
            zone: &member.facts.zone,
            failing: member.source.failing,
            link_mbps: member.facts.link_mbps,
        });
        let own = settings.members.to_string();
        // A node on its way out hears of changes from those that stay.
        let this = (!self.stopping()).then_some(ReaderCandidate {
            address: &own,
            key: me,
            zone: &settings.zone,
            failing: self.reading.any_failing(),
            link_mbps: settings.link(),
        });
        let members: Vec<ReaderCandidate> = others.chain(this).collect();
        let role = source_role(&members, me);
        *self.reading.audience.borrow_mut() = source_recipients(&members, &settings.zone, me);
        let has_list =
            |member: &Member| member.health != MemberHealth::Dead && member.source.list != Revision(0);
        self.reading.fleet.set(FleetView {
            nodes: members.len(),
            seed: settings.is_seed(),
            reader: role.reads,
            holder: membership.members().any(has_list),
        });
        let before_short = self.reading.watch.borrow().uses_short_watch();
        let changed = self.reading.watch.borrow_mut().set_role(role, members.len());
        let settled = self.settled.get();
        let was_settled = self.reading.settled.replace(settled);
        if role.short_watch && !before_short {
            // The long watches of before end.
            FEEDS.iter().for_each(|feed| self.reading.end_watch(*feed));
        }
        if self.reading.missing[Feed::Targets as usize].get() {
            self.reading.changed.send_replace(());
        }
        if !changed && settled == was_settled {
            return;
        }
        self.shared.source_reader.store(role.reads, Ordering::Relaxed);
        if settled {
            let line = Line::Reader {
                reads: role.reads,
                short: role.short_watch,
                members: members.len(),
            };
            self.log.write(self.now(), &line);
        }
        self.reading.changed.send_replace(());
    }

    /// This node's key among the members.
    pub fn key(&self) -> u64 {
        rendezvous::text_key(&self.shared.settings.members.to_string()) as u64
    }
}
