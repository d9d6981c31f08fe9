//! Which nodes read the source, worked out by each for itself.

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

fn pollers(members: &[ReaderCandidate]) -> Vec<u64> {
    let short = |member: &&ReaderCandidate| source_role(members, member.key).short_watch;
    members.iter().filter(short).map(|member| member.key).collect()
}

#[test]
fn two_nodes_of_each_zone_read_however_many_there_are() {
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
fn another_node_reads_when_a_reader_goes_and_the_others_stay() {
    let members = fleet(295);
    let before = readers(&members);
    let left: Vec<ReaderCandidate> = members
        .into_iter()
        .filter(|member| member.key != before[0])
        .collect();
    let after = readers(&left);
    assert_eq!(after.len(), before.len());
    let stayed = before.iter().filter(|reader| after.contains(reader)).count();
    assert_eq!(stayed, before.len() - 1);
}

#[test]
fn more_nodes_read_while_the_source_does_not_answer_some_but_never_more_than_four_of_a_zone() {
    let mut members = fleet(295);
    let first = readers(&members)[0];
    for member in &mut members {
        member.failing = member.key == first;
    }
    assert_eq!(readers(&members).len(), 11, "the one that fails tries on");
    for member in &mut members {
        member.failing = true;
    }
    assert_eq!(readers(&members).len(), 20);
}

#[test]
fn two_readers_of_any_fleet_watch_for_a_short_time_and_another_one_when_one_goes_or_fails() {
    let mut members = fleet(410);
    let before = pollers(&members);
    assert_eq!(before.len(), 2);
    let all = readers(&members);
    assert!(before.iter().all(|poller| all.contains(poller)));
    for member in &mut members {
        member.failing = member.key == before[0];
    }
    let after = pollers(&members);
    assert_eq!(after.len(), 2);
    assert!(!after.contains(&before[0]), "the source does not answer it");
    assert!(after.contains(&before[1]), "the other one goes on");
    let alone = fleet(1);
    assert!(
        source_role(&alone, 1).short_watch,
        "a node that knows nobody watches for itself"
    );
    assert!(watch_timeout(true) < watch_timeout(false));
}

#[test]
fn a_reader_tells_its_zone_and_the_readers_of_the_others() {
    let names: Vec<String> = (1..=295).map(|key| format!("n{key}")).collect();
    let mut members = fleet(295);
    for (member, name) in members.iter_mut().zip(&names) {
        member.address = name;
    }
    let audience = source_recipients(&members, "a", 5);
    let near = members.iter().filter(|member| member.zone == "a").count();
    assert_eq!(audience.len(), near - 1 + 8);
    assert!(!audience.contains(&"n5".to_owned()), "not itself");
}
