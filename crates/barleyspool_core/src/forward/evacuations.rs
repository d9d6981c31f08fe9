//! The zones that the operator has evacuated.

use crate::{Revision, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How long a zone stays evacuated that is not in a copy from which the source came back: by then what the operator wrote is written again.
const UNCONFIRMED_TTL: Span = Span::from_secs(10);

/// The zones that the operator has evacuated, at one revision of the platform. Nothing new is sent to the targets of such a
/// zone until it is opened again.
///
/// It is small, so it is always told whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The zones.
    pub zones: BTreeSet<String>,
    /// The platform's revision up to which this is known.
    pub at: Revision,
    /// The revision at which it last became another one, as far as this node knows; others are told this one.
    pub changed_at: Revision,
    /// Those of the zones that the source, which came back from a copy, does not list any more or not again yet.
    unconfirmed: BTreeSet<String>,
    /// Until when these stay evacuated; zero when there are none.
    #[serde(skip)]
    until: Time,
}

impl Evacuations {
    /// Takes what was read whole at `at`; false when the zones are the same afterwards.
    ///
    /// What was read earlier than what is known never goes over it. When the source has come back from a copy, zones that are evacuated here and not there
    /// stay so for a while.
    pub fn replace(&mut self, now: Time, at: Revision, mut zones: BTreeSet<String>) -> bool {
        if at < self.at {
            return false;
        }
        if self.at != Revision(0) && at.era() > self.at.era() {
            self.unconfirmed.clone_from(&self.zones);
            self.until = now + UNCONFIRMED_TTL;
        }
        self.unconfirmed.retain(|zone| !zones.contains(zone));
        if now < self.until {
            zones.extend(self.unconfirmed.iter().cloned());
        }
        let changed = self.zones != zones;
        self.zones = zones;
        self.finish_update(at, changed)
    }

    /// Takes what another node knows; false when the zones are the same afterwards.
    pub fn merge(&mut self, now: Time, other: Self) -> bool {
        if other.at < self.at {
            return false;
        }
        let changed = self.replace(now, other.at, other.zones);
        if !other.unconfirmed.is_empty() {
            if self.unconfirmed.is_empty() {
                self.until = now + UNCONFIRMED_TTL;
            }
            self.unconfirmed.extend(other.unconfirmed);
        }
        changed
    }

    /// Opens zones whose time is over; false when there are none.
    pub fn expire(&mut self, now: Time) -> bool {
        if self.unconfirmed.is_empty() || now < self.until {
            return false;
        }
        let over = std::mem::take(&mut self.unconfirmed);
        self.zones.retain(|zone| !over.contains(zone));
        true
    }

    /// Takes the changes up to `at`, in order: a zone, and whether it is evacuated; false when the zones are the same
    /// afterwards.
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
