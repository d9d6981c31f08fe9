//! The zones that the operator has evacuated.

use crate::{Revision, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How long a zone stays evacuated that a source restored from a backup does not list. By then whatever
/// the operator wrote since the backup has been written again.
const UNCONFIRMED_TTL: Span = Span::from_secs(10);

/// The zones that the operator has evacuated, at one revision of the platform. Nothing new is sent to
/// the targets of such a zone until it is reopened.
///
/// The set is small, so nodes always exchange it as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The names of the zones.
    pub zones: BTreeSet<String>,
    /// The platform's revision up to which this set is known.
    pub at: Revision,
    /// The revision of the last change, as far as this node knows. This is the revision that is sent to
    /// other nodes.
    pub changed_at: Revision,
    /// The zones that a source restored from a backup does not list, or does not list yet.
    unconfirmed: BTreeSet<String>,
    /// Until when these zones stay evacuated; zero if there are none.
    #[serde(skip)]
    unconfirmed_until: Time,
}

impl Evacuations {
    /// Applies a complete read at revision `at`; returns whether the zones change.
    ///
    /// A read older than the known state is ignored. After the source was restored from a backup, zones
    /// that are evacuated here but not there stay evacuated for a while.
    pub fn replace(&mut self, now: Time, at: Revision, mut zones: BTreeSet<String>) -> bool {
        if at < self.at {
            return false;
        }
        if self.at != Revision(0) && at.era() > self.at.era() {
            self.unconfirmed.clone_from(&self.zones);
            self.unconfirmed_until = now + UNCONFIRMED_TTL;
        }
        self.unconfirmed.retain(|zone| !zones.contains(zone));
        if now < self.unconfirmed_until {
            zones.extend(self.unconfirmed.iter().cloned());
        }
        let changed = self.zones != zones;
        self.zones = zones;
        self.finish_update(at, changed)
    }

    /// Merges the state of another node; returns whether the zones change.
    pub fn merge(&mut self, now: Time, other: Self) -> bool {
        if other.at < self.at {
            return false;
        }
        let changed = self.replace(now, other.at, other.zones);
        if !other.unconfirmed.is_empty() {
            if self.unconfirmed.is_empty() {
                self.unconfirmed_until = now + UNCONFIRMED_TTL;
            }
            self.unconfirmed.extend(other.unconfirmed);
        }
        changed
    }

    /// Reopens unconfirmed zones whose time is over; false if there are none.
    pub fn expire(&mut self, now: Time) -> bool {
        if self.unconfirmed.is_empty() || now < self.unconfirmed_until {
            return false;
        }
        let expired = std::mem::take(&mut self.unconfirmed);
        self.zones.retain(|zone| !expired.contains(zone));
        true
    }

    /// Applies the changes up to revision `at` in order, each a zone and whether it is evacuated;
    /// returns whether the zones change.
    pub fn apply(&mut self, at: Revision, changes: Vec<(String, bool)>) -> bool {
        if at < self.at {
            return false;
        }
        let before = self.zones.clone();
        for (zone, evacuated) in changes {
            self.unconfirmed.remove(&zone);
            if evacuated {
                self.zones.insert(zone);
            } else {
                self.zones.remove(&zone);
            }
        }
        let changed = self.zones != before;
        self.finish_update(at, changed)
    }

    fn finish_update(&mut self, at: Revision, changed: bool) -> bool {
        self.at = at;
        if changed {
            self.changed_at = at;
        }
        changed
    }
}
