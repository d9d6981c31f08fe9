//! Following one feed of the source: read whole, then watch; again after an error or a gap.

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

/// How long a read may take: an answer of a slow source takes some 250 ms, and a silent one is asked again.
const READ: Duration = Duration::from_millis(1000);
/// The least time between a change of the list of targets and the next watch of it. Targets come and go many
/// at a time, and each answer of a watch is a call: what changes meanwhile comes with one answer.
const GATHER: Duration = Duration::from_millis(250);

/// Follows a feed until the process ends.
pub async fn run(state: Rc<ControlState>, source: Rc<dyn Source>, feed: Feed) {
    let mut cursor = FeedCursor::default();
    loop {
        if state.until_reading(feed).await {
            cursor.resume(state.held_at(feed));
        }
        let result = match cursor.next_step() {
            FeedStep::Read => read_whole(&state, &source, feed).await,
            FeedStep::Watch(since) => tokio::select! {
                result = watch(&state, &source, feed, since) => result,
                () = state.reading.watch_suspect(feed) => Err(SourceError::Overtaken),
            },
        };
        match result {
            Ok(at) => {
                cursor.advance(at);
                state.feed_result(feed, None);
                if feed == Feed::Targets {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(SourceError::HistoryGone | SourceError::WentBack) => cursor.reset(),
            Err(SourceError::Overtaken) => cursor.resume(state.held_at(feed)),
            Err(error) => {
                state.feed_result(feed, Some(&error.to_string()));
                let longest = state.reading.retry_delay(cursor.record_failure());
                state.until_retry(feed, at_random(longest)).await;
            }
        }
    }
}

/// A wait of `longest` at the most, so that nodes do not come back together.
fn at_random(longest: Span) -> Span {
    Span(rand::rng().random_range(longest.0 / 2..=longest.0))
}

async fn read_whole(
    state: &ControlState,
    source: &Rc<dyn Source>,
    feed: Feed,
) -> Result<Revision, SourceError> {
    let mut from = None;
    let mut whole = Whole::default();
    let mut first_at = None;
    let was_missing = state.reading.is_missing(feed);
    loop {
        if was_missing && !state.reading.is_missing(feed) {
            // Another node's list came meanwhile.
            return Err(SourceError::Overtaken);
        }
        state.shared.count_source_call();
        let page = timed(READ, source.read(feed, from)).await?;
        // Pages are no snapshot: what changes while they are read is told by the watch from the first one on.
        let at = *first_at.get_or_insert(page.at);
        if page.at.era() != at.era() {
            return Err(SourceError::WentBack);
        }
        for item in page.items {
            whole.take(state, item);
        }
        from = page.next;
        if from.is_none() {
            state.reading.has_read(feed);
            whole.hand_over(state, feed, at);
            return Ok(at);
        }
    }
}

/// What a whole read of a feed has told so far.
#[derive(Default)]
struct Whole {
    targets: TargetTable,
    evacuated: BTreeSet<String>,
    configuration: Option<Box<CatalogDocument>>,
}

impl Whole {
    fn take(&mut self, state: &ControlState, item: SourceChange) {
        match item {
            SourceChange::Target(entry) => {
                self.targets.insert(entry.id.clone(), entry);
            }
            SourceChange::TargetUnreadable { id, key, cause } => {
                state.unreadable(&id, &key, &cause);
                self.targets.insert(id.clone(), TargetEntry::unreadable(&id));
            }
            SourceChange::Evacuation {
                zone,
                evacuated: true,
            } => {
                self.evacuated.insert(zone);
            }
            SourceChange::Configuration(document) => self.configuration = Some(document),
            SourceChange::Malformed { key, cause } => state.skipped(&key, &cause),
            SourceChange::TargetGone(_) | SourceChange::Evacuation { evacuated: false, .. } => {}
        }
    }

    fn hand_over(self, state: &ControlState, feed: Feed, at: Revision) {
        match feed {
            Feed::Targets => {
                state.feed_back(feed);
                state.replace_targets(at, self.targets, Origin::Source);
            }
            Feed::Configuration => {
                // Before the configuration, with which a node takes its first call.
                state.replace_evacuations(at, self.evacuated, Origin::Source);
                if let Some(document) = self.configuration {
                    state.offer(*document, Origin::Source);
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
    let wait = watch_timeout(state.reading.watches_briefly());
    let limit = Duration::from_micros((wait + WATCH_MARGIN).0);
    state.shared.count_source_call();
    let changes = timed(limit, source.watch(feed, since, wait)).await?;
    if changes.at.era() != since.era() {
        // Its changes follow another revision of that number.
        return Err(SourceError::WentBack);
    }
    state.take_changes(feed, changes.at, changes.changes);
    Ok(changes.at.max(since))
}

async fn timed<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match timer::timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(SourceError::Unreachable("no answer in time".to_owned())),
    }
}
