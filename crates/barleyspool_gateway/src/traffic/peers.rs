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
const DOWN_FOR: Span = Span::from_millis(1500);
/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(250);
/// How long a node with orders may be silent before it is asked whether it is there.
const SILENT: Duration = Duration::from_millis(150);
/// How long it may take to answer that.
const PING: Duration = Duration::from_millis(200);
/// How long what a node said of its wait is of use.
const WAIT_AGE: Span = Span::from_millis(1500);

/// An order that came from another node.
#[derive(Debug)]
pub enum PeerJob {
    /// Make pieces.
    Make(RemoteOrder, oneshot::Sender<RemoteEnd>),
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
    down: RefCell<HashMap<String, Time>>,
    waits: RefCell<HashMap<PoolId, (Span, Time)>>,
    /// Until when the engines of a shard have no room, by their owner's word, and when that was told.
    no_room: RefCell<HashMap<PoolId, (Time, Time)>>,
}

/// What became of an order at another node.
enum Made {
    /// It ended there.
    Ended(OrderOutcome),
    /// The connection broke.
    Broken,
    /// The node cannot be reached or is silent.
    Unreachable,
}

/// The owner of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Me,
    /// Another, at this address.
    Other(String),
}

impl Peers {
    /// The node that owns a pool, as far as this one can tell; one that did not answer lately is left out.
    pub fn owner(&self, traffic: &Traffic, id: &PoolId) -> Owner {
        self.owner_of(traffic, id.owner_key())
    }

    /// The same for the key of a shard.
    pub fn owner_of(&self, traffic: &Traffic, shard: u128) -> Owner {
        let plan = traffic.plan();
        let now = traffic.now();
        let down = self.down.borrow();
        let up = plan.members.iter().filter(|member| {
            let until = down.get(&member.peer_address);
            until.is_none_or(|until| now >= *until)
        });
        let picked = rendezvous::pick(shard, up.map(|member| member.key));
        let owner = plan.members.iter().find(|member| Some(member.key) == picked);
        match owner {
            Some(member) if member.key != plan.me => Owner::Other(member.peer_address.clone()),
            _ => Owner::Me,
        }
    }

    /// How long a full call to another node's pool takes by its own last word.
    pub fn wait(&self, now: Time, id: &PoolId) -> Option<Span> {
        let (wait, at) = *self.waits.borrow().get(id)?;
        let age = now.since(at);
        (age < WAIT_AGE).then(|| Span(wait.0.saturating_sub(age.0 / 2)))
    }

    /// How long the engines of a shard have no room yet, by their owner's last word; `None` when they may have.
    pub fn no_room(&self, now: Time, id: &PoolId) -> Option<Span> {
        let (until, reported) = *self.no_room.borrow().get(id)?;
        let holds = now < until && now.since(reported) < NO_CAPACITY_TTL;
        holds.then(|| until.since(now))
    }

    /// The owner of a shard of engines says that there is no room yet.
    pub fn note_no_room(&self, now: Time, id: &PoolId, wait: Span) {
        self.no_room.borrow_mut().insert(id.clone(), (now + wait, now));
    }

    /// Lets another node make pieces; `None` when it cannot be reached or falls silent.
    pub async fn make(
        &self,
        traffic: &Traffic,
        address: &str,
        id: &PoolId,
        order: &PieceOrder,
    ) -> Option<OrderOutcome> {
        let mut made = self.try_make(traffic, address, id, order).await;
        if matches!(made, Made::Broken) {
            // A connection that was reset says nothing of the node: it gets another one at once.
            self.links.borrow_mut().remove(address);
            made = self.try_make(traffic, address, id, order).await;
        }
        if let Made::Ended(end) = made {
            return Some(end);
        }
        self.leave_out(traffic.now(), address);
        None
    }

    async fn try_make(&self, traffic: &Traffic, address: &str, id: &PoolId, order: &PieceOrder) -> Made {
        let Some(link) = self.link(address).await else {
            return Made::Unreachable;
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
        context.deadline = Instant::now() + Duration::from_micros(order.deadline.since(now).0) + PING;
        let made = link.client.make(context, remote);
        let mut made = std::pin::pin!(made);
        loop {
            tokio::select! {
                end = made.as_mut() => {
                    let Ok(end) = end else { return Made::Broken };
                    link.last_answer.set(Instant::now());
                    self.waits.borrow_mut().insert(id.clone(), (end.wait, traffic.now()));
                    return Made::Ended(end.end);
                }
                there = still_there(&link) => if !there {
                    return Made::Unreachable;
                },
            }
        }
    }

    async fn link(&self, address: &str) -> Option<Rc<Link>> {
        if let Some(link) = self.links.borrow().get(address) {
            return Some(Rc::clone(link));
        }
        let client = timer::timeout(CONNECT, pieces::connect(address))
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
    pub async fn place(&self, address: &str, request: PlaceRequest) -> Option<PlaceAnswer> {
        let link = self.link(address).await?;
        let answer = link.client.place(context::current(), request).await;
        self.answered(address, answer)
    }

    /// Asks another node whether a call may go to a target; `None` when it does not answer.
    pub async fn grant(&self, address: &str, request: GrantRequest) -> Option<Grant> {
        let link = self.link(address).await?;
        let answer = link.client.grant(context::current(), request).await;
        self.answered(address, answer)
    }

    /// A connection that has ended is not asked again.
    fn answered<T>(&self, address: &str, answer: Result<Option<T>, RpcError>) -> Option<T> {
        if matches!(answer, Err(RpcError::Shutdown)) {
            self.links.borrow_mut().remove(address);
        }
        answer.ok().flatten()
    }

    /// A node does not answer: for a while another one is taken for the owner of what it owns.
    pub fn leave_out(&self, now: Time, address: &str) {
        self.links.borrow_mut().remove(address);
        self.down.borrow_mut().insert(address.to_owned(), now + DOWN_FOR);
    }

    /// Tells another node how a call that it placed goes on. What is lost it forgets by itself.
    pub async fn placed(&self, address: &str, call: String, step: PlaceStep) {
        if let Some(link) = self.link(address).await {
            let _ = link.client.placed(context::current(), call, step).await;
        }
    }
}

/// Waits a while, then makes sure that the node answers; orders that share a link share the question.
async fn still_there(link: &Link) -> bool {
    timer::sleep(SILENT).await;
    if link.last_answer.get().elapsed() < SILENT || link.pinging.get() {
        return true;
    }
    let _mark = PingMark::new(link);
    let asked = timer::timeout(PING, link.client.ping(context::current())).await;
    let there = matches!(asked, Ok(Ok(())));
    if there {
        link.last_answer.set(Instant::now());
    }
    there
}

/// A question whether a node is there. It ends when this is dropped, also with an order that ended in the same moment: a question
/// that counted as under way for ever would be the last one, and the node taken for there whatever it does.
struct PingMark<'a>(&'a Link);

impl<'a> PingMark<'a> {
    fn new(link: &'a Link) -> Self {
        link.pinging.set(true);
        Self(link)
    }
}

impl Drop for PingMark<'_> {
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
        if self.jobs.send(PeerJob::Make(order, reply)).is_err() {
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
            PeerJob::Make(order, reply) => {
                spawn_local(make_for_peer(Rc::clone(&traffic), order, reply));
            }
            PeerJob::Place(request, reply) => {
                // When the other node does not wait any more it has chosen alone.
                let _ = reply.send(placement::place_here(&traffic, &request));
            }
            PeerJob::Grant(request, reply) => {
                let _ = reply.send(grants::grant_here(&traffic, &request));
            }
            PeerJob::Placed(call, step) => placement::take_step(&traffic, &call, step),
            PeerJob::Release(release) => {
                let id = PoolId {
                    service: release.service,
                    shard: release.shard,
                };
                if let Some(pool) = traffic.pools.known(&id) {
                    pool.release(release.handles);
                }
            }
        }
    }
}

async fn make_for_peer(traffic: Rc<Traffic>, order: RemoteOrder, mut reply: oneshot::Sender<RemoteEnd>) {
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
    let Some(pool) = traffic.pools.get(&traffic, &id) else {
        let _ = reply.send(ended(OrderOutcome::Failed));
        return;
    };
    let end = tokio::select! {
        end = pool.make(&traffic, order, from) => end,
        // The other node does not wait any more.
        () = reply.closed() => return,
    };
    let wait = pool.wait(&traffic);
    // A node that has gone in the same moment cannot free the results; they go after their time.
    let _ = reply.send(RemoteEnd { end, wait });
}
