//! Which shared beginnings of prompts an engine most likely still holds.

use crate::{Span, Time};
use std::collections::HashMap;

/// A prefix that was not used for this long is no longer reckoned with.
const FORGET: Span = Span::from_secs(30);
/// Entries above which old ones are dropped.
const MOST: usize = 4096;

#[derive(Copy, Clone, Debug)]
struct Held {
    used: Time,
    tokens: u32,
}

/// Prefixes that this node sent to one engine, with when it last did. A hint only: the engine may have
/// dropped them, or hold others that other nodes sent.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    held: HashMap<u64, Held>,
}

impl PrefixTracker {
    /// Notes that the engine reads `prefix` now.
    pub fn used(&mut self, now: Time, prefix: u64, tokens: u32) {
        if self.held.len() >= MOST {
            self.held.retain(|_, held| now.since(held.used) < FORGET);
        }
        self.held.insert(prefix, Held { used: now, tokens });
    }

    /// Whether the engine most likely holds `prefix`: it was sent there, and since then not so much else
    /// that `memory` tokens were filled up.
    pub fn holds(&self, now: Time, prefix: u64, memory: u64) -> bool {
        let Some(mine) = self.held.get(&prefix) else {
            return false;
        };
        if now.since(mine.used) > FORGET {
            return false;
        }
        let newer = self.held.values().filter(|held| held.used > mine.used);
        let newer_tokens: u64 = newer.map(|held| u64::from(held.tokens)).sum();
        newer_tokens < memory / 2
    }
}
