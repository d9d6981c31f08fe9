//! Decides when this node reads the feeds of the source, and which nodes it announces its source state to.

use super::state::ControlState;
use crate::adapters::Feed;
use crate::event_log::LogEvent;
use barleyspool_core::{
    FleetView, InitialListRead, Member, MemberHealth, ReaderCandidate, Revision, SourceState, SourceWatch,
    Span, Time, rendezvous, source_recipients, source_role,
};
use std::cell::{Cell, RefCell};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Duration of feed failures after which an entry that is missing from the feed may have expired at the source only
/// because the source was unavailable, instead of having been removed. It is then kept for a while.
const SOURCE_LOSS_TIMEOUT: Span = Span::from_millis(300);
/// All feeds.
const FEEDS: [Feed; 2] = [Feed::Configuration, Feed::Targets];

/// Tracks how this node reads the source.
pub struct SourceAccess {
    pub(super) source_watch: RefCell<SourceWatch>,
    /// Addresses of the nodes that receive the announcements of this node.
    pub(super) recipients: RefCell<Vec<String>>,
    /// Whether each feed needs a full read.
    needs_full_read: [Cell<bool>; 2],
    /// Whether each feed is read once because this node has been behind in it for too long.
    pub(super) overdue: [Cell<bool>; 2],
    /// Decides when a node without a target list reads it from the source instead of another node.
    initial_list_read: InitialListRead,
    /// The fleet as known to this node, for `initial_list_read`.
    fleet_view: Cell<FleetView>,
    /// Start and last cause of the current failure of each feed; `None` while it responds.
    failures: RefCell<[Option<(Time, String)>; 2]>,
    /// Whether the known members most likely include all nodes. Before that, no node watches the source as a
    /// reader. A copy of [`ControlState::converged`] as of the last [`ControlState::update_source_role`].
    pub(super) converged: Cell<bool>,
    /// The source state in the last announcement.
    pub(super) last_announced: Cell<SourceState>,
    /// Makes the tasks of the feeds check again whether they should read the source.
    pub(super) recheck: watch::Sender<()>,
    /// Cancels the current watch of each feed, because it may never return or needs a shorter timeout.
    watch_cancels: [Notify; 2],
    /// Notified when another node reports newer data.
    pub(super) newer_reported: Notify,
}

impl SourceAccess {
    /// The state of a node that starts at `now`; `seed` is whether the node is one of the seeds.
    pub fn new(now: Time, seed: bool) -> Self {
        let fleet_view = FleetView {
            nodes: 1,
            seed,
            ..FleetView::default()
        };
        Self {
            source_watch: RefCell::new(SourceWatch::new(now, rand::random())),
            recipients: RefCell::default(),
            needs_full_read: [Cell::new(true), Cell::new(true)],
            overdue: [Cell::new(false), Cell::new(false)],
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

    /// Whether this node uses a short watch timeout: as one of the few readers that detect lost watches, or
    /// as a node that is not a reader and watches because it receives no announcements. No other node would
    /// notify it of changes that a lost watch misses.
    pub fn uses_short_watch(&self) -> bool {
        let watch = self.source_watch.borrow();
        watch.uses_short_watch() || !watch.is_reader()
    }

    /// Time since this node learned that another node has newer data.
    pub fn behind_for(&self, now: Time) -> Span {
        self.source_watch.borrow().behind_for(now)
    }

    /// Waits until the current watch of a feed is cancelled.
    pub async fn watch_cancelled(&self, feed: Feed) {
        self.watch_cancels[feed as usize].notified().await;
    }

    /// Cancels the current watch of a feed.
    pub(super) fn cancel_watch(&self, feed: Feed) {
        self.watch_cancels[feed as usize].notify_waiters();
    }

    /// Waits until another node reports newer data, for at most `max_wait`.
    pub async fn wait_for_newer_report(&self, max_wait: Duration) {
        // The caller checks in both cases.
        let _ = tokio::time::timeout(max_wait, self.newer_reported.notified()).await;
    }

    /// Requests a full read of a feed from the source, and cancels its current watch: that watch should have
    /// delivered the missing data, so it may be lost and deliver nothing until its timeout of 20 s. Without
    /// the cancellation, a node can use an outdated configuration for five seconds.
    pub fn request_full_read(&self, feed: Feed) {
        self.needs_full_read[feed as usize].set(true);
        self.cancel_watch(feed);
        self.recheck.send_replace(());
    }

    /// Whether a feed needs a full read.
    pub fn needs_full_read(&self, feed: Feed) -> bool {
        self.needs_full_read[feed as usize].get()
    }

    /// Records that the full data of a feed was received, from the source or from another node.
    pub fn record_full_read(&self, feed: Feed) {
        self.needs_full_read[feed as usize].set(false);
    }

    /// Whether the source currently fails to respond to this node for a feed.
    pub fn is_failing(&self, feed: Feed) -> bool {
        self.failures.borrow()[feed as usize].is_some()
    }

    pub(super) fn any_failing(&self) -> bool {
        FEEDS.iter().any(|feed| self.is_failing(*feed))
    }

    /// Maximum delay before the next retry of a source that does not respond, where a reader would wait
    /// `wait`.
    pub fn retry_delay(&self, wait: Span) -> Span {
        self.source_watch.borrow().retry_delay(wait)
    }

    /// Whether this node should read a feed from the source now.
    fn should_read(&self, now: Time, feed: Feed) -> bool {
        let watch = self.source_watch.borrow();
        let reads_as_fallback = !watch.is_reader() && watch.reads(now);
        let reads_as_reader = watch.is_reader() && self.converged.get();
        let is_overdue = self.overdue[feed as usize].get();
        reads_as_fallback || reads_as_reader || is_overdue || self.should_read_full(now, feed)
    }

    /// Whether this node should make a full read of a feed from the source now.
    fn should_read_full(&self, now: Time, feed: Feed) -> bool {
        let needs_full_read = self.needs_full_read[feed as usize].get();
        needs_full_read
            && (feed == Feed::Configuration || self.initial_list_read.should_read(now, self.fleet_view.get()))
    }

    /// When to check again whether a feed that is not read from the source should be.
    fn next_check(&self, now: Time, feed: Feed) -> Time {
        let fallback_at = self.source_watch.borrow().next_check();
        if feed == Feed::Targets && self.needs_full_read[feed as usize].get() {
            return fallback_at.min(self.initial_list_read.next_check(now, self.fleet_view.get()));
        }
        fallback_at
    }
}

impl ControlState {
    /// Waits until a feed should be read from the source. Returns whether it had to wait; if so, the position
    /// of the feed may be outdated.
    pub async fn wait_until_read_due(&self, feed: Feed) -> bool {
        let mut rechecks = self.source_access.recheck.subscribe();
        let mut waited = false;
        while !self.source_access.should_read(self.now(), feed) {
            waited = true;
            // While this node does not read, it does not know whether the source would respond.
            self.source_access.failures.borrow_mut()[feed as usize] = None;
            let next_check = self.source_access.next_check(self.now(), feed);
            let delay = Duration::from_micros(next_check.since(self.now()).0.max(1000));
            tokio::select! {
                // This never fails, since `self` holds the sender.
                _ = rechecks.changed() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
        self.source_access.overdue[feed as usize].set(false);
        waited
    }

    /// Waits before the next retry of a source that does not respond. Returns early if the feed should no
    /// longer be read.
    pub async fn wait_for_retry(&self, feed: Feed, wait: Span) {
        let mut rechecks = self.source_access.recheck.subscribe();
        let retry_timer = tokio::time::sleep(Duration::from_micros(wait.0));
        let mut retry_timer = std::pin::pin!(retry_timer);
        loop {
            tokio::select! {
                () = retry_timer.as_mut() => return,
                _ = rechecks.changed() => if !self.source_access.should_read(self.now(), feed) { return },
            }
        }
    }

    // ------------------------------------------------------------------------
    // Responses of the source

    /// Records that a request of a feed succeeded, or failed with `cause`.
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
        let event = LogEvent::SourceStatus {
            feed: feed.name(),
            available: cause.is_none(),
            cause: cause.unwrap_or_default(),
        };
        self.log.write(now, &event);
        self.source_state_changed(false);
    }

    /// Called before the result of a full read is applied. If the feed failed for longer than
    /// [`SOURCE_LOSS_TIMEOUT`] before, targets that are missing from it may have expired only because the source was
    /// unavailable, and are kept for a while.
    pub fn note_feed_recovery(&self, feed: Feed) {
        let since = self.source_access.failures.borrow()[feed as usize]
            .as_ref()
            .map(|(since, _)| *since);
        let was_lost = since.is_some_and(|since| self.now().since(since) > SOURCE_LOSS_TIMEOUT);
        if feed == Feed::Targets && was_lost {
            self.targets.borrow_mut().source_recovered(self.now());
        }
    }

    /// Cancels the watch of a feed after another node delivered newer data: unless the feed is known to fail,
    /// its watch may be lost.
    pub fn cancel_overtaken_watch(&self, feed: Feed) {
        if !self.source_access.is_failing(feed) {
            self.source_access.cancel_watch(feed);
        }
    }

    pub(super) fn record_reader_answer(&self, now: Time) {
        self.source_access
            .source_watch
            .borrow_mut()
            .record_reader_answer(now);
        self.shared.source_answered_at.store(now.0, Ordering::Relaxed);
    }

    // ------------------------------------------------------------------------
    // Role of this node

    /// Derives the role of this node in reading the source from the current members, and applies it.
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
        // A stopping node is not a reader; the remaining nodes notify it of changes.
        let own_candidate = (!self.is_stopping()).then_some(ReaderCandidate {
            address: &own_address,
            key: own_key,
            zone: &settings.zone,
            failing: self.source_access.any_failing(),
            link_mbps: settings.link_mbps(),
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
        let had_short_watch = self.source_access.source_watch.borrow().uses_short_watch();
        let changed = self
            .source_access
            .source_watch
            .borrow_mut()
            .set_role(role, members.len());
        let converged = self.converged.get();
        let was_converged = self.source_access.converged.replace(converged);
        if role.short_watch && !had_short_watch {
            // Current watches still use the long timeout.
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
        self.shared.is_source_reader.store(role.reads, Ordering::Relaxed);
        if converged {
            let event = LogEvent::ReaderRole {
                is_reader: role.reads,
                short_watch: role.short_watch,
                members: members.len(),
            };
            self.log.write(self.now(), &event);
        }
        self.source_access.recheck.send_replace(());
    }

    /// The key of this node among the members.
    pub fn own_key(&self) -> u64 {
        rendezvous::text_key(&self.shared.settings.members.to_string()) as u64
    }
}
