//! Differences between configurations and between lists: whoever takes them has what the teller has.

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

/// A configuration whose parts are named by numbers; a number that comes again stands for a change.
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
    let mut document = store.catalog.as_ref().expect("a configuration").document.clone();
    document.routes.sort_by(|one, other| one.name.cmp(&other.name));
    document
        .organisations
        .sort_by(|one, other| one.name.cmp(&other.name));
    document
}

type Version = (Vec<(u8, u8)>, Vec<(u8, u8)>);

quickcheck! {
    fn whoever_takes_the_changes_has_the_same_configuration(versions: Vec<Version>, behind: usize) -> bool {
        let mut teller = CatalogStore::default();
        let mut taker = CatalogStore::default();
        let versions = &versions[..versions.len().min(40)];
        let stops = behind % (versions.len() + 1);
        for (place, (routes, organisations)) in versions.iter().enumerate() {
            let organisations = &organisations[..organisations.len().min(12)];
            let document = document(place as u64 + 1, routes, organisations);
            if place < stops {
                taker.offer(document.clone());
            }
            teller.offer(document);
        }
        if stops == 0 {
            return taker.catalog.is_none();
        }
        let Some(changes) = teller.changes_since(taker.version()) else {
            return false;
        };
        taker.apply(changes);
        sorted(&taker) == sorted(&teller)
    }
}

#[test]
fn a_change_of_one_key_is_told_as_one_organisation_and_an_unknown_version_not_at_all() {
    let many: Vec<(u8, u8)> = (0..200).map(|name| (name, name)).collect();
    let mut changed = many.clone();
    changed.push((7, 201));
    let mut store = CatalogStore::default();
    store.offer(document(3, &[(1, 1)], &many));
    assert_eq!(
        store.offer(document(9, &[(1, 1)], &changed)),
        OfferResult::Accepted
    );
    let changes = store.changes_since(Revision(3)).expect("known");
    let size = serde_json::to_vec(&changes).expect("encodes").len();
    assert!(size < 400, "{size} bytes for one key");
    assert_eq!(
        store.changes_since(Revision(9)).map(|changes| changes.len()),
        Some(0)
    );
    assert!(
        store.changes_since(Revision(5)).is_none(),
        "nobody knows what 5 was"
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

/// One step of a list: whole, or by changes (an entry with a mark, or none when it is gone).
type Step = (bool, Vec<(u8, Option<bool>)>);

fn take(store: &mut TargetStore, at: u64, step: &Step) {
    let now = Time(0);
    let id = |id: u8| id % 8;
    let parts = &step.1[..step.1.len().min(12)];
    if step.0 {
        let entries: Vec<(u8, bool)> = parts
            .iter()
            .filter_map(|(one, mark)| Some((id(*one), (*mark)?)))
            .collect();
        store.replace(now, Revision(at), table(&entries));
    } else {
        let change = |(one, mark): &(u8, Option<bool>)| match mark {
            Some(leaving) => TargetChange::Put(entry(id(*one), *leaving)),
            None => TargetChange::Gone(format!("t{}", id(*one))),
        };
        store.apply(now, Revision(at), parts.iter().map(change).collect());
    }
}

quickcheck! {
    fn whoever_takes_the_changes_has_the_same_list(steps: Vec<Step>, behind: usize) -> bool {
        let mut teller = TargetStore::default();
        let mut taker = TargetStore::default();
        teller.replace(Time(0), Revision(10), table(&[(1, false), (2, false)]));
        let mut copy = teller.clone();
        let steps = &steps[..steps.len().min(40)];
        let stops = behind % (steps.len() + 1);
        for (place, step) in steps.iter().enumerate() {
            take(&mut teller, place as u64 + 11, step);
            if place < stops {
                take(&mut copy, place as u64 + 11, step);
            }
        }
        // The taker got its list by another way: whole, so that it has no changes of its own.
        taker.replace(Time(0), copy.at, (*copy.table).clone());
        let Some(changes) = teller.changes_since(taker.at) else {
            return false;
        };
        taker.apply(Time(0), teller.at, changes);
        taker.table == teller.table
    }
}

/// The changes of a node that is behind, or of a watch whose answer came late, would undo what is known already.
#[test]
fn changes_up_to_an_older_revision_undo_nothing() {
    let mut store = TargetStore::default();
    store.replace(Time(0), Revision(10), table(&[(1, false)]));
    store.apply(Time(0), Revision(20), vec![TargetChange::Put(entry(1, true))]);
    let late = vec![TargetChange::Put(entry(1, false))];
    assert!(!store.apply(Time(0), Revision(15), late));
    assert!(store.table["t1"].leaving);
}

/// An entry that expired while the source was away is kept for a while by those who know of the outage. A node that has
/// the list from one of them would otherwise keep it for ever, since nothing newer tells that it is gone.
#[test]
fn whoever_has_the_list_from_another_node_drops_what_lapsed_as_soon_as_that_one() {
    let at = Time::from_millis;
    let mut teller = TargetStore::default();
    teller.replace(at(0), Revision(1), table(&[(1, false), (2, false)]));
    let mut taker = TargetStore::default();
    taker.replace(at(0), Revision(1), table(&[(1, false), (2, false)]));
    teller.source_recovered(at(1000));
    teller.replace(at(1000), Revision(5), table(&[(1, false)]));
    assert_eq!(teller.table.len(), 2, "it may come back");
    taker.note_expiring(at(1500), teller.at, teller.expiring(at(1500)));
    let changes = teller.changes_since(taker.at).expect("known");
    taker.apply(at(1500), teller.at, changes);
    assert_eq!(taker.table.len(), 2);
    assert!(!taker.expire(at(2900)));
    assert!(taker.expire(at(3000)));
    assert_eq!(taker.table.len(), 1);
    assert_eq!(teller.expiring(at(2000)), [("t2".to_owned(), Span::from_secs(1))]);
}

#[test]
fn only_so_many_changes_are_kept() {
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
    let changes = store.changes_since(Revision(2500)).expect("recent");
    assert_eq!(changes.len(), 499);
}
