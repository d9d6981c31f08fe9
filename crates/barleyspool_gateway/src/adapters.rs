//! What the gateway is told of the world outside: how callers, targets, pools and the source speak.
//!
//! Each adapter is a struct of plain functions between the outside's form and the product's own types. They
//! translate only: they decide nothing and remember nothing.

use crate::CallFailure;
use barleyspool_core::{
    CallHead, CatalogDocument, CooldownReport, LimitReport, LoadReport, PieceOutcome, PieceRequest, Revision,
    Span, TargetEntry,
};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::{request, response};
use std::future::Future;
use std::pin::Pin;

/// All adapters of a gateway.
#[derive(Clone)]
pub struct Adapters {
    /// The callers'.
    pub caller: CallerAdapter,
    /// The targets' that answer calls.
    pub target: TargetAdapter,
    /// The stage pools'.
    pub pool: PoolAdapter,
    /// That of callers who ask for addresses.
    pub directory: DirectoryAdapter,
}

/// How callers speak.
#[derive(Clone)]
pub struct CallerAdapter {
    /// Reads a call's head; the error says what is wrong with it.
    pub read_call: fn(&request::Parts) -> Result<CallHead, String>,
    /// The answer to a call that no target answered.
    pub failure_response: fn(&CallFailure) -> response::Response<Bytes>,
}

/// What is said to a target with a call.
#[derive(Clone, Debug, Default)]
pub struct SendHead {
    /// The run of the target that is meant.
    pub incarnation: String,
    /// The organisation that the call's key belongs to; empty for none.
    pub organisation: String,
    /// How long the target may work.
    pub time_left: Span,
    /// The priority; 0 is the most important.
    pub rank: Option<u8>,
    /// The results that the call needs.
    pub inputs: Vec<String>,
    /// The last event that the caller has, when a stream goes on.
    pub resume_after: Option<u64>,
    /// The address of an engine that most likely holds the shared beginning of the prompt.
    pub prefix_source: Option<String>,
}

/// What a target says in the head of its answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The id of the call that it answers.
    pub id: Option<String>,
    /// Whether it carries the target's own mark of a whole answer.
    pub sealed: bool,
    /// Whether it says that the call did not run.
    pub not_run: bool,
    /// Whether another target has the address now.
    pub misdirected: bool,
    /// Whether results that the call needs are gone.
    pub inputs_gone: bool,
    /// Whether the status alone would promise a caller that nothing ran.
    pub promises_not_run: bool,
    /// Whether the body is encoded, which nobody asked for.
    pub encoded: bool,
    /// Its load, if it tells.
    pub load: Option<LoadReport>,
    /// How long it keeps the connection open at rest, if it tells.
    pub keep_alive: Option<Span>,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// Whether it wants nothing from this node for a while.
    pub cooldown: CooldownReport,
    /// Whether it limits what it takes.
    pub limit: LimitReport,
}

/// How targets that answer calls speak.
#[derive(Clone)]
pub struct TargetAdapter {
    /// The headers that belong to a call, whatever a caller's `Connection` header says of them.
    pub caller_headers: &'static [HeaderName],
    /// Turns a caller's headers into those for the target.
    pub prepare_headers: fn(&mut HeaderMap, &SendHead),
    /// Reads the head of an answer.
    pub read_answer_head: fn(&response::Parts) -> AnswerHead,
}

/// How stage pools speak.
#[derive(Clone)]
pub struct PoolAdapter {
    /// The path and body that ask for pieces.
    pub run_request: fn(&[PieceRequest]) -> (&'static str, Bytes),
    /// What became of each piece; `None` for an answer that is none.
    pub read_run_answer: fn(&[u8]) -> Option<Vec<PieceOutcome>>,
    /// The path and body that free results.
    pub release_request: fn(&[String]) -> (&'static str, Bytes),
    /// Turns a send head into headers.
    pub prepare_headers: fn(&mut HeaderMap, &str),
}

/// What a caller asks the directory.
#[derive(Clone, Debug, Default)]
pub struct AddressQuery {
    /// The caller's zone.
    pub zone: String,
}

/// How callers ask for addresses, and how readiness is asked.
#[derive(Clone)]
pub struct DirectoryAdapter {
    /// Where addresses are asked for.
    pub addresses_path: &'static str,
    /// Where readiness is asked for.
    pub ready_path: &'static str,
    /// Reads the query of a question.
    pub read_query: fn(&str) -> AddressQuery,
    /// The body that names addresses, and how long they may be kept.
    pub addresses_body: fn(&[String], Span) -> Bytes,
}

// ----------------------------------------------------------------------------
// The source of configuration and targets

/// What is read from the source.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The configuration, and which zones are evacuated.
    Configuration,
    /// The list of targets.
    Targets,
}

impl Feed {
    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// One thing that the source told.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceChange {
    /// A configuration.
    Configuration(Box<CatalogDocument>),
    /// A target is new or different.
    TargetUpserted(TargetEntry),
    /// A target is gone.
    TargetRemoved(String),
    /// The entry of a target cannot be read, so it names none to use.
    TargetUnreadable {
        /// The target's id.
        id: String,
        /// The key of its entry.
        key: String,
        /// What is wrong with the entry.
        cause: String,
    },
    /// The operator has a zone evacuated, or opens it again.
    Evacuation {
        /// The zone.
        zone: String,
        /// Whether nothing more is to be sent there.
        evacuated: bool,
    },
    /// Another item that cannot be read; it is left out.
    Malformed {
        /// Its key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// A page of a whole read.
#[derive(Clone, Debug, Default)]
pub struct SourcePage {
    /// What it holds.
    pub items: Vec<SourceChange>,
    /// Where the next page begins; `None` after the last.
    pub next: Option<String>,
    /// The source's revision.
    pub revision: Revision,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default)]
pub struct SourceChanges {
    /// The changes in order.
    pub changes: Vec<SourceChange>,
    /// Where to go on.
    pub revision: Revision,
}

/// Why the source could not be read.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum SourceError {
    /// the source has forgotten its history
    HistoryGone,
    /// the source has come back from a copy since
    Restored,
    /// another node knows what this watch should have told
    Overtaken,
    /// the source refused: status {0}
    Refused(u16),
    /// the source cannot be reached: {0}
    Unreachable(String),
    /// the source's answer cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for SourceError {}

/// A read that is under way.
pub type SourceFuture<T> = Pin<Box<dyn Future<Output = Result<T, SourceError>>>>;

/// Where configuration and targets come from. When to read, and what to do when it fails, is decided by the
/// control thread.
pub trait Source {
    /// Reads one page of a feed; `from` is where the page begins.
    fn read(&self, feed: Feed, from: Option<String>) -> SourceFuture<SourcePage>;
    /// Waits for changes of a feed after `since`, `wait` at the most.
    fn watch(&self, feed: Feed, since: Revision, wait: Span) -> SourceFuture<SourceChanges>;
}
