//! The queue of a service: strict priority between classes, weighted fair queueing between the organisations
//! of a class, and least slack first within an organisation.

use crate::{RequestId, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Key of an organisation in the queues: a hash of its name, which is stable across configuration changes.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrgKey(pub u64);

/// A queued step of a request. The derived order over the fields is the queue order within an organisation:
/// requests in progress go first, so that completed work is not wasted, then the earliest latest start time.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingStep {
    /// Whether no step of the request has run yet.
    pub not_started: bool,
    /// The latest time at which the step can start for the request to meet its deadline.
    pub start_by: Time,
    /// The request.
    pub request: RequestId,
}

/// A queued step with its class and organisation: its full position in a [`FairQueue`].
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The class's rank.
    pub rank: u8,
    /// The organisation.
    pub org: OrgKey,
    /// The step.
    pub step: WaitingStep,
}

#[derive(Debug, Default)]
struct OrgQueue {
    tag: u64,
    weight: u32,
    waiting: BTreeSet<WaitingStep>,
}

/// The queue of one class: start-time fair queueing over the organisations that have queued steps.
#[derive(Debug, Default)]
struct ClassQueue {
    /// Start tag of the organisation that was served last.
    virtual_time: u64,
    orgs: HashMap<OrgKey, OrgQueue>,
    order: BTreeSet<(u64, OrgKey)>,
    len: u32,
}

/// Virtual time that one step costs an organisation of weight 1.
const TAG_STEP: u64 = 1 << 20;

impl ClassQueue {
    fn push(&mut self, org: OrgKey, weight: u32, waiting: WaitingStep) {
        let idle = OrgQueue {
            tag: self.virtual_time,
            weight: weight.max(1),
            waiting: BTreeSet::new(),
        };
        let queue = self.orgs.entry(org).or_insert(idle);
        self.order.insert((queue.tag, org));
        if queue.waiting.insert(waiting) {
            self.len += 1;
        }
    }

    fn remove(&mut self, org: OrgKey, waiting: WaitingStep) -> bool {
        let Some(queue) = self.orgs.get_mut(&org) else {
            return false;
        };
        if !queue.waiting.remove(&waiting) {
            return false;
        }
        self.len -= 1;
        self.remove_idle(org);
        true
    }

    /// Removes and returns the next step, passing over those for which `skip` returns true.
    fn pop(&mut self, skip: &dyn Fn(RequestId) -> bool) -> Option<(OrgKey, WaitingStep)> {
        let (tag, org, waiting) = self.order.iter().find_map(|&(tag, org)| {
            let waiting = self
                .orgs
                .get(&org)?
                .waiting
                .iter()
                .find(|waiting| !skip(waiting.request))?;
            Some((tag, org, *waiting))
        })?;
        self.virtual_time = self.virtual_time.max(tag);
        let queue = self.orgs.get_mut(&org)?;
        queue.waiting.remove(&waiting);
        self.order.remove(&(queue.tag, org));
        queue.tag += TAG_STEP / u64::from(queue.weight);
        self.order.insert((queue.tag, org));
        self.len -= 1;
        self.remove_idle(org);
        Some((org, waiting))
    }

    /// Removes an organisation without queued steps. When it queues again it starts at the current virtual
    /// time, not at zero, so that idle time earns no credit.
    fn remove_idle(&mut self, org: OrgKey) {
        if let Some(queue) = self.orgs.get(&org)
            && queue.waiting.is_empty()
        {
            self.order.remove(&(queue.tag, org));
            self.orgs.remove(&org);
        }
    }
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<u8, ClassQueue>,
}

impl FairQueue {
    /// Adds a step for an organisation of `weight`.
    pub fn push(&mut self, place: QueueEntry, weight: u32) {
        self.classes
            .entry(place.rank)
            .or_default()
            .push(place.org, weight, place.step);
    }

    /// Removes a step; returns false if it was not queued.
    pub fn remove(&mut self, place: QueueEntry) -> bool {
        let class = self.classes.get_mut(&place.rank);
        class.is_some_and(|class| class.remove(place.org, place.step))
    }

    /// Removes and returns the next step, passing over those for which `skip` returns true.
    pub fn pop(&mut self, skip: &dyn Fn(RequestId) -> bool) -> Option<QueueEntry> {
        self.classes.iter_mut().find_map(|(&rank, class)| {
            let (org, waiting) = class.pop(skip)?;
            Some(QueueEntry {
                rank,
                org,
                step: waiting,
            })
        })
    }

    /// Number of queued steps of the class `rank`.
    pub fn len_of(&self, rank: u8) -> u32 {
        self.classes.get(&rank).map_or(0, |class| class.len)
    }

    /// Number of queued steps.
    pub fn len(&self) -> u32 {
        self.classes.values().map(|class| class.len).sum()
    }

    /// Whether no step is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
