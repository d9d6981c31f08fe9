//! Runs jobs: chooses the node for each send, and decides about retries.

use crate::connections::Connections;
use crate::job::{Answer, Job, JobOutcome};
use barleyspool_core::Time;
use barleyspool_wire::rpc;
use rand::Rng;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tonic::Status;

/// Prefix of the reason of a [`JobOutcome::Unknown`] when no node reported an outcome.
const NO_OUTCOME: &str = "no_outcome";
/// The delay before a retry after a failed connection.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of an `Ask` call.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a node may take to accept a request. A node accepts before it decides about the request.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after the deadline of a job its outcome is still accepted.
const OUTCOME_GRACE: Duration = Duration::from_millis(500);

/// The settings of a client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The maximum number of sends of one job.
    pub max_sends: u32,
    /// Whether a refused job is retried after the delay that the node states; otherwise the first refusal is the
    /// answer.
    pub retry_refused: bool,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            max_sends: 8,
            retry_refused: true,
        }
    }
}

/// The addresses in the latest `Ask` reply, and when they expire.
#[derive(Debug, Default)]
struct CachedNodes {
    addresses: Vec<String>,
    expires_at: Option<Instant>,
}

/// A client of the entry nodes. It may be shared by many tasks.
#[derive(Debug)]
pub struct Client {
    seeds: Vec<String>,
    zone: String,
    settings: ClientSettings,
    connections: Connections,
    cached_nodes: Mutex<CachedNodes>,
    seen_revision: AtomicU64,
}

/// The result of one send of a job.
enum SendResult {
    /// The outcome, the data received before it, and when the first byte arrived.
    Outcome(rpc::Outcome, Vec<u8>, Option<Time>),
    /// The connection could not be opened, or the node certainly did not process the request.
    Unreachable,
    /// The connection was lost or the node did not answer.
    ConnectionLost(Status),
}

impl Client {
    /// Creates a client in `zone`; `seeds` are the IP addresses and ports of a few entry nodes.
    pub fn new(seeds: Vec<String>, zone: &str) -> Self {
        Self {
            seeds,
            zone: zone.to_owned(),
            settings: ClientSettings::default(),
            connections: Connections::default(),
            cached_nodes: Mutex::default(),
            seen_revision: AtomicU64::new(0),
        }
    }

    /// Replaces the default settings.
    pub fn with_settings(mut self, settings: ClientSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Runs a job until its deadline. Retries it only when that is safe.
    pub async fn run(&self, job: &Job) -> Answer {
        let mut progress = JobProgress {
            earlier_sends: rpc::EarlierSends::None,
            sends: 0,
            last_outcome: None,
        };
        let mut next_address: Option<String> = None;
        while progress.sends < self.settings.max_sends && wall_clock() < job.deadline {
            let address = match next_address.take() {
                Some(address) => address,
                None => self.choose_node(job, progress.sends).await,
            };
            progress.sends += 1;
            match self.send(job, &address, progress.earlier_sends).await {
                SendResult::Unreachable => {
                    self.invalidate_cached_nodes();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                SendResult::ConnectionLost(status) => {
                    // The job may have run. The next send states that, and the home node of the key decides.
                    progress.earlier_sends = rpc::EarlierSends::Uncertain;
                    progress.last_outcome = Some(JobOutcome::Unknown {
                        reason: format!("{NO_OUTCOME}: {}", status.message()),
                    });
                    self.connections.remove(&address);
                    self.invalidate_cached_nodes();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                SendResult::Outcome(outcome, data, first_byte_at) => {
                    self.seen_revision.fetch_max(outcome.revision, Ordering::Relaxed);
                    if outcome.verdict() == rpc::Verdict::Complete {
                        return Answer {
                            data,
                            outcome: JobOutcome::Complete,
                            sends: progress.sends,
                            first_byte_at,
                        };
                    }
                    match self.handle_refusal(job, &outcome, &mut progress).await {
                        Some(address) => next_address = address,
                        None => return progress.final_answer(),
                    }
                }
            }
        }
        progress.final_answer()
    }

    /// Decides whether to retry after a refusal, and waits for the delay that the refusal states. Returns `None` to give
    /// up, `Some(None)` to retry at any node, and `Some(Some(address))` to retry at that node.
    async fn handle_refusal(
        &self,
        job: &Job,
        outcome: &rpc::Outcome,
        progress: &mut JobProgress,
    ) -> Option<Option<String>> {
        let not_run = outcome.verdict() == rpc::Verdict::NotRun;
        let reason = outcome.reason.clone();
        let retry_after_ms = outcome.come_back_ms;
        progress.last_outcome = Some(if not_run {
            // After an uncertain send only the home node of the key, the one node of its cell that accepts the key,
            // reports `NotRun`, and only after its takeover wait, at whose end every key that an earlier home node may
            // have accepted is past its deadline. Then no earlier send has run either.
            progress.earlier_sends = rpc::EarlierSends::AllNotRun;
            JobOutcome::NotRun {
                reason,
                retry_after_ms,
            }
        } else {
            JobOutcome::Unknown { reason }
        });
        // An unknown outcome is final unless the refusing node has not started the job.
        let refused_on_arrival = outcome.step.is_empty();
        if retry_after_ms == 0 || !(refused_on_arrival || not_run) {
            return None;
        }
        if !outcome.redirect.is_empty() {
            return Some(Some(outcome.redirect.clone()));
        }
        if !self.settings.retry_refused {
            return None;
        }
        let jitter = rand::rng().random_range(0..=retry_after_ms / 4 + 1);
        let wait = Duration::from_millis(retry_after_ms + jitter);
        if wall_clock().as_millis() + wait.as_millis() as u64 >= job.deadline.as_millis() {
            return None;
        }
        tokio::time::sleep(wait).await;
        Some(None)
    }

    async fn send(&self, job: &Job, address: &str, earlier_sends: rpc::EarlierSends) -> SendResult {
        let Ok(mut client) = self.connections.get(address).await else {
            return SendResult::Unreachable;
        };
        let mut request = rpc::RunRequest {
            key: job.key.clone(),
            organisation: job.organisation.clone(),
            pipeline: job.pipeline.clone(),
            deadline_ms: job.deadline.as_millis(),
            unrepeatable: job.unrepeatable,
            seen_revision: self.seen_revision.load(Ordering::Relaxed),
            payload: job.payload.to_vec(),
            prefix: job.prefix.clone(),
            ..rpc::RunRequest::default()
        };
        request.set_earlier(earlier_sends);
        let remaining = Duration::from_micros(job.deadline.since(wall_clock()).0) + OUTCOME_GRACE;
        let exchange = async {
            let accepted = tokio::time::timeout(ACCEPT_TIMEOUT, client.run(request)).await;
            let accepted = accepted
                .map_err(|_| Status::deadline_exceeded("the node did not accept the request in time"))?;
            let mut stream = accepted?.into_inner();
            let (mut data, mut first_byte_at) = (Vec::new(), None);
            while let Some(reply) = stream.message().await? {
                match reply.reply {
                    Some(rpc::run_reply::Reply::Part(part)) if part.offset == data.len() as u64 => {
                        first_byte_at = first_byte_at.or_else(|| Some(wall_clock()));
                        data.extend_from_slice(&part.data);
                    }
                    Some(rpc::run_reply::Reply::Part(_)) => {
                        return Err(Status::data_loss("a part of the answer is missing"));
                    }
                    Some(rpc::run_reply::Reply::Outcome(outcome)) => {
                        let complete = outcome.verdict() == rpc::Verdict::Complete;
                        if complete && outcome.length != data.len() as u64 {
                            return Err(Status::data_loss("the answer is incomplete"));
                        }
                        return Ok(SendResult::Outcome(outcome, data, first_byte_at));
                    }
                    None => {}
                }
            }
            Err(Status::aborted("the stream ended without an outcome"))
        };
        match tokio::time::timeout(remaining, exchange).await {
            Ok(Ok(result)) => result,
            Ok(Err(status)) if never_processed(&status) => SendResult::Unreachable,
            Ok(Err(status)) => SendResult::ConnectionLost(status),
            Err(_) => SendResult::ConnectionLost(Status::deadline_exceeded("no outcome by the deadline")),
        }
    }

    // ------------------------------------------------------------------------
    // Choice of the node

    /// Chooses the node to send to: the home node of the key for an unrepeatable job, otherwise one of the cached
    /// nodes. The first send goes to the first node, a retry to a random one.
    async fn choose_node(&self, job: &Job, sends: u32) -> String {
        if job.unrepeatable
            && let Some(addresses) = self.request_nodes(&job.organisation, &job.key, sends).await
            && let Some(home) = addresses.first()
        {
            return home.clone();
        }
        let mut nodes = self.available_nodes(&job.organisation, sends).await;
        let index = if sends == 0 {
            0
        } else {
            rand::rng().random_range(0..nodes.len().max(1))
        };
        if nodes.is_empty() {
            self.seeds.first().cloned().unwrap_or_default()
        } else {
            nodes.swap_remove(index)
        }
    }

    /// The cached nodes, or a fresh list when the cache has expired; the seeds when no node answers.
    async fn available_nodes(&self, organisation: &str, sends: u32) -> Vec<String> {
        if let Ok(cached) = self.cached_nodes.lock()
            && cached
                .expires_at
                .is_some_and(|expires_at| Instant::now() < expires_at)
        {
            return cached.addresses.clone();
        }
        self.request_nodes(organisation, "", sends)
            .await
            .unwrap_or_else(|| self.seeds.clone())
    }

    fn invalidate_cached_nodes(&self) {
        if let Ok(mut cached) = self.cached_nodes.lock() {
            cached.expires_at = None;
        }
    }

    /// Asks the known nodes one after the other which nodes to use, until one answers. A reply for an empty key is
    /// cached.
    async fn request_nodes(&self, organisation: &str, key: &str, sends: u32) -> Option<Vec<String>> {
        let mut nodes = self
            .cached_nodes
            .lock()
            .map(|cached| cached.addresses.clone())
            .unwrap_or_default();
        nodes.extend(self.seeds.iter().cloned());
        let first = if sends == 0 {
            0
        } else {
            rand::rng().random_range(0..nodes.len().max(1))
        };
        nodes.rotate_left(first);
        for node in nodes {
            let request = rpc::AskRequest {
                organisation: organisation.to_owned(),
                zone: self.zone.clone(),
                key: key.to_owned(),
            };
            let exchange = async {
                let mut client = self.connections.get(&node).await.ok()?;
                client.ask(request).await.ok()
            };
            let Ok(Some(reply)) = tokio::time::timeout(ASK_TIMEOUT, exchange).await else {
                self.connections.remove(&node);
                continue;
            };
            let reply = reply.into_inner();
            let addresses: Vec<String> = reply
                .addresses
                .into_iter()
                .map(|address| address.address)
                .collect();
            if addresses.is_empty() {
                continue;
            }
            if key.is_empty()
                && let Ok(mut cached) = self.cached_nodes.lock()
            {
                cached.addresses.clone_from(&addresses);
                cached.expires_at = Some(Instant::now() + Duration::from_millis(reply.keep_ms));
            }
            return Some(addresses);
        }
        None
    }
}

/// The state of a job between its sends.
struct JobProgress {
    earlier_sends: rpc::EarlierSends,
    sends: u32,
    last_outcome: Option<JobOutcome>,
}

impl JobProgress {
    fn final_answer(&mut self) -> Answer {
        let outcome = self.last_outcome.take().unwrap_or(JobOutcome::NotRun {
            reason: "unreachable".to_owned(),
            retry_after_ms: 0,
        });
        Answer {
            data: Vec::new(),
            outcome,
            sends: self.sends,
            first_byte_at: None,
        }
    }
}

/// Whether the node certainly did not process a failed send: the connection closed before the request was written,
/// or the node is stopping and rejected the stream with `REFUSED_STREAM`.
fn never_processed(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
        {
            return true;
        }
        let reason = error.downcast_ref::<h2::Error>().and_then(h2::Error::reason);
        if reason == Some(h2::Reason::REFUSED_STREAM) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// The current wall-clock time.
fn wall_clock() -> Time {
    Time(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64,
    )
}
