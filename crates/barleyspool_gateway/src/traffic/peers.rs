//! Sends piece orders, placements and grants to other nodes, and serves those of other nodes.

use super::Traffic;
use super::grants;
use super::placement;
use super::pools::PoolId;
use barleyspool_core::{
    Grant, NO_CAPACITY_TTL, OrderOutcome, PieceOrder, PoolDemand, RankWaits, Span, Time, WaitReport,
    owner_among,
};
use barleyspool_wire::net;
use barleyspool_wire::pieces::{
    self, GrantRequest, Pieces, PiecesClient, PlaceAnswer, PlaceRequest, PlacedCallEvent, RemoteOrder,
    RemoteOrderOutcome, RemoteRelease, SlotRequest,
};
use barleyspool_wire::timer;
use futures::StreamExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// How long a node that did not answer is excluded from the choice of owners.
const EXCLUDED_FOR: Span = Span::from_millis(1500);
/// How long connecting to a node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a node with open orders may send nothing before it is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);
/// How long a node may take to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// A request that another node sent to this one.
#[derive(Debug)]
pub enum PeerJob {
    /// Compute the pieces of an order.
    Compute(RemoteOrder, oneshot::Sender<RemoteOrderOutcome>),
    /// Release stage results.
    Release(RemoteRelease),
    /// Place a call at an engine.
    Place(PlaceRequest, oneshot::Sender<PlaceAnswer>),
    /// Decide whether a call may be sent to a rate-limited target.
    Grant(GrantRequest, oneshot::Sender<Grant>),
    /// Reserve room for a call at a brittle target.
    Reserve(SlotRequest, oneshot::Sender<bool>),
    /// A call that was placed here reached its next step.
    Placed(String, PlacedCallEvent),
}

struct Link {
    client: PiecesClient,
    last_answer: Cell<Instant>,
    pinging: Cell<bool>,
}

/// Connections to the other nodes, and what they reported of their pools and engines.
#[derive(Default)]
pub struct Peers {
    links: RefCell<HashMap<String, Rc<Link>>>,
    excluded: RefCell<HashMap<String, Time>>,
    reported_waits: RefCell<HashMap<PoolId, WaitReport>>,
    /// Until when the engines of a shard have no capacity, as their owner reported, and when it did. The id names a
    /// shard of engines here, not a pool.
    no_capacity: RefCell<HashMap<PoolId, (Time, Time)>>,
}

/// Result of one attempt to have another node compute an order.
enum OrderAttempt {
    /// The node completed the order with this outcome.
    Ended(OrderOutcome),
    /// The connection broke before the outcome arrived.
    ConnectionLost,
    /// The node cannot be reached or does not answer pings.
    Unreachable,
}

/// The owner of a pool or of a shard of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local,
    /// Another node, at this address.
    Remote(String),
}

impl Peers {
    /// The node that owns a pool or a shard of engines, as far as this one knows. Nodes that did not answer
    /// recently are excluded, and so are those that reach no target of the service while others do.
    pub fn owner(&self, traffic: &Traffic, id: &PoolId) -> Owner {
        self.owner_of_key(traffic, &id.service, id.owner_key())
    }

    /// Same as [`Self::owner`], for the key of a shard of `service`.
    pub fn owner_of_key(&self, traffic: &Traffic, service: &str, shard: u128) -> Owner {
        let plan = traffic.plan();
        let now = traffic.now();
        let available = plan
            .members
            .iter()
            .filter(|member| self.is_available(now, &member.peer_address));
        match owner_among(available, service, shard) {
            Some(member) if member.key != plan.me => Owner::Remote(member.peer_address.clone()),
            _ => Owner::Local,
        }
    }

    /// The last report of the owner of another node's pool; `None` when there is none.
    pub fn pool_report(&self, id: &PoolId) -> Option<WaitReport> {
        self.reported_waits.borrow().get(id).cloned()
    }

    /// How long the engines of a shard will have no capacity, as their owner reported last; `None` when they
    /// may have some.
    pub fn no_capacity_wait(&self, now: Time, id: &PoolId) -> Option<Span> {
        let (until, reported) = *self.no_capacity.borrow().get(id)?;
        let is_valid = now < until && now.since(reported) < NO_CAPACITY_TTL;
        is_valid.then(|| until.since(now))
    }

    /// Records the report of an owner that its shard of engines has no capacity for the time `wait`.
    pub fn note_no_capacity(&self, now: Time, id: &PoolId, wait: Span) {
        self.no_capacity
            .borrow_mut()
            .insert(id.clone(), (now + wait, now));
    }

    /// Has another node compute an order. Returns `None` when that node cannot be reached or stops
    /// responding.
    pub async fn compute(
        &self,
        traffic: &Traffic,
        address: &str,
        id: &PoolId,
        order: &PieceOrder,
    ) -> Option<OrderOutcome> {
        let mut attempt = self.try_compute(traffic, address, id, order).await;
        if matches!(attempt, OrderAttempt::ConnectionLost) {
            // A reset connection does not mean that the node failed, so one new connection is tried at once.
            self.links.borrow_mut().remove(address);
            attempt = self.try_compute(traffic, address, id, order).await;
        }
        if let OrderAttempt::Ended(end) = attempt {
            return Some(end);
        }
        self.exclude(traffic.now(), address);
        None
    }

    async fn try_compute(
        &self,
        traffic: &Traffic,
        address: &str,
        id: &PoolId,
        order: &PieceOrder,
    ) -> OrderAttempt {
        let Some(link) = self.link(address).await else {
            return OrderAttempt::Unreachable;
        };
        let now = traffic.now();
        let remote = RemoteOrder {
            service: id.service.clone(),
            shard: id.shard,
            requester: traffic.plan().me,
            order: PieceOrder {
                // Sent as the time left, since the clocks of the nodes differ; the other node adds its own
                // clock.
                deadline: Time(order.deadline.since(now).0),
                due: Time(order.due.since(now).0),
                ..order.clone()
            },
            planned: traffic.planned.borrow().get(id).cloned().unwrap_or_default(),
            offered: traffic.offered_to(id),
        };
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_micros(order.deadline.since(now).0) + PING_TIMEOUT;
        let attempt = link.client.make(context, remote);
        let mut attempt = std::pin::pin!(attempt);
        loop {
            tokio::select! {
                end = attempt.as_mut() => {
                    let Ok(end) = end else { return OrderAttempt::ConnectionLost };
                    link.last_answer.set(Instant::now());
                    let report = WaitReport {
                        expected: end.expected_wait,
                        waits: end.waits,
                        demand: end.demand,
                        received_at: traffic.now(),
                    };
                    self.reported_waits.borrow_mut().insert(id.clone(), report);
                    return OrderAttempt::Ended(end.outcome);
                }
                responsive = is_responsive(&link) => if !responsive {
                    return OrderAttempt::Unreachable;
                },
            }
        }
    }

    async fn link(&self, address: &str) -> Option<Rc<Link>> {
        if let Some(link) = self.links.borrow().get(address) {
            return Some(Rc::clone(link));
        }
        let client = timer::timeout(CONNECT_TIMEOUT, pieces::connect(address))
            .await
            .ok()?
            .ok()?;
        let link = Rc::new(Link {
            client,
            last_answer: Cell::new(Instant::now()),
            pinging: Cell::new(false),
        });
        self.links
            .borrow_mut()
            .insert(address.to_owned(), Rc::clone(&link));
        Some(link)
    }

    /// Releases results at another node. When the message is lost, the results expire after their time to
    /// live.
    pub async fn release(&self, address: &str, id: PoolId, handles: Vec<String>) {
        let Some(link) = self.link(address).await else {
            return;
        };
        let release = RemoteRelease {
            service: id.service,
            shard: id.shard,
            handles,
        };
        let _ = link.client.release(context::current(), release).await;
    }
}

impl Peers {
    /// Requests the placement of a call from another node; `None` when it does not answer.
    pub async fn request_placement(&self, address: &str, request: PlaceRequest) -> Option<PlaceAnswer> {
        let link = self.link(address).await?;
        let answer = link.client.place(context::current(), request).await;
        self.check_answer(address, answer)
    }

    /// Requests a grant for a call to a target from another node; `None` when it does not answer.
    pub async fn request_grant(&self, address: &str, request: GrantRequest) -> Option<Grant> {
        let link = self.link(address).await?;
        let answer = link.client.grant(context::current(), request).await;
        self.check_answer(address, answer)
    }

    /// Requests room for a call at a brittle target from another node; `None` when it does not answer.
    pub async fn request_slot(&self, address: &str, request: SlotRequest) -> Option<bool> {
        let link = self.link(address).await?;
        let answer = link.client.reserve(context::current(), request).await;
        self.check_answer(address, answer)
    }

    /// Unwraps an answer, and drops the connection to the node when it has ended, so that it is not used
    /// again.
    fn check_answer<T>(&self, address: &str, answer: Result<Option<T>, RpcError>) -> Option<T> {
        if matches!(answer, Err(RpcError::Shutdown)) {
            self.links.borrow_mut().remove(address);
        }
        answer.ok().flatten()
    }

    /// Whether a node has not been excluded recently.
    pub fn is_available(&self, now: Time, address: &str) -> bool {
        let excluded = self.excluded.borrow();
        excluded.get(address).is_none_or(|until| now >= *until)
    }

    /// Excludes a node that does not answer: for a while other nodes count as the owners of what it owns.
    pub fn exclude(&self, now: Time, address: &str) {
        self.links.borrow_mut().remove(address);
        self.excluded
            .borrow_mut()
            .insert(address.to_owned(), now + EXCLUDED_FOR);
    }

    /// Reports a step of a placed call to the node that placed it. When the message is lost, that node drops
    /// the placement after its time to live.
    pub async fn report_event(&self, address: &str, call: String, event: PlacedCallEvent) {
        if let Some(link) = self.link(address).await {
            let _ = link.client.placed(context::current(), call, event).await;
        }
    }
}

/// Waits, then checks that the node responds: `true` when it has answered something recently, answers a ping,
/// or a ping of another order on the same link is under way.
async fn is_responsive(link: &Link) -> bool {
    timer::sleep(PING_AFTER).await;
    if link.last_answer.get().elapsed() < PING_AFTER || link.pinging.get() {
        return true;
    }
    let _guard = PingGuard::new(link);
    let ping = timer::timeout(PING_TIMEOUT, link.client.ping(context::current())).await;
    let responsive = matches!(ping, Ok(Ok(())));
    if responsive {
        link.last_answer.set(Instant::now());
    }
    responsive
}

/// Marks a ping as under way until dropped, also when the order that sent it ends meanwhile. A mark that
/// stayed set would suppress all later pings, and the node would count as responsive for ever.
struct PingGuard<'a>(&'a Link);

impl<'a> PingGuard<'a> {
    fn new(link: &'a Link) -> Self {
        link.pinging.set(true);
        Self(link)
    }
}

impl Drop for PingGuard<'_> {
    fn drop(&mut self) {
        self.0.pinging.set(false);
    }
}

// ----------------------------------------------------------------------------
// Serving other nodes

#[derive(Clone)]
struct PeerServer {
    jobs: mpsc::UnboundedSender<PeerJob>,
}

impl Pieces for PeerServer {
    async fn make(self, _: Context, order: RemoteOrder) -> RemoteOrderOutcome {
        let (reply, end) = oneshot::channel();
        let failed = RemoteOrderOutcome {
            outcome: OrderOutcome::Failed,
            expected_wait: Span::ZERO,
            waits: RankWaits::default(),
            demand: PoolDemand::default(),
        };
        if self.jobs.send(PeerJob::Compute(order, reply)).is_err() {
            return failed;
        }
        end.await.unwrap_or(failed)
    }

    async fn release(self, _: Context, release: RemoteRelease) {
        let _ = self.jobs.send(PeerJob::Release(release));
    }

    async fn place(self, _: Context, request: PlaceRequest) -> Option<PlaceAnswer> {
        let (reply, placed) = oneshot::channel();
        self.jobs.send(PeerJob::Place(request, reply)).ok()?;
        placed.await.ok()
    }

    async fn grant(self, _: Context, request: GrantRequest) -> Option<Grant> {
        let (reply, grant) = oneshot::channel();
        self.jobs.send(PeerJob::Grant(request, reply)).ok()?;
        grant.await.ok()
    }

    async fn reserve(self, _: Context, request: SlotRequest) -> Option<bool> {
        let (reply, reserved) = oneshot::channel();
        self.jobs.send(PeerJob::Reserve(request, reply)).ok()?;
        reserved.await.ok()
    }

    async fn placed(self, _: Context, call: String, event: PlacedCallEvent) {
        let _ = self.jobs.send(PeerJob::Placed(call, event));
    }

    async fn ping(self, _: Context) {}
}

/// Serves other nodes until the process ends.
pub async fn serve(traffic: Rc<Traffic>, listener: TcpListener) {
    let (jobs, mut received) = mpsc::unbounded_channel();
    spawn_local(async move {
        let mut connections = std::pin::pin!(net::incoming(listener));
        while let Some(connection) = connections.next().await {
            let Ok(stream) = connection else { continue };
            let channel = BaseChannel::with_defaults(pieces::server_transport(stream));
            let server = PeerServer { jobs: jobs.clone() };
            spawn_local(channel.execute(server.serve()).for_each(|answer| async {
                spawn_local(answer);
            }));
        }
    });
    while let Some(job) = received.recv().await {
        match job {
            PeerJob::Compute(order, reply) => {
                spawn_local(compute_for_peer(Rc::clone(&traffic), order, reply));
            }
            PeerJob::Place(request, reply) => {
                // The requesting node may have timed out, and has then chosen a target itself.
                let _ = reply.send(placement::place_locally(&traffic, &request));
            }
            PeerJob::Grant(request, reply) => {
                let _ = reply.send(grants::grant_locally(&traffic, &request));
            }
            PeerJob::Reserve(request, reply) => {
                let _ = reply.send(placement::reserve_locally(&traffic, &request));
            }
            PeerJob::Placed(call, event) => placement::apply_event(&traffic, &call, event),
            PeerJob::Release(release) => {
                let id = PoolId {
                    service: release.service,
                    shard: release.shard,
                };
                if let Some(pool) = traffic.pools.find(&id) {
                    pool.release(traffic.now(), release.handles);
                }
            }
        }
    }
}

async fn compute_for_peer(
    traffic: Rc<Traffic>,
    order: RemoteOrder,
    mut reply: oneshot::Sender<RemoteOrderOutcome>,
) {
    let id = PoolId {
        service: order.service,
        shard: order.shard,
    };
    let now = traffic.now();
    let (requester, planned, offered) = (order.requester, order.planned, order.offered);
    let mut order = order.order;
    order.deadline = now + Span(order.deadline.0);
    order.due = now + Span(order.due.0);
    let ended = |outcome| RemoteOrderOutcome {
        outcome,
        expected_wait: Span::ZERO,
        waits: RankWaits::default(),
        demand: PoolDemand::default(),
    };
    if !id.is_current(&traffic.plan()) {
        // The pool is sharded differently in the current plan; the requesting node will receive that plan
        // too.
        let _ = reply.send(ended(OrderOutcome::Moved));
        return;
    }
    let Some(pool) = traffic.pools.get_or_start(&traffic, &id) else {
        let _ = reply.send(ended(OrderOutcome::Failed));
        return;
    };
    pool.record_announcement(now, requester, planned, offered);
    let outcome = tokio::select! {
        outcome = pool.compute(&traffic, order, requester) => outcome,
        // The requesting node has given the order up.
        () = reply.closed() => return,
    };
    let expected_wait = pool.expected_wait(&traffic);
    // A node that has disconnected just now cannot release the results; they expire after their time to live.
    let _ = reply.send(RemoteOrderOutcome {
        outcome,
        expected_wait,
        waits: pool.rank_waits(&traffic),
        demand: pool.demand(&traffic),
    });
}
