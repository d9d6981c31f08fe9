//! Distribution of the services whose targets a node does not reach.
//!
//! Only the node itself knows that, and only the other nodes can help it. It notifies some of them at once, which pass it
//! on. While any report is remembered, each node also sends reports to one other node in each probe interval, so that
//! nodes that start, resume or were cut off receive what they missed. See docs/DESIGN.md, "Nodes without a link to
//! targets".

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{ServiceSet, Span, Time, rendezvous};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Number of nodes that are notified at once by the node that the report is about.
const NOTIFIED_FIRST: usize = 16;
/// Number of nodes that are notified at once by each node that receives the report from another.
const NOTIFIED_NEXT: usize = 4;
/// Maximum number of reports in a message, some 40 bytes each.
const MAX_UPDATES: usize = 32;
/// How long a report that a node reaches all services again is remembered, so that it replaces older ones everywhere.
const REPORT_TTL: Span = Span::from_secs(60);

/// A report of which services a node does not reach.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachUpdate {
    /// The key of the node, as in [`crate::MemberView::key`].
    pub node: u64,
    /// Orders the reports about a node. Later incarnations of the node start with a higher version.
    pub version: u64,
    /// The services of which the node reaches no target.
    pub unreached: ServiceSet,
}

/// The latest report about each node that has sent one.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    reports: HashMap<u64, (ReachUpdate, Time)>,
    /// The nodes in the order in which the reports about them are sent.
    queue: RoundRobin<u64>,
}

impl Membership {
    /// The services of which the node at `address` reaches no target, as it reported last.
    pub fn unreached_services(&self, address: &str) -> ServiceSet {
        let report = self.reach.reports.get(&node_key(address));
        report.map_or(ServiceSet::default(), |(report, _)| report.unreached)
    }

    /// Reports which services this node does not reach.
    pub(super) fn set_unreached(&mut self, now: Time, unreached: ServiceSet) {
        let node = node_key(&self.me.facts.address);
        let known = self.reach.reports.get(&node).map(|(report, _)| *report);
        if known.unwrap_or_default().unreached == unreached {
            return;
        }
        let version = known.map_or(0, |report| report.version + 1);
        let version = version.max(self.me.incarnation.0);
        self.record_reach(
            now,
            ReachUpdate {
                node,
                version,
                unreached,
            },
            NOTIFIED_FIRST,
        );
    }

    /// Applies reports from another node.
    pub(super) fn apply_reach(&mut self, now: Time, updates: &[ReachUpdate]) {
        let me = node_key(&self.me.facts.address);
        for update in updates {
            let known = self.reach.reports.get(&update.node).map(|(report, _)| *report);
            let is_newer = known.is_none_or(|known| update.version > known.version);
            if update.node == me {
                self.refute_reach(now, known, update);
            } else if is_newer {
                self.record_reach(now, *update, NOTIFIED_NEXT);
            }
        }
    }

    /// Replaces a report that an earlier incarnation of this node sent.
    fn refute_reach(&mut self, now: Time, known: Option<ReachUpdate>, update: &ReachUpdate) {
        let current = known.unwrap_or_default();
        if update.unreached == current.unreached || update.version < current.version {
            return;
        }
        let refutation = ReachUpdate {
            version: (update.version + 1).max(self.me.incarnation.0),
            unreached: current.unreached,
            ..*update
        };
        self.record_reach(now, refutation, NOTIFIED_FIRST);
    }

    /// Sends the next reports to one other node.
    pub(super) fn gossip_reach(&mut self, now: Time) {
        if self.reach.reports.is_empty() {
            return;
        }
        self.reach
            .reports
            .retain(|_, (report, at)| !report.unreached.is_empty() || now.since(*at) < REPORT_TTL);
        for to in self.random_reachable(1) {
            self.share_reach(&to);
        }
    }

    /// Sends the next reports to a node.
    pub(super) fn share_reach(&mut self, to: &str) {
        let Reach { reports, queue } = &mut self.reach;
        let updates = queue.take(MAX_UPDATES, |node| reports.get(&node).map(|(report, _)| *report));
        if !updates.is_empty() {
            self.notify(to.to_owned(), MessageKind::Reach { updates }, Vec::new());
        }
    }

    /// Records a report and sends it to `count` random nodes at once.
    fn record_reach(&mut self, now: Time, update: ReachUpdate, count: usize) {
        self.reach.reports.insert(update.node, (update, now));
        self.reach.queue.put_first(update.node);
        self.actions.push(MemberAction::ReachChanged);
        for to in self.random_reachable(count) {
            let updates = vec![update];
            self.notify(to, MessageKind::Reach { updates }, Vec::new());
        }
    }
}

fn node_key(address: &str) -> u64 {
    rendezvous::text_key(address) as u64
}
