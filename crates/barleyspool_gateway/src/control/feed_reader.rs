//! Following one feed of the source: read whole, then watch; again after an error or a gap.

use super::state::ControlState;
use crate::edges::{Feed, Source, SourceChange, SourceError};
use barleyspool_core::{Revision, Span, TargetTable};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// How long a watch may wait; each one is a call, so few and long ones are cheap.
const WATCH: Span = Span::from_secs(20);
/// What a watch may take beyond its own time.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// How long a read may take.
const READ: Duration = Duration::from_millis(1500);
/// The first wait after an error, in milliseconds.
const RETRY_FIRST_MS: u64 = 60;
/// The longest.
const RETRY_LONGEST_MS: u64 = 600;

/// Follows a feed until the process ends.
pub async fn run(state: Rc<ControlState>, source: Rc<dyn Source>, feed: Feed) {
    let mut failures = 0;
    let mut since: Option<Revision> = None;
    loop {
        let result = match since {
            None => read_whole(&state, &source, feed).await,
            Some(at) => watch(&state, &source, feed, at).await,
        };
        match result {
            Ok(at) => {
                failures = 0;
                since = Some(at);
                state.feed_result(feed, None);
            }
            Err(SourceError::HistoryGone) => since = None,
            Err(error) => {
                state.feed_result(feed, Some(&error.to_string()));
                // A watch that broke may have missed changes that a new one does not tell: read whole again.
                since = None;
                wait_after(failures).await;
                failures += 1;
            }
        }
    }
}

/// Waits after an error, longer each time, at random so that nodes do not come back together.
async fn wait_after(failures: u32) {
    let longest = RETRY_LONGEST_MS.min(RETRY_FIRST_MS << failures.min(6));
    let wait = rand::rng().random_range(longest / 2..=longest);
    tokio::time::sleep(Duration::from_millis(wait)).await;
}

async fn read_whole(
    state: &ControlState,
    source: &Rc<dyn Source>,
    feed: Feed,
) -> Result<Revision, SourceError> {
    let mut from = None;
    let mut table = TargetTable::new();
    let mut first_at = None;
    loop {
        let page = timed(READ, source.read(feed, from)).await?;
        // Pages are no snapshot: what changes while they are read is told by the watch from the first one on.
        let at = *first_at.get_or_insert(page.at);
        for item in page.items {
            match item {
                SourceChange::Target(entry) => {
                    table.insert(entry.id.clone(), entry);
                }
                SourceChange::Configuration(document) => state.offer(*document, "source"),
                SourceChange::Malformed { key, cause } => state.skipped(&key, &cause),
                SourceChange::TargetGone(_) => {}
            }
        }
        from = page.next;
        if from.is_none() {
            if feed == Feed::Targets {
                state.replace_targets(at, table, "source");
            }
            return Ok(at);
        }
    }
}

async fn watch(
    state: &ControlState,
    source: &Rc<dyn Source>,
    feed: Feed,
    since: Revision,
) -> Result<Revision, SourceError> {
    let limit = Duration::from_micros(WATCH.0) + WATCH_MARGIN;
    let changes = timed(limit, source.watch(feed, since, WATCH)).await?;
    state.take_changes(changes.at, changes.changes);
    Ok(changes.at.max(since))
}

async fn timed<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match tokio::time::timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(SourceError::Unreachable("no answer in time".to_owned())),
    }
}
