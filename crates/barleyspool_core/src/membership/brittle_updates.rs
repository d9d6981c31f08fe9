//! Distribution of the services whose targets report that they are brittle.
//!
//! Owners reserve room at brittle targets, and all nodes have to ask them for it, also those that have had no answer of
//! the service themselves. The first report goes to some nodes at once, which pass it on. While targets go on
//! reporting, one of the nodes that receive their answers renews it in time; the renewal of the first one puts off
//! those of the others. See docs/DESIGN.md, "Brittle targets".

use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{BrittleTable, Span, Time};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Number of nodes that are notified at once by the node that received the answer.
const NOTIFIED_FIRST: usize = 16;
/// Number of nodes that are notified at once by each node that receives the report from another.
const NOTIFIED_NEXT: usize = 4;
/// Maximum number of reports in a message, some 40 bytes each.
const MAX_UPDATES: usize = 16;
/// The age from which a report is renewed. With [`RENEWAL_JITTER`] it stays below the time for which a service counts as
/// brittle.
const RENEWAL_AGE: Span = Span::from_millis(1500);
/// Maximum random addition to [`RENEWAL_AGE`], so that few nodes renew a report at the same time.
const RENEWAL_JITTER: Span = Span::from_millis(1500);
/// A report that is newer than the known one by less than this is not passed on: the same report seems younger by the
/// latency of each node that passes it on.
const MIN_DIFFERENCE: Span = Span::from_millis(500);

/// A report that the targets of a service are brittle, as nodes pass it on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// The service.
    pub service: String,
    /// How many refusals in a second each of its targets bears.
    pub refusals: f64,
    /// The age of the report in milliseconds.
    pub age_ms: u32,
}

/// The reports that nodes have passed on, and when this node renews them.
#[derive(Clone, Debug, Default)]
pub(super) struct Brittle {
    table: BrittleTable,
    renew_at: HashMap<String, Time>,
}

impl Membership {
    /// The services whose targets are brittle, as far as nodes have told each other.
    pub fn brittle(&self) -> &BrittleTable {
        &self.brittle.table
    }

    /// Handles the report in an answer to this node.
    pub(super) fn handle_brittle(&mut self, now: Time, service: &str, refusals: f64) {
        let known = self.brittle.table.refusals(now, service);
        let renew_at = self.brittle.renew_at.get(service);
        let is_due = renew_at.is_none_or(|renew_at| now >= *renew_at);
        if is_due || known.is_none_or(|known| refusals < known) {
            self.record_brittle(now, now, (service, refusals), NOTIFIED_FIRST);
        }
    }

    /// Applies reports from another node.
    pub(super) fn apply_brittle(&mut self, now: Time, updates: &[BrittleUpdate]) {
        for update in updates {
            let at = now - Span::from_millis(u64::from(update.age_ms));
            let known = self.brittle.table.reported_at(&update.service);
            if known.is_none_or(|known| at.since(known) >= MIN_DIFFERENCE) {
                let report = (update.service.as_str(), update.refusals);
                self.record_brittle(now, at, report, NOTIFIED_NEXT);
            }
        }
    }

    /// Sends the reports to one other node.
    pub(super) fn gossip_brittle(&mut self, now: Time) {
        if self.brittle.table.is_empty() {
            return;
        }
        self.brittle.table.forget(now);
        let table = &self.brittle.table;
        self.brittle
            .renew_at
            .retain(|service, _| table.reported_at(service).is_some());
        for to in self.random_reachable(1) {
            self.share_brittle(now, &to);
        }
    }

    /// Sends the reports to a node.
    pub(super) fn share_brittle(&mut self, now: Time, to: &str) {
        let table = &self.brittle.table;
        let updates = table
            .services()
            .filter_map(|service| update_of(table, now, service));
        let updates = updates.choose_multiple(&mut self.random, MAX_UPDATES);
        if !updates.is_empty() {
            self.notify(to.to_owned(), MessageKind::Brittle { updates }, Vec::new());
        }
    }

    /// Records a report and sends it to `count` random nodes at once.
    fn record_brittle(&mut self, now: Time, at: Time, (service, refusals): (&str, f64), count: usize) {
        self.brittle.table.record(at, service, refusals);
        let Some(update) = update_of(&self.brittle.table, now, service) else {
            return;
        };
        let jitter = Span(self.random.random_range(0..RENEWAL_JITTER.0));
        self.brittle
            .renew_at
            .insert(service.to_owned(), at + RENEWAL_AGE + jitter);
        self.actions.push(MemberAction::BrittleChanged);
        for to in self.random_reachable(count) {
            let updates = vec![update.clone()];
            self.notify(to, MessageKind::Brittle { updates }, Vec::new());
        }
    }
}

/// The update about a service, if it counts as brittle.
fn update_of(table: &BrittleTable, now: Time, service: &str) -> Option<BrittleUpdate> {
    let (refusals, at) = (table.refusals(now, service)?, table.reported_at(service)?);
    Some(BrittleUpdate {
        service: service.to_owned(),
        refusals,
        age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
    })
}
