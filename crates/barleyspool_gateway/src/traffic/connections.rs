//! Connections to targets. A connection serves one call at a time, and is reused only after a complete answer.

use super::answer_framing::{head_fault, is_final};
use super::answer_reader;
use super::target_body::TargetBody;
use barleyspool_core::{AnswerFault, AnswerTrail, PieceOutcome, SendEnd};
use barleyspool_wire::read_limit::{self, ReadProgress};
use barleyspool_wire::{net, time_since_boot, timer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long a connection may be idle when its target does not state a time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Subtracted from the idle time that a target states, so that a request does not cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout for the answer to a request for a target's health.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection may take to be ready behind a complete answer.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// How many calls that were refused or failed a connection remembers. Calls are sent again within seconds.
const MAX_FAILED_CALLS: usize = 64;
/// Largest body of an answer to a request for health, in bytes.
const MAX_HEALTH_BYTES: usize = 65_536;

/// A connection to the target with the id `target`.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: ReadProgress,
    address: String,
    target: String,
    used: bool,
    reused: bool,
    /// The ids of the latest calls that were refused or failed on it, which may be sent again.
    failed_calls: VecDeque<String>,
    /// The answers to batch calls that it has brought.
    trail: AnswerTrail,
}

impl Connection {
    /// Whether it had been used for another request before the latest one.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Whether bytes have arrived behind a complete answer, for which the HTTP library ends the connection. An unfinished request
    /// counts as such.
    pub async fn has_more(&mut self) -> bool {
        let ready = timer::timeout(READY_TIMEOUT, self.sender.ready()).await;
        !matches!(ready, Ok(Ok(())))
    }

    /// The address of its target.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Records an answer to a batch call; returns whether it is new, and no copy of one that the connection has brought before.
    pub fn record_answer(&mut self, outcomes: &[PieceOutcome]) -> bool {
        self.trail.record(outcomes)
    }

    /// Records that the call that was sent on it last was refused or failed.
    pub fn record_failure(&mut self, call: &str) {
        if self.failed_calls.len() == MAX_FAILED_CALLS {
            self.failed_calls.pop_front();
        }
        self.failed_calls.push_back(call.to_owned());
    }

    fn has_failed(&self, call: &str) -> bool {
        self.failed_calls.iter().any(|failed| failed == call)
    }
}

/// Why a send returned no answer.
#[derive(Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing of the request was written.
    NotWritten,
    /// Some of the request may have been written, and no header of an answer was received.
    Interrupted,
    /// The same, since bytes came that are no answer.
    NoResult,
    /// A head was received that is not that of one answer.
    Faulty(AnswerFault),
}

impl From<SendFailure> for SendEnd {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotWritten => Self::Unreachable,
            SendFailure::Interrupted | SendFailure::NoResult | SendFailure::Faulty(_) => Self::BrokenOff,
        }
    }
}

/// Whether a process listens at a target's address.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A process accepted the connection.
    Listening,
    /// The connection was refused: the process has ended.
    Refused,
    /// No reply, which may be due to the network.
    Unknown,
}

/// What came of a request for the health of a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target answered.
    Answered,
    /// The connection was accepted, and the request was not answered.
    Unanswered,
    /// The connection was not accepted.
    NotAccepted,
}

/// Who runs at the address of a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Occupant {
    /// The target itself.
    Target,
    /// Another one, which has the address now.
    Other,
    /// A process that did not say who it is.
    Unknown,
    /// Nobody: the process of the target has ended.
    Nobody,
    /// No reply, which may be due to the network.
    Unreached,
}

impl Occupant {
    /// The stable name shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Other => "other",
            Self::Unknown => "unknown",
            Self::Nobody => "nobody",
            Self::Unreached => "unreached",
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// The expiry, by the clock that includes the time in which the machine is suspended, as on the target.
    until: Duration,
}

/// The idle connections of one traffic thread, by address.
#[derive(Debug)]
pub struct Connections {
    /// The names of headers that only answers of targets have, in lower case.
    marks: &'static [&'static str],
    idle: RefCell<HashMap<String, VecDeque<IdleConnection>>>,
}

impl Connections {
    /// Creates connections to targets whose answers have some of the headers `marks`, in lower case.
    pub fn new(marks: &'static [&'static str]) -> Self {
        Self {
            marks,
            idle: RefCell::default(),
        }
    }

    /// Sends a request to the target with the id `target`, on an idle connection if there is one. An idle connection
    /// that turns out to be closed is replaced by a new one, since nothing was written to it. `call` is the id of the call
    /// that is sent. A call that is sent to the same target again takes another connection than the first time: the target may
    /// send its first answer once more, which names the same call and cannot be told from the second answer.
    ///
    /// # Errors
    /// When the connection fails before the header of an answer is received.
    pub async fn send(
        &self,
        (address, target): (&str, &str),
        call: Option<&str>,
        mut request: Request<Full<Bytes>>,
        sending: impl Fn(),
    ) -> Result<(Connection, Response<TargetBody>), SendFailure> {
        loop {
            let mut connection = match self.take(address, target, call) {
                Some(connection) => connection,
                None => connect(address, target)
                    .await
                    .map_err(|_| SendFailure::NotWritten)?,
            };
            if connection.sender.ready().await.is_err() {
                if connection.used {
                    continue;
                }
                return Err(SendFailure::NotWritten);
            }
            sending();
            match connection.sender.try_send_request(request).await {
                Ok(response) if !is_final(response.status()) => return Err(SendFailure::NoResult),
                Ok(response) => {
                    if let Some(fault) = head_fault(&response) {
                        return Err(SendFailure::Faulty(fault));
                    }
                    connection.reused = connection.used;
                    connection.used = true;
                    let response = TargetBody::of(response, &connection.progress, self.marks);
                    return Ok((connection, response));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if connection.used => request = unsent,
                    Some(_) => return Err(SendFailure::NotWritten),
                    None if connection.progress.is_exhausted() || error.into_error().is_parse() => {
                        return Err(SendFailure::NoResult);
                    }
                    None => return Err(SendFailure::Interrupted),
                },
            }
        }
    }

    /// Checks whether a target listens. The connection that was opened for this is kept for the next call.
    pub async fn presence(&self, address: &str, target: &str) -> Presence {
        match connect(address, target).await {
            Ok(mut connection) => {
                // Marked as used, since like any idle connection it may be closed before the next request.
                connection.used = true;
                self.add_idle(connection, None);
                Presence::Listening
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Presence::Refused,
            Err(_) => Presence::Unknown,
        }
    }

    /// Opens a connection to a target and requests its health there. Any answer will do, also that the target is unwell. The
    /// connection is kept for the next call.
    pub async fn probe(&self, address: &str, target: &str, health_path: &str) -> ProbeResult {
        let Ok(connection) = connect(address, target).await else {
            return ProbeResult::NotAccepted;
        };
        match health(connection, health_path).await {
            Some((connection, _)) => {
                self.add_idle(connection, None);
                ProbeResult::Answered
            }
            None => ProbeResult::Unanswered,
        }
    }

    /// Asks who runs at the address of a target, on a new connection. `instance` reads the id from a health answer. Without a
    /// `health_path` only the connection is opened.
    pub async fn occupant(
        &self,
        address: &str,
        target: &str,
        health_path: Option<&str>,
        instance: fn(&HeaderMap) -> Option<&str>,
    ) -> Occupant {
        let mut connection = match connect(address, target).await {
            Ok(connection) => connection,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Occupant::Nobody,
            Err(_) => return Occupant::Unreached,
        };
        let Some(health_path) = health_path else {
            // Marked as used, since like any idle connection it may be closed before the next request.
            connection.used = true;
            self.add_idle(connection, None);
            return Occupant::Unknown;
        };
        let Some((connection, headers)) = health(connection, health_path).await else {
            return Occupant::Unknown;
        };
        let occupant = match instance(&headers) {
            Some(id) if id == target => Occupant::Target,
            // The connection leads to another target, and is closed.
            Some(_) => return Occupant::Other,
            None => Occupant::Unknown,
        };
        self.add_idle(connection, None);
        occupant
    }

    /// Takes an idle connection to a target, but none on which `call` was refused or failed, and none on which the body
    /// of an earlier call is still being written: a target may answer before it has read the whole body.
    fn take(&self, address: &str, target: &str, call: Option<&str>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(address)?;
        let now = time_since_boot();
        let mut skipped = Vec::new();
        let mut taken = None;
        while let Some(entry) = queue.pop_back() {
            let usable = entry.connection.target == target
                && entry.until > now
                && !entry.connection.sender.is_closed();
            if !usable {
                continue;
            }
            let has_failed = call.is_some_and(|call| entry.connection.has_failed(call));
            if has_failed || !entry.connection.sender.is_ready() {
                skipped.push(entry);
            } else {
                taken = Some(entry.connection);
                break;
            }
        }
        queue.extend(skipped.into_iter().rev());
        taken
    }

    /// Keeps a connection for reuse after a complete answer; `keep_alive` is the idle time that the target states.
    pub fn add_idle(&self, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout =
            keep_alive.map_or(IDLE_TIMEOUT, |keep_alive| keep_alive.saturating_sub(IDLE_MARGIN));
        let until = time_since_boot() + idle_timeout;
        let address = connection.address.clone();
        let entry = IdleConnection { connection, until };
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push_back(entry);
    }

    /// Drops the idle connections to an address whose process has ended.
    pub fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Drops expired and closed idle connections.
    pub fn expire(&self) {
        let now = time_since_boot();
        self.idle.borrow_mut().retain(|_, queue| {
            queue.retain(|entry| entry.until > now && !entry.connection.sender.is_closed());
            !queue.is_empty()
        });
    }
}

async fn connect(address: &str, target: &str) -> io::Result<Connection> {
    let stream = timer::timeout(CONNECT_TIMEOUT, net::connect(address)).await??;
    let (sender, driver, progress) = read_limit::handshake(stream).await.map_err(io::Error::other)?;
    spawn_local(driver);
    Ok(Connection {
        sender,
        progress,
        address: address.to_owned(),
        target: target.to_owned(),
        used: false,
        reused: false,
        failed_calls: VecDeque::new(),
        trail: AnswerTrail::default(),
    })
}

/// Requests the health of a target on a new connection. Returns the connection, for the next call, and the headers of the answer.
async fn health(mut connection: Connection, health_path: &str) -> Option<(Connection, HeaderMap)> {
    let asked = timer::timeout(PROBE_TIMEOUT, exchange(&mut connection, health_path)).await;
    let headers = asked.ok().flatten()?;
    connection.used = true;
    Some((connection, headers))
}

/// Requests the health of a target, and returns the headers of its answer once that is complete.
async fn exchange(connection: &mut Connection, health_path: &str) -> Option<HeaderMap> {
    let request = Request::get(health_path)
        .header(HOST, &connection.address)
        .body(Full::default());
    let request = request.ok()?;
    connection.sender.ready().await.ok()?;
    let answer = connection.sender.send_request(request).await.ok()?;
    if !is_final(answer.status()) || head_fault(&answer).is_some() {
        return None;
    }
    let (parts, body) = TargetBody::of(answer, &connection.progress, &[]).into_parts();
    let complete = answer_reader::discard(body, MAX_HEALTH_BYTES).await;
    complete.then_some(parts.headers)
}
