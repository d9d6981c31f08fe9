//! The stage results that a call keeps at their holders; they are released when they are not needed any more
//! or the call ends.

use super::Traffic;
use super::peers::Owner;
use super::pools::PoolId;
use barleyspool_core::Time;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::task::spawn_local;

/// The stage results of one call. Dropping it releases them.
pub struct StageResults {
    traffic: Rc<Traffic>,
    /// The pool that computed each result, and when this node received its handle.
    origins: HashMap<String, (PoolId, Time)>,
}

impl StageResults {
    pub fn new(traffic: &Rc<Traffic>) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            origins: HashMap::new(),
        }
    }

    /// Adds results that a pool computed.
    pub fn add(&mut self, pool: &PoolId, handles: &[String]) {
        let now = self.traffic.now();
        for handle in handles {
            self.origins.insert(handle.clone(), (pool.clone(), now));
        }
    }

    /// Whether any of these results was lost with an incarnation of its holder that has ended since.
    pub fn is_any_lost(&self, handles: &[String]) -> bool {
        let plan = self.traffic.plan();
        let is_lost = |handle: &String| {
            let origin = self.origins.get(handle);
            origin.is_some_and(|(_, since)| plan.is_result_lost(handle, *since))
        };
        !plan.restarts.is_empty() && handles.iter().any(is_lost)
    }

    /// Releases these results.
    pub fn release(&mut self, handles: Vec<String>) {
        let mut by_pool: BTreeMap<PoolId, Vec<String>> = BTreeMap::new();
        for handle in handles {
            if let Some((pool, _)) = self.origins.remove(&handle) {
                by_pool.entry(pool).or_default().push(handle);
            }
        }
        for (pool, handles) in by_pool {
            release_at_owner(&self.traffic, pool, handles);
        }
    }

    /// Releases all results.
    pub fn release_all(&mut self) {
        let all = self.origins.keys().cloned().collect();
        self.release(all);
    }
}

impl Drop for StageResults {
    fn drop(&mut self) {
        self.release_all();
    }
}

fn release_at_owner(traffic: &Rc<Traffic>, id: PoolId, handles: Vec<String>) {
    match traffic.peers.owner(traffic, &id) {
        Owner::Local => {
            if let Some(pool) = traffic.pools.find(&id) {
                pool.release(traffic.now(), handles);
            }
        }
        Owner::Remote(address) => {
            let traffic = Rc::clone(traffic);
            spawn_local(async move { traffic.peers.release(&address, id, handles).await });
        }
    }
}
