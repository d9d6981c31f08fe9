//! How the targets of a stage pool are split over owners.
//!
//! Results of stages are large, and cost when they cross zones, so a pool of many targets is split by zone: one owner makes
//! the calls at the targets of one zone, and a request's stages stay in a zone as long as its targets can take its share.

use super::{TargetEntry, TargetTable};
use crate::rendezvous;
use std::collections::BTreeMap;

/// A pool with more targets than this is split; so are the targets of one zone.
const MAX_SHARD_TARGETS: usize = 16;
/// Mixed into the key of a request for the choice whether it stays in its zone.
const STAY_SALT: u128 = 0x57a4;
/// Mixed into it for the choice of another zone.
const AWAY_SALT: u128 = 0xa3a4;

/// A part of a pool's targets, with an owner of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PoolShard {
    /// The same on all nodes and for as long as the zone has so many targets; zero for a pool that is not split.
    id: u32,
    zone: String,
    /// Its targets that may get work.
    working: u32,
}

/// The shards of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolShards {
    shards: Vec<PoolShard>,
    /// Into how many shards the targets of each zone are split; empty for a pool that is not split.
    zones: BTreeMap<String, u32>,
    working: u32,
}

impl PoolShards {
    /// The shards of the pool of that name, as listed.
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

    /// The shard to which a listed target of the pool belongs.
    pub fn shard_of(&self, entry: &TargetEntry) -> u32 {
        let Some(parts) = self.zones.get(&entry.zone) else {
            return 0;
        };
        let parts = (0..*parts).map(u64::from);
        let part = rendezvous::pick(rendezvous::text_key(&entry.id), parts).unwrap_or(0);
        zone_shard(&entry.zone, part as u32)
    }

    /// Whether there is such a shard.
    pub fn contains(&self, id: u32) -> bool {
        self.shards.iter().any(|shard| shard.id == id)
    }

    /// The zone of a shard; empty when the pool is not split.
    pub fn zone(&self, id: u32) -> &str {
        let shard = self.shards.iter().find(|shard| shard.id == id);
        shard.map_or("", |shard| &shard.zone)
    }

    /// The part of its working targets that lies in a zone.
    fn target_share(&self, zone: &str) -> f64 {
        let of_zone = self.shards.iter().filter(|shard| shard.zone == zone);
        let working: u32 = of_zone.map(|shard| shard.working).sum();
        f64::from(working) / f64::from(self.working.max(1))
    }

    /// The shard that makes the pieces of a request with that key whose inputs, or whose next step, lie in zone `near`.
    ///
    /// `arrival_share` is the part of all requests that arrival_share from that zone. What goes beyond the zone's part of the targets is
    /// given to the others by theirs: with the same number of calls each, a shard of 7 targets of 42 had 1,170 pieces waiting
    /// while the others were idle for a quarter of the time.
    pub fn pick(&self, key: u128, near: &str, arrival_share: f64) -> u32 {
        let local_share = self.target_share(near);
        let stays = local_share > 0.0 && rendezvous::even(key ^ STAY_SALT, 0) * arrival_share <= local_share;
        let elsewhere = self
            .shards
            .iter()
            .any(|shard| shard.zone != near && shard.working > 0);
        // Another key, or whoever leaves the zone that the key picked would be sent back there.
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
