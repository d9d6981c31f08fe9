//! Opens connections to targets: directly, or by way of a peer while this node has lost its own links. See
//! docs/DESIGN.md, "Leaving, quarantine, stop".

use crate::lane::LaneNotice;
use crate::shared::Shared;
use barleyspool_core::{CheckResult, PlanPeer, ReachChange, TargetId, TargetReach};
use barleyspool_wire::read_limit::{self, LimitedBody, ReadProgress};
use barleyspool_wire::{http, net, timer, tunnel};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;

/// How often requests are checked for silence.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The greatest number of targets that one check tries.
const MAX_CHECKED: usize = 4;
/// The greatest number of peers that are asked for a tunnel.
const MAX_PEERS: usize = 2;
/// All targets count as one service: a node that reaches any of them has its links.
const ALL_TARGETS: &str = "";

/// The body of an answer of a target.
pub type TargetBody = LimitedBody<Incoming>;

/// A client connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    /// Sends requests on it.
    pub sender: SendRequest<http::FullBody>,
    progress: ReadProgress,
}

impl TargetConnection {
    /// The answer whose head was received last, with a body that counts as progress of the connection.
    pub fn limit(&self, answer: Response<Incoming>) -> Response<TargetBody> {
        answer.map(|body| LimitedBody::new(body, &self.progress))
    }
}

/// The links of one lane to targets.
#[derive(Debug)]
pub struct TargetLinks {
    shared: Arc<Shared>,
    reach: Mutex<TargetReach>,
    notices: mpsc::UnboundedSender<LaneNotice>,
}

impl TargetLinks {
    /// Creates links that report to the control thread through `notices`.
    pub fn new(shared: Arc<Shared>, notices: mpsc::UnboundedSender<LaneNotice>) -> Self {
        Self {
            shared,
            reach: Mutex::default(),
            notices,
        }
    }

    /// Whether this node reaches no target over its own links.
    pub fn are_lost(&self) -> bool {
        self.reach().is_unreached(ALL_TARGETS)
    }

    /// Opens a connection to a target, and returns whether it leads over a peer; `None` if neither this node nor a peer
    /// reaches the target.
    pub async fn connect(&self, target: TargetId, address: &str) -> Option<(TargetConnection, bool)> {
        if !self.are_lost() {
            if let Ok(stream) = net::connect(address).await {
                return Some((handshake(stream).await?, false));
            }
            self.check().await;
        }
        if !self.are_lost() {
            return None;
        }
        for peer in self.tunnel_peers() {
            if let Ok(stream) = tunnel::open(&peer, target).await {
                return Some((handshake(TokioIo::new(stream)).await?, true));
            }
        }
        None
    }

    /// The bulk addresses of random peers that have their links.
    fn tunnel_peers(&self) -> Vec<String> {
        let plan = self.shared.plan.load();
        let can_help = |peer: &&PlanPeer| {
            peer.id != plan.me && peer.reachable && !peer.without_links && !peer.bulk.is_empty()
        };
        let peers = plan.peers.iter().filter(can_help);
        let chosen = peers.choose_multiple(&mut rand::rng(), MAX_PEERS);
        chosen.into_iter().map(|peer| peer.bulk.clone()).collect()
    }

    // ------------------------------------------------------------------------
    // Requests

    /// Records that a request to a target waits for its response, until the result is dropped.
    pub fn begin_request(self: &Arc<Self>) -> PendingRequest {
        self.reach().begin_send(self.shared.clock.now(), ALL_TARGETS);
        PendingRequest(Arc::clone(self))
    }

    /// Records a response of a target.
    pub fn record_response(&self, address: &str) {
        let now = self.shared.clock.now();
        self.reach().record_answer(now, ALL_TARGETS, address);
    }

    // ------------------------------------------------------------------------
    // Checks

    /// Checks the links whenever requests get no response, and while they are lost, until the task is dropped.
    pub async fn watch(self: Arc<Self>) {
        loop {
            timer::sleep(WATCH_INTERVAL).await;
            let is_due = !self.reach().due_checks(self.shared.clock.now()).is_empty();
            if is_due {
                self.check().await;
            }
        }
    }

    /// Checks whether any of a few targets accepts a connection, unless a check is under way.
    async fn check(&self) {
        let addresses = self.sample_addresses();
        if addresses.is_empty() || self.reach().is_checking(ALL_TARGETS) {
            return;
        }
        self.reach().begin_check(self.shared.clock.now(), ALL_TARGETS);
        let mut attempts: FuturesUnordered<_> = addresses
            .into_iter()
            .map(async |address| net::connect(&address).await.is_ok().then_some(address))
            .collect();
        let mut reached = None;
        while let (None, Some(attempt)) = (&reached, attempts.next().await) {
            reached = attempt;
        }
        let now = self.shared.clock.now();
        let result = reached
            .as_deref()
            .map_or(CheckResult::Refused, CheckResult::Reached);
        let change = self.reach().end_check(now, ALL_TARGETS, result);
        if change != ReachChange::None {
            let lost = change == ReachChange::Lost;
            spdlog::warn!("links to targets changed", kv: { lost = lost });
            // The receiver is closed only at shutdown.
            let _ = self.notices.send(LaneNotice::LinksLost(lost));
        }
    }

    /// The addresses that a check tries: that of the target that was in contact last, and others at random.
    fn sample_addresses(&self) -> Vec<String> {
        let plan = self.shared.plan.load();
        let contact = self.reach().last_contact(ALL_TARGETS).to_owned();
        let others: Vec<&str> = plan
            .targets
            .iter()
            .map(|target| target.address.as_str())
            .collect();
        let others = others.choose_multiple(&mut rand::rng(), MAX_CHECKED);
        let others = others
            .filter(|address| **address != contact)
            .map(|address| (*address).to_owned());
        let first = (!contact.is_empty()).then(|| contact.clone());
        first.into_iter().chain(others).take(MAX_CHECKED).collect()
    }

    fn reach(&self) -> MutexGuard<'_, TargetReach> {
        // Poisoned only if a task panicked, which ends the process.
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits for its response until dropped.
pub struct PendingRequest(Arc<TargetLinks>);

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.0.reach().end_send(ALL_TARGETS);
    }
}

/// Speaks HTTP on a connection. Its task ends when the sender is dropped.
async fn handshake<T: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    stream: T,
) -> Option<TargetConnection> {
    let (sender, driver, progress) = read_limit::handshake(stream).await.ok()?;
    tokio::spawn(driver);
    Some(TargetConnection { sender, progress })
}
