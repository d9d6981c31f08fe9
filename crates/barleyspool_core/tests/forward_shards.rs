//! How the targets of a service and its work are split over owners.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{Shard, TargetEntry, TargetTable, rendezvous, service_targets};
use std::collections::BTreeMap;

fn table(working: usize, leaving: usize) -> TargetTable {
    let entry = |place: usize| TargetEntry {
        id: format!("i-{place:08x}"),
        service: "pool".to_owned(),
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
        *shares.entry(services["pool"].pool.pick(key).number).or_default() += 1;
    }
    shares
}

/// A pool of 42 targets is dealt out by hash into shards of unequal size. When each got a third of the calls, the smallest
/// had seven times the backlog of the others, which were idle for a quarter of the time.
#[test]
fn each_shard_gets_work_by_the_number_of_its_targets() {
    for working in [20, 42, 48, 160] {
        let table = table(working, 6);
        let shares = shares(&table, 30_000);
        let of = service_targets(&table)["pool"].pool.count();
        for number in 0..of {
            let shard = Shard { number, of };
            let mine = |entry: &&TargetEntry| shard.holds(rendezvous::text_key(&entry.id));
            let targets = table.values().filter(|entry| !entry.leaving).filter(mine).count();
            let expected = 30_000.0 * targets as f64 / working as f64;
            let got = shares.get(&number).copied().unwrap_or_default() as f64;
            assert!(
                (got - expected).abs() < 0.05 * 30_000.0 / f64::from(of),
                "{working} targets, shard {number} of {of}: {got} calls in place of {expected}"
            );
        }
    }
}

#[test]
fn a_target_that_goes_moves_few_calls() {
    let before = table(42, 0);
    let mut after = before.clone();
    after.pop_first();
    let (before, after) = (service_targets(&before), service_targets(&after));
    let moved = (0..10_000_u64)
        .map(|call| rendezvous::text_key(&format!("call-{call}")))
        .filter(|key| before["pool"].pool.pick(*key) != after["pool"].pool.pick(*key))
        .count();
    assert!(moved < 700, "{moved} of 10,000");
}

#[test]
fn a_service_whose_targets_all_leave_still_has_a_shard_for_each_call() {
    let services = service_targets(&table(0, 20));
    assert_eq!(services["pool"].working, 0);
    assert_eq!(services["pool"].pool.pick(7).of, 2);
}
