//! Decides which nodes are asked for newer source data, and when a further one is asked because those asked
//! before have not answered (docs/DESIGN.md, "Configuration and targets").

use super::{ListHolder, choose_list_holder};
use crate::{Span, Time};
use rand::Rng;
use std::collections::HashMap;
use std::hash::Hash;

/// How long a request for changes stays the only one. An answer takes some milliseconds on a sound link, and
/// some tens of milliseconds from a node with an eighth of a core.
const HEDGE_DELAY: Span = Span::from_millis(150);
/// The same for a request for a whole list, which takes 90 ms on a link of 20 Mbit/s: twice the transfers
/// would fill the links of the nodes that have the list.
const LIST_HEDGE_DELAY: Span = Span::from_millis(500);
/// Maximum number of requests in progress: as many as start before the first one times out.
const MAX_PENDING: usize = 7;
/// Minimum interval between an answer and the next request. Configurations can change ten times per second, and each
/// request costs a connection to a node that receives requests from many others as well.
const REQUEST_INTERVAL: Span = Span::from_millis(100);
/// Minimum interval between requests after one that failed or met a busy node.
const RETRY_INTERVAL: Span = Span::from_millis(20);
/// Minimum interval between requests while only nodes are left that recently failed to answer.
const FAILED_RETRY_INTERVAL: Span = Span::from_millis(300);
/// How long other nodes are preferred over a node that failed to answer.
const FAILURE_BACKOFF: Span = Span::from_secs(2);
/// How long other nodes are preferred over a node that was busy transferring lists: a list takes about 0.1 s
/// on a slow link.
const BUSY_BACKOFF: Span = Span::from_millis(100);

/// How a request to a node ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The node answered.
    Answered,
    /// The node transfers as many lists as its link carries.
    Busy,
    /// The node could not be reached, or did not answer in time.
    Failed,
}

/// The requests of a node for newer source data, and which of the nodes that have it failed to answer.
///
/// A node that has newer data may be suspended, slow or unreachable for this one alone, and is not known to be until a
/// request has failed. Waiting for that one after the other makes the time until a change is in force grow with the
/// number of such nodes, so further nodes are asked meanwhile and the first answer counts.
#[derive(Clone, Debug)]
pub struct HolderRequests<A> {
    /// The nodes that were asked and have not answered, with the time of each request.
    pending: Vec<(A, Time)>,
    /// Nodes that failed to answer or were busy, and until when others are preferred.
    avoided: HashMap<A, Time>,
    /// When the next request may start.
    next_at: Time,
    /// When the last request started.
    last_at: Time,
}

impl<A> Default for HolderRequests<A> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            avoided: HashMap::new(),
            next_at: Time(0),
            last_at: Time(0),
        }
    }
}

impl<A: Copy + Eq + Hash> HolderRequests<A> {
    /// Starts a request if one is due: returns the node to ask. `holders` are the nodes that have newer data;
    /// `whole_list` is whether this node needs the list of targets as a whole.
    pub fn start(
        &mut self,
        now: Time,
        whole_list: bool,
        holders: impl Iterator<Item = ListHolder<A>>,
        random: &mut impl Rng,
    ) -> Option<A> {
        if now < self.next_at || self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.avoided.retain(|_, until| now < *until);
        // A zone may be disturbed as a whole, so every second request goes to another one first.
        let prefers_other_zones = self.pending.len() % 2 == 1;
        let candidates = holders
            .filter(|holder| self.pending.iter().all(|(asked, _)| *asked != holder.address))
            .map(|holder| ListHolder {
                avoided: self.avoided.contains_key(&holder.address),
                other_zone: holder.other_zone != prefers_other_zones,
                ..holder
            });
        let address = choose_list_holder(candidates, random)?;
        let retry_at = self.last_at + FAILED_RETRY_INTERVAL;
        if self.avoided.contains_key(&address) && now < retry_at {
            self.next_at = retry_at;
            return None;
        }
        self.pending.push((address, now));
        self.last_at = now;
        self.next_at = now + if whole_list { LIST_HEDGE_DELAY } else { HEDGE_DELAY };
        Some(address)
    }

    /// Records the end of a request.
    pub fn end(&mut self, now: Time, address: A, end: RequestEnd) {
        self.pending.retain(|(asked, _)| *asked != address);
        match end {
            RequestEnd::Answered => {
                self.avoided.remove(&address);
                self.next_at = now + REQUEST_INTERVAL;
            }
            RequestEnd::Busy => {
                self.avoided.insert(address, now + BUSY_BACKOFF);
                self.next_at = now + RETRY_INTERVAL;
            }
            RequestEnd::Failed => {
                self.avoided.insert(address, now + FAILURE_BACKOFF);
                self.next_at = self.next_at.min(now + RETRY_INTERVAL);
            }
        }
    }

    /// Gives up all requests in progress, since this node has the newest data that it knows of. Returns the nodes that
    /// had not answered for so long that a further one was asked, with the time of each request.
    pub fn cancel(&mut self, now: Time) -> Vec<(A, Time)> {
        let mut slow = std::mem::take(&mut self.pending);
        slow.retain(|(_, started)| now.since(*started) >= HEDGE_DELAY);
        for (address, _) in &slow {
            self.avoided.insert(*address, now + FAILURE_BACKOFF);
        }
        slow
    }

    /// When the next request may start.
    pub fn next_start(&self) -> Time {
        self.next_at
    }
}
