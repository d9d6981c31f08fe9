//! What the configuration says of a service that answers calls or makes stages of them.

use crate::Span;
use serde::{Deserialize, Serialize};

/// What is known of a service of model engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into one engine's memory.
    pub memory_tokens: u64,
    /// Whether engines can take from each other what they keep of a prompt.
    pub copies: bool,
}

/// What is known of a stage pool, for each of its targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Calls that it works on at once.
    pub slots: u32,
    /// Calls that may wait there.
    pub queue: u32,
    /// Pieces of one call.
    pub batch: u32,
    /// What a call takes apart from its pieces.
    #[serde(rename = "call")]
    pub call_overhead: Span,
    /// What one piece adds; approximate.
    #[serde(rename = "item")]
    pub piece_time: Span,
    /// Room for results, in bytes.
    #[serde(rename = "room")]
    pub result_capacity: u64,
    /// How long a result is kept after its call.
    #[serde(rename = "hold")]
    pub result_ttl: Span,
    /// What its link carries, in megabits a second; 0 when not known.
    pub link_mbps: u64,
}

/// How long a target that was sent a call is given to fetch inputs, besides the time on the link.
const FETCH_TIME_MIN: Span = Span::from_millis(120);
/// The time on the link is reckoned this many times, since others use it too.
const LINK_SHARING_FACTOR: u64 = 4;

impl PoolSpec {
    /// How long results of `bytes` are kept for a target that was sent a call which needs them. `None` when the
    /// link is not known: then its first output shows that it has them.
    pub fn fetch_time(&self, bytes: u64) -> Option<Span> {
        let on_link = (bytes * 8).checked_div(self.link_mbps)?;
        Some(FETCH_TIME_MIN + Span(on_link * LINK_SHARING_FACTOR))
    }
}

/// How targets of a service are after a start.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// How long they are cold.
    pub start: Span,
    /// The calls a second that one of them bears meanwhile, from all nodes together; it falls over at well above that.
    pub per_s: f64,
}

/// A service as forwarded calls need it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardService {
    /// Its name, as the target list uses it.
    pub name: String,
    /// Where a target tells whether it is well.
    pub health_path: String,
    /// Connections that one target accepts from all nodes together.
    pub max_connections: u32,
    /// Set when its targets bear little after a start.
    pub cold: Option<ColdSpec>,
    /// Set when model engines serve it.
    pub engine: Option<EngineSpec>,
    /// Set when it is a stage pool.
    pub pool: Option<PoolSpec>,
}
