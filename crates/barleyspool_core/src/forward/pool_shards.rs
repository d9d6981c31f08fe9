//! Splits the targets of a stage pool into shards with one owner node each.
//!
//! Stage results are large and costly to move across zones, so a pool of many targets is split by zone: one
//! owner makes the calls to the targets of a zone, or of a part of it, and the stages of a request stay in
//! one zone as long as its targets have capacity for their share.

use super::{TargetEntry, TargetTable};
use crate::rendezvous;
use std::collections::BTreeMap;

/// A pool with more targets than this is split by zone, and a zone with more than this into several shards.
const MAX_SHARD_TARGETS: usize = 16;
/// Salt of the request key for deciding whether the request stays in its zone.
const STAY_SALT: u128 = 0x57a4;
/// Salt of the request key for choosing another zone.
const AWAY_SALT: u128 = 0xa3a4;

/// A part of the targets of a pool, with its own owner node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PoolShard {
    /// The id, which is the same on all nodes and stays while the number of shards of the zone does; zero
    /// for a pool that is not split.
    id: u32,
    zone: String,
    /// The number of its targets that may get work.
    working: u32,
}

/// The shards of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolShards {
    shards: Vec<PoolShard>,
    /// The number of shards of each zone; empty for a pool that is not split.
    zones: BTreeMap<String, u32>,
    working: u32,
}

impl PoolShards {
    /// Splits the pool of the service with that name by its listed targets.
    pub(super) fn new(table: &TargetTable, service: &str) -> Self {
        let entries = || table.values().filter(|entry| entry.service == service);
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for entry in entries() {
            *zones.entry(entry.zone.clone()).or_default() += 1;
        }
        let listed: u32 = zones.values().sum();
        let unsplit = listed as usize <= MAX_SHARD_TARGETS;
        for count in zones.values_mut() {
            *count = count.div_ceil(MAX_SHARD_TARGETS as u32);
        }
        let mut shards = Self {
            shards: Vec::new(),
            zones: if unsplit { BTreeMap::new() } else { zones },
            working: 0,
        };
        shards.create_shards();
        for entry in entries().filter(|entry| entry.accepts_work()) {
            shards.count_target(entry);
        }
        shards
    }

    fn create_shards(&mut self) {
        let shard = |id: u32, zone: &str| PoolShard {
            id,
            zone: zone.to_owned(),
            working: 0,
        };
        if self.zones.is_empty() {
            self.shards.push(shard(0, ""));
        }
        for (zone, parts) in &self.zones {
            let parts = (0..*parts).map(|part| shard(zone_shard(zone, part), zone));
            self.shards.extend(parts);
        }
    }

    fn count_target(&mut self, entry: &TargetEntry) {
        let id = self.shard_of(entry);
        self.working += 1;
        let shard = self.shards.iter_mut().find(|shard| shard.id == id);
        if let Some(shard) = shard {
            shard.working += 1;
        }
    }

    /// The id of the shard to which a listed target of the pool belongs.
    pub fn shard_of(&self, entry: &TargetEntry) -> u32 {
        let Some(parts) = self.zones.get(&entry.zone) else {
            return 0;
        };
        let parts = (0..*parts).map(u64::from);
        let part = rendezvous::pick(rendezvous::text_key(&entry.id), parts).unwrap_or(0);
        zone_shard(&entry.zone, part as u32)
    }

    /// Whether there is a shard with that id.
    pub fn contains(&self, id: u32) -> bool {
        self.shards.iter().any(|shard| shard.id == id)
    }

    /// The zone of a shard; empty when the pool is not split.
    pub fn zone(&self, id: u32) -> &str {
        let shard = self.shards.iter().find(|shard| shard.id == id);
        shard.map_or("", |shard| &shard.zone)
    }

    /// The share of the working targets of the pool that are in a zone, from 0 to 1.
    fn target_share(&self, zone: &str) -> f64 {
        let of_zone = self.shards.iter().filter(|shard| shard.zone == zone);
        let working: u32 = of_zone.map(|shard| shard.working).sum();
        f64::from(working) / f64::from(self.working.max(1))
    }

    /// The id of the shard that computes the pieces of a request with that key whose inputs, or whose next
    /// step, are in the zone `near`.
    ///
    /// `arrival_share` is the share of all requests that come from that zone, from 0 to 1. Requests beyond
    /// the share of the zone in the targets are distributed over the other zones in proportion to their
    /// targets: when each shard got the same number of calls, a shard of 7 of 42 targets had 1,170 pieces
    /// waiting while the others were idle for a quarter of the time.
    pub fn pick(&self, key: u128, near: &str, arrival_share: f64) -> u32 {
        let local_share = self.target_share(near);
        let stays =
            local_share > 0.0 && rendezvous::uniform(key ^ STAY_SALT, 0) * arrival_share <= local_share;
        let elsewhere = self
            .shards
            .iter()
            .any(|shard| shard.zone != near && shard.working > 0);
        // A different key is needed, since the same one could pick the zone that the request just left.
        let key = if stays { key } else { key ^ AWAY_SALT };
        let wanted = |shard: &&PoolShard| (shard.zone == near) == (stays || !elsewhere);
        let candidates = self.shards.iter().filter(wanted);
        let weights = candidates.map(|shard| (u64::from(shard.id), f64::from(shard.working)));
        let first = self.shards.first().map_or(0, |shard| shard.id);
        rendezvous::pick_weighted(key, weights).map_or(first, |id| id as u32)
    }
}

fn zone_shard(zone: &str, part: u32) -> u32 {
    (rendezvous::text_key(zone) as u32 ^ part).max(1)
}
