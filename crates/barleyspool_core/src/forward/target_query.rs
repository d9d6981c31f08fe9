//! What a call needs of its target, and the answer to that.

use super::TargetKey;
use crate::{Span, rendezvous};

/// What a call needs of its target.
#[derive(Clone, Debug, Default)]
pub struct TargetQuery {
    /// The service.
    pub service: String,
    /// The route, whose calls resemble each other.
    pub route: String,
    /// Whether model engines serve it, and how many tokens one of them holds.
    pub engine_memory: Option<u64>,
    /// The shared beginning of its prompt; zero for none.
    pub prefix: u64,
    /// Tokens of that beginning.
    pub prefix_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Where its inputs lie; empty for this node's own zone.
    pub zone: String,
    /// The size of its inputs, in bytes.
    pub input_bytes: u64,
    /// Targets that failed it already.
    pub avoid: Vec<TargetKey>,
    /// Whether an engine can take the shared beginning of its prompt from another one.
    pub copies: bool,
    /// How long it may wait for a target that takes so many calls a second and no more.
    pub max_wait: Span,
    /// Set when this node places the calls of all nodes at the engines of a shard.
    pub placing: Option<Shard>,
    /// Whether another node sends the call: a rest that a target has asked this node for does not concern it.
    pub for_other_node: bool,
}

/// A part of the targets of a service: each belongs to one of `of` shards.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    /// Which one, from 0.
    pub number: u32,
    /// How many there are.
    pub of: u32,
}

impl Shard {
    /// The only shard of a service that is not split.
    pub const WHOLE: Self = Self { number: 0, of: 1 };

    /// Whether the target with that hash of its id belongs to it.
    pub fn holds(self, target: u128) -> bool {
        Self::number_of(target, self.of) == self.number
    }

    /// To which of `of` shards the target with that hash of its id belongs.
    pub fn number_of(target: u128, of: u32) -> u32 {
        rendezvous::pick(target, (0..of).map(u64::from)).unwrap_or(0) as u32
    }
}

/// The target of a send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetKey,
    /// The run of it that is meant.
    pub id: String,
    /// IP number and port.
    pub address: String,
    /// The address of an engine that most likely holds the shared beginning of the prompt, when this one does not.
    pub source: Option<String>,
    /// Whether it takes so many calls a second and no more. Then the call may go there only when the owner of the target's rate says so.
    pub rate_limited: bool,
    /// How long the call has to wait before it is sent.
    pub wait: Span,
}

/// The key by which the owner of a shard of a service is picked.
pub fn shard_key(service: &str, shard: u32) -> u128 {
    rendezvous::text_key(service) ^ u128::from(shard)
}

/// An answer of [`crate::Forwarder::choose`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChooseResult {
    /// Send it there.
    Send(TargetChoice),
    /// Every target that is usable has been given all that it takes; when there is room again.
    NoCapacity(Span),
    /// All targets that may get work have asked this node for rest; when the first one's is over.
    CoolingDown(Span),
    /// No target is usable now; when to come back.
    Busy(Span),
}
