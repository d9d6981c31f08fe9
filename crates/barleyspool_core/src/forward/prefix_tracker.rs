//! Which shared beginnings of prompts an engine most likely still holds.

use crate::{Span, Time};
use std::collections::HashMap;

/// A prefix that was not used for this long is no longer reckoned with.
const PREFIX_TTL: Span = Span::from_secs(30);
/// Entries above which old ones are dropped.
const MAX_PREFIXES: usize = 4096;

#[derive(Copy, Clone, Debug)]
struct SentPrefix {
    last_used: Time,
    tokens: u32,
}

/// Prefixes that this node sent to one engine, with when it last did. A hint only: the engine may have
/// dropped them, or hold others that other nodes sent.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    sent: HashMap<u64, SentPrefix>,
}

impl PrefixTracker {
    /// Notes that the engine reads `prefix` now.
    pub fn record(&mut self, now: Time, prefix: u64, tokens: u32) {
        if self.sent.len() >= MAX_PREFIXES {
            self.sent
                .retain(|_, prefix| now.since(prefix.last_used) < PREFIX_TTL);
        }
        self.sent.insert(
            prefix,
            SentPrefix {
                last_used: now,
                tokens,
            },
        );
    }

    /// Whether the engine most likely holds `prefix`: it was sent there, and since then not so much else
    /// that `memory` tokens were filled up.
    pub fn holds(&self, now: Time, prefix: u64, memory_tokens: u64) -> bool {
        let Some(known) = self.sent.get(&prefix) else {
            return false;
        };
        if now.since(known.last_used) > PREFIX_TTL {
            return false;
        }
        let newer = self
            .sent
            .values()
            .filter(|prefix| prefix.last_used > known.last_used);
        let newer_tokens: u64 = newer.map(|prefix| u64::from(prefix.tokens)).sum();
        newer_tokens < memory_tokens / 2
    }
}
