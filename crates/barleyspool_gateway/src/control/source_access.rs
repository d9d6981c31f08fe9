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
const SOURCE_LOSS_TIMEOUT: Span = Span::from_millis(300);
/// The feeds.
const FEEDS: [Feed; 2] = [Feed::Configuration, Feed::Targets];

/// What this node does at the source.
pub struct SourceAccess {
    watch: RefCell<SourceWatch>,
    /// Whom this node tells what it reads.
    recipients: RefCell<Vec<String>>,
    /// Feeds that have to be read whole.
    needs_full_read: [Cell<bool>; 2],
    /// When a node without a list reads it although others may have it.
    initial_list_read: InitialListRead,
    /// What this node knows of the fleet, for that.
    fleet_view: Cell<FleetView>,
    /// Since when each feed has failed, and why it did last; `None` while it answers.
    failures: RefCell<[Option<(Time, String)>; 2]>,
    /// Whether the members are likely to be all there are; before that no node watches the source.
    converged: Cell<bool>,
    /// What was last told to others.
    last_announced: Cell<SourceState>,
    /// Tells the feeds that they may have to read now.
    recheck: watch::Sender<()>,
    /// Ends the watch of each feed: it may hear nothing any more, or should be a shorter one.
    watch_cancels: [Notify; 2],
    /// Notified when another node has something newer.
    newer_reported: Notify,
}

impl SourceAccess {
    /// A node that starts at `now` and has read nothing; whether it is one of its seeds.
    pub fn new(now: Time, seed: bool) -> Self {
        let fleet_view = FleetView {
            nodes: 1,
            seed,
            ..FleetView::default()
        };
        Self {
            watch: RefCell::new(SourceWatch::new(now, rand::random())),
            recipients: RefCell::default(),
            needs_full_read: [Cell::new(true), Cell::new(true)],
            initial_list_read: InitialListRead::new(now, rand::random()),
            fleet_view: Cell::new(fleet_view),
            failures: RefCell::default(),
            converged: Cell::new(false),
            last_announced: Cell::default(),
            recheck: watch::Sender::new(()),
            watch_cancels: [Notify::new(), Notify::new()],
            newer_reported: Notify::new(),
        }
    }

    /// Whether this node watches the feeds for a short time only: as one of the few that find out whether watches are lost, or because no other
    /// node would tell it what a lost watch does not.
    pub fn uses_short_watch(&self) -> bool {
        let watch = self.watch.borrow();
        watch.uses_short_watch() || !watch.is_reader()
    }

    /// How long another node has been known to have something newer.
    pub fn behind_for(&self, now: Time) -> Span {
        self.watch.borrow().behind_for(now)
    }

    /// Waits until the watch of a feed may hear nothing any more, or should be a shorter one.
    pub async fn watch_cancelled(&self, feed: Feed) {
        self.watch_cancels[feed as usize].notified().await;
    }

    /// Ends the watch of a feed that is under way.
    fn cancel_watch(&self, feed: Feed) {
        self.watch_cancels[feed as usize].notify_waiters();
    }

    /// Waits until another node has something newer, `longest` at the most.
    pub async fn wait_for_newer_report(&self, max_wait: Duration) {
        // Either is a reason to look.
        let _ = tokio::time::timeout(max_wait, self.newer_reported.notified()).await;
    }

    /// The feed has to be read whole at the source. A watch of it that is under way ends: it should have told what is missing,
    /// and may hear nothing for as long as it waits, 20 s (five seconds of an older configuration were seen).
    pub fn request_full_read(&self, feed: Feed) {
        self.needs_full_read[feed as usize].set(true);
        self.cancel_watch(feed);
        self.recheck.send_replace(());
    }

    /// Whether nothing of a feed is known yet.
    pub fn needs_full_read(&self, feed: Feed) -> bool {
        self.needs_full_read[feed as usize].get()
    }

    /// The feed was read whole, at the source or at another node.
    pub fn record_full_read(&self, feed: Feed) {
        self.needs_full_read[feed as usize].set(false);
    }

    /// Whether a feed does not answer this node.
    pub fn is_failing(&self, feed: Feed) -> bool {
        self.failures.borrow()[feed as usize].is_some()
    }

    fn any_failing(&self) -> bool {
        FEEDS.iter().any(|feed| self.is_failing(*feed))
    }

    /// The longest wait before the next try at a source that does not answer.
    pub fn retry_delay(&self, wait: Span) -> Span {
        self.watch.borrow().retry_delay(wait)
    }

    /// Whether a feed reads the source now.
    fn should_read(&self, now: Time, feed: Feed) -> bool {
        let watch = self.watch.borrow();
        let reads_as_fallback = !watch.is_reader() && watch.reads(now);
        let reads_as_reader = watch.is_reader() && self.converged.get();
        reads_as_fallback || reads_as_reader || self.should_read_full(now, feed)
    }

    /// Whether a feed reads the source now because this node has nothing of it.
    fn should_read_full(&self, now: Time, feed: Feed) -> bool {
        let needs_full_read = self.needs_full_read[feed as usize].get();
        needs_full_read
            && (feed == Feed::Configuration || self.initial_list_read.should_read(now, self.fleet_view.get()))
    }

    /// When a feed that does not read the source looks again whether it should.
    fn next_check(&self, now: Time, feed: Feed) -> Time {
        let fallback_at = self.watch.borrow().next_check();
        if feed == Feed::Targets && self.needs_full_read[feed as usize].get() {
            return fallback_at.min(self.initial_list_read.next_check(now, self.fleet_view.get()));
        }
        fallback_at
    }
}

impl ControlState {
    /// Waits until a feed has to read the source. Returns whether it had to wait, so that what it read before is old.
    pub async fn wait_until_read_due(&self, feed: Feed) -> bool {
        let mut changed = self.source_access.recheck.subscribe();
        let mut waited = false;
        while !self.source_access.should_read(self.now(), feed) {
            waited = true;
            // Whether the source would answer this node is not known any more.
            self.source_access.failures.borrow_mut()[feed as usize] = None;
            let next_check = self.source_access.next_check(self.now(), feed);
            let delay = Duration::from_micros(next_check.since(self.now()).0.max(1000));
            tokio::select! {
                // The sender lives as long as this state.
                _ = changed.changed() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
        waited
    }

    /// Waits before the next try at a source that does not answer, or until there is no need for it any more.
    pub async fn wait_for_retry(&self, feed: Feed, wait: Span) {
        let mut changed = self.source_access.recheck.subscribe();
        let retry_timer = tokio::time::sleep(Duration::from_micros(wait.0));
        let mut retry_timer = std::pin::pin!(retry_timer);
        loop {
            tokio::select! {
                () = retry_timer.as_mut() => return,
                _ = changed.changed() => if !self.source_access.should_read(self.now(), feed) { return },
            }
        }
    }

    // ------------------------------------------------------------------------
    // What the source answers

    /// A feed answered, or failed with `cause`.
    pub fn record_feed_result(&self, feed: Feed, cause: Option<&str>) {
        let now = self.now();
        let index = feed as usize;
        if cause.is_none() {
            self.record_reader_answer(now);
        }
        let previous = self.source_access.failures.borrow()[index].clone();
        if previous.as_ref().map(|(_, cause)| cause.as_str()) == cause {
            return;
        }
        let since = previous.as_ref().map_or(now, |(since, _)| *since);
        self.source_access.failures.borrow_mut()[index] = cause.map(|cause| (since, cause.to_owned()));
        let line = Line::Source {
            feed: feed.name(),
            answers: cause.is_none(),
            cause: cause.unwrap_or_default(),
        };
        self.log.write(now, &line);
        self.source_state_changed(false);
    }

    /// A feed is about to be taken after it failed: what is missing in it now may only have expired.
    pub fn note_feed_recovery(&self, feed: Feed) {
        let since = self.source_access.failures.borrow()[feed as usize]
            .as_ref()
            .map(|(since, _)| *since);
        let was_lost = since.is_some_and(|since| self.now().since(since) > SOURCE_LOSS_TIMEOUT);
        if feed == Feed::Targets && was_lost {
            self.targets.borrow_mut().source_recovered(self.now());
        }
    }

    /// Another node had something newer than this one: unless the feed is known to fail, its watch hears nothing.
    pub fn cancel_overtaken_watch(&self, feed: Feed) {
        if !self.source_access.is_failing(feed) {
            self.source_access.cancel_watch(feed);
        }
    }

    fn record_reader_answer(&self, now: Time) {
        self.source_access.watch.borrow_mut().record_reader_answer(now);
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
            failing: self.source_access.any_failing(),
        }
    }

    /// From which revision on a watch of a feed tells all that this node has not; `None` when the feed has to be read whole. The configuration
    /// is one call, so it is read again.
    pub fn held_revision(&self, feed: Feed) -> Option<Revision> {
        let known = feed == Feed::Targets && self.has_target_list.get();
        known.then(|| self.targets.borrow().at)
    }

    /// What this node has, for questions to others.
    pub fn held_revisions(&self) -> HeldRevisions {
        HeldRevisions {
            version: self.catalogs.borrow().version(),
            list: self.targets.borrow().at,
            evacuations: self.evacuations.borrow().at,
        }
    }

    /// What this node has of the source may be another than before. Whoever has it from the source itself (`first_hand`)
    /// or reads for others tells them at once.
    pub fn source_state_changed(&self, first_hand: bool) {
        let state = self.source_state();
        self.step_members(MemberEvent::Source(state));
        let should_announce = first_hand || self.source_access.watch.borrow().is_reader();
        if should_announce && self.source_access.last_announced.get() != state {
            self.announce(state);
        }
    }

    /// Tells others how far this node has read, when it has not for a while.
    pub fn announce_if_due(&self) {
        let due = || self.source_access.watch.borrow_mut().announcement_due(self.now());
        if self.source_access.converged.get() && due() {
            self.announce(self.source_state());
        }
    }

    fn announce(&self, state: SourceState) {
        self.source_access.last_announced.set(state);
        self.source_access
            .watch
            .borrow_mut()
            .record_announcement(self.now());
        let recipients = self.source_access.recipients.borrow().clone();
        self.step_members(MemberEvent::Announce(recipients));
    }

    // ------------------------------------------------------------------------
    // What others tell

    /// Another node told how far it has read the source.
    pub fn handle_source_report(&self, state: SourceState, reads: bool) {
        let now = self.now();
        if reads && !state.failing {
            self.record_reader_answer(now);
        }
        let held = self.held_revisions();
        self.source_access
            .watch
            .borrow_mut()
            .handle_report(now, state, held);
        if held.is_behind(state) {
            self.source_access.newer_reported.notify_one();
        }
    }

    /// Whether this node asks another one for what is newer there.
    pub fn should_ask(&self) -> bool {
        let failing = self.source_access.any_failing();
        let held = self.held_revisions();
        self.source_access
            .watch
            .borrow_mut()
            .should_ask(self.now(), held, failing)
    }

    /// Takes the role at the source that follows from the members.
    pub fn update_source_role(&self) {
        let membership = self.membership.borrow();
        let settings = &self.shared.settings;
        let own_key = self.own_key();
        let alive = membership
            .members()
            .filter(|member| member.health == MemberHealth::Alive);
        let other_candidates = alive.map(|member| ReaderCandidate {
            address: &member.facts.address,
            key: member.key as u64,
            zone: &member.facts.zone,
            failing: member.source.failing,
            link_mbps: member.facts.link_mbps,
        });
        let own_address = settings.members.to_string();
        // A node on its way out hears of changes from those that stay.
        let own_candidate = (!self.is_stopping()).then_some(ReaderCandidate {
            address: &own_address,
            key: own_key,
            zone: &settings.zone,
            failing: self.source_access.any_failing(),
            link_mbps: settings.link(),
        });
        let members: Vec<ReaderCandidate> = other_candidates.chain(own_candidate).collect();
        let role = source_role(&members, own_key);
        *self.source_access.recipients.borrow_mut() = source_recipients(&members, &settings.zone, own_key);
        let has_list =
            |member: &Member| member.health != MemberHealth::Dead && member.source.list != Revision(0);
        self.source_access.fleet_view.set(FleetView {
            nodes: members.len(),
            seed: settings.is_seed(),
            reader: role.reads,
            holder: membership.members().any(has_list),
        });
        let had_short_watch = self.source_access.watch.borrow().uses_short_watch();
        let changed = self
            .source_access
            .watch
            .borrow_mut()
            .set_role(role, members.len());
        let converged = self.converged.get();
        let was_converged = self.source_access.converged.replace(converged);
        if role.short_watch && !had_short_watch {
            // The long watches of before end.
            FEEDS
                .iter()
                .for_each(|feed| self.source_access.cancel_watch(*feed));
        }
        if self.source_access.needs_full_read[Feed::Targets as usize].get() {
            self.source_access.recheck.send_replace(());
        }
        if !changed && converged == was_converged {
            return;
        }
        self.shared.source_reader.store(role.reads, Ordering::Relaxed);
        if converged {
            let line = Line::Reader {
                reads: role.reads,
                short: role.short_watch,
                members: members.len(),
            };
            self.log.write(self.now(), &line);
        }
        self.source_access.recheck.send_replace(());
    }

    /// This node's key among the members.
    pub fn own_key(&self) -> u64 {
        rendezvous::text_key(&self.shared.settings.members.to_string()) as u64
    }
}
