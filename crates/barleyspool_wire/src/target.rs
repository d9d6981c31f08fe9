//! The JSON of targets: steps, streams, load reports and orders. docs/OPERATING.md describes it.

use barleyspool_core::{Echo, EngineReport, Fence, LoadReport, Payload, StepOrder};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Where a target takes steps.
pub const STEPS_PATH: &str = "/v1/steps";
/// Where a target takes cancellations.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Where a target reports its load.
pub const LOAD_PATH: &str = "/v1/load";
/// Where an engine takes orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// Bytes, as base64 in JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Blob(pub Payload);

impl Default for Blob {
    fn default() -> Self {
        Self(Arc::from([].as_slice()))
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(Arc::from(bytes)))
    }
}

/// A step, as it is sent to a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepRequest {
    /// What every answer must repeat.
    pub echo: Echo,
    /// The model; empty for none.
    #[serde(default)]
    pub model: String,
    /// The input.
    pub input: Blob,
    /// What has come of the answer already; a resumed stream goes on after it.
    #[serde(default)]
    pub so_far: Blob,
    /// Unix milliseconds; a target refuses what comes later.
    pub deadline_ms: u64,
    /// The rank of the class; 0 goes first.
    pub priority: u8,
    /// Whether the answer should come as server-sent events.
    pub stream: bool,
    /// Whether the step may run more than once.
    pub repeatable: bool,
}

impl From<&StepOrder> for StepRequest {
    fn from(order: &StepOrder) -> Self {
        Self {
            echo: order.echo,
            model: order.model.clone(),
            input: Blob(Arc::clone(&order.input)),
            so_far: Blob(Arc::clone(&order.so_far)),
            deadline_ms: order.deadline.as_millis(),
            priority: order.rank,
            stream: order.stream,
            repeatable: order.repeatable,
        }
    }
}

/// How a target answers a step that does not stream, and how it refuses any.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReply {
    /// What it belongs to.
    pub echo: Echo,
    /// The output; `None` with a refusal.
    #[serde(default)]
    pub output: Option<Blob>,
    /// Set when the target refuses and has certainly not run the step.
    #[serde(default)]
    pub not_run: bool,
    /// Whether the target is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// With a refusal: how long the target wants nothing from this node, in milliseconds.
    #[serde(default, rename = "rest_ms")]
    pub cooldown_ms: u64,
    /// Its load.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// What it belongs to.
    pub echo: Echo,
    /// Where `data` begins, in bytes of the whole answer.
    pub offset: u64,
    /// The bytes.
    #[serde(default)]
    pub data: Blob,
    /// Set on the last event: the length of the whole answer.
    #[serde(default)]
    pub length: Option<u64>,
    /// Whether the target is leaving; on any event.
    #[serde(default)]
    pub leaving: bool,
    /// Its load; on the last event.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// A target's load, as it reports it when asked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Calls and places; `None` from services that do not report.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// What it holds, if it is an engine.
    #[serde(default)]
    pub engine: Option<EngineReport>,
}

/// An order, as it is sent to an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The fence; an engine that checks it refuses what is not higher than the last.
    pub fence: Fence,
    /// Models to load.
    pub load: BTreeSet<String>,
    /// Models to drop.
    pub unload: BTreeSet<String>,
}

/// How an engine answers an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether it took the order.
    #[serde(rename = "taken")]
    pub accepted: bool,
    /// Its last fence.
    pub fence: Fence,
}
