//! Deltas between configurations and between target lists: a receiver that applies them has the same state as
//! the sender.

use barleyspool_core::{
    CatalogDocument, CatalogStore, ForwardOrganisation, OfferResult, Revision, Route, Span, TargetChange,
    TargetEntry, TargetStore, TargetTable, Time, TrafficShare,
};
use quickcheck::quickcheck;

fn route(name: u8, rank: u8) -> Route {
    Route {
        name: format!("r{name}"),
        host: "a.example".to_owned(),
        path: format!("/{name}/"),
        rank,
        shares: vec![TrafficShare {
            service: "s".to_owned(),
            weight: 1,
        }],
        ..Route::default()
    }
}

/// A configuration whose routes and organisations are named by numbers; a number that is listed again
/// replaces the earlier entry.
fn document(version: u64, routes: &[(u8, u8)], organisations: &[(u8, u8)]) -> CatalogDocument {
    let mut document = CatalogDocument {
        version: Revision(version),
        ..CatalogDocument::default()
    };
    document.services.push(barleyspool_core::ForwardService {
        name: "s".to_owned(),
        ..Default::default()
    });
    for (name, rank) in routes.iter().take(12) {
        document.routes.retain(|route| route.name != format!("r{name}"));
        document.routes.push(route(*name, *rank));
    }
    for (name, key) in organisations.iter().take(200) {
        let name = format!("o{name}");
        document
            .organisations
            .retain(|organisation| organisation.name != name);
        document.organisations.push(ForwardOrganisation {
            name,
            keys: vec![format!("k{key}")],
            rank: None,
        });
    }
    document
}

fn sorted(store: &CatalogStore) -> CatalogDocument {
    let mut document = store
        .catalog
        .as_ref()
        .expect("the store has a configuration")
        .document
        .clone();
    document.routes.sort_by(|left, right| left.name.cmp(&right.name));
    document
        .organisations
        .sort_by(|left, right| left.name.cmp(&right.name));
    document
}

/// Routes with their ranks and organisations with their keys, as in [`document`].
type Version = (Vec<(u8, u8)>, Vec<(u8, u8)>);

quickcheck! {
    fn applying_the_changes_gives_the_same_configuration(versions: Vec<Version>, cutoff: usize) -> bool {
        let mut sender = CatalogStore::default();
        let mut receiver = CatalogStore::default();
        let versions = &versions[..versions.len().min(40)];
        let received = cutoff % (versions.len() + 1);
        for (index, (routes, organisations)) in versions.iter().enumerate() {
            let organisations = &organisations[..organisations.len().min(12)];
            let document = document(index as u64 + 1, routes, organisations);
            if index < received {
                receiver.offer(document.clone());
            }
            sender.offer(document);
        }
        if received == 0 {
            return receiver.catalog.is_none();
        }
        let Some(changes) = sender.changes_since(receiver.version()) else {
            return false;
        };
        receiver.apply(receiver.version(), changes);
        sorted(&receiver) == sorted(&sender)
    }
}

/// Guards against a revoked key, or a removed route, that stays in force: another version arrives while a difference that says
/// nothing of it is under way.
#[test]
fn a_difference_from_another_version_than_the_current_one_is_not_applied() {
    let mut sender = CatalogStore::default();
    sender.offer(document(10, &[(1, 1)], &[(1, 1)]));
    let mut receiver = CatalogStore::default();
    receiver.offer(document(10, &[(1, 1)], &[(1, 1)]));
    let base = receiver.version();
    sender.offer(document(13, &[(1, 2)], &[(1, 1)]));
    let changes = sender.changes_since(base).expect("version 10 is known");
    receiver.offer(document(12, &[(1, 1), (2, 2)], &[(1, 1), (2, 2)]));
    assert_eq!(receiver.apply(base, changes), OfferResult::Outdated);
    assert_eq!(receiver.version(), Revision(12));
    assert_eq!(
        sender.changes_since(Revision(12)),
        None,
        "the whole document follows"
    );
}

#[test]
fn the_change_of_one_key_sends_one_organisation_and_an_unknown_version_has_no_changes() {
    let organisations: Vec<(u8, u8)> = (0..200).map(|name| (name, name)).collect();
    let mut changed = organisations.clone();
    changed.push((7, 201));
    let mut store = CatalogStore::default();
    store.offer(document(3, &[(1, 1)], &organisations));
    assert_eq!(
        store.offer(document(9, &[(1, 1)], &changed)),
        OfferResult::Accepted
    );
    let changes = store
        .changes_since(Revision(3))
        .expect("revision 3 is in the history");
    let size = serde_json::to_vec(&changes).expect("changes encode").len();
    assert!(size < 400, "{size} bytes for the change of one key");
    assert_eq!(
        store.changes_since(Revision(9)).map(|changes| changes.len()),
        Some(0)
    );
    assert!(
        store.changes_since(Revision(5)).is_none(),
        "revision 5 never existed"
    );
}

fn entry(id: u8, leaving: bool) -> TargetEntry {
    TargetEntry {
        id: format!("t{id}"),
        leaving,
        ..TargetEntry::default()
    }
}

fn table(entries: &[(u8, bool)]) -> TargetTable {
    let entries = entries.iter().map(|(id, leaving)| entry(*id, *leaving));
    entries.map(|entry| (entry.id.clone(), entry)).collect()
}

/// One update of a target list: whether it is a whole list, and its entries. Each entry is an identifier and
/// whether the target is leaving, or `None` for a target that was removed.
type ListUpdate = (bool, Vec<(u8, Option<bool>)>);

fn apply_update(store: &mut TargetStore, at: u64, update: &ListUpdate) {
    let now = Time(0);
    let id = |id: u8| id % 8;
    let changes = &update.1[..update.1.len().min(12)];
    if update.0 {
        let entries: Vec<(u8, bool)> = changes
            .iter()
            .filter_map(|(number, leaving)| Some((id(*number), (*leaving)?)))
            .collect();
        store.replace(now, Revision(at), table(&entries));
    } else {
        let change = |(number, leaving): &(u8, Option<bool>)| match leaving {
            Some(leaving) => TargetChange::Put(entry(id(*number), *leaving)),
            None => TargetChange::Gone(format!("t{}", id(*number))),
        };
        store.apply(now, Revision(at), changes.iter().map(change).collect());
    }
}

quickcheck! {
    fn applying_the_changes_gives_the_same_list(updates: Vec<ListUpdate>, cutoff: usize) -> bool {
        let mut sender = TargetStore::default();
        let mut receiver = TargetStore::default();
        sender.replace(Time(0), Revision(10), table(&[(1, false), (2, false)]));
        let mut reference = sender.clone();
        let updates = &updates[..updates.len().min(40)];
        let received = cutoff % (updates.len() + 1);
        for (index, update) in updates.iter().enumerate() {
            apply_update(&mut sender, index as u64 + 11, update);
            if index < received {
                apply_update(&mut reference, index as u64 + 11, update);
            }
        }
        // The receiver gets its list as a whole, from another node, so that it has no history of changes.
        receiver.replace(Time(0), reference.at, (*reference.table).clone());
        let Some(changes) = sender.changes_since(receiver.at) else {
            return false;
        };
        receiver.apply(Time(0), sender.at, changes);
        receiver.table == sender.table
    }
}

/// Guards against late changes, from a node that is behind or from a delayed answer to a watch, that
/// overwrite newer entries.
#[test]
fn changes_up_to_an_older_revision_are_ignored() {
    let mut store = TargetStore::default();
    store.replace(Time(0), Revision(10), table(&[(1, false)]));
    store.apply(Time(0), Revision(20), vec![TargetChange::Put(entry(1, true))]);
    let late = vec![TargetChange::Put(entry(1, false))];
    assert!(!store.apply(Time(0), Revision(15), late));
    assert!(store.table["t1"].leaving);
}

/// Guards against a target that stays listed for good: it is listed and removed again while a difference that says nothing of it
/// is under way.
#[test]
fn a_difference_does_not_start_from_a_list_that_has_changed_since() {
    let mut sender = TargetStore::default();
    sender.replace(Time(0), Revision(10), table(&[(1, false)]));
    let mut receiver = sender.clone();
    let base = receiver.at;
    sender.replace(Time(0), Revision(30), table(&[(1, true)]));
    let changes = sender.changes_since(base).expect("revision 10 is known");
    assert_eq!(changes.len(), 1, "the target listed meanwhile is not mentioned");
    assert!(receiver.is_unchanged_since(base));
    receiver.apply(Time(0), Revision(15), Vec::new());
    assert!(receiver.is_unchanged_since(base), "the source alone has moved on");
    receiver.apply(Time(0), Revision(20), vec![TargetChange::Put(entry(2, false))]);
    assert!(!receiver.is_unchanged_since(base));
}

/// A node that noticed an outage of the source keeps entries that expired during it for a grace period. A
/// node that got its list from such a node has to drop them at the same time; otherwise it keeps them for
/// ever, since no later change removes them.
#[test]
fn a_node_that_got_its_list_from_another_drops_expired_entries_at_the_same_time() {
    let at = Time::from_millis;
    let mut sender = TargetStore::default();
    sender.replace(at(0), Revision(1), table(&[(1, false), (2, false)]));
    let mut receiver = TargetStore::default();
    receiver.replace(at(0), Revision(1), table(&[(1, false), (2, false)]));
    sender.source_recovered(at(1000));
    sender.replace(at(1000), Revision(5), table(&[(1, false)]));
    assert_eq!(sender.table.len(), 2, "the entry is kept for its grace period");
    receiver.note_expiring(at(1500), sender.at, sender.expiring(at(1500)));
    let changes = sender
        .changes_since(receiver.at)
        .expect("the revision is in the history");
    receiver.apply(at(1500), sender.at, changes);
    assert_eq!(receiver.table.len(), 2);
    assert!(!receiver.expire(at(2900)));
    assert!(receiver.expire(at(3000)));
    assert_eq!(receiver.table.len(), 1);
    assert_eq!(sender.expiring(at(2000)), [("t2".to_owned(), Span::from_secs(1))]);
}

#[test]
fn the_history_of_changes_is_limited() {
    let mut store = TargetStore::default();
    store.replace(Time(0), Revision(1), table(&[]));
    for at in 2..3000_u64 {
        store.apply(
            Time(0),
            Revision(at),
            vec![TargetChange::Put(entry((at % 9) as u8, at % 2 == 0))],
        );
    }
    assert!(store.changes_since(Revision(1)).is_none());
    let changes = store
        .changes_since(Revision(2500))
        .expect("revision 2500 is in the history");
    assert_eq!(changes.len(), 499);
}
