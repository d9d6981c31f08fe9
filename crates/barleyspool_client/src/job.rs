//! Jobs of a caller and their answers.

use barleyspool_core::Time;
use std::sync::Arc;

/// One request. Its key and deadline stay the same for all sends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// The idempotency key that the caller chose, at most 128 bytes.
    pub key: String,
    /// The name of the caller's organisation.
    pub organisation: String,
    /// The name of the pipeline to run.
    pub pipeline: String,
    /// The absolute deadline, by the wall clock.
    pub deadline: Time,
    /// Whether the job may run at most once.
    pub unrepeatable: bool,
    /// The input of the pipeline.
    pub payload: Arc<[u8]>,
    /// The prompt prefix that the job shares with other jobs; empty for none.
    pub prefix: String,
}

/// The outcome of a job as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The answer is complete.
    Complete,
    /// No part of the job ran.
    NotRun {
        /// The reason of the last refusal.
        reason: String,
        /// The delay after which a retry may succeed, in milliseconds; zero when a retry does not help.
        retry_after_ms: u64,
    },
    /// Some part of the job ran or may have run, and there is no complete answer.
    Unknown {
        /// The reason that a node gave, or the error of the connection.
        reason: String,
    },
}

/// The answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The bytes of the answer; complete only when the outcome is [`JobOutcome::Complete`].
    pub data: Vec<u8>,
    /// The outcome of the job.
    pub outcome: JobOutcome,
    /// How often the job was sent.
    pub sends: u32,
    /// When the first byte of the answer arrived.
    pub first_byte_at: Option<Time>,
}
