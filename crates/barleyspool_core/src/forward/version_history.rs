//! Software versions that targets of a service had lately.

use super::{TargetEntry, TargetTable};
use crate::{STREAM_RETENTION, Time, VersionId};

/// A version of which a target was listed until `gone_at`.
#[derive(Clone, Debug)]
struct GoneVersion {
    service: String,
    version: VersionId,
    gone_at: Time,
}

/// The versions of targets that have left the list, for as long as streams that they began may be taken up.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionHistory {
    /// When this node received its first list.
    listed_since: Option<Time>,
    gone: Vec<GoneVersion>,
}

impl VersionHistory {
    /// Records that this node has a list.
    pub(super) fn note_list(&mut self, now: Time) {
        self.listed_since.get_or_insert(now);
    }

    /// Records that an entry has left the list, or has been replaced by one of another version.
    pub(super) fn note_gone(&mut self, now: Time, entry: &TargetEntry) {
        let version = entry.version_id();
        self.gone
            .retain(|gone| gone.version != version && now.since(gone.gone_at) < STREAM_RETENTION);
        self.gone.push(GoneVersion {
            service: entry.service.clone(),
            version,
            gone_at: now,
        });
    }

    /// The only version that targets of a service have had for as long as any stream may be taken up; `None` if there were
    /// several, or if this node cannot know.
    pub(super) fn only_version(&self, now: Time, service: &str, table: &TargetTable) -> Option<VersionId> {
        if now.since(self.listed_since?) < STREAM_RETENTION {
            return None;
        }
        let gone = self
            .gone
            .iter()
            .filter(|gone| gone.service == service && now.since(gone.gone_at) < STREAM_RETENTION)
            .map(|gone| gone.version);
        let listed = table.values().filter(|entry| entry.service == service);
        let mut versions = listed.map(TargetEntry::version_id).chain(gone);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }
}
