//! Selection of the nodes that read the source, which each node computes by itself.

use barleyspool_core::{ReaderCandidate, source_recipients, source_role, watch_timeout};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn fleet(count: u64) -> Vec<ReaderCandidate<'static>> {
    let node = |key: u64| ReaderCandidate {
        address: "",
        key,
        zone: ZONES[key as usize % ZONES.len()],
        failing: false,
        link_mbps: 0,
    };
    (1..=count).map(node).collect()
}

fn readers(members: &[ReaderCandidate]) -> Vec<u64> {
    let reads = |member: &&ReaderCandidate| source_role(members, member.key).reads;
    members.iter().filter(reads).map(|member| member.key).collect()
}

fn short_watchers(members: &[ReaderCandidate]) -> Vec<u64> {
    let short_watch = |member: &&ReaderCandidate| source_role(members, member.key).short_watch;
    members
        .iter()
        .filter(short_watch)
        .map(|member| member.key)
        .collect()
}

#[test]
fn two_nodes_of_each_zone_read_at_any_fleet_size() {
    for count in [9, 86, 295, 410] {
        let members = fleet(count);
        let readers = readers(&members);
        for zone in ZONES {
            let all = members.iter().filter(|member| member.zone == zone);
            let of_zone = all.clone().filter(|member| readers.contains(&member.key));
            assert_eq!(of_zone.count(), all.count().min(2), "{count} nodes, zone {zone}");
        }
    }
}

#[test]
fn when_a_reader_leaves_one_node_replaces_it_and_the_other_readers_stay() {
    let members = fleet(295);
    let before = readers(&members);
    let remaining: Vec<ReaderCandidate> = members
        .into_iter()
        .filter(|member| member.key != before[0])
        .collect();
    let after = readers(&remaining);
    assert_eq!(after.len(), before.len());
    let stayed = before.iter().filter(|reader| after.contains(reader)).count();
    assert_eq!(stayed, before.len() - 1);
}

#[test]
fn more_nodes_read_while_readers_fail_but_at_most_four_per_zone() {
    let mut members = fleet(295);
    let first = readers(&members)[0];
    for member in &mut members {
        member.failing = member.key == first;
    }
    assert_eq!(readers(&members).len(), 11, "the failing reader goes on trying");
    for member in &mut members {
        member.failing = true;
    }
    assert_eq!(readers(&members).len(), 20);
}

#[test]
fn exactly_two_readers_have_a_short_watch_timeout_and_a_failing_one_is_replaced() {
    let mut members = fleet(410);
    let before = short_watchers(&members);
    assert_eq!(before.len(), 2);
    let all_readers = readers(&members);
    assert!(before.iter().all(|watcher| all_readers.contains(watcher)));
    for member in &mut members {
        member.failing = member.key == before[0];
    }
    let after = short_watchers(&members);
    assert_eq!(after.len(), 2);
    assert!(!after.contains(&before[0]), "the source does not respond to it");
    assert!(
        after.contains(&before[1]),
        "the other one keeps its short watch timeout"
    );
    let alone = fleet(1);
    assert!(
        source_role(&alone, 1).short_watch,
        "a node that knows no other has a short watch timeout"
    );
    assert!(watch_timeout(true) < watch_timeout(false));
}

#[test]
fn a_reader_notifies_its_zone_and_the_readers_of_other_zones() {
    let names: Vec<String> = (1..=295).map(|key| format!("n{key}")).collect();
    let mut members = fleet(295);
    for (member, name) in members.iter_mut().zip(&names) {
        member.address = name;
    }
    let recipients = source_recipients(&members, "a", 5);
    let same_zone = members.iter().filter(|member| member.zone == "a").count();
    assert_eq!(recipients.len(), same_zone - 1 + 8);
    assert!(
        !recipients.contains(&"n5".to_owned()),
        "a node does not notify itself"
    );
}
