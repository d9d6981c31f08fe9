//! The pools that this node owns, and how pools are identified.

use super::Traffic;
use super::pool::Pool;
use barleyspool_core::{Catalog, ForwardPlan, TargetEntry, TargetTable, shard_key};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// Identifies a shard of the targets of a service: a pool, or for a service of engines a shard of its engines, at which
/// calls are placed and which is no pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolId {
    pub service: String,
    pub shard: u32,
}

impl PoolId {
    /// Whether the plan still has this shard of the service.
    pub fn is_current(&self, plan: &ForwardPlan) -> bool {
        let shards = plan.pool_shards(&self.service);
        shards.is_none_or(|shards| shards.contains(self.shard))
    }

    /// Key from which the owner of the pool, or of the shard of engines, is derived.
    pub fn owner_key(&self) -> u128 {
        shard_key(&self.service, self.shard)
    }
}

/// The pools that this node owns or has owned.
#[derive(Default)]
pub struct Pools {
    pools: RefCell<HashMap<PoolId, Rc<Pool>>>,
    /// The list of targets and the catalog that were applied to the pools last.
    applied: RefCell<(Arc<TargetTable>, Option<Arc<Catalog>>)>,
}

impl Pools {
    /// Returns the pool, and starts it if it does not run here yet; `None` when the catalog has no such pool.
    pub fn get_or_start(&self, traffic: &Rc<Traffic>, id: &PoolId) -> Option<Rc<Pool>> {
        if let Some(pool) = self.pools.borrow().get(id) {
            return Some(Rc::clone(pool));
        }
        let plan = traffic.plan();
        let spec = plan.catalog.as_ref()?.service(&id.service)?.pool.clone()?;
        let pool = Pool::start(traffic, id, spec);
        update(&pool, id, &plan);
        self.pools.borrow_mut().insert(id.clone(), Rc::clone(&pool));
        Some(pool)
    }

    /// Returns the pool if it was started here.
    pub fn find(&self, id: &PoolId) -> Option<Rc<Pool>> {
        self.pools.borrow().get(id).cloned()
    }

    pub fn all(&self) -> Vec<(PoolId, Rc<Pool>)> {
        let pools = self.pools.borrow();
        pools
            .iter()
            .map(|(id, pool)| (id.clone(), Rc::clone(pool)))
            .collect()
    }

    /// Forgets what the pools of a service know of failures of their targets.
    pub fn links_restored(&self, service: &str) {
        let pools = self.pools.borrow();
        for (_, pool) in pools.iter().filter(|(id, _)| id.service == service) {
            pool.queue.borrow_mut().links_restored();
            pool.wake();
        }
    }

    /// Applies a newer plan to all pools.
    pub fn apply_plan(&self, plan: &ForwardPlan) {
        let new = (Arc::clone(&plan.targets), plan.catalog.clone());
        let before = self.applied.replace(new);
        let same_catalog = match (&before.1, &plan.catalog) {
            (Some(before), Some(now)) => Arc::ptr_eq(before, now),
            (None, None) => true,
            _ => false,
        };
        if same_catalog && Arc::ptr_eq(&before.0, &plan.targets) {
            // Only the members have changed. Pools may start calls if the membership has converged now.
            self.pools.borrow().values().for_each(|pool| pool.wake());
            return;
        }
        for (id, pool) in self.pools.borrow().iter() {
            update(pool, id, plan);
            // The orders whose inputs were lost with an incarnation of their holder have ended.
            pool.notify_ended();
            pool.wake();
        }
    }
}

fn update(pool: &Pool, id: &PoolId, plan: &ForwardPlan) {
    let service = plan
        .catalog
        .as_ref()
        .and_then(|catalog| catalog.service(&id.service));
    let Some((service, spec)) = service.and_then(|service| Some((service, service.pool.as_ref()?))) else {
        return;
    };
    let shards = plan.pool_shards(&id.service);
    let in_shard = |entry: &TargetEntry| shards.is_some_and(|shards| shards.shard_of(entry) == id.shard);
    let in_pool = |entry: &TargetEntry| entry.service == id.service && in_shard(entry);
    let mut queue = pool.queue.borrow_mut();
    queue.apply_plan(spec, service.cold, &plan.targets, in_pool);
    queue.fail_lost_inputs(|handle, since| plan.is_result_lost(handle, since));
}
