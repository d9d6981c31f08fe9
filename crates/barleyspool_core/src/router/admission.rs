//! Admission: the checks that a call passes before it becomes a request, the cheapest first.

use super::Router;
use crate::{
    Call, CallerId, Config, Counter, Earlier, Guard, KeyState, LeaseRefusal, ListState, Listener, NodeId,
    OrgIx, OrgKey, Outcome, PipelineIx, PlanPeer, Reason, Refusal, RefusalOrigin, Request, RequestId,
    RequestKey, ResolvedStage, Revision, ServiceIx, Serving, Span, TargetId, TargetState, Time,
    TrafficAction, Verdict, rendezvous,
};
use rand::Rng;
use std::sync::Arc;

/// The longest key and organisation name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Retry delay while this node has no configuration, an outdated one or a stale plan.
const CATCH_UP_DELAY: Span = Span::from_millis(200);
/// Retry delay while the lease is unconfirmed, no more keys can be remembered or no target is usable.
const UNREADY_DELAY: Span = Span::from_millis(500);
/// Retry delay for callers that are referred to another node.
const REDIRECT_DELAY: Span = Span::from_millis(1);
/// The shortest retry delay that a fully loaded node gives.
const MIN_RETRY_DELAY: Span = Span::from_millis(50);

/// A call with its names resolved under the configuration.
struct ResolvedCall {
    config: Arc<Config>,
    org: OrgIx,
    pipeline: PipelineIx,
    key: RequestKey,
    /// Whether the whole call or any stage of it is unrepeatable.
    at_most_once: bool,
}

/// Why and how a call is rejected: refused by admission before a request is started for it.
struct Rejection {
    reason: Reason,
    retry_after: Span,
    home: Option<NodeId>,
    /// Whether this node is the home node of the key, past its takeover wait, and does not remember it.
    /// Then no earlier send of the request can have run.
    surely_not_run: bool,
    /// Whether the retry delay is randomised, so that rejected callers do not all return at once.
    jitter: bool,
}

impl Rejection {
    fn new(reason: Reason) -> Self {
        Self::retry_in(reason, Span::ZERO)
    }

    fn retry_in(reason: Reason, retry_after: Span) -> Self {
        Self {
            reason,
            retry_after,
            home: None,
            surely_not_run: false,
            jitter: false,
        }
    }
}

/// What admission would do with a call, for operators. `ForecastCorrection` has nothing to do with it: that
/// one corrects the forecast durations of the stages of forwarded calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Forecast {
    /// Why it would be refused, and after which delay to retry; `None` if it would be admitted.
    pub refusal: Option<(Reason, Span)>,
    /// For each stage its service, the most likely target and the expected time from now to the stage's
    /// end.
    pub stages: Vec<(ServiceIx, Option<TargetId>, Span)>,
}

impl Router {
    pub(super) fn handle_call(&mut self, now: Time, caller: CallerId, call: &Call) {
        self.count(Counter::Arrived);
        let key = RequestKey::new(&call.organisation, &call.key);
        // Remembered keys come first: a duplicate gets the answer of the only run even if the
        // configuration or the home node has changed since, or this node is stopping.
        if self.answer_duplicate(caller, call, key) {
            return;
        }
        let admitted = self.resolve_call(now, call, key).and_then(|resolved| {
            self.admit(now, call, &resolved)?;
            Ok(resolved)
        });
        match admitted {
            Ok(resolved) => self.start_request(now, caller, call, &resolved),
            Err(rejection) => self.reject(caller, call, &rejection),
        }
    }

    /// Resolves the names of a call, and rejects calls that are invalid or that this node cannot judge
    /// yet.
    fn resolve_call(&mut self, now: Time, call: &Call, key: RequestKey) -> Result<ResolvedCall, Rejection> {
        let plan = Arc::clone(&self.plan);
        if !is_valid_name(&call.key) || !is_valid_name(&call.organisation) {
            return Err(Rejection::new(Reason::InvalidKey));
        }
        if call.payload.len() > self.settings.max_payload {
            return Err(Rejection::new(Reason::PayloadTooLarge));
        }
        let Some(config) = plan.config.clone() else {
            return Err(Rejection::retry_in(Reason::NoConfiguration, CATCH_UP_DELAY));
        };
        if self.plan_stale(now) {
            return Err(Rejection::retry_in(Reason::PlanStale, CATCH_UP_DELAY));
        }
        if plan.serving == Serving::CatchingUp {
            return Err(Rejection::retry_in(Reason::NoConfiguration, CATCH_UP_DELAY));
        }
        if call.seen_revision > config.revision && self.enforces(Guard::SeenRevision) {
            self.actions.push(TrafficAction::NotifyNewerRevision);
            return Err(Rejection::retry_in(Reason::ConfigurationBehind, CATCH_UP_DELAY));
        }
        let org = config
            .organisation(&call.organisation)
            .ok_or(Rejection::new(Reason::UnknownOrganisation))?;
        let pipeline = config
            .pipeline(&call.pipeline)
            .ok_or(Rejection::new(Reason::UnknownPipeline))?;
        if !config.may_use(org, pipeline) {
            return Err(Rejection::new(Reason::PipelineNotAttached));
        }
        let stages = &config.pipelines[usize::from(pipeline.0)].stages;
        let at_most_once = call.unrepeatable || stages.iter().any(|stage| stage.unrepeatable);
        Ok(ResolvedCall {
            config,
            org,
            pipeline,
            key,
            at_most_once,
        })
    }

    /// Answers a duplicate of a remembered key; returns false if the key is not remembered.
    fn answer_duplicate(&mut self, caller: CallerId, call: &Call, key: RequestKey) -> bool {
        let Some(remembered) = self
            .key_memory
            .get(key)
            .filter(|_| self.enforces(Guard::KeyMemory))
        else {
            return false;
        };
        if remembered.deadline != call.deadline || remembered.content_hash != content_hash(call) {
            self.reject(caller, call, &Rejection::new(Reason::KeyReused));
            return true;
        }
        match remembered.state.clone() {
            KeyState::Running(request) => {
                self.count(Counter::Joined);
                self.add_listener(request, caller);
                self.forward_answer(request);
            }
            KeyState::Ended { answer, outcome } => {
                self.count(Counter::Remembered);
                if !answer.is_empty() {
                    self.actions.push(TrafficAction::Part {
                        caller,
                        offset: 0,
                        data: answer,
                    });
                }
                self.actions.push(TrafficAction::Finish {
                    caller,
                    outcome,
                    redirect: None,
                });
            }
        }
        true
    }

    /// Decides whether a valid call with a new key is admitted.
    fn admit(&self, now: Time, call: &Call, resolved: &ResolvedCall) -> Result<(), Rejection> {
        let pipeline = &resolved.config.pipelines[usize::from(resolved.pipeline.0)];
        if call.deadline <= now {
            return Err(Rejection::new(Reason::DeadlinePast));
        }
        if call.deadline.since(now) > pipeline.max_deadline {
            return Err(Rejection::new(Reason::DeadlineBeyondHorizon));
        }
        if resolved.at_most_once {
            self.admit_at_most_once(now, call, resolved.key)?;
        }
        let admitted = if self.stopping() {
            Err(Rejection::retry_in(Reason::Leaving, REDIRECT_DELAY))
        } else {
            self.admit_load(now, call.deadline, resolved)
        };
        admitted.map_err(|rejection| Rejection {
            surely_not_run: resolved.at_most_once,
            ..rejection
        })
    }

    fn admit_at_most_once(&self, now: Time, call: &Call, key: RequestKey) -> Result<(), Rejection> {
        if call.deadline.since(now) > self.plan.rules.horizon {
            return Err(Rejection::new(Reason::DeadlineBeyondHorizon));
        }
        // The home node may be in another cell or region.
        let home = self.plan.fleet.home(&self.plan.region, key);
        if home != Some(self.plan.me) {
            return Err(self.not_home_rejection(home));
        }
        match self.plan.lease.check(now, key) {
            Ok(()) if self.key_memory.full() => Err(Rejection::retry_in(Reason::MemoryFull, UNREADY_DELAY)),
            Ok(()) => Ok(()),
            Err(LeaseRefusal::NotHome(home)) => Err(self.not_home_rejection(home)),
            Err(LeaseRefusal::TakeoverWait(wait)) => Err(Rejection::retry_in(Reason::TakeoverWait, wait)),
            Err(LeaseRefusal::Unconfirmed) => Err(Rejection::retry_in(Reason::Unconfirmed, UNREADY_DELAY)),
        }
    }

    /// Refers the caller to the home node of its key. If that node is leaving, there is no home node to
    /// go to, and the retry delay is the takeover wait of its successor.
    fn not_home_rejection(&self, home: Option<NodeId>) -> Rejection {
        let leaving = |peer: &&PlanPeer| Some(peer.id) == home && peer.state == ListState::Leaving;
        if self.plan.peers.iter().any(|peer| leaving(&peer)) {
            return Rejection::retry_in(Reason::Leaving, self.plan.rules.takeover_wait());
        }
        Rejection {
            home,
            ..Rejection::retry_in(Reason::NotHome, REDIRECT_DELAY)
        }
    }

    fn admit_load(&self, now: Time, deadline: Time, resolved: &ResolvedCall) -> Result<(), Rejection> {
        let pipeline = &resolved.config.pipelines[usize::from(resolved.pipeline.0)];
        let org = &resolved.config.organisations[resolved.org.0 as usize];
        let rank = pipeline.class.0;
        for stage in &pipeline.stages {
            if self.capacity(stage.service) == 0 {
                let cooldown = self.service_cooldown(now, stage.service);
                return Err(if cooldown > Span::ZERO {
                    Rejection::retry_in(Reason::TargetsCoolingDown, cooldown)
                } else {
                    Rejection::retry_in(Reason::NoTarget, UNREADY_DELAY)
                });
            }
        }
        if !self.settings.policy.admission {
            return Ok(());
        }
        let class = &resolved.config.classes[usize::from(rank)];
        let expected = self.expected_time(now, rank, org_key(&org.name), org.weight, &pipeline.stages);
        // The queues have to drain by this much before the request would be admitted.
        let missing = Span(expected.0.saturating_sub(deadline.since(now).0)).max(MIN_RETRY_DELAY);
        let full = |reason| {
            Err(Rejection {
                jitter: true,
                ..Rejection::retry_in(reason, missing)
            })
        };
        if self.queue_full(
            rank,
            class.queue,
            org_key(&org.name),
            org.weight,
            &pipeline.stages,
        ) {
            return full(Reason::QueueFull);
        }
        if now + expected.scale(self.settings.policy.admission_margin) > deadline {
            return full(Reason::DeadlineUnreachable);
        }
        Ok(())
    }

    /// Whether the queue of a class is full for another request of an organisation.
    ///
    /// A full queue still accepts an organisation's fair share, so that one that floods the queue does
    /// not lock out the others. The queue is never longer than twice its limit.
    fn queue_full(&self, rank: u8, limit: u32, org: OrgKey, weight: u32, stages: &[ResolvedStage]) -> bool {
        if self.waiting_by_rank.get(&rank).copied().unwrap_or_default() < limit {
            return false;
        }
        let over_share = |stage: &ResolvedStage| {
            let backlog = &self.services[usize::from(stage.service.0)].backlog;
            backlog.steps_of(rank, org) >= f64::from(limit) * backlog.fair_share(rank, org, weight)
        };
        stages.iter().any(over_share)
    }

    // ------------------------------------------------------------------------
    // Estimates

    /// The number of steps that this thread may have in flight at the targets of a service.
    pub(super) fn capacity(&self, service: ServiceIx) -> u32 {
        let Some(state) = self.services.get(usize::from(service.0)) else {
            return 0;
        };
        let places = |id| self.targets.get(id).map_or(0, TargetState::capacity);
        state.targets.iter().map(places).fold(0, u32::saturating_add)
    }

    /// The expected time of a new request of `org` through all of `stages`.
    ///
    /// The queue of a later stage drains while the request is at an earlier one, so a stage adds only
    /// the part of its wait that is left when the request arrives there.
    fn expected_time(&self, now: Time, rank: u8, org: OrgKey, weight: u32, stages: &[ResolvedStage]) -> Span {
        let mut expected = 0.0_f64;
        for stage in stages {
            let state = &self.services[usize::from(stage.service.0)];
            let ahead = state.backlog.steps_ahead(rank, org, weight);
            let above = state.backlog.arrival_rate_above(now, rank);
            let wait = state.wait_us(ahead, f64::from(self.capacity(stage.service)), above);
            expected = expected.max(wait) + state.avg_step_us;
        }
        Span(expected as u64)
    }

    /// What admission would do with `call` now. Changes no state.
    pub fn forecast(&mut self, now: Time, call: &Call) -> Forecast {
        let key = RequestKey::new(&call.organisation, &call.key);
        let verdict = self.resolve_call(now, call, key).and_then(|resolved| {
            self.admit(now, call, &resolved)?;
            Ok(resolved)
        });
        self.actions.clear();
        match verdict {
            Err(rejection) => Forecast {
                refusal: Some((rejection.reason, rejection.retry_after)),
                stages: Vec::new(),
            },
            Ok(resolved) => Forecast {
                refusal: None,
                stages: self.forecast_stages(now, &resolved),
            },
        }
    }

    fn forecast_stages(
        &self,
        now: Time,
        resolved: &ResolvedCall,
    ) -> Vec<(ServiceIx, Option<TargetId>, Span)> {
        let pipeline = &resolved.config.pipelines[usize::from(resolved.pipeline.0)];
        let org = &resolved.config.organisations[resolved.org.0 as usize];
        let key = org_key(&org.name);
        let until =
            |end: usize| self.expected_time(now, pipeline.class.0, key, org.weight, &pipeline.stages[..end]);
        let stages = pipeline.stages.iter().enumerate();
        stages
            .map(|(at, stage)| (stage.service, self.likely_target(now, stage), until(at + 1)))
            .collect()
    }

    // ------------------------------------------------------------------------
    // Creating and rejecting requests

    fn start_request(&mut self, now: Time, caller: CallerId, call: &Call, resolved: &ResolvedCall) {
        let pipeline = &resolved.config.pipelines[usize::from(resolved.pipeline.0)];
        let org = &resolved.config.organisations[resolved.org.0 as usize];
        let request = Request {
            key: resolved.key,
            org: org_key(&org.name),
            weight: org.weight,
            rank: pipeline.class.0,
            stages: pipeline.stages.clone(),
            deadline: call.deadline,
            unrepeatable: call.unrepeatable,
            remembered: resolved.at_most_once,
            earlier: if resolved.at_most_once {
                Earlier::None
            } else {
                call.earlier
            },
            prefix: if call.prefix.is_empty() {
                0
            } else {
                rendezvous::text_key(&call.prefix)
            },
            phase: self.request_chart.initial(),
            step: 0,
            sends: 0,
            attempts: 0,
            first_undispatched: 0,
            input: Arc::clone(&call.payload),
            answer: Vec::new(),
            may_have_run: false,
            listeners: Vec::new(),
            attempt: None,
            queued: None,
            wake: call.deadline,
            avoid: None,
            spent: Vec::new(),
        };
        for stage in &request.stages {
            let backlog = &mut self.services[usize::from(stage.service.0)].backlog;
            backlog.record_arrival(now, request.rank, request.org, request.weight);
        }
        let id = self.requests.insert(request);
        if resolved.at_most_once {
            self.key_memory
                .begin(resolved.key, call.deadline, content_hash(call), id);
        }
        self.add_listener(id, caller);
        self.enqueue(now, id);
    }

    fn add_listener(&mut self, id: RequestId, caller: CallerId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.listeners.push(Listener { caller, sent: 0 });
            self.caller_requests.insert(caller, id);
        }
    }

    /// Rejects a call that this node has not run any part of.
    ///
    /// The verdict "not run" is about the request, not about this send of it. If an earlier send may
    /// have run elsewhere, only the home node of an unrepeatable key can rule that out, after its
    /// takeover wait.
    fn reject(&mut self, caller: CallerId, call: &Call, rejection: &Rejection) {
        let unsure = call.earlier == Earlier::Uncertain
            && !rejection.surely_not_run
            && self.enforces(Guard::EarlierSendsUnknown);
        let may_have_run = unsure || rejection.reason == Reason::KeyReused;
        let verdict = if may_have_run {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        };
        self.count(match verdict {
            Verdict::NotRun => Counter::RefusedNotRun(rejection.reason),
            _ => Counter::RefusedUnknown(rejection.reason),
        });
        let redirect = match (rejection.reason, rejection.home) {
            (_, Some(home)) => self.plan.address(home).map(str::to_owned),
            (Reason::Leaving, None) if self.stopping() => {
                let spread = self.random.random();
                self.redirect_address(spread)
            }
            _ => None,
        };
        let jitter = if rejection.jitter {
            self.random.random_range(0.0..0.5)
        } else {
            0.0
        };
        let refusal = Refusal {
            reason: rejection.reason,
            verdict,
            step: None,
            origin: Some(RefusalOrigin::Node(rejection.home.unwrap_or(self.settings.node))),
            retry_after: rejection.retry_after + rejection.retry_after.scale(jitter),
        };
        let outcome = Outcome::Refused(refusal);
        self.actions.push(TrafficAction::Finish {
            caller,
            outcome,
            redirect,
        });
    }

    /// The configuration revision that answers carry.
    pub fn revision(&self) -> Revision {
        self.plan
            .config
            .as_ref()
            .map_or(Revision(0), |config| config.revision)
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// The key of an organisation in the fair queues.
pub(super) fn org_key(name: &str) -> OrgKey {
    OrgKey(rendezvous::text_key(name) as u64)
}

/// A hash of the call's contents, to detect another request that reuses the key.
fn content_hash(call: &Call) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::from(call.unrepeatable)]);
    hasher.update(call.pipeline.as_bytes());
    hasher.update(&[0]);
    hasher.update(&call.payload);
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    u128::from_le_bytes(bytes)
}
