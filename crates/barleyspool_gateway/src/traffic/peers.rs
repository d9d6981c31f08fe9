//! Pieces for and from other nodes.

use super::Traffic;
use super::grants;
use super::placement;
use super::pools::PoolId;
use barleyspool_core::{Grant, NO_CAPACITY_TTL, OrderOutcome, PieceOrder, Span, Time, rendezvous};
use barleyspool_wire::net;
use barleyspool_wire::pieces::{
    self, GrantRequest, Pieces, PiecesClient, PlaceAnswer, PlaceRequest, PlaceStep, RemoteEnd, RemoteOrder,
    RemoteRelease,
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

/// How long a node that did not answer is left out.
const EXCLUDED_FOR: Span = Span::from_millis(1500);
/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a node with orders may be silent before it is asked whether it is there.
const PING_AFTER: Duration = Duration::from_millis(150);
/// How long it may take to answer that.
const PING_TIMEOUT: Duration = Duration::from_millis(200);
/// How long what a node said of its wait is of use.
const MAX_WAIT_AGE: Span = Span::from_millis(1500);

/// An order that came from another node.
#[derive(Debug)]
pub enum PeerJob {
    /// Make pieces.
    Compute(RemoteOrder, oneshot::Sender<RemoteEnd>),
    /// Free results.
    Release(RemoteRelease),
    /// Choose an engine.
    Place(PlaceRequest, oneshot::Sender<PlaceAnswer>),
    /// Say whether a call may go to a target.
    Grant(GrantRequest, oneshot::Sender<Grant>),
    /// A placed call goes on.
    Placed(String, PlaceStep),
}

struct Link {
    client: PiecesClient,
    last_answer: Cell<Instant>,
    pinging: Cell<bool>,
}

/// The other nodes, as far as pieces go.
#[derive(Default)]
pub struct Peers {
    links: RefCell<HashMap<String, Rc<Link>>>,
    excluded: RefCell<HashMap<String, Time>>,
    reported_waits: RefCell<HashMap<PoolId, (Span, Time)>>,
    /// Until when the engines of a shard have no room, by their owner's word, and when that was told.
    no_capacity: RefCell<HashMap<PoolId, (Time, Time)>>,
}

/// What became of an order at another node.
enum OrderAttempt {
    /// It ended there.
    Ended(OrderOutcome),
    /// The connection broke.
    ConnectionLost,
    /// The node cannot be reached or is silent.
    Unreachable,
}

/// The owner of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local,
    /// Another, at this address.
    Remote(String),
}

impl Peers {
    /// The node that owns a pool, as far as this one can tell; one that did not answer lately is left out.
    pub fn owner(&self, traffic: &Traffic, id: &PoolId) -> Owner {
        self.owner_of_key(traffic, id.owner_key())
    }

    /// The same for the key of a shard.
    pub fn owner_of_key(&self, traffic: &Traffic, shard: u128) -> Owner {
        let plan = traffic.plan();
        let now = traffic.now();
        let excluded = self.excluded.borrow();
        let available = plan.members.iter().filter(|member| {
            let until = excluded.get(&member.peer_address);
            until.is_none_or(|until| now >= *until)
        });
        let owner_key = rendezvous::pick(shard, available.map(|member| member.key));
        let owner = plan.members.iter().find(|member| Some(member.key) == owner_key);
        match owner {
            Some(member) if member.key != plan.me => Owner::Remote(member.peer_address.clone()),
            _ => Owner::Local,
        }
    }

    /// How long a full call to another node's pool takes by its own last word.
    pub fn pool_wait(&self, now: Time, id: &PoolId) -> Option<Span> {
        let (wait, at) = *self.reported_waits.borrow().get(id)?;
        let age = now.since(at);
        (age < MAX_WAIT_AGE).then(|| Span(wait.0.saturating_sub(age.0 / 2)))
    }

    /// How long the engines of a shard have no room yet, by their owner's last word; `None` when they may have.
    pub fn no_capacity_wait(&self, now: Time, id: &PoolId) -> Option<Span> {
        let (until, reported) = *self.no_capacity.borrow().get(id)?;
        let is_valid = now < until && now.since(reported) < NO_CAPACITY_TTL;
        is_valid.then(|| until.since(now))
    }

    /// The owner of a shard of engines says that there is no room yet.
    pub fn note_no_capacity(&self, now: Time, id: &PoolId, wait: Span) {
        self.no_capacity
            .borrow_mut()
            .insert(id.clone(), (now + wait, now));
    }

    /// Lets another node make pieces; `None` when it cannot be reached or falls silent.
    pub async fn compute(
        &self,
        traffic: &Traffic,
        address: &str,
        id: &PoolId,
        order: &PieceOrder,
    ) -> Option<OrderOutcome> {
        let mut attempt = self.try_compute(traffic, address, id, order).await;
        if matches!(attempt, OrderAttempt::ConnectionLost) {
            // A connection that was reset says nothing of the node: it gets another one at once.
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
            from: traffic.plan().me,
            order: PieceOrder {
                // Counted from now: the other node adds its own clock.
                deadline: Time(order.deadline.since(now).0),
                due: Time(order.due.since(now).0),
                ..order.clone()
            },
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
                    self.reported_waits.borrow_mut().insert(id.clone(), (end.wait, traffic.now()));
                    return OrderAttempt::Ended(end.end);
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

    /// Frees results at another node. When it does not get there they go by themselves after their time.
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
    /// Lets another node choose an engine; `None` when it does not answer.
    pub async fn request_placement(&self, address: &str, request: PlaceRequest) -> Option<PlaceAnswer> {
        let link = self.link(address).await?;
        let answer = link.client.place(context::current(), request).await;
        self.check_answer(address, answer)
    }

    /// Asks another node whether a call may go to a target; `None` when it does not answer.
    pub async fn request_grant(&self, address: &str, request: GrantRequest) -> Option<Grant> {
        let link = self.link(address).await?;
        let answer = link.client.grant(context::current(), request).await;
        self.check_answer(address, answer)
    }

    /// A connection that has ended is not asked again.
    fn check_answer<T>(&self, address: &str, answer: Result<Option<T>, RpcError>) -> Option<T> {
        if matches!(answer, Err(RpcError::Shutdown)) {
            self.links.borrow_mut().remove(address);
        }
        answer.ok().flatten()
    }

    /// A node does not answer: for a while another one is taken for the owner of what it owns.
    pub fn exclude(&self, now: Time, address: &str) {
        self.links.borrow_mut().remove(address);
        self.excluded
            .borrow_mut()
            .insert(address.to_owned(), now + EXCLUDED_FOR);
    }

    /// Tells another node how a call that it placed goes on. What is lost it forgets by itself.
    pub async fn report_step(&self, address: &str, call: String, step: PlaceStep) {
        if let Some(link) = self.link(address).await {
            let _ = link.client.placed(context::current(), call, step).await;
        }
    }
}

/// Waits a while, then makes sure that the node answers; orders that share a link share the question.
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

/// A question whether a node is there. It ends when this is dropped, also with an order that ended in the same moment: a question
/// that counted as under way for ever would be the last one, and the node taken for there whatever it does.
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
    async fn make(self, _: Context, order: RemoteOrder) -> RemoteEnd {
        let (reply, end) = oneshot::channel();
        let failed = RemoteEnd {
            end: OrderOutcome::Failed,
            wait: Span::ZERO,
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

    async fn placed(self, _: Context, call: String, step: PlaceStep) {
        let _ = self.jobs.send(PeerJob::Placed(call, step));
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
                // When the other node does not wait any more it has chosen alone.
                let _ = reply.send(placement::place_locally(&traffic, &request));
            }
            PeerJob::Grant(request, reply) => {
                let _ = reply.send(grants::grant_locally(&traffic, &request));
            }
            PeerJob::Placed(call, step) => placement::apply_step(&traffic, &call, step),
            PeerJob::Release(release) => {
                let id = PoolId {
                    service: release.service,
                    shard: release.shard,
                };
                if let Some(pool) = traffic.pools.find(&id) {
                    pool.release(release.handles);
                }
            }
        }
    }
}

async fn compute_for_peer(traffic: Rc<Traffic>, order: RemoteOrder, mut reply: oneshot::Sender<RemoteEnd>) {
    let id = PoolId {
        service: order.service,
        shard: order.shard,
    };
    let now = traffic.now();
    let from = order.from;
    let mut order = order.order;
    order.deadline = now + Span(order.deadline.0);
    order.due = now + Span(order.due.0);
    let ended = |end| RemoteEnd {
        end,
        wait: Span::ZERO,
    };
    if !id.is_current(&traffic.plan()) {
        // The pool is split in another way by now; the other node will hear of it too.
        let _ = reply.send(ended(OrderOutcome::Moved));
        return;
    }
    let Some(pool) = traffic.pools.get_or_start(&traffic, &id) else {
        let _ = reply.send(ended(OrderOutcome::Failed));
        return;
    };
    let end = tokio::select! {
        end = pool.compute(&traffic, order, from) => end,
        // The other node does not wait any more.
        () = reply.closed() => return,
    };
    let wait = pool.expected_wait(&traffic);
    // A node that has gone in the same moment cannot free the results; they go after their time.
    let _ = reply.send(RemoteEnd { end, wait });
}
