//! What a caller wants run, and what it gets.

use barleyspool_core::Time;
use std::sync::Arc;

/// One request. Its key and deadline stay the same however often it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// The caller's key, at most 128 bytes.
    pub key: String,
    /// The organisation.
    pub organisation: String,
    /// The pipeline.
    pub pipeline: String,
    /// The absolute deadline.
    pub deadline: Time,
    /// Whether it may run at most once.
    pub unrepeatable: bool,
    /// The payload.
    pub payload: Arc<[u8]>,
    /// A shared beginning of prompts; empty for none.
    pub prefix: String,
}

/// How a job ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The answer is complete.
    Complete,
    /// No part of the job ran.
    NotRun {
        /// The last refusal's reason.
        reason: String,
        /// When to come back, in milliseconds; zero when that does not help.
        retry_after_ms: u64,
    },
    /// Some of the job ran or may have run, and there is no complete answer.
    Unknown {
        /// The reason, or what broke.
        reason: String,
    },
}

/// What a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The bytes; whole when the end is [`JobOutcome::Complete`].
    pub data: Vec<u8>,
    /// How it ended.
    pub outcome: JobOutcome,
    /// How often the job was sent.
    pub sends: u32,
    /// When the first byte of the answer came.
    pub first_byte_at: Option<Time>,
}
