//! The split of a service's targets into shards, and of its requests over the shards.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{TargetEntry, TargetTable, rendezvous, service_targets};
use std::collections::BTreeMap;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn table(working: usize, leaving: usize) -> TargetTable {
    let entry = |place: usize| TargetEntry {
        id: format!("i-{place:08x}"),
        service: "pool".to_owned(),
        zone: ZONES[(place * place) % 7 % 5].to_owned(),
        leaving: place >= working,
        ..TargetEntry::default()
    };
    let entries = (0..working + leaving).map(entry);
    entries.map(|entry| (entry.id.clone(), entry)).collect()
}

fn shares(table: &TargetTable, calls: u64) -> BTreeMap<u32, u64> {
    let services = service_targets(table);
    let mut shares = BTreeMap::new();
    for call in 0..calls {
        let key = rendezvous::text_key(&format!("call-{call}"));
        *shares
            .entry(services["pool"].pool.pick(key, "", 0.0))
            .or_default() += 1;
    }
    shares
}

/// The 42 targets of a pool are hashed into shards of unequal size. When each shard got a third of the
/// calls, the smallest had seven times the backlog of the others, which were idle for a quarter of the
/// time.
#[test]
fn each_shard_gets_calls_in_proportion_to_its_targets() {
    for working in [20, 42, 48, 160] {
        let table = table(working, 6);
        let shares = shares(&table, 30_000);
        let services = service_targets(&table);
        let pool = &services["pool"].pool;
        let mut targets: BTreeMap<u32, usize> = BTreeMap::new();
        for entry in table.values().filter(|entry| !entry.leaving) {
            *targets.entry(pool.shard_of(entry)).or_default() += 1;
        }
        for (shard, count) in targets {
            let expected = 30_000.0 * count as f64 / working as f64;
            let got = shares.get(&shard).copied().unwrap_or_default() as f64;
            assert!(
                (got - expected).abs() < 0.1 * expected + 60.0,
                "{working} targets, {count} in shard {shard}: {got} calls, expected {expected}"
            );
        }
    }
}

#[test]
fn removing_a_target_moves_few_calls_to_another_shard() {
    let before = table(42, 0);
    let mut after = before.clone();
    after.pop_first();
    let (before, after) = (service_targets(&before), service_targets(&after));
    let moved = (0..10_000_u64)
        .map(|call| rendezvous::text_key(&format!("call-{call}")))
        .filter(|key| before["pool"].pool.pick(*key, "", 0.0) != after["pool"].pool.pick(*key, "", 0.0))
        .count();
    assert!(moved < 700, "{moved} of 10,000");
}

#[test]
fn a_service_whose_targets_all_leave_still_has_a_shard_for_each_call() {
    let services = service_targets(&table(0, 20));
    assert_eq!(services["pool"].working, 0);
    let pool = &services["pool"].pool;
    assert!(pool.contains(pool.pick(7, "a", 0.2)));
}

#[test]
fn a_pool_of_16_targets_is_not_split() {
    let table = table(16, 0);
    let services = service_targets(&table);
    let pool = &services["pool"].pool;
    for entry in table.values() {
        assert_eq!(pool.shard_of(entry), 0);
    }
    assert_eq!(pool.pick(7, "a", 0.2), 0);
}

/// Moving results across zones is costly, so a request stays in the zone of its inputs. But when a zone has
/// lost most of its targets, the rest must not get all requests that come from there.
#[test]
fn requests_stay_in_their_zone_up_to_the_share_of_its_targets() {
    let entry = |place: usize, zone: &str| TargetEntry {
        id: format!("i-{place:08x}"),
        service: "pool".to_owned(),
        zone: zone.to_owned(),
        ..TargetEntry::default()
    };
    let counts = [("a", 2), ("b", 8), ("c", 8), ("d", 8), ("e", 8)];
    let mut table = TargetTable::new();
    for (zone, count) in counts {
        for _ in 0..count {
            let entry = entry(table.len(), zone);
            table.insert(entry.id.clone(), entry);
        }
    }
    let services = service_targets(&table);
    let pool = &services["pool"].pool;
    let mut got: BTreeMap<&str, u32> = BTreeMap::new();
    let mut stayed = 0;
    for call in 0..20_000 {
        let key = rendezvous::text_key(&format!("call-{call}"));
        let near = ZONES[call % 5];
        let zone = pool.zone(pool.pick(key, near, 0.2));
        stayed += u32::from(zone == near);
        *got.entry(zone).or_default() += 1;
    }
    for (zone, count) in counts {
        let expected = 20_000.0 * f64::from(count) / 34.0;
        let got = f64::from(got[zone]);
        assert!(
            (got - expected).abs() < 0.1 * expected,
            "{zone}: {got} calls, expected {expected}"
        );
    }
    assert!(stayed > 16_500, "{stayed} of 20,000 stayed");
}
