//! Tracks which shared prompt prefixes an engine most likely still has in its cache.

use crate::{Span, Time};
use std::collections::HashMap;

/// A prefix that was not sent for this long counts as evicted.
const PREFIX_TTL: Span = Span::from_secs(30);
/// The number of entries from which expired ones are dropped whenever another is recorded. The table still
/// grows beyond it if more entries than this have not expired.
const MAX_PREFIXES: usize = 4096;

#[derive(Copy, Clone, Debug)]
struct SentPrefix {
    last_used: Time,
    tokens: u32,
}

/// The prefixes that this node sent to one engine, and when it last did.
///
/// This is only a hint: the engine may have evicted them, or hold others that other nodes sent.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    sent: HashMap<u64, SentPrefix>,
}

impl PrefixTracker {
    /// Records that the engine gets `prefix`, of the given number of tokens, now.
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

    /// Whether the engine most likely holds `prefix`: it was sent there recently, and the prefixes sent
    /// since then fill less than half of its memory of `memory_tokens` tokens.
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
