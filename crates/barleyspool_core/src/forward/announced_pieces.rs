//! The pieces that all nodes plan to submit to a pool, as its owner knows them.

use super::RankedPieces;
use crate::{Span, Time};
use std::collections::HashMap;

/// How long an announcement counts. A node of the reference pool sends an order about every 200 ms, and announces anew
/// with each; one that is silent for longer has no such calls any more, or is dead.
pub const ANNOUNCEMENT_TTL: Span = Span::from_millis(1500);

/// An announcement and the time at which it arrived.
#[derive(Clone, Debug)]
struct Announcement {
    pieces: RankedPieces,
    at: Time,
}

/// The last announcement of each node: the pieces that calls admitted there have yet to submit to the pool, by rank.
///
/// Calls are admitted at all nodes at once, and their pieces arrive at later pools of the chain hundreds of
/// milliseconds later. Without announcements, these pieces are in no queue when the next calls are admitted.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedPieces {
    by_node: HashMap<u64, Announcement>,
    /// The sum of all announcements, kept because a report to a node may take only some microseconds.
    sum: RankedPieces,
    /// No announcement is too old before this time.
    next_expiry: Time,
}

impl AnnouncedPieces {
    /// Replaces the announcement of the node with this key. It came with an order, whose own pieces it no longer
    /// includes.
    pub fn record(&mut self, now: Time, node: u64, pieces: RankedPieces) {
        if let Some(previous) = self.by_node.remove(&node) {
            self.sum.subtract_all(&previous.pieces);
        }
        if !pieces.is_empty() {
            self.sum.add_all(&pieces);
            self.by_node.insert(node, Announcement { pieces, at: now });
        }
    }

    /// The announced pieces of all nodes. Announcements that are too old are dropped.
    pub fn sum(&mut self, now: Time) -> &RankedPieces {
        if now >= self.next_expiry {
            self.expire(now);
        }
        &self.sum
    }

    fn expire(&mut self, now: Time) {
        self.by_node
            .retain(|_, announcement| now.since(announcement.at) < ANNOUNCEMENT_TTL);
        self.sum = RankedPieces::default();
        self.next_expiry = now + ANNOUNCEMENT_TTL;
        for announcement in self.by_node.values() {
            self.sum.add_all(&announcement.pieces);
            self.next_expiry = self.next_expiry.min(announcement.at + ANNOUNCEMENT_TTL);
        }
    }
}
