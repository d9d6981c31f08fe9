//! The source state that this node announces to others, and what follows from the states that they report.

use super::state::ControlState;
use crate::adapters::Feed;
use barleyspool_core::{HeldRevisions, MemberEvent, Revision, SourceState};
use std::sync::atomic::Ordering;

impl ControlState {
    // ------------------------------------------------------------------------
    // Announcements of this node

    /// The source state that this node reports to others. It holds the revisions of the last changes (`changed_at`):
    /// other changes at the source raise `at` alone, and would make other nodes request data that they already have.
    pub(super) fn source_state(&self) -> SourceState {
        SourceState {
            version: self.catalogs.borrow().version(),
            list: self.targets.borrow().changed_at,
            evacuations: self.evacuations.borrow().changed_at,
            failing: self.source_access.any_failing(),
        }
    }

    /// Revision from which a watch of a feed delivers everything that this node does not have yet; `None`
    /// when the feed needs a full read. The configuration is always read again, since that is a single call.
    pub fn held_revision(&self, feed: Feed) -> Option<Revision> {
        let known = feed == Feed::Targets && self.has_target_list.get();
        known.then(|| self.targets.borrow().at)
    }

    /// The revisions up to which this node knows the source data (`at`), for requests to other nodes. They are higher
    /// than those that it reports (`changed_at`) when the source has changed since in other places only.
    pub fn held_revisions(&self) -> HeldRevisions {
        HeldRevisions {
            version: self.catalogs.borrow().version(),
            list: self.targets.borrow().at,
            evacuations: self.evacuations.borrow().at,
        }
    }

    /// Handles a possible change of the source state. It is announced immediately if the data came from the
    /// source (`from_source`) or this node is a reader of its zone.
    pub fn source_state_changed(&self, from_source: bool) {
        let state = self.source_state();
        self.step_members(MemberEvent::Source(state));
        let should_announce = from_source || self.source_access.source_watch.borrow().is_reader();
        if should_announce && self.source_access.last_announced.get() != state {
            self.announce(state);
        }
    }

    /// Announces the source state when the announcement interval of a reader has passed.
    pub fn announce_if_due(&self) {
        let due = || {
            self.source_access
                .source_watch
                .borrow_mut()
                .announcement_due(self.now())
        };
        if self.source_access.converged.get() && due() {
            self.announce(self.source_state());
        }
    }

    fn announce(&self, state: SourceState) {
        self.source_access.last_announced.set(state);
        self.source_access
            .source_watch
            .borrow_mut()
            .record_announcement(self.now());
        let recipients = self.source_access.recipients.borrow().clone();
        self.step_members(MemberEvent::Announce(recipients));
    }

    // ------------------------------------------------------------------------
    // Reports of other nodes

    /// Handles the source state reported by another node; `reads` is whether that node reads the source.
    pub fn handle_source_report(&self, state: SourceState, reads: bool) {
        let now = self.now();
        if reads && !state.failing {
            self.record_reader_answer(now);
        }
        let held = self.held_revisions();
        self.source_access
            .source_watch
            .borrow_mut()
            .handle_report(now, state, held);
        self.shared
            .reported_version
            .fetch_max(state.version.0, Ordering::Relaxed);
        if held.is_behind(state) {
            self.source_access.newer_reported.notify_one();
        }
    }

    /// Milliseconds since this node learned that another node has newer data; zero if none does.
    pub fn behind_ms(&self) -> u64 {
        self.source_access.behind_for(self.now()).as_millis()
    }

    /// Whether this node should request newer data from another node.
    pub fn should_ask(&self) -> bool {
        let failing = self.source_access.any_failing();
        let held = self.held_revisions();
        self.source_access
            .source_watch
            .borrow_mut()
            .should_ask(self.now(), held, failing)
    }

    /// Makes this node read from the source what it has been behind in for too long, and cancels its watch, which should have
    /// delivered it.
    pub fn read_if_overdue(&self) {
        let newer = self
            .source_access
            .source_watch
            .borrow_mut()
            .take_overdue(self.now());
        let Some(newer) = newer else { return };
        let held = self.held_revisions();
        // A node without a list would read the whole of it, which `initial_list_read` limits.
        let lacks_targets = self.has_target_list.get() && held.lacks_targets(newer);
        let lacking = [
            (Feed::Configuration, held.lacks_configuration(newer)),
            (Feed::Targets, lacks_targets),
        ];
        for (feed, _) in lacking.into_iter().filter(|(_, lacks)| *lacks) {
            self.source_access.overdue[feed as usize].set(true);
            self.source_access.cancel_watch(feed);
        }
        self.source_access.recheck.send_replace(());
    }
}
