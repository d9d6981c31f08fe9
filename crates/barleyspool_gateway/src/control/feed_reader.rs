//! Follows one feed of the source: a full read, then watches for changes. An error is retried, and lost
//! history leads to another full read.

use super::state::{ControlState, Origin};
use crate::adapters::{Feed, Source, SourceChange, SourceError};
use barleyspool_core::{
    CatalogDocument, FeedCursor, FeedStep, Revision, Span, TargetEntry, TargetTable, WATCH_MARGIN,
    watch_timeout,
};
use barleyspool_wire::timer;
use rand::Rng;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a read. A slow source takes about 250 ms to respond; a read without a response is retried.
const READ_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay between a response of the targets feed and the next watch. Many targets appear and disappear at
/// once, and each response to a watch costs a call: all changes during the delay arrive in one response.
const TARGET_WATCH_DELAY: Duration = Duration::from_millis(250);

/// Follows a feed until the process ends.
pub async fn run(state: Rc<ControlState>, source: Rc<dyn Source>, feed: Feed) {
    let mut cursor = FeedCursor::default();
    loop {
        if state.wait_until_read_due(feed).await {
            cursor.resume(state.held_revision(feed));
        }
        let result = match cursor.next_step() {
            FeedStep::Read => read_feed(&state, &source, feed).await,
            FeedStep::Watch(since) => tokio::select! {
                result = watch(&state, &source, feed, since) => result,
                () = state.source_access.watch_cancelled(feed) => Err(SourceError::Overtaken),
            },
        };
        match result {
            Ok(revision) => {
                cursor.advance(revision);
                state.record_feed_result(feed, None);
                if feed == Feed::Targets {
                    tokio::time::sleep(TARGET_WATCH_DELAY).await;
                }
            }
            Err(SourceError::HistoryGone | SourceError::Restored) => {
                let max_delay = cursor.reset();
                if max_delay > Span::ZERO {
                    state.wait_for_retry(feed, with_jitter(max_delay)).await;
                }
            }
            Err(SourceError::Overtaken) => cursor.resume(state.held_revision(feed)),
            Err(error) => {
                state.record_feed_result(feed, Some(&error.to_string()));
                let max_delay = state.source_access.retry_delay(cursor.record_failure());
                state.wait_for_retry(feed, with_jitter(max_delay)).await;
            }
        }
    }
}

/// A random delay between half of `max_delay` and `max_delay`, so that nodes do not retry at the same time.
fn with_jitter(max_delay: Span) -> Span {
    Span(rand::rng().random_range(max_delay.0 / 2..=max_delay.0))
}

async fn read_feed(
    state: &ControlState,
    source: &Rc<dyn Source>,
    feed: Feed,
) -> Result<Revision, SourceError> {
    let mut next_page = None;
    let mut items = FeedItems::default();
    let mut first_revision = None;
    let needed_full_read = state.source_access.needs_full_read(feed);
    loop {
        if needed_full_read && !state.source_access.needs_full_read(feed) {
            // Another node has delivered the feed in the meantime.
            return Err(SourceError::Overtaken);
        }
        state.shared.count_source_call();
        let page = with_timeout(READ_TIMEOUT, source.read(feed, next_page)).await?;
        // The pages are not a consistent snapshot. The watch starts at the revision of the first page, so it
        // delivers the changes that were made while the pages were read.
        let revision = *first_revision.get_or_insert(page.revision);
        if page.revision.era() != revision.era() {
            return Err(SourceError::Restored);
        }
        for item in page.items {
            items.add(state, item);
        }
        next_page = page.next;
        if next_page.is_none() {
            state.source_access.record_full_read(feed);
            items.apply(state, feed, revision);
            return Ok(revision);
        }
    }
}

/// The items of a full read of a feed.
#[derive(Default)]
struct FeedItems {
    targets: TargetTable,
    evacuated: BTreeSet<String>,
    configuration: Option<Box<CatalogDocument>>,
}

impl FeedItems {
    fn add(&mut self, state: &ControlState, item: SourceChange) {
        match item {
            SourceChange::TargetUpserted(entry) => {
                self.targets.insert(entry.id.clone(), entry);
            }
            SourceChange::TargetUnreadable { id, key, cause } => {
                state.log_unreadable_target(&id, &key, &cause);
                self.targets.insert(id.clone(), TargetEntry::unreadable(&id));
            }
            SourceChange::Evacuation {
                zone,
                evacuated: true,
            } => {
                self.evacuated.insert(zone);
            }
            SourceChange::Configuration(document) => self.configuration = Some(document),
            SourceChange::Malformed { key, cause } => state.log_skipped_item(&key, &cause),
            SourceChange::TargetRemoved(_) | SourceChange::Evacuation { evacuated: false, .. } => {}
        }
    }

    fn apply(self, state: &ControlState, feed: Feed, revision: Revision) {
        match feed {
            Feed::Targets => {
                state.note_feed_recovery(feed);
                state.replace_targets(revision, self.targets, Origin::Source);
            }
            Feed::Configuration => {
                // Applied before the configuration, with which the node starts to accept calls.
                state.replace_evacuations(revision, self.evacuated, Origin::Source);
                if let Some(document) = self.configuration {
                    state.offer_configuration(*document, Origin::Source);
                }
            }
        }
    }
}

async fn watch(
    state: &ControlState,
    source: &Rc<dyn Source>,
    feed: Feed,
    since: Revision,
) -> Result<Revision, SourceError> {
    let wait = watch_timeout(state.source_access.uses_short_watch());
    let timeout = Duration::from_micros((wait + WATCH_MARGIN).0);
    state.shared.count_source_call();
    let changes = with_timeout(timeout, source.watch(feed, since, wait)).await?;
    if changes.revision.era() != since.era() {
        // In another era the number of `since` denotes a different state, so the changes do not apply to it.
        return Err(SourceError::Restored);
    }
    state.apply_source_changes(feed, changes.revision, changes.changes);
    Ok(changes.revision.max(since))
}

async fn with_timeout<T>(
    timeout: Duration,
    request: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match timer::timeout(timeout, request).await {
        Ok(result) => result,
        Err(_) => Err(SourceError::Unreachable(
            "no answer within the timeout".to_owned(),
        )),
    }
}
