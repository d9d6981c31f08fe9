//! The adapters between the gateway and the protocols of callers, targets, stage pools and the configuration source.
//!
//! Each protocol adapter is a struct of plain functions that convert between the outer format and the gateway's own
//! types. The functions are stateless and make no decisions.

use crate::CallFailure;
use barleyspool_core::{
    BrittleReport, CallHead, CatalogDocument, CooldownReport, LimitReport, LoadHeader, PieceOutcome,
    PieceRequest, Revision, Span, TargetEntry,
};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::{request, response};
use std::future::Future;
use std::pin::Pin;

/// The protocol adapters of a gateway.
#[derive(Clone)]
pub struct Adapters {
    /// For callers.
    pub caller: CallerAdapter,
    /// For targets that answer calls.
    pub target: TargetAdapter,
    /// For targets of stage pools.
    pub pool: PoolAdapter,
    /// For the address directory and the readiness check.
    pub directory: DirectoryAdapter,
}

/// The protocol of callers.
#[derive(Clone)]
pub struct CallerAdapter {
    /// Parses the request head of a call; the error describes what is invalid.
    pub read_call: fn(&request::Parts) -> Result<CallHead, String>,
    /// Builds the response to a call that failed without a target's answer.
    pub failure_response: fn(&CallFailure) -> response::Response<Bytes>,
}

/// What the gateway sends to a target in the headers of a call.
#[derive(Clone, Debug, Default)]
pub struct SendHead {
    /// The id of the target that the call is meant for.
    pub incarnation: String,
    /// The organisation that the call's key belongs to; empty when there is none.
    pub organisation: String,
    /// The time left until the deadline of the call.
    pub time_left: Span,
    /// The rank of the priority class; 0 is the most important. `None` for targets that are not engines.
    pub rank: Option<u8>,
    /// The handles of the stage results that the call reads.
    pub inputs: Vec<String>,
    /// The number of the last event that the caller received, when a stream is resumed.
    pub resume_after: Option<u64>,
    /// The address of the engine most likely to have the shared prefix of the prompt cached.
    pub prefix_source: Option<String>,
}

/// What a target reports in the head of its answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The id of the call that is answered; `None` if the answer names none, or several.
    pub id: Option<String>,
    /// Whether the answer has the header with which a target marks it as its own and complete. A successful answer
    /// without it counts as interrupted.
    pub sealed: bool,
    /// Whether the target reports that the call did not run.
    pub not_run: bool,
    /// Whether the address belongs to another target now.
    pub misdirected: bool,
    /// Whether stage results that the call reads are lost.
    pub inputs_gone: bool,
    /// Whether a caller would take the status code alone as a promise that the call did not run.
    pub promises_not_run: bool,
    /// Whether the body has a content encoding, although none was requested.
    pub encoded: bool,
    /// The load that the target reports.
    pub load: LoadHeader,
    /// How long the target keeps the idle connection open, if reported.
    pub keep_alive: Option<Span>,
    /// Whether the target is shutting down.
    pub leaving: bool,
    /// The cooldown that the target requests: a time during which this node must not send calls to it.
    pub cooldown: CooldownReport,
    /// The rate limit that the target reports.
    pub limit: LimitReport,
    /// How many refusals in a second the target bears, if it is brittle.
    pub brittle: BrittleReport,
}

/// The protocol of targets that answer calls.
#[derive(Clone)]
pub struct TargetAdapter {
    /// The headers that belong to a call. They are forwarded even if the caller's `Connection` header names them.
    pub caller_headers: &'static [HeaderName],
    /// Changes the headers of a caller's request to those of the request to the target; returns false if one of them cannot
    /// carry its text, and then the request must not be sent.
    pub prepare_headers: fn(&mut HeaderMap, &SendHead) -> bool,
    /// The names of headers that only answers of targets have, in lower case.
    pub answer_marks: &'static [&'static str],
    /// Parses the head of an answer.
    pub read_answer_head: fn(&response::Parts) -> AnswerHead,
    /// The id of the target that a health answer names, whether it is well or not.
    pub read_instance: fn(&HeaderMap) -> Option<&str>,
}

/// The protocol of stage pools.
#[derive(Clone)]
pub struct PoolAdapter {
    /// Builds the path and body of a request that computes pieces.
    pub run_request: fn(&[PieceRequest]) -> (&'static str, Bytes),
    /// Parses the outcome of each piece; `None` when the answer is malformed.
    pub read_run_answer: fn(&[u8]) -> Option<Vec<PieceOutcome>>,
    /// Builds the path and body of a request that releases results.
    pub release_request: fn(&[String]) -> (&'static str, Bytes),
    /// Sets the headers of a request to the target with the given id; returns false if that id cannot be sent.
    pub prepare_headers: fn(&mut HeaderMap, &str) -> bool,
}

/// A request for gateway addresses.
#[derive(Clone, Debug, Default)]
pub struct AddressQuery {
    /// The availability zone of the caller.
    pub zone: String,
}

/// The protocol of the address directory and of the readiness check.
#[derive(Clone)]
pub struct DirectoryAdapter {
    /// The path of the address directory.
    pub addresses_path: &'static str,
    /// The path of the readiness check.
    pub ready_path: &'static str,
    /// Parses the query string of a request for addresses.
    pub read_query: fn(&str) -> AddressQuery,
    /// Builds the body with the addresses and their time to live.
    pub addresses_body: fn(&[String], Span) -> Bytes,
}

// ----------------------------------------------------------------------------
// The source of configuration and targets

/// A part of the source that is read and watched separately.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The configuration and the set of evacuated zones.
    Configuration,
    /// The list of targets.
    Targets,
}

impl Feed {
    /// The name of the feed in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// One item that was read from the source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceChange {
    /// The configuration.
    Configuration(Box<CatalogDocument>),
    /// A target that was added or changed.
    TargetUpserted(TargetEntry),
    /// A target that was removed, by id.
    TargetRemoved(String),
    /// The entry of a target cannot be read, so the target cannot be used.
    TargetUnreadable {
        /// The target's id.
        id: String,
        /// The key of its entry.
        key: String,
        /// Why the entry cannot be read.
        cause: String,
    },
    /// The operator evacuates a zone, or ends its evacuation.
    Evacuation {
        /// The zone.
        zone: String,
        /// Whether the zone must receive no more calls.
        evacuated: bool,
    },
    /// Another item that cannot be read and is skipped.
    Malformed {
        /// The key of the item.
        key: String,
        /// Why it cannot be read.
        cause: String,
    },
}

/// One page of a full read of a feed.
#[derive(Clone, Debug, Default)]
pub struct SourcePage {
    /// The items of the page.
    pub items: Vec<SourceChange>,
    /// The start of the next page; `None` for the last page.
    pub next: Option<String>,
    /// The revision of the source at which the page was read.
    pub revision: Revision,
}

/// The changes of a feed since a revision.
#[derive(Clone, Debug, Default)]
pub struct SourceChanges {
    /// The changes, in order.
    pub changes: Vec<SourceChange>,
    /// The revision after these changes, from which the next watch continues.
    pub revision: Revision,
}

/// Why a read or watch of the source returned nothing.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum SourceError {
    /// the source no longer has the changes since that revision
    HistoryGone,
    /// the source was restored from a backup since that revision
    Restored,
    /// another node delivered newer data than this read or watch
    Overtaken,
    /// the source refused the request: status {0}
    Refused(u16),
    /// the source is unreachable: {0}
    Unreachable(String),
    /// the source's answer cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for SourceError {}

/// A read or watch in progress.
pub type SourceFuture<T> = Pin<Box<dyn Future<Output = Result<T, SourceError>>>>;

/// The source of the configuration and of the list of targets. The control thread decides when to read it and how to
/// handle failures.
pub trait Source {
    /// Reads one page of a feed, starting at `from`, the [`SourcePage::next`] of the previous page.
    fn read(&self, feed: Feed, from: Option<String>) -> SourceFuture<SourcePage>;
    /// Waits for changes of a feed after `since`, for at most `wait`.
    fn watch(&self, feed: Feed, since: Revision, wait: Span) -> SourceFuture<SourceChanges>;
}
