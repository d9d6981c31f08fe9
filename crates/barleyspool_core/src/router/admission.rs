//! Arrivals: what is checked before a request is taken, in the order in which it is cheapest to refuse.

use super::Router;
use crate::{
    Call, CallerId, Config, Counter, Earlier, Guard, KeyState, LeaseRefusal, ListState, Listener, NodeId,
    OrgIx, OrgKey, Outcome, Peer, PipelineIx, PlanPeer, Reason, Refusal, Request, RequestId, RequestKey,
    Revision, ServiceIx, Serving, Span, StagePlan, TargetId, TargetState, Time, TrafficAction, Verdict,
    rendezvous,
};
use rand::Rng;
use std::sync::Arc;

/// The longest key and organisation name, in bytes.
const MAX_KEY: usize = 128;
/// When to come back to a node that has no configuration or is behind.
const CATCH_UP_WAIT: Span = Span::from_millis(200);
/// When to come back after a lease was not confirmed.
const CONFIRM_WAIT: Span = Span::from_millis(500);
/// When to come back to another node that has been named.
const AT_ONCE: Span = Span::from_millis(1);
/// The least time after which coming back to a full node makes sense.
const LEAST_COME_BACK: Span = Span::from_millis(50);

/// A call whose names have been looked up.
struct Checked {
    config: Arc<Config>,
    org: OrgIx,
    pipeline: PipelineIx,
    key: RequestKey,
    /// Whether any of it may run at most once.
    keyed: bool,
}

/// Why a call is turned away.
struct Turned {
    reason: Reason,
    come_back: Span,
    home: Option<NodeId>,
    /// Whether this node is the settled home of the key and has no memory of it: then nothing of the
    /// request can have run, whatever became of earlier sends.
    certain: bool,
    /// Whether the time to come back is spread, so that refused callers do not all come back at once.
    spread: bool,
}

impl Turned {
    fn new(reason: Reason) -> Self {
        Self::after(reason, Span::ZERO)
    }

    fn after(reason: Reason, come_back: Span) -> Self {
        Self {
            reason,
            come_back,
            home: None,
            certain: false,
            spread: false,
        }
    }
}

/// What would happen to a call, for operators that ask.
#[derive(Clone, Debug, PartialEq)]
pub struct Forecast {
    /// Why it would be refused, and when to come back; `None` when it would be admitted.
    pub refusal: Option<(Reason, Span)>,
    /// The expected time of each stage, waiting included, from now.
    pub stages: Vec<(ServiceIx, Option<TargetId>, Span)>,
}

impl Router {
    pub(super) fn arrive(&mut self, now: Time, caller: CallerId, call: &Call) {
        self.count(Counter::Arrived);
        let key = RequestKey::new(&call.organisation, &call.key);
        // Memory goes before everything else: a repeat is owed the answer of the one run whatever has
        // changed since, be it the configuration, the home or a planned stop.
        if self.repeat(caller, call, key) {
            return;
        }
        let admitted = self.check(now, call, key).and_then(|checked| {
            self.admit(now, call, &checked)?;
            Ok(checked)
        });
        match admitted {
            Ok(checked) => self.begin(now, caller, call, &checked),
            Err(turned) => self.turn_away(caller, call, &turned),
        }
    }

    /// Looks names up and refuses what can never be right.
    fn check(&mut self, now: Time, call: &Call, key: RequestKey) -> Result<Checked, Turned> {
        let plan = Arc::clone(&self.plan);
        if !named_well(&call.key) || !named_well(&call.organisation) {
            return Err(Turned::new(Reason::BadKey));
        }
        if call.payload.len() > self.settings.max_payload {
            return Err(Turned::new(Reason::PayloadTooLarge));
        }
        let Some(config) = plan.config.clone() else {
            return Err(Turned::after(Reason::NoConfiguration, CATCH_UP_WAIT));
        };
        if self.plan_stale(now) {
            return Err(Turned::after(Reason::PlanStale, CATCH_UP_WAIT));
        }
        if plan.serving == Serving::CatchingUp {
            return Err(Turned::after(Reason::NoConfiguration, CATCH_UP_WAIT));
        }
        if call.seen > config.revision && self.enforces(Guard::SeenRevision) {
            self.actions.push(TrafficAction::NotifyBehind);
            return Err(Turned::after(Reason::ConfigurationBehind, CATCH_UP_WAIT));
        }
        let org = config
            .organisation(&call.organisation)
            .ok_or(Turned::new(Reason::UnknownOrganisation))?;
        let pipeline = config
            .pipeline(&call.pipeline)
            .ok_or(Turned::new(Reason::UnknownPipeline))?;
        if !config.attached(org, pipeline) {
            return Err(Turned::new(Reason::PipelineNotAttached));
        }
        let stages = &config.pipelines[usize::from(pipeline.0)].stages;
        let keyed = call.unrepeatable || stages.iter().any(|stage| stage.unrepeatable);
        Ok(Checked {
            config,
            org,
            pipeline,
            key,
            keyed,
        })
    }

    /// Answers a repeat of a remembered key; false when the key is not remembered.
    fn repeat(&mut self, caller: CallerId, call: &Call, key: RequestKey) -> bool {
        let Some(remembered) = self.memory.get(key).filter(|_| self.enforces(Guard::KeyMemory)) else {
            return false;
        };
        if remembered.deadline != call.deadline || remembered.content_hash != content_hash(call) {
            self.turn_away(caller, call, &Turned::new(Reason::KeyReused));
            return true;
        }
        match remembered.state.clone() {
            KeyState::Running(request) => {
                self.count(Counter::Joined);
                self.listen(request, caller);
                self.forward(request);
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

    /// Decides whether a call that is well formed and new is taken.
    fn admit(&self, now: Time, call: &Call, checked: &Checked) -> Result<(), Turned> {
        let pipeline = &checked.config.pipelines[usize::from(checked.pipeline.0)];
        if call.deadline <= now {
            return Err(Turned::new(Reason::DeadlinePast));
        }
        if call.deadline.since(now) > pipeline.longest {
            return Err(Turned::new(Reason::DeadlineBeyondHorizon));
        }
        if checked.keyed {
            self.admit_keyed(now, call, checked.key)?;
        }
        let admitted = if self.stopping() {
            Err(Turned::after(Reason::Leaving, AT_ONCE))
        } else {
            self.admit_load(now, call.deadline, checked)
        };
        admitted.map_err(|turned| Turned {
            certain: checked.keyed,
            ..turned
        })
    }

    fn admit_keyed(&self, now: Time, call: &Call, key: RequestKey) -> Result<(), Turned> {
        if call.deadline.since(now) > self.plan.rules.horizon {
            return Err(Turned::new(Reason::DeadlineBeyondHorizon));
        }
        // Another cell, or another region, may own the key.
        let home = self.plan.fleet.home(&self.plan.region, key);
        if home != Some(self.plan.me) {
            return Err(self.not_home(home));
        }
        match self.plan.lease.check(now, key) {
            Ok(()) if self.memory.full() => Err(Turned::after(Reason::MemoryFull, CONFIRM_WAIT)),
            Ok(()) => Ok(()),
            Err(LeaseRefusal::NotHome(home)) => Err(self.not_home(home)),
            Err(LeaseRefusal::TakeoverWait(wait)) => Err(Turned::after(Reason::TakeoverWait, wait)),
            Err(LeaseRefusal::Unconfirmed) => Err(Turned::after(Reason::Unconfirmed, CONFIRM_WAIT)),
        }
    }

    /// Sends the caller to the home of its key; if that is on its way out, tells when there will be a new one.
    fn not_home(&self, home: Option<NodeId>) -> Turned {
        let leaving = |peer: &&PlanPeer| Some(peer.id) == home && peer.state == ListState::Leaving;
        if self.plan.peers.iter().any(|peer| leaving(&peer)) {
            return Turned::after(Reason::Leaving, self.plan.rules.takeover_wait());
        }
        Turned {
            home,
            ..Turned::after(Reason::NotHome, AT_ONCE)
        }
    }

    fn admit_load(&self, now: Time, deadline: Time, checked: &Checked) -> Result<(), Turned> {
        let pipeline = &checked.config.pipelines[usize::from(checked.pipeline.0)];
        let org = &checked.config.organisations[checked.org.0 as usize];
        let rank = pipeline.class.0;
        for stage in &pipeline.stages {
            if self.places(stage.service) == 0 {
                let rest = self.all_rest(now, stage.service);
                return Err(if rest > Span::ZERO {
                    Turned::after(Reason::TargetsRest, rest)
                } else {
                    Turned::after(Reason::NoTarget, CONFIRM_WAIT)
                });
            }
        }
        if !self.settings.policy.admission {
            return Ok(());
        }
        let class = &checked.config.classes[usize::from(rank)];
        let expected = self.expect(now, rank, org_key(&org.name), org.weight, &pipeline.stages);
        // It would be admitted when the queues have drained by what is missing.
        let missing = Span(expected.0.saturating_sub(deadline.since(now).0)).max(LEAST_COME_BACK);
        let full = |reason| {
            Err(Turned {
                spread: true,
                ..Turned::after(reason, missing)
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

    /// Whether the queue of a class takes nothing more of an organisation.
    ///
    /// A full queue still takes what an organisation is due of it, so that one that floods the queue does not
    /// shut the others out; the queue is never longer than twice its limit.
    fn queue_full(&self, rank: u8, most: u32, org: OrgKey, weight: u32, stages: &[StagePlan]) -> bool {
        if self.waiting.get(&rank).copied().unwrap_or_default() < most {
            return false;
        }
        let over = |stage: &StagePlan| {
            let backlog = &self.services[usize::from(stage.service.0)].backlog;
            backlog.owned(rank, org) >= f64::from(most) * backlog.share(rank, org, weight)
        };
        stages.iter().any(over)
    }

    // ------------------------------------------------------------------------
    // Expectations

    /// How many steps this thread may have at the targets of a service at once.
    pub(super) fn places(&self, service: ServiceIx) -> u32 {
        let Some(state) = self.services.get(usize::from(service.0)) else {
            return 0;
        };
        let places = |id| self.targets.get(id).map_or(0, TargetState::places);
        state.targets.iter().map(places).fold(0, u32::saturating_add)
    }

    /// How long a new request of `org` would take over all of `stages`.
    ///
    /// A later stage's queue drains while the request is at an earlier one, so a stage adds only what of
    /// its wait is left when the request gets there.
    fn expect(&self, now: Time, rank: u8, org: OrgKey, weight: u32, stages: &[StagePlan]) -> Span {
        let mut expected = 0.0_f64;
        for stage in stages {
            let state = &self.services[usize::from(stage.service.0)];
            let ahead = state.backlog.ahead(rank, org, weight);
            let above = state.backlog.rate_above(now, rank);
            let wait = state.wait(ahead, f64::from(self.places(stage.service)), above);
            expected = expected.max(wait) + state.took;
        }
        Span(expected as u64)
    }

    /// What would happen to `call` now. Nothing is changed.
    pub fn forecast(&mut self, now: Time, call: &Call) -> Forecast {
        let key = RequestKey::new(&call.organisation, &call.key);
        let verdict = self.check(now, call, key).and_then(|checked| {
            self.admit(now, call, &checked)?;
            Ok(checked)
        });
        self.actions.clear();
        match verdict {
            Err(turned) => Forecast {
                refusal: Some((turned.reason, turned.come_back)),
                stages: Vec::new(),
            },
            Ok(checked) => Forecast {
                refusal: None,
                stages: self.forecast_stages(now, &checked),
            },
        }
    }

    fn forecast_stages(&self, now: Time, checked: &Checked) -> Vec<(ServiceIx, Option<TargetId>, Span)> {
        let pipeline = &checked.config.pipelines[usize::from(checked.pipeline.0)];
        let org = &checked.config.organisations[checked.org.0 as usize];
        let key = org_key(&org.name);
        let upto = |end: usize| self.expect(now, pipeline.class.0, key, org.weight, &pipeline.stages[..end]);
        let stages = pipeline.stages.iter().enumerate();
        stages
            .map(|(at, stage)| (stage.service, self.likeliest(now, stage), upto(at + 1)))
            .collect()
    }

    // ------------------------------------------------------------------------
    // Beginning

    fn begin(&mut self, now: Time, caller: CallerId, call: &Call, checked: &Checked) {
        let pipeline = &checked.config.pipelines[usize::from(checked.pipeline.0)];
        let org = &checked.config.organisations[checked.org.0 as usize];
        let request = Request {
            key: checked.key,
            org: org_key(&org.name),
            weight: org.weight,
            rank: pipeline.class.0,
            stages: pipeline.stages.clone(),
            deadline: call.deadline,
            unrepeatable: call.unrepeatable,
            remembered: checked.keyed,
            earlier: if checked.keyed {
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
            owed: 0,
            input: Arc::clone(&call.payload),
            answer: Vec::new(),
            touched: false,
            listeners: Vec::new(),
            attempt: None,
            place: None,
            wake: call.deadline,
            avoid: None,
            spent: Vec::new(),
        };
        for stage in &request.stages {
            let backlog = &mut self.services[usize::from(stage.service.0)].backlog;
            backlog.arrived(now, request.rank, request.org, request.weight);
        }
        let id = self.requests.insert(request);
        if checked.keyed {
            self.memory
                .begin(checked.key, call.deadline, content_hash(call), id);
        }
        self.listen(id, caller);
        self.enqueue(now, id);
    }

    fn listen(&mut self, id: RequestId, caller: CallerId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.listeners.push(Listener { caller, sent: 0 });
            self.listening.insert(caller, id);
        }
    }

    /// Refuses a call of which this node has run nothing.
    ///
    /// "Not run" speaks of the request, not of this send of it: when an earlier send may have run
    /// elsewhere, only the settled home of an unrepeatable key knows better, and says so by taking it.
    fn turn_away(&mut self, caller: CallerId, call: &Call, turned: &Turned) {
        let unsure = call.earlier == Earlier::Uncertain
            && !turned.certain
            && self.enforces(Guard::EarlierSendsUnknown);
        let may_have_run = unsure || turned.reason == Reason::KeyReused;
        let verdict = if may_have_run {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        };
        self.count(match verdict {
            Verdict::NotRun => Counter::RefusedNotRun(turned.reason),
            _ => Counter::RefusedUnknown(turned.reason),
        });
        let redirect = match (turned.reason, turned.home) {
            (_, Some(home)) => self.plan.address(home).map(str::to_owned),
            (Reason::Leaving, None) if self.stopping() => {
                let spread = self.random.random();
                self.elsewhere(spread)
            }
            _ => None,
        };
        let extra = if turned.spread {
            self.random.random_range(0.0..0.5)
        } else {
            0.0
        };
        let refusal = Refusal {
            reason: turned.reason,
            verdict,
            step: None,
            peer: Some(Peer::Node(turned.home.unwrap_or(self.settings.node))),
            come_back: turned.come_back + turned.come_back.scale(extra),
        };
        let outcome = Outcome::Refused(refusal);
        self.actions.push(TrafficAction::Finish {
            caller,
            outcome,
            redirect,
        });
    }

    /// The configuration revision that answers are stamped with.
    pub fn revision(&self) -> Revision {
        self.plan
            .config
            .as_ref()
            .map_or(Revision(0), |config| config.revision)
    }
}

fn named_well(name: &str) -> bool {
    (1..=MAX_KEY).contains(&name.len())
}

/// The fair-queueing key of an organisation.
pub(super) fn org_key(name: &str) -> OrgKey {
    OrgKey(rendezvous::text_key(name) as u64)
}

/// A hash of what was asked under a key, so that another request under the same key is noticed.
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
