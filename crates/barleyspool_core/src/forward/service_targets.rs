//! How many targets each service has, and how they are split over owners; made once for each list of targets, so that
//! looking it up costs the same however many there are.

use super::{Shard, TargetTable};
use crate::rendezvous;
use std::collections::HashMap;

/// A pool with more targets than this is split into shards, each with an owner of its own.
const POOL_SHARD: usize = 16;
/// A service with more engines than this is split into shards.
const ENGINE_SHARD: usize = 32;

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTargets {
    /// Those that are not on their way out.
    pub working: usize,
    /// Its shards, when it is a pool.
    pub pool: Shards,
    /// Its shards, when engines serve it.
    pub engines: Shards,
}

/// The shards of a service, by how many working targets each has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shards {
    weights: Vec<u32>,
}

impl Shards {
    /// How many there are.
    pub fn count(&self) -> u32 {
        self.weights.len().max(1) as u32
    }

    /// The shard that takes the work of `key`: as much goes to each as it has targets. Targets are dealt out by hash, so shards
    /// of 42 targets had 7, 16 and 18; with a third of the calls each, the smallest had 1,170 pieces waiting while the
    /// others were idle for a quarter of the time.
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
            pool: Shards::new(listed, POOL_SHARD),
            engines: Shards::new(listed, ENGINE_SHARD),
        };
        (service.to_owned(), targets)
    };
    let mut services: HashMap<String, ServiceTargets> = listed.into_iter().map(new).collect();
    for entry in table.values().filter(|entry| !entry.leaving) {
        let Some(service) = services.get_mut(&entry.service) else {
            continue;
        };
        let hash = rendezvous::text_key(&entry.id);
        service.working += 1;
        service.pool.add(hash);
        service.engines.add(hash);
    }
    services
}
