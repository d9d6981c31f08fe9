//! The reconciliation of one keeper: reads the placement, queries the engines and sends orders.

use crate::settings::KeeperSettings;
use barleyspool_core::{
    ConfigStore, ControlCounters, EngineOrder, Fleet, ListState, OrderBook, OrderLimits, Placement, Revision,
    TargetId, TargetNode, rendezvous,
};
use barleyspool_entry::PlatformClient;
use barleyspool_wire::Clock;
use barleyspool_wire::target::{LOAD_PATH, ORDERS_PATH, OrderReply, OrderRequest, TargetReport};
use barleyspool_wire::{http, rpc};
use futures::future::join_all;
use hyper::Method;
use std::collections::BTreeMap;
use std::time::Duration;

/// The timeout of a request to an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of an engine's answer.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// The state of a keeper.
#[derive(Debug)]
pub struct Keeper {
    settings: KeeperSettings,
    clock: Clock,
    platform: PlatformClient,
    store: ConfigStore,
    counters: ControlCounters,
    fleet: Fleet,
    order_book: OrderBook,
}

impl Keeper {
    /// Creates a keeper without a configuration or fleet list; the first [`Keeper::reconcile`] reads both.
    pub fn new(settings: KeeperSettings) -> Self {
        Self {
            clock: Clock::start(),
            platform: PlatformClient::new(
                settings.configuration_address.clone(),
                settings.fleet_address.clone(),
            ),
            store: ConfigStore::default(),
            counters: ControlCounters::default(),
            fleet: Fleet::default(),
            order_book: OrderBook::default(),
            settings,
        }
    }

    /// Runs one reconciliation: reads the platform, queries the engines and sends orders to the engines assigned
    /// to this keeper.
    pub async fn reconcile(&mut self) {
        self.read_platform().await;
        self.assign_engines();
        self.query_engines().await;
        let orders = self.plan_orders();
        join_all(orders.iter().map(|order| self.send_order(order))).await;
    }

    /// The pause between two reconciliations.
    pub fn interval(&self) -> Duration {
        Duration::from_micros(self.settings.reconcile_interval.0)
    }

    async fn read_platform(&mut self) {
        // If the platform cannot be read, the last accepted configuration and fleet list stay in force.
        if let Ok(Some(document)) = self.platform.read_configuration(Duration::ZERO).await
            && self.store.offer(&document, &mut self.counters)
        {
            spdlog::info!("configuration in force", kv: { revision = document.revision.0 });
        }
        if let Ok(Some(fleet)) = self
            .platform
            .read_fleet(self.fleet.revision, Duration::ZERO)
            .await
            && fleet.revision > self.fleet.revision
            && fleet.validation_error().is_none()
        {
            self.fleet = fleet;
        }
    }

    /// Determines the engines that are assigned to this keeper, by rendezvous hashing over the published entry
    /// nodes of the region: one keeper runs beside each entry node.
    fn assign_engines(&mut self) {
        let keepers: Vec<u64> = self
            .fleet
            .entries
            .iter()
            .filter(|entry| entry.region == self.settings.region)
            .map(|entry| u64::from(entry.id.0))
            .collect();
        self.order_book.limits = OrderLimits {
            loads_per_s: self.settings.loads_per_s,
            keeper_count: keepers.len().max(1) as u32,
            ..OrderLimits::default()
        };
        let listed: BTreeMap<TargetId, &TargetNode> = self
            .fleet
            .targets
            .iter()
            .filter(|target| target.region == self.settings.region && target.state == ListState::Live)
            .map(|target| (target.id, target))
            .collect();
        self.order_book.engines.retain(|id, _| listed.contains_key(id));
        for (id, target) in listed {
            if !self.has_placement(id) {
                continue;
            }
            let owner = rendezvous::pick(u128::from(id.0), keepers.iter().copied());
            let engine = self.order_book.engines.entry(id).or_default();
            engine.assigned = owner == Some(u64::from(self.settings.node));
            engine.fences = target.fences;
        }
    }

    fn placement(&self) -> &[Placement] {
        self.store
            .config()
            .map_or(&[], |config| config.placement.as_slice())
    }

    fn has_placement(&self, id: TargetId) -> bool {
        self.placement().iter().any(|placement| placement.target == id)
    }

    fn target_address(&self, id: TargetId) -> Option<&str> {
        self.fleet
            .targets
            .iter()
            .find(|target| target.id == id)
            .map(|target| target.address.as_str())
    }

    /// Queries all engines of the placement concurrently. Engines of other keepers are included because the
    /// models that they hold decide which models the engines of this keeper may unload.
    async fn query_engines(&mut self) {
        let addresses: Vec<(TargetId, String)> = self
            .order_book
            .engines
            .keys()
            .filter_map(|id| Some((*id, self.target_address(*id)?.to_owned())))
            .collect();
        let answers = join_all(addresses.iter().map(|(_, address)| {
            http::get_json::<TargetReport>(address, LOAD_PATH, MAX_ANSWER_BYTES, REQUEST_TIMEOUT)
        }))
        .await;
        let now = self.clock.now();
        for ((id, _), answer) in addresses.iter().zip(answers) {
            if let Ok(Some(TargetReport {
                engine: Some(report), ..
            })) = answer
            {
                self.order_book.apply_report(now, *id, report);
            }
        }
    }

    fn plan_orders(&mut self) -> Vec<EngineOrder> {
        let placement = self.placement().to_vec();
        // The last argument, `confirmed`, says whether this keeper's lease is confirmed. A keeper holds no lease, so it
        // is `false`, and engines that do not check fences get no orders; see docs/DESIGN.md.
        self.order_book
            .plan(self.clock.now(), self.revision(), &placement, false)
    }

    fn revision(&self) -> Revision {
        self.store.revision()
    }

    async fn send_order(&self, order: &EngineOrder) {
        let Some(address) = self.target_address(order.target) else {
            return;
        };
        let request = OrderRequest {
            fence: order.fence,
            load: order.load.clone(),
            unload: order.unload.clone(),
        };
        let Ok(body) = serde_json::to_vec(&request) else {
            return;
        };
        let answer = http::send_request(
            address,
            Method::POST,
            ORDERS_PATH,
            body,
            MAX_ANSWER_BYTES,
            REQUEST_TIMEOUT,
        )
        .await;
        let accepted = answer.is_ok_and(|(_, body)| {
            serde_json::from_slice::<OrderReply>(&body).is_ok_and(|reply| reply.accepted)
        });
        spdlog::info!("order", kv: {
            target = order.target.0, revision = order.fence.revision.0, counter = order.fence.counter, taken = accepted,
        });
    }

    // ------------------------------------------------------------------------
    // State shown to operators

    /// For each engine of the placement: the wanted, loaded and loading models, and why it gets no order now
    /// (`ordering` if it gets one).
    pub fn order_states(&self) -> rpc::OrdersReply {
        let now = self.clock.now();
        let order_state = |placement: &Placement| {
            let engine = self.order_book.engines.get(&placement.target);
            let report = engine
                .and_then(|engine| engine.report.as_ref())
                .map(|(report, _)| report.clone());
            let report = report.unwrap_or_default();
            // `false`: the lease is not confirmed, as in `plan_orders`.
            let reason = match self.order_book.order_for(now, self.revision(), placement, false) {
                Ok(_) => "ordering",
                Err(blocker) => blocker.name(),
            };
            rpc::OrderState {
                target: placement.target.to_string(),
                wanted: placement.models.join(","),
                reported: report.models.into_iter().collect::<Vec<_>>().join(","),
                pending: report.loading.into_iter().collect::<Vec<_>>().join(","),
                reason: reason.to_owned(),
            }
        };
        rpc::OrdersReply {
            orders: self.placement().iter().map(order_state).collect(),
        }
    }

    /// A summary of the keeper's state.
    pub fn status(&self) -> rpc::StatusReply {
        rpc::StatusReply {
            node: self.settings.node.to_string(),
            state: if self.store.config().is_some() {
                "serving"
            } else {
                "empty"
            }
            .to_owned(),
            revision: self.revision().0,
            fleet_revision: self.fleet.revision.0,
            uptime_ms: self.clock.now().since(self.clock.started_at()).as_millis(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            ..rpc::StatusReply::default()
        }
    }
}
