//! Routes, services, keys and versions of forwarded calls.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    Catalog, CatalogDocument, CatalogError, CatalogStore, FeedCursor, FeedStep, ForwardOrganisation,
    ForwardService, OfferResult, PoolSpec, Revision, Route, StageSpec, TargetChange, TargetEntry,
    TargetStore, Time, TrafficShare,
};

fn route(name: &str, host: &str, path: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path: path.to_owned(),
        shares: vec![TrafficShare {
            service: "plain".to_owned(),
            weight: 1,
        }],
        ..Route::default()
    }
}

fn document(version: u64, routes: Vec<Route>) -> CatalogDocument {
    let plain = ForwardService {
        name: "plain".to_owned(),
        ..ForwardService::default()
    };
    let pool = ForwardService {
        name: "pool".to_owned(),
        pool: Some(PoolSpec::default()),
        ..ForwardService::default()
    };
    CatalogDocument {
        version: Revision(version),
        routes,
        services: vec![plain, pool],
        ..CatalogDocument::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let catalog = Catalog::build(document(1, routes)).expect("a right document");
    let name = |host: &str, path: &str| catalog.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/yy").as_deref(), Some("short"));
    assert_eq!(name("A.Example:8080", "/x/y/").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn a_wrong_document_is_refused_whole_with_every_fault() {
    let mut wrong = route("wrong", "a.example", "no-slash");
    wrong.shares[0].service = "nobody".to_owned();
    wrong.stages = vec![StageSpec {
        service: "plain".to_owned(),
        needs: vec![0],
        bytes: 1,
    }];
    let faults = Catalog::build(document(1, vec![wrong])).expect_err("four faults");
    assert_eq!(faults.len(), 4, "{faults:?}");
    assert!(
        faults
            .iter()
            .any(|fault| matches!(fault, CatalogError::StageOrder { .. }))
    );
    assert!(
        faults
            .iter()
            .any(|fault| matches!(fault, CatalogError::NotAPool { .. }))
    );
    assert!(
        faults[0].to_string().contains("wrong"),
        "the route is named: {}",
        faults[0]
    );
}

#[test]
fn versions_only_rise_and_a_wrong_one_leaves_the_last() {
    let mut store = CatalogStore::default();
    let good = |version| document(version, vec![route("r", "a.example", "/")]);
    assert_eq!(store.offer(good(5)), OfferResult::Accepted);
    assert_eq!(store.offer(good(5)), OfferResult::Outdated);
    assert_eq!(store.offer(good(4)), OfferResult::Outdated);
    let mut wrong = good(9);
    wrong.routes[0].shares.clear();
    assert!(matches!(store.offer(wrong), OfferResult::Invalid(_)));
    assert_eq!(store.version(), Revision(5));
    assert_eq!(store.offer(good(8)), OfferResult::Accepted);
}

#[test]
fn a_key_that_was_taken_away_belongs_to_nobody() {
    let mut with_key = document(1, vec![route("r", "a.example", "/")]);
    with_key.organisations = vec![ForwardOrganisation {
        name: "ministry".to_owned(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        rank: Some(1),
    }];
    let mut without = with_key.clone();
    without.version = Revision(2);
    without.organisations[0].keys.pop();
    let mut store = CatalogStore::default();
    store.offer(with_key);
    let organisation = |store: &CatalogStore, key: &str| {
        let catalog = store.catalog.as_ref().expect("a configuration");
        catalog
            .organisation(key)
            .map(|organisation| organisation.name.clone())
    };
    assert_eq!(organisation(&store, "k2").as_deref(), Some("ministry"));
    store.offer(without);
    assert_eq!(organisation(&store, "k2"), None);
    assert_eq!(organisation(&store, "k1").as_deref(), Some("ministry"));
}

#[test]
fn an_older_list_of_targets_does_not_replace_a_newer_one() {
    let entry = |id: &str, leaving| TargetEntry {
        id: id.to_owned(),
        leaving,
        ..TargetEntry::default()
    };
    let table = |entries: &[TargetEntry]| {
        entries
            .iter()
            .map(|entry| (entry.id.clone(), entry.clone()))
            .collect()
    };
    let mut store = TargetStore::default();
    assert!(store.replace(Time(0), Revision(7), table(&[entry("a", false)])));
    assert!(store.apply(Time(0), Revision(9), vec![TargetChange::Put(entry("a", true))]));
    assert!(
        !store.replace(Time(0), Revision(8), table(&[entry("a", false)])),
        "a peer was behind"
    );
    assert!(store.table["a"].leaving);
    assert!(
        !store.apply(Time(0), Revision(10), vec![TargetChange::Put(entry("a", true))]),
        "nothing new"
    );
    assert!(store.apply(Time(0), Revision(11), vec![TargetChange::Gone("a".to_owned())]));
    assert!(store.table.is_empty());
}

/// The store drops entries of targets that cannot write to it while it is away; those that live come back.
#[test]
fn entries_that_lapsed_while_the_source_was_away_stay_until_they_had_time_to_come_back() {
    let entry = |id: &str| TargetEntry {
        id: id.to_owned(),
        ..TargetEntry::default()
    };
    let table = |ids: &[&str]| ids.iter().map(|id| ((*id).to_owned(), entry(id))).collect();
    let ids = |store: &TargetStore| store.table.keys().cloned().collect::<Vec<_>>();
    let at = Time::from_millis;
    let mut store = TargetStore::default();
    store.replace(at(0), Revision(1), table(&["a", "b", "c", "d"]));
    store.source_recovered(at(10_000));
    assert!(
        !store.replace(at(10_000), Revision(5), table(&["d"])),
        "three expired"
    );
    assert_eq!(ids(&store), ["a", "b", "c", "d"]);
    store.apply(at(10_500), Revision(6), vec![TargetChange::Put(entry("a"))]);
    store.apply(at(10_600), Revision(7), vec![TargetChange::Gone("d".to_owned())]);
    assert!(!store.expire(at(11_900)));
    assert_eq!(ids(&store), ["a", "b", "c", "d"]);
    assert!(store.expire(at(12_000)), "those that did not come back are gone");
    assert_eq!(ids(&store), ["a"]);
    assert!(
        store.apply(at(12_100), Revision(8), vec![TargetChange::Gone("a".to_owned())]),
        "in calm times what is gone goes at once"
    );
}

/// A node that watched on after its watch was cut, when history had been dropped, kept an old version for
/// seconds: the new watch heard nothing of what the old one had missed.
#[test]
fn a_watch_that_broke_is_followed_by_a_whole_read() {
    let mut cursor = FeedCursor::default();
    assert_eq!(cursor.next_step(), FeedStep::Read);
    cursor.advance(Revision(10));
    assert_eq!(cursor.next_step(), FeedStep::Watch(Revision(10)));
    cursor.advance(Revision(9));
    assert_eq!(
        cursor.next_step(),
        FeedStep::Watch(Revision(10)),
        "a revision never goes back"
    );
    let first = cursor.record_failure();
    assert_eq!(cursor.next_step(), FeedStep::Read);
    let second = cursor.record_failure();
    assert!(second > first, "errors are followed by longer waits");
    cursor.advance(Revision(12));
    assert_eq!(cursor.record_failure(), first, "an answer ends the row of errors");
    cursor.advance(Revision(13));
    cursor.reset();
    assert_eq!(cursor.next_step(), FeedStep::Read);
}

/// Organisations of one priority sent calls of all kinds, and nothing told the most from the least important of them.
#[test]
fn organisations_go_before_routes_and_routes_tell_apart_what_one_of_them_sends() {
    let route = |rank: u8| Route {
        rank,
        ..route("r", "a.example", "/")
    };
    let organisation = |rank: Option<u8>| ForwardOrganisation {
        rank,
        ..ForwardOrganisation::default()
    };
    let document = CatalogDocument {
        organisations: vec![organisation(Some(1)), organisation(Some(3))],
        ..document(1, vec![route(0), route(2)])
    };
    let catalog = Catalog::build(document).expect("it is right");
    let rank = |priority: Option<u8>, kind: u8| catalog.rank(Some(&organisation(priority)), &route(kind));
    let order = [
        rank(Some(1), 0),
        rank(Some(1), 2),
        rank(Some(3), 0),
        rank(Some(3), 2),
    ];
    assert!(order.is_sorted_by(|one, other| one < other), "{order:?}");
    assert_eq!(
        rank(None, 0),
        0,
        "without a priority of its own its route's counts"
    );
    assert!(rank(None, 2) > order[1] && rank(None, 2) < order[2]);
}
