//! What the capacity for results of the pools of this node is used for.

use arc_swap::ArcSwap;
use barleyspool_core::CapacityUsage;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The usage of the capacity of pools by service and shard.
pub type UsageByPool = BTreeMap<(String, u32), CapacityUsage>;

/// What the capacity of the pools that this node owns is used for, as last published by the traffic thread. A pool
/// without load has no entry, so that a node that does not own the pool any more soon reports nothing.
#[derive(Debug, Default)]
pub struct PoolUsages {
    usages: ArcSwap<UsageByPool>,
}

impl PoolUsages {
    /// Replaces the usage of a pool; `None` if it has no load.
    pub fn publish(&self, service: &str, shard: u32, usage: Option<CapacityUsage>) {
        let key = (service.to_owned(), shard);
        if usage.is_none() && !self.usages.load().contains_key(&key) {
            return;
        }
        self.usages.rcu(|usages| {
            let mut usages = UsageByPool::clone(usages);
            match usage {
                Some(usage) => usages.insert(key.clone(), usage),
                None => usages.remove(&key),
            };
            usages
        });
    }

    /// The last published usages.
    pub fn load(&self) -> Arc<UsageByPool> {
        self.usages.load_full()
    }
}
