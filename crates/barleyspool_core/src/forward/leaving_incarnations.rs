//! Incarnations of targets that announced in an answer that they are leaving.

use crate::{IncarnationId, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How long an incarnation is remembered after a node last received its announcement. A node that still
/// sends to it receives the announcement again.
const ANNOUNCEMENT_TTL: Span = Span::from_secs(60);

/// The update about a leaving incarnation that nodes exchange.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpdate {
    /// The incarnation of the target.
    #[serde(rename = "run")]
    pub incarnation: IncarnationId,
    /// How long ago a node received the announcement, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u32,
}

/// Incarnations of targets that announced in an answer that they are leaving.
///
/// An incarnation never takes the announcement back, so all nodes can rely on it whichever node received
/// it. The target list shows it later, and not at all while the source is unavailable.
#[derive(Clone, Debug, Default)]
pub struct LeavingIncarnations {
    received_at: HashMap<IncarnationId, Time>,
}

impl LeavingIncarnations {
    /// Records the announcement of an incarnation; false if it was known already.
    pub fn record(&mut self, now: Time, incarnation: IncarnationId) -> bool {
        self.insert(incarnation, now)
    }

    /// Merges an update of another node; false if it was known already or is too old to be passed on.
    pub fn merge(&mut self, now: Time, update: LeavingUpdate) -> bool {
        let age = Span::from_millis(u64::from(update.age_ms));
        age < ANNOUNCEMENT_TTL && self.insert(update.incarnation, now - age)
    }

    /// Whether an incarnation is known to be leaving.
    pub fn contains(&self, incarnation: IncarnationId) -> bool {
        self.received_at.contains_key(&incarnation)
    }

    /// Whether no incarnation is known to be leaving.
    pub fn is_empty(&self) -> bool {
        self.received_at.is_empty()
    }

    /// The update about an incarnation that this node can pass on.
    pub fn update_of(&self, now: Time, incarnation: IncarnationId) -> Option<LeavingUpdate> {
        let received_at = self.received_at.get(&incarnation)?;
        let age_ms = u32::try_from(now.since(*received_at).as_millis()).unwrap_or(u32::MAX);
        Some(LeavingUpdate { incarnation, age_ms })
    }

    /// Removes incarnations whose announcement is too old, except those for which `keeps` returns true.
    pub fn expire(&mut self, now: Time, keeps: impl Fn(IncarnationId) -> bool) {
        self.received_at
            .retain(|incarnation, at| now.since(*at) < ANNOUNCEMENT_TTL || keeps(*incarnation));
    }

    fn insert(&mut self, incarnation: IncarnationId, at: Time) -> bool {
        let known = self.received_at.get(&incarnation).copied();
        self.received_at
            .insert(incarnation, known.map_or(at, |known| known.max(at)));
        known.is_none()
    }
}
