//! What a call requires of its target, and the result of the choice.

use super::{TargetEntry, TargetKey, TargetRecord};
use crate::{Span, Time, VersionId, rendezvous};

/// What a call requires of its target.
#[derive(Clone, Debug, Default)]
pub struct TargetQuery {
    /// The name of the service.
    pub service: String,
    /// The name of the route; calls of one route resemble each other.
    pub route: String,
    /// The memory of one engine in tokens, if model engines serve the call.
    pub engine_memory: Option<u64>,
    /// The hash of the shared prompt prefix; zero for none.
    pub prefix: u64,
    /// The length of the shared prefix in tokens.
    pub prefix_tokens: u32,
    /// The length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// The zone that holds the inputs, whose targets are preferred; empty for this node's own zone.
    pub zone: String,
    /// The size of the inputs in bytes.
    pub input_bytes: u64,
    /// Targets that have already failed this call.
    pub avoid: Vec<TargetKey>,
    /// The software version that the target must have, when the call goes on with a stream.
    pub version: Option<VersionId>,
    /// Whether an engine can copy the shared prefix from another one.
    pub can_copy_prefixes: bool,
    /// How long the call may wait for a rate-limited target.
    pub max_wait: Span,
    /// How long after the choice the call will most likely be sent.
    pub lead: Span,
    /// The shard of engines for which this node places the calls of all nodes, if it does.
    pub placing: Option<Shard>,
    /// Whether another node sends the call. A cooldown that a target requested from this node does not
    /// apply to it then.
    pub for_other_node: bool,
}

impl TargetQuery {
    /// Whether a target has the software version that the call needs.
    pub fn accepts_version(&self, entry: &TargetEntry) -> bool {
        self.version.is_none_or(|version| version == entry.version_id())
    }

    /// Whether a target suits the call, whatever its state: it belongs to the shard, has the version, and is in no cooldown
    /// that applies to the call.
    pub(super) fn accepts(&self, now: Time, record: &TargetRecord) -> bool {
        self.placing.is_none_or(|shard| shard.holds(record.hash))
            && self.accepts_version(&record.entry)
            && (self.for_other_node || record.cooldown(now) == Span::ZERO)
    }
}

/// One of `of` disjoint parts of the targets of a service.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    /// The index of the shard, from 0.
    pub number: u32,
    /// The number of shards.
    pub of: u32,
}

impl Shard {
    /// The only shard of a service that is not split.
    pub const WHOLE: Self = Self { number: 0, of: 1 };

    /// Whether the target with this hash of its id belongs to the shard.
    pub fn holds(self, target: u128) -> bool {
        Self::number_of(target, self.of) == self.number
    }

    /// The index of the shard, out of `of`, to which the target with this hash of its id belongs.
    pub fn number_of(target: u128, of: u32) -> u32 {
        rendezvous::pick(target, (0..of).map(u64::from)).unwrap_or(0) as u32
    }
}

/// The target chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The key of the target.
    pub target: TargetKey,
    /// The id of the target.
    pub id: String,
    /// The IP address and port.
    pub address: String,
    /// Its software version; `None` when another node chose it and did not report the version.
    pub version: Option<VersionId>,
    /// The address of an engine that most likely holds the shared prefix, if the chosen one does not.
    pub source: Option<String>,
    /// Whether the target has a rate limit. If so, the call may be sent only after the owner of the
    /// target's rate has granted it.
    pub rate_limited: bool,
    /// Whether the target is brittle and no engine. If so, the call may be sent only after the owner of the target has
    /// reserved room for it.
    pub brittle: bool,
    /// How long the call has to wait before it is sent.
    pub wait: Span,
    /// Whether the call may have to wait at the target for a slot.
    pub may_queue: bool,
}

/// The key that determines the owner of a shard of a service.
pub fn shard_key(service: &str, shard: u32) -> u128 {
    rendezvous::text_key(service) ^ u128::from(shard)
}

/// The result of [`crate::Forwarder::choose`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChooseResult {
    /// Send the call to this target.
    Send(TargetChoice),
    /// Every usable target has used up its rate limit; capacity is expected after this time.
    NoCapacity(Span),
    /// All targets that accept work have requested a cooldown from this node; the first one ends after
    /// this time.
    CoolingDown(Span),
    /// No target is usable now; try again after this time.
    Busy(Span),
}
