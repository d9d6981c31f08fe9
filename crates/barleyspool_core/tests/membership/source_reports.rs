//! What nodes learn from the messages of others about newer source data.

use super::nine;
use barleyspool_core::{MemberEvent, Revision, SourceState, Span};

/// Guards against a node that hears of newer data of one kind only from the readers of its zone, and of nothing while these
/// are suspended.
#[test]
fn newer_data_of_each_kind_is_reported_by_messages_that_are_no_announcements() {
    let states = [
        SourceState {
            version: Revision(5),
            ..SourceState::default()
        },
        SourceState {
            list: Revision(5),
            ..SourceState::default()
        },
        SourceState {
            evacuations: Revision(5),
            ..SourceState::default()
        },
    ];
    for state in states {
        let mut net = nine(0.0, 1);
        net.step("n3", MemberEvent::Source(state));
        net.source_reports.clear();
        net.run(Span::from_secs(3));
        let informed: Vec<_> = net
            .source_reports
            .iter()
            .filter(|(_, source, reads)| *source == state && !reads)
            .collect();
        assert!(informed.len() >= 8, "{state:?}: {informed:?}");
    }
}
