//! The configuration of forwarded calls, the target list and the feed cursor.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    Catalog, CatalogDocument, CatalogError, CatalogStore, FeedCursor, FeedStep, ForwardOrganisation,
    ForwardService, OfferResult, PoolSpec, Revision, Route, Span, StageSpec, TargetChange, TargetEntry,
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
fn the_longest_matching_path_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let catalog = Catalog::build(document(1, routes)).expect("a valid document");
    let name = |host: &str, path: &str| catalog.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/yy").as_deref(), Some("short"));
    assert_eq!(name("A.Example:8080", "/x/y/").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn an_invalid_document_is_rejected_with_all_its_errors() {
    let mut invalid = route("wrong", "a.example", "no-slash");
    invalid.shares[0].service = "nobody".to_owned();
    invalid.stages = vec![StageSpec {
        service: "plain".to_owned(),
        needs: vec![0],
        bytes: 1,
    }];
    let errors = Catalog::build(document(1, vec![invalid])).expect_err("four errors");
    assert_eq!(errors.len(), 4, "{errors:?}");
    assert!(
        errors
            .iter()
            .any(|error| matches!(error, CatalogError::StageOrder { .. }))
    );
    assert!(
        errors
            .iter()
            .any(|error| matches!(error, CatalogError::NotAPool { .. }))
    );
    assert!(
        errors[0].to_string().contains("wrong"),
        "the error names the route: {}",
        errors[0]
    );
}

#[test]
fn versions_only_increase_and_an_invalid_document_keeps_the_current_one() {
    let mut store = CatalogStore::default();
    let valid = |version| document(version, vec![route("r", "a.example", "/")]);
    assert_eq!(store.offer(valid(5)), OfferResult::Accepted);
    assert_eq!(store.offer(valid(5)), OfferResult::Outdated);
    assert_eq!(store.offer(valid(4)), OfferResult::Outdated);
    let mut invalid = valid(9);
    invalid.routes[0].shares.clear();
    assert!(matches!(store.offer(invalid), OfferResult::Invalid(_)));
    assert_eq!(store.version(), Revision(5));
    assert_eq!(store.offer(valid(8)), OfferResult::Accepted);
}

#[test]
fn a_removed_api_key_belongs_to_no_organisation() {
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
        "the list of a node that is behind"
    );
    assert!(store.table["a"].leaving);
    assert!(
        !store.apply(Time(0), Revision(10), vec![TargetChange::Put(entry("a", true))]),
        "no change"
    );
    assert!(store.apply(Time(0), Revision(11), vec![TargetChange::Gone("a".to_owned())]));
    assert!(store.table.is_empty());
}

/// Guards against losing live targets: the source removes the entries of targets that cannot renew them
/// during an outage, and live targets write them again afterwards.
#[test]
fn entries_that_expire_during_a_source_outage_are_kept_for_a_grace_period() {
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
        "three entries expired"
    );
    assert_eq!(ids(&store), ["a", "b", "c", "d"]);
    store.apply(at(10_500), Revision(6), vec![TargetChange::Put(entry("a"))]);
    store.apply(at(10_600), Revision(7), vec![TargetChange::Gone("d".to_owned())]);
    assert!(!store.expire(at(11_900)));
    assert_eq!(ids(&store), ["a", "b", "c", "d"]);
    assert!(
        store.expire(at(12_000)),
        "entries that were not written again are removed"
    );
    assert_eq!(ids(&store), ["a"]);
    assert!(
        store.apply(at(12_100), Revision(8), vec![TargetChange::Gone("a".to_owned())]),
        "without an outage a removed entry is dropped at once"
    );
}

/// Guards against a stale configuration after a broken watch. If the source has dropped the history
/// meanwhile, a new watch does not deliver the changes that the old one missed, and nodes kept an old version
/// for seconds.
#[test]
fn a_broken_watch_is_followed_by_a_whole_read() {
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
    assert!(second > first, "delays grow with consecutive failures");
    cursor.advance(Revision(12));
    assert_eq!(cursor.record_failure(), first, "a response resets the backoff");
    cursor.advance(Revision(13));
    cursor.reset();
    assert_eq!(cursor.next_step(), FeedStep::Read);
}

/// Guards against a source that is read in a loop without a pause, since each watch finds its history gone.
#[test]
fn a_source_that_keeps_no_history_is_read_again_after_growing_pauses() {
    let mut cursor = FeedCursor::default();
    cursor.advance(Revision(10));
    assert_eq!(cursor.reset(), Span::ZERO, "the first read follows at once");
    let mut pauses = Vec::new();
    for round in 11..20 {
        cursor.advance(Revision(round));
        pauses.push(cursor.reset());
    }
    assert!(pauses[0] > Span::ZERO && pauses.is_sorted(), "{pauses:?}");
    cursor.advance(Revision(20));
    cursor.advance(Revision(21));
    assert_eq!(cursor.reset(), Span::ZERO, "a watch has succeeded");
}

/// Guards against equal ranks for all calls of organisations with the same priority, whatever the priority of
/// the route.
#[test]
fn calls_are_ranked_by_organisation_priority_and_then_by_route_priority() {
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
    let catalog = Catalog::build(document).expect("a valid document");
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
        "without an organisation priority, that of the route is used"
    );
    assert!(rank(None, 2) > order[1] && rank(None, 2) < order[2]);
}
