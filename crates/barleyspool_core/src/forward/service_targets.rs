//! The number of targets of each service and their division into shards. It is computed once per target
//! list, so that a lookup costs the same however many targets there are.

use super::pool_shards::PoolShards;
use super::{Shard, TargetTable};
use crate::rendezvous;
use std::collections::{BTreeMap, HashMap};

/// A service with more engines than this is split into shards.
const MAX_ENGINES_PER_SHARD: usize = 32;

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTargets {
    /// The number of targets that accept work.
    pub working: usize,
    /// The number of those by zone.
    pub zones: BTreeMap<String, usize>,
    /// The shards, if it is a pool.
    pub pool: PoolShards,
    /// The shards, if engines serve it.
    pub engines: Shards,
}

impl ServiceTargets {
    /// The share of the targets accepting work that are in a zone.
    pub fn zone_share(&self, zone: &str) -> f64 {
        let of_zone = self.zones.get(zone).copied().unwrap_or_default();
        of_zone as f64 / self.working.max(1) as f64
    }
}

/// The shards of a service of engines, each weighted by the number of its engines that accept work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shards {
    weights: Vec<u32>,
}

impl Shards {
    /// The number of shards.
    pub fn count(&self) -> u32 {
        self.weights.len().max(1) as u32
    }

    /// The shard for work with this key. Each shard receives work in proportion to its weight.
    pub fn pick(&self, key: u128) -> Shard {
        let weights = self.weights.iter().enumerate();
        let weights = weights.map(|(number, weight)| (number as u64, f64::from(*weight)));
        Shard {
            number: rendezvous::pick_weighted(key, weights).unwrap_or(0) as u32,
            of: self.count(),
        }
    }

    fn new(targets: usize, max_per_shard: usize) -> Self {
        Self {
            weights: vec![0; targets.div_ceil(max_per_shard).max(1)],
        }
    }

    fn add(&mut self, target: u128) {
        let number = Shard::number_of(target, self.count());
        if let Some(weight) = self.weights.get_mut(number as usize) {
            *weight += 1;
        }
    }
}

/// The targets of each service of a list, by the service's name.
pub fn service_targets(table: &TargetTable) -> HashMap<String, ServiceTargets> {
    let mut listed: HashMap<&str, usize> = HashMap::new();
    for entry in table.values() {
        *listed.entry(&entry.service).or_default() += 1;
    }
    let new = |(service, listed): (&str, usize)| {
        let targets = ServiceTargets {
            working: 0,
            zones: BTreeMap::new(),
            pool: PoolShards::new(table, service),
            engines: Shards::new(listed, MAX_ENGINES_PER_SHARD),
        };
        (service.to_owned(), targets)
    };
    let mut services: HashMap<String, ServiceTargets> = listed.into_iter().map(new).collect();
    for entry in table.values().filter(|entry| entry.accepts_work()) {
        let Some(service) = services.get_mut(&entry.service) else {
            continue;
        };
        let hash = rendezvous::text_key(&entry.id);
        service.working += 1;
        *service.zones.entry(entry.zone.clone()).or_default() += 1;
        service.engines.add(hash);
    }
    services
}
