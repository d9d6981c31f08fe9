//! Checks over new connections which services this node reaches, and watches sends for signs that it lost some.

use super::Traffic;
use super::connections::{Connection, Presence, ProbeResult, SendFailure};
use super::held_answer::{record_dropped, record_fault};
use super::target_body::TargetBody;
use crate::event_log::LogEvent;
use crate::shared::TargetObservation;
use barleyspool_core::{AnswerDrop, CheckResult, Counter, ReachChange, TargetReach, Time};
use barleyspool_wire::timer;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::{Request, Response};
use rand::seq::IndexedRandom;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

/// How often sends are checked for silence.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The greatest number of targets that one check tries.
const MAX_CHECKED: usize = 4;
/// How long a check waits for its first target before it also tries others.
const FIRST_TIMEOUT: Duration = Duration::from_millis(50);

/// Which services this node reaches, and the checks of it.
#[derive(Debug)]
pub struct ReachChecks {
    reach: RefCell<TargetReach>,
    observations: mpsc::UnboundedSender<TargetObservation>,
    /// Notified when a check ends.
    ended: Notify,
}

impl ReachChecks {
    /// Creates checks that send changes to `observations`.
    pub fn new(observations: mpsc::UnboundedSender<TargetObservation>) -> Self {
        Self {
            reach: RefCell::default(),
            observations,
            ended: Notify::new(),
        }
    }

    /// Whether this node reaches no target of the service.
    pub fn is_unreached(&self, service: &str) -> bool {
        self.reach.borrow().is_unreached(service)
    }

    /// Forgets services that are not configured any more.
    pub fn retain(&self, is_configured: impl Fn(&str) -> bool) {
        self.reach.borrow_mut().retain(is_configured);
    }
}

impl Traffic {
    /// Sends a request to a target of `service` at `(address, id)`; see [`super::connections::Connections::send`]. A
    /// failure starts a check whether this node still reaches the service.
    ///
    /// # Errors
    /// When the connection fails before the header of an answer is received.
    pub async fn send(
        self: &Rc<Self>,
        service: &str,
        (address, id): (&str, &str),
        request: Request<Full<Bytes>>,
        sending: impl Fn(),
    ) -> Result<(Connection, Response<TargetBody>), SendFailure> {
        self.send_call(service, (address, id), None, request, sending)
            .await
    }

    /// Same as [`Self::send`], for the call with the id `call`.
    ///
    /// # Errors
    /// When the connection fails before the header of an answer is received.
    pub async fn send_call(
        self: &Rc<Self>,
        service: &str,
        (address, id): (&str, &str),
        call: Option<&str>,
        request: Request<Full<Bytes>>,
        sending: impl Fn(),
    ) -> Result<(Connection, Response<TargetBody>), SendFailure> {
        let pending = PendingSend::begin(self, service);
        let sent = self.connections.send((address, id), call, request, sending).await;
        drop(pending);
        match sent {
            Err(SendFailure::NoResult) => record_dropped(self, address, AnswerDrop::NoResult, 0),
            Err(SendFailure::Faulty(fault)) => record_fault(self, address, fault, 0),
            _ => {}
        }
        match &sent {
            Ok(_) => self
                .reach
                .reach
                .borrow_mut()
                .record_answer(self.now(), service, id),
            Err(_) if self.reach.reach.borrow().needs_check(self.now(), service) => {
                start_check(self, service);
            }
            Err(_) => {}
        }
        sent
    }
}

/// Counts a send as waiting for its answer until dropped.
struct PendingSend<'a> {
    traffic: &'a Traffic,
    service: &'a str,
}

impl<'a> PendingSend<'a> {
    fn begin(traffic: &'a Traffic, service: &'a str) -> Self {
        let now = traffic.now();
        traffic.reach.reach.borrow_mut().begin_send(now, service);
        Self { traffic, service }
    }
}

impl Drop for PendingSend<'_> {
    fn drop(&mut self) {
        self.traffic.reach.reach.borrow_mut().end_send(self.service);
    }
}

/// Checks services whose sends get no answers, and those that this node does not reach, until the process ends.
pub async fn watch(traffic: Rc<Traffic>) {
    loop {
        timer::sleep(WATCH_INTERVAL).await;
        let due = traffic.reach.reach.borrow().due_checks(traffic.now());
        for service in due {
            start_check(&traffic, &service);
        }
    }
}

/// Waits for the check of a service that is under way, if there is one.
pub async fn wait_for_check(traffic: &Traffic, service: &str) {
    loop {
        let ended = traffic.reach.ended.notified();
        if !traffic.reach.reach.borrow().is_checking(service) {
            return;
        }
        ended.await;
    }
}

/// Whether this node certainly reaches a target of the service now, which is checked anew.
pub async fn reaches(traffic: &Rc<Traffic>, service: &str) -> bool {
    start_check(traffic, service);
    wait_for_check(traffic, service).await;
    let reach = traffic.reach.reach.borrow();
    !reach.is_unreached(service) && !reach.is_doubtful(service)
}

/// Whether this node reaches any target now, which is checked anew.
pub async fn reaches_any(traffic: &Rc<Traffic>) -> bool {
    let catalog = traffic.plan().catalog.clone();
    let services = catalog
        .iter()
        .flat_map(|catalog| catalog.document.services.iter());
    let mut checks: FuturesUnordered<_> = services.map(|service| reaches(traffic, &service.name)).collect();
    while let Some(reached) = checks.next().await {
        if reached {
            return true;
        }
    }
    false
}

/// Starts a check of a service unless one is under way.
fn start_check(traffic: &Rc<Traffic>, service: &str) {
    if traffic.reach.reach.borrow().is_checking(service) {
        return;
    }
    let targets = sample_targets(traffic, service);
    if targets.is_empty() {
        return;
    }
    traffic
        .reach
        .reach
        .borrow_mut()
        .begin_check(traffic.now(), service);
    let (traffic, service) = (Rc::clone(traffic), service.to_owned());
    spawn_local(async move {
        let found = first_contact(&traffic, &service, &targets).await;
        end_check(&traffic, &service, &found);
    });
}

fn end_check(traffic: &Rc<Traffic>, service: &str, found: &Contact) {
    let now = traffic.now();
    let result = match found {
        Contact::Made(target) => CheckResult::Reached(target),
        Contact::Unanswered => CheckResult::Unanswered {
            reached_elsewhere: is_reached_elsewhere(traffic, service),
        },
        Contact::NotMade => CheckResult::Refused,
    };
    let change = traffic.reach.reach.borrow_mut().end_check(now, service, result);
    if change != ReachChange::None {
        publish(traffic, now, service, change);
    }
    traffic.reach.ended.notify_waiters();
}

fn is_reached_elsewhere(traffic: &Traffic, service: &str) -> bool {
    let plan = traffic.plan();
    let mut others = plan.members.iter().filter(|member| member.key != plan.me);
    others.any(|member| !member.unreached.contains(service))
}

/// Reports a change to the log and to the control thread.
fn publish(traffic: &Rc<Traffic>, now: Time, service: &str, change: ReachChange) {
    let is_reached = change == ReachChange::Regained;
    let unreached = traffic.reach.reach.borrow().unreached();
    let count = traffic.reach.reach.borrow().unreached_count();
    traffic.shared.services_unreached.store(count, Ordering::Relaxed);
    // The receiver, the control thread, is gone only when the process ends.
    let _ = traffic
        .reach
        .observations
        .send(TargetObservation::Unreached(unreached));
    let line = LogEvent::ServiceReach {
        service,
        is_reached,
        unreached: count,
    };
    traffic.log.write(now, &line);
    if is_reached {
        traffic.forwarder.borrow_mut().links_restored(service);
        traffic.pools.links_restored(service);
        return;
    }
    let plan = traffic.plan();
    for target in plan.targets.values().filter(|target| target.service == service) {
        // Requests on connections that pass nothing any more would wait for their whole time.
        traffic.connections.forget(&target.address);
    }
    // Most likely the links to the other services are lost too.
    let services = plan
        .catalog
        .iter()
        .flat_map(|catalog| catalog.document.services.iter());
    for other in services.filter(|other| other.name != service) {
        if traffic.reach.reach.borrow().needs_check(now, &other.name) {
            start_check(traffic, &other.name);
        }
    }
}

/// The targets that a check tries, as `(id, address)`: the one that was in contact last, then others at random.
fn sample_targets(traffic: &Traffic, service: &str) -> Vec<(String, String)> {
    let plan = traffic.plan();
    let reach = traffic.reach.reach.borrow();
    let contact = reach.last_contact(service);
    let of_service = plan
        .targets
        .values()
        .filter(|target| target.service == service && !target.unreadable && target.id != contact);
    let mut others: Vec<(String, String)> = of_service
        .map(|target| (target.id.clone(), target.address.clone()))
        .collect();
    others = others
        .choose_multiple(&mut rand::rng(), MAX_CHECKED)
        .cloned()
        .collect();
    let contact = plan.targets.get(contact);
    let first = contact.map(|target| (target.id.clone(), target.address.clone()));
    first.into_iter().chain(others).take(MAX_CHECKED).collect()
}

/// What a check finds at one target, or at several.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Contact {
    /// No connection was accepted.
    NotMade,
    /// A connection was accepted, and the request on it was not answered.
    Unanswered,
    /// The target with this id answered, or accepted a connection where that is evidence enough.
    Made(String),
}

/// The first contact with a target, or the best result if there is none. The first target is tried before the others.
async fn first_contact(traffic: &Traffic, service: &str, targets: &[(String, String)]) -> Contact {
    let health_path = health_path(traffic, service);
    let contact = |target| contact(traffic, target, health_path.as_deref());
    let mut attempts = FuturesUnordered::new();
    attempts.extend(targets.first().map(contact));
    let mut best = Contact::NotMade;
    if let Ok(Some(found)) = timer::timeout(FIRST_TIMEOUT, attempts.next()).await {
        best = found;
    }
    if !matches!(best, Contact::Made(_)) {
        attempts.extend(targets.iter().skip(1).map(contact));
    }
    while !matches!(best, Contact::Made(_))
        && let Some(found) = attempts.next().await
    {
        best = best.max(found);
    }
    best
}

/// The path at which targets of the service are asked for their health; `None` if an accepted connection is evidence enough.
fn health_path(traffic: &Traffic, service: &str) -> Option<String> {
    if !traffic.reach.reach.borrow().needs_answer(traffic.now(), service) {
        return None;
    }
    let catalog = traffic.plan().catalog.clone()?;
    let path = &catalog.service(service)?.health_path;
    (!path.is_empty()).then(|| path.clone())
}

async fn contact(traffic: &Traffic, (id, address): &(String, String), health_path: Option<&str>) -> Contact {
    let allows_probe = || traffic.forwarder.borrow().allows_health_check(traffic.now(), id);
    let Some(path) = health_path.filter(|_| allows_probe()) else {
        let presence = traffic.connections.presence(address, id).await;
        return match presence {
            Presence::Listening => Contact::Made(id.clone()),
            Presence::Refused | Presence::Unknown => Contact::NotMade,
        };
    };
    traffic.count(Counter::HealthChecked);
    match traffic.connections.probe(address, id, path).await {
        ProbeResult::Answered => Contact::Made(id.clone()),
        ProbeResult::Unanswered => Contact::Unanswered,
        ProbeResult::NotAccepted => Contact::NotMade,
    }
}
