//! Tracks the results that the targets of a pool hold.
//!
//! A result is released when this node no longer needs it, and freed when its holder has dropped it at the
//! request of this node. Its memory counts as used until it is freed or expires.

use super::PieceQueue;
use super::capacity_usage::Holding;
use super::wait_estimate::RATE_WINDOW;
use crate::{Span, Time};
use std::collections::BTreeMap;

/// A result that was computed for this queue. The record stays until the holder of the result drops it on
/// its own, even if the result is freed before: an answer that names the result again repeats an old one.
#[derive(Clone, Debug)]
pub(super) struct StoredResult {
    pub(super) target: String,
    /// The memory that it takes at its holder, in bytes; zero once it has been freed.
    pub(super) bytes: u64,
    pub(super) expires_at: Time,
    /// Why it is held.
    pub(super) holding: Holding,
    /// Since when it has been held for that reason.
    pub(super) since: Time,
}

impl PieceQueue {
    pub(super) fn store_result(&mut self, now: Time, target: &str, handle: &str, bytes: u64) {
        let expires_at = now + self.spec.result_ttl;
        if let Some(target) = self.targets.get_mut(target) {
            target.stored_bytes += bytes;
        }
        let result = StoredResult {
            target: target.to_owned(),
            bytes,
            expires_at,
            holding: Holding::Collecting,
            since: now,
        };
        self.results.insert(handle.to_owned(), result);
    }

    /// Releases results that are no longer needed.
    pub fn release(&mut self, now: Time, handles: Vec<String>) {
        self.set_holding(now, &handles, Holding::Releasing);
        self.releasable.extend(handles);
    }

    /// Records why results are held from now on.
    pub(super) fn set_holding(&mut self, now: Time, handles: &[String], holding: Holding) {
        for handle in handles {
            if let Some(result) = self.results.get_mut(handle) {
                result.holding = holding;
                result.since = now;
            }
        }
    }

    /// Takes the results to be freed now: address and id of their holder, and their handles. A holder that
    /// states a limit itself gets a request to free results only when its rate allows one and no piece
    /// waits; the rate limit of a cold start alone does not prevent the request. If a holder gets no
    /// request now, its results expire.
    pub fn take_releasable(&mut self, now: Time) -> Vec<(String, String, Vec<String>)> {
        let has_waiting = self.waiting() > 0;
        let mut by_holder: BTreeMap<String, (String, Vec<String>)> = BTreeMap::new();
        let handles = std::mem::take(&mut self.releasable);
        self.mark_releasing(now, &handles);
        for handle in handles {
            let holder = match self.results.get(&handle) {
                Some(result) => Some(result.target.clone()),
                // Computed for another owner of the pool; the handle names the holder.
                None => self.holder_of(&handle),
            };
            let Some(id) = holder else { continue };
            if let Some((_, handles)) = by_holder.get_mut(&id) {
                handles.push(handle);
                continue;
            }
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            if target.accepts_release(now) && !(has_waiting && target.limit.is_some()) {
                target.count_release(now);
                by_holder.insert(id, (target.entry.address.clone(), vec![handle]));
            }
        }
        by_holder
            .into_iter()
            .map(|(target, (address, handles))| (address, target, handles))
            .collect()
    }

    /// Records that results are not needed any more, unless that is recorded already. The results of an order that
    /// ended before it was complete still count as being collected.
    fn mark_releasing(&mut self, now: Time, handles: &[String]) {
        let is_held = |handle: &&String| {
            let result = self.results.get(*handle);
            result.is_some_and(|result| result.holding != Holding::Releasing)
        };
        let held: Vec<String> = handles.iter().filter(is_held).cloned().collect();
        self.set_holding(now, &held, Holding::Releasing);
    }

    /// Records that the holder has freed results; only now is their memory available again.
    pub fn mark_freed(&mut self, handles: &[String]) {
        for handle in handles {
            let Some(result) = self.results.get_mut(handle) else {
                continue;
            };
            let bytes = std::mem::take(&mut result.bytes);
            if let Some(target) = self.targets.get_mut(&result.target) {
                target.stored_bytes = target.stored_bytes.saturating_sub(bytes);
            }
        }
    }

    fn holder_of(&self, handle: &str) -> Option<String> {
        let address = handle_address(handle);
        let holder = self
            .targets
            .iter()
            .find(|(_, target)| target.entry.address == address);
        holder.map(|(id, _)| id.clone())
    }

    /// How long a result that an answer named is remembered.
    pub fn result_ttl(&self) -> Span {
        self.spec.result_ttl
    }

    /// Whether released results wait to be freed.
    pub fn has_releasable(&self) -> bool {
        !self.releasable.is_empty()
    }

    pub(super) fn expire_results(&mut self, now: Time) {
        while self
            .completions
            .front()
            .is_some_and(|at| now.since(*at) > RATE_WINDOW)
        {
            self.completions.pop_front();
        }
        let targets = &mut self.targets;
        self.results.retain(|_, result| {
            let expired = now > result.expires_at;
            if expired && let Some(target) = targets.get_mut(&result.target) {
                target.stored_bytes = target.stored_bytes.saturating_sub(result.bytes);
            }
            !expired
        });
    }
}

/// The address of the target that holds a result, which is the part of the handle before the first slash.
pub fn handle_address(handle: &str) -> &str {
    handle.split('/').next().unwrap_or_default()
}
