//! Distribution of the software versions that began streams, and requests for them.
//!
//! A stream is reported once, to a few nodes which are the same for all reports about it: a report to every node would
//! grow with the fleet, and most streams are never taken up elsewhere. A node that takes up a stream asks more nodes than
//! that, since it may know other nodes than the one that reported it, and reports what it learnt again.

use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{Span, StreamId, StreamRecord, StreamTable, Time};
use std::collections::{BTreeSet, HashMap};

/// Number of other nodes to which a stream is reported. With the node that began it, five know it.
const COLLECTORS: usize = 4;
/// Number of other nodes that are asked for a stream. A fleet of up to 17 nodes is asked as a whole.
pub(super) const QUERIED: usize = 16;
/// How long a node that was asked is waited for.
const QUERY_TTL: Span = Span::from_secs(2);

/// The streams that this node knows, and its requests for others.
#[derive(Clone, Debug, Default)]
pub(super) struct Streams {
    table: StreamTable,
    queries: HashMap<StreamId, Query>,
}

/// A request for a stream, with the nodes that have not answered it.
#[derive(Clone, Debug)]
struct Query {
    asked_at: Time,
    waiting: BTreeSet<String>,
}

impl Membership {
    /// The streams that this node knows.
    pub fn streams(&self) -> &StreamTable {
        &self.streams.table
    }

    /// Handles a stream that this node relays.
    pub(super) fn handle_stream(&mut self, now: Time, record: StreamRecord) {
        self.streams.table.record(now, record);
        for to in self.collectors(record.stream.0, COLLECTORS) {
            let records = vec![record];
            self.push_message(to, MessageKind::Streams { records }, Vec::new(), Vec::new());
        }
    }

    /// Applies reports of another node.
    pub(super) fn apply_streams(&mut self, now: Time, records: &[StreamRecord]) {
        for record in records {
            self.streams.table.record(now, *record);
        }
    }

    /// Looks up a stream, and asks other nodes for it if it is unknown here.
    pub(super) fn find_stream(&mut self, now: Time, stream: StreamId) {
        if let Some(record) = self.streams.table.find(now, stream) {
            return self.actions.push(MemberAction::StreamFound(record));
        }
        let queries = &mut self.streams.queries;
        queries.retain(|_, query| now.since(query.asked_at) < QUERY_TTL);
        let asked = self.collectors(stream.0, QUERIED);
        if asked.is_empty() {
            return self.actions.push(MemberAction::StreamUnknown(stream));
        }
        for to in &asked {
            self.notify(to.clone(), MessageKind::StreamQuery { stream }, Vec::new());
        }
        let query = Query {
            asked_at: now,
            waiting: asked.into_iter().collect(),
        };
        self.streams.queries.insert(stream, query);
    }

    /// Answers another node that asks for a stream.
    pub(super) fn answer_stream_query(&mut self, now: Time, from: &str, stream: StreamId) {
        let record = self.streams.table.find(now, stream);
        let kind = MessageKind::StreamAnswer { stream, record };
        self.push_message(from.to_owned(), kind, Vec::new(), Vec::new());
    }

    /// Handles the answer of a node that was asked for a stream. The stream is unknown once all of them have answered
    /// that they do not know it.
    pub(super) fn handle_stream_answer(
        &mut self,
        now: Time,
        from: &str,
        stream: StreamId,
        record: Option<StreamRecord>,
    ) {
        let Some(query) = self.streams.queries.get_mut(&stream) else {
            return;
        };
        query.waiting.remove(from);
        let is_last = query.waiting.is_empty();
        if let Some(record) = record.filter(|record| record.stream == stream) {
            self.streams.queries.remove(&stream);
            self.streams.table.record(now, record);
            self.actions.push(MemberAction::StreamFound(record));
        } else if is_last {
            self.streams.queries.remove(&stream);
            self.actions.push(MemberAction::StreamUnknown(stream));
        }
    }
}
