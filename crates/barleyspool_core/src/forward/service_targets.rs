//! How many targets each service has, and how they are split over owners; made once for each list of targets, so that
//! looking it up costs the same however many there are.

use super::pool_shards::PoolShards;
use super::{Shard, TargetTable};
use crate::rendezvous;
use std::collections::{BTreeMap, HashMap};

/// A service with more engines than this is split into shards.
const MAX_ENGINES_PER_SHARD: usize = 32;

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTargets {
    /// Those that may get work.
    pub working: usize,
    /// Those by zone.
    pub zones: BTreeMap<String, usize>,
    /// Its shards, when it is a pool.
    pub pool: PoolShards,
    /// Its shards, when engines serve it.
    pub engines: Shards,
}

impl ServiceTargets {
    /// The part of its working targets that lies in a zone.
    pub fn zone_share(&self, zone: &str) -> f64 {
        let of_zone = self.zones.get(zone).copied().unwrap_or_default();
        of_zone as f64 / self.working.max(1) as f64
    }
}

/// The shards of engines, by how many working ones each has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shards {
    weights: Vec<u32>,
}

impl Shards {
    /// How many there are.
    pub fn count(&self) -> u32 {
        self.weights.len().max(1) as u32
    }

    /// The shard that takes the work of `key`: as much goes to each as it has engines.
    pub fn pick(&self, key: u128) -> Shard {
        let weights = self.weights.iter().enumerate();
        let weights = weights.map(|(number, weight)| (number as u64, f64::from(*weight)));
        Shard {
            number: rendezvous::pick_weighted(key, weights).unwrap_or(0) as u32,
            of: self.count(),
        }
    }

    fn new(targets: usize, most: usize) -> Self {
        Self {
            weights: vec![0; targets.div_ceil(most).max(1)],
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
