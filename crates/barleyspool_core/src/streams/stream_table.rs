//! The streams that a node knows, with the versions that began them.

use super::{StreamId, VersionId};
use crate::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// How long a stream is remembered after its last report. The node that relays a stream reports it again meanwhile.
pub const STREAM_RETENTION: Span = Span::from_secs(60);
/// A repeated report extends the retention only after this time, so that each stream has few entries in the order of
/// eviction.
const MIN_EXTENSION: Span = Span::from_secs(15);
/// Maximum number of streams in the table, some 100 bytes each. A node of 410 with 6,600 calls a second, all of them such
/// streams, receives 4,800 within [`STREAM_RETENTION`]. Above that rate the oldest ones are dropped earlier.
const MAX_RECORDS: usize = 32_768;

/// The version that began a stream, as nodes pass it on.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// The version; `None` if it cannot be known, since reports differ or the target restarted as the stream began.
    pub version: Option<VersionId>,
}

#[derive(Copy, Clone, Debug)]
struct Known {
    version: Option<VersionId>,
    reported_at: Time,
}

/// The streams that this node began, or that others have reported to it.
#[derive(Clone, Debug, Default)]
pub struct StreamTable {
    streams: HashMap<StreamId, Known>,
    /// The streams in the order of their reports.
    order: VecDeque<(Time, StreamId)>,
}

impl StreamTable {
    /// Applies a report. A stream whose reports name different versions has none.
    pub fn record(&mut self, now: Time, record: StreamRecord) {
        self.evict(now);
        let StreamRecord { stream, version } = record;
        if let Some(known) = self.streams.get_mut(&stream) {
            if known.version != version {
                known.version = None;
            }
            if now.since(known.reported_at) < MIN_EXTENSION {
                return;
            }
        }
        let reported_at = now;
        let known = self
            .streams
            .entry(stream)
            .or_insert(Known { version, reported_at });
        known.reported_at = now;
        self.order.push_back((now, stream));
    }

    /// What is known of a stream; `None` if nothing is.
    pub fn find(&self, now: Time, stream: StreamId) -> Option<StreamRecord> {
        let known = self.streams.get(&stream)?;
        let is_retained = now.since(known.reported_at) < STREAM_RETENTION;
        is_retained.then_some(StreamRecord {
            stream,
            version: known.version,
        })
    }

    /// The number of streams in the table.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Removes expired streams, and the one with the oldest report if the table is full.
    fn evict(&mut self, now: Time) {
        while let Some((at, stream)) = self.order.front().copied() {
            if now.since(at) < STREAM_RETENTION && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            if self
                .streams
                .get(&stream)
                .is_some_and(|known| known.reported_at <= at)
            {
                self.streams.remove(&stream);
            }
        }
    }
}
