//! The JSON of targets: steps, streams, load reports and orders. docs/OPERATING.md specifies it.
//!
//! An order in this module is an [`OrderRequest`], which makes an engine load and unload models. It carries the
//! contents of a [`barleyspool_core::EngineOrder`]. A [`StepOrder`] is one attempt to run a step at a target and is
//! sent as a [`StepRequest`]. The orders for pieces between gateway nodes are in [`crate::pieces`].

use barleyspool_core::{Echo, EngineReport, Fence, LoadReport, Payload, StepOrder};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Path at which a target accepts steps.
pub const STEPS_PATH: &str = "/v1/steps";
/// Path at which a target accepts cancellations.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path at which a target answers with a [`TargetReport`]: its load and, if it is an engine, its models and fence.
pub const LOAD_PATH: &str = "/v1/load";
/// Path at which an engine accepts orders to load and unload models.
pub const ORDERS_PATH: &str = "/v1/orders";

/// Bytes, encoded as base64 in JSON.
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

/// A step that is sent to a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepRequest {
    /// The identification that every answer must repeat.
    pub echo: Echo,
    /// The model; empty for none.
    #[serde(default)]
    pub model: String,
    /// The input of the step.
    pub input: Blob,
    /// The part of the answer that was already received; a resumed stream continues after it.
    #[serde(default)]
    pub so_far: Blob,
    /// The deadline as a Unix time in milliseconds; a target refuses the step after it.
    pub deadline_ms: u64,
    /// The rank of the class; 0 is the highest priority.
    pub priority: u8,
    /// Whether the answer is requested as server-sent events.
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

/// The answer to a step that does not stream, and the refusal of any step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReply {
    /// The identification of the step, repeated from the request.
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
    /// With a refusal: the cooldown during which the target accepts no requests from this node, in milliseconds.
    #[serde(default, rename = "rest_ms")]
    pub cooldown_ms: u64,
    /// The load of the target.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// The identification of the step, repeated from the request.
    pub echo: Echo,
    /// The offset of `data` in the whole answer, in bytes.
    pub offset: u64,
    /// The bytes of this event.
    #[serde(default)]
    pub data: Blob,
    /// Set on the last event: the length of the whole answer.
    #[serde(default)]
    pub length: Option<u64>,
    /// Whether the target is leaving; may be set on any event.
    #[serde(default)]
    pub leaving: bool,
    /// The load of the target; set on the last event.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// The answer of a target to a request for its load; an engine also reports its models and its fence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The utilisation: running and queued calls, and the capacity in calls; `None` from services that do not
    /// report their load.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// Whether the target is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// The models and the fence of the target, if it is an engine.
    #[serde(default)]
    pub engine: Option<EngineReport>,
}

/// An order that a keeper sends to an engine, to load and unload models.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The fence of the order; an engine that checks fences refuses an order whose fence is not higher than the last.
    pub fence: Fence,
    /// The names of the models to load; not a load report.
    pub load: BTreeSet<String>,
    /// The names of the models to unload.
    pub unload: BTreeSet<String>,
}

/// The answer of an engine to an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the engine accepted the order.
    #[serde(rename = "taken")]
    pub accepted: bool,
    /// The fence of the last order that the engine accepted.
    pub fence: Fence,
}
