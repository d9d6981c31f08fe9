//! The results that a pool's targets keep, until somebody gives them up.

use super::PieceQueue;
use super::wait_estimate::RATE_SPAN;
use crate::Time;
use std::collections::BTreeMap;

/// A result that was made here. It is remembered until its maker drops it by itself, also when it has been freed: an
/// answer that names it again is the repetition of an old one.
#[derive(Clone, Debug)]
pub(super) struct Kept {
    pub(super) target: String,
    /// The room that it takes at its maker; none once it has been freed.
    pub(super) bytes: u64,
    pub(super) until: Time,
}

impl PieceQueue {
    pub(super) fn keep(&mut self, now: Time, target: &str, handle: &str, bytes: u64) {
        let until = now + self.spec.hold;
        if let Some(target) = self.targets.get_mut(target) {
            target.kept += bytes;
        }
        let kept = Kept {
            target: target.to_owned(),
            bytes,
            until,
        };
        self.kept.insert(handle.to_owned(), kept);
    }

    /// Results that nobody needs any more.
    pub fn release(&mut self, handles: Vec<String>) {
        self.releasable.extend(handles);
    }

    /// The results to be freed: address and id of their maker, and their handles. A maker that limits what it takes is told only when it has
    /// room for it and no piece waits; else its results go by themselves after their time.
    pub fn take_releasable(&mut self, now: Time) -> Vec<(String, String, Vec<String>)> {
        let waits = self.waiting() > 0;
        let mut by_maker: BTreeMap<String, (String, Vec<String>)> = BTreeMap::new();
        for handle in std::mem::take(&mut self.releasable) {
            let maker = match self.kept.get(&handle) {
                Some(kept) => Some(kept.target.clone()),
                // Made for another owner of the pool; the handle tells by whom.
                None => self.maker_of(&handle),
            };
            let Some(id) = maker else { continue };
            if let Some((_, handles)) = by_maker.get_mut(&id) {
                handles.push(handle);
                continue;
            }
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            if target.takes_frees(now) && !(waits && target.limit.is_some()) {
                target.count_free(now);
                by_maker.insert(id, (target.entry.address.clone(), vec![handle]));
            }
        }
        by_maker
            .into_iter()
            .map(|(target, (address, handles))| (address, target, handles))
            .collect()
    }

    /// Their maker has freed them: only now is there room.
    pub fn mark_freed(&mut self, handles: &[String]) {
        for handle in handles {
            let Some(kept) = self.kept.get_mut(handle) else {
                continue;
            };
            let bytes = std::mem::take(&mut kept.bytes);
            if let Some(target) = self.targets.get_mut(&kept.target) {
                target.kept = target.kept.saturating_sub(bytes);
            }
        }
    }

    fn maker_of(&self, handle: &str) -> Option<String> {
        let address = handle_address(handle);
        let maker = self
            .targets
            .iter()
            .find(|(_, target)| target.entry.address == address);
        maker.map(|(id, _)| id.clone())
    }

    /// Whether results wait to be freed.
    pub fn has_releasable(&self) -> bool {
        !self.releasable.is_empty()
    }

    pub(super) fn expire_kept(&mut self, now: Time) {
        while self.made.front().is_some_and(|at| now.since(*at) > RATE_SPAN) {
            self.made.pop_front();
        }
        let targets = &mut self.targets;
        self.kept.retain(|_, kept| {
            let expired = now > kept.until;
            if expired && let Some(target) = targets.get_mut(&kept.target) {
                target.kept = target.kept.saturating_sub(kept.bytes);
            }
            !expired
        });
    }
}

/// The address of the target that made a result: a handle names it before its first slash.
pub fn handle_address(handle: &str) -> &str {
    handle.split('/').next().unwrap_or_default()
}
