//! The configuration of a service that answers calls or computes stages of them.

use crate::Span;
use serde::{Deserialize, Serialize};

/// The configuration of a service of model engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// The memory of one engine in tokens.
    pub memory_tokens: u64,
    /// Whether engines can copy cached prompt prefixes from each other.
    pub copies: bool,
}

/// The configuration of a stage pool; all values are per target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Calls that it runs concurrently.
    pub slots: u32,
    /// Calls that may wait in its queue.
    pub queue: u32,
    /// The most pieces of one batch call.
    pub batch: u32,
    /// The time of a call without its pieces.
    #[serde(rename = "call")]
    pub call_overhead: Span,
    /// The approximate time that each piece adds.
    #[serde(rename = "item")]
    pub piece_time: Span,
    /// The capacity for results, in bytes.
    #[serde(rename = "room")]
    pub result_capacity: u64,
    /// How long a result is kept after its call.
    #[serde(rename = "hold")]
    pub result_ttl: Span,
    /// The bandwidth of its link, in megabits per second; 0 if unknown.
    pub link_mbps: u64,
}

/// The time that a target gets to fetch inputs, in addition to the transfer time.
const FETCH_OVERHEAD: Span = Span::from_millis(120);
/// The transfer time is multiplied by this, since other traffic shares the link.
const LINK_SHARING_FACTOR: u64 = 4;

impl PoolSpec {
    /// The time that a target which has received a call gets to fetch results of `bytes` that the call
    /// needs; the results are kept for it that long. `None` if the bandwidth is unknown; then the target's
    /// first output shows that it has them.
    pub fn fetch_time(&self, bytes: u64) -> Option<Span> {
        // Bits divided by megabits per second are microseconds, the unit of a span.
        let transfer_time = (bytes * 8).checked_div(self.link_mbps)?;
        Some(FETCH_OVERHEAD + Span(transfer_time * LINK_SHARING_FACTOR))
    }
}

/// The rate limit of a service's targets after a start.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// How long a target is cold.
    #[serde(rename = "start")]
    pub duration: Span,
    /// The calls per second that a cold target handles, from all nodes together; it crashes at well
    /// above that rate.
    pub per_s: f64,
}

/// A service as seen by forwarded calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardService {
    /// Its name, as used in the target list.
    pub name: String,
    /// The path of the health check.
    pub health_path: String,
    /// Connections that one target accepts from all nodes together.
    pub max_connections: u32,
    /// The rate limit after a start, if its targets need a warm-up.
    pub cold: Option<ColdSpec>,
    /// The engine settings, if model engines serve it.
    pub engine: Option<EngineSpec>,
    /// The pool settings, if it is a stage pool.
    pub pool: Option<PoolSpec>,
}
