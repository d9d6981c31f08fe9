//! Queueing of steps, load balancing and dispatch to targets.

use super::Router;
use crate::{
    Attempt, Counter, Echo, LoadBalancing, QueueEntry, Reason, RequestEvent, RequestId, ResolvedStage,
    ServiceIx, Span, StepOrder, TargetId, TargetState, Time, TrafficAction, WaitingStep, rendezvous,
};
use rand::Rng;
use slotmap::Key;
use std::sync::Arc;

/// An attempt times out after this multiple of the step's expected time.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;
/// The shortest timeout of an attempt, since fast services have short pauses too.
const MIN_ATTEMPT_TIMEOUT: Span = Span::from_millis(50);
/// A step is started only if at least this share of the expected time of the remaining steps is left
/// before the deadline.
const MIN_TIME_SHARE: f64 = 0.8;
/// The target that a prefix maps to is preferred while its calls in flight are below this multiple of
/// the average.
const PREFIX_LOAD_FACTOR: f64 = 1.25;

impl Router {
    /// Puts a request into the queue of its current step's service.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId) {
        let Some(start_by) = self.start_by(id) else { return };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let waiting = WaitingStep {
            not_started: !request.may_have_run,
            start_by,
            request: id,
        };
        let place = QueueEntry {
            rank: request.rank,
            org: request.org,
            step: waiting,
        };
        let service = request.stage().service;
        request.queued = Some(place);
        let weight = request.weight;
        self.services[usize::from(service.0)].queue.push(place, weight);
        *self.waiting_by_rank.entry(place.rank).or_default() += 1;
        self.set_wake(id, start_by);
        self.dispatch_waiting(now, service);
    }

    /// Removes a request from the queue it waits in.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(item) = request.queued.take() else { return };
        let service = request.stage().service;
        self.services[usize::from(service.0)].queue.remove(item);
        self.count_dequeued(item.rank);
    }

    fn count_dequeued(&mut self, rank: u8) {
        if let Some(waiting) = self.waiting_by_rank.get_mut(&rank) {
            *waiting -= 1;
        }
    }

    /// The latest time at which the current step can start so that it and the later steps can meet
    /// the deadline.
    pub(super) fn start_by(&self, id: RequestId) -> Option<Time> {
        let request = self.requests.get(id)?;
        if !self.settings.policy.admission {
            return Some(request.deadline);
        }
        let remaining = request
            .remaining_stages()
            .iter()
            .map(|stage| self.services[usize::from(stage.service.0)].avg_step_us);
        Some(request.deadline - Span(remaining.sum::<f64>() as u64).scale(MIN_TIME_SHARE))
    }

    /// Dispatches waiting steps of a service while its targets have capacity.
    pub(super) fn dispatch_waiting(&mut self, now: Time, service: ServiceIx) {
        if self.plan_stale(now) {
            return;
        }
        let mut skipped: Vec<RequestId> = Vec::new();
        while self.any_free(service) {
            let skip = |request: RequestId| skipped.contains(&request);
            let Some(place) = self.services[usize::from(service.0)].queue.pop(&skip) else {
                return;
            };
            let id = place.step.request;
            let Some(target) = self.choose_target(now, id) else {
                // No target with capacity suits this request; others in the queue may have one.
                let weight = self.requests.get(id).map_or(1, |request| request.weight);
                self.services[usize::from(service.0)].queue.push(place, weight);
                skipped.push(id);
                continue;
            };
            self.count_dequeued(place.rank);
            if let Some(request) = self.requests.get_mut(id) {
                request.queued = None;
            }
            if now > place.step.start_by {
                self.give_up(now, id, Reason::DeadlineUnreachable, None);
            } else {
                self.dispatch(now, id, target);
            }
        }
    }

    fn any_free(&self, service: ServiceIx) -> bool {
        let free = |id| self.targets.get(id).is_some_and(TargetState::has_capacity);
        self.services[usize::from(service.0)].targets.iter().any(free)
    }

    // ------------------------------------------------------------------------
    // Load balancing

    /// The target for the current step of a request; `None` if no suitable target has capacity.
    fn choose_target(&mut self, now: Time, id: RequestId) -> Option<TargetId> {
        let request = self.requests.get(id)?;
        let (service, avoid, prefix) = (request.stage().service, request.avoid, request.prefix);
        let state = &self.services[usize::from(service.0)];
        let mut free: Vec<TargetId> = state
            .targets
            .iter()
            .copied()
            .filter(|id| self.is_free(*id))
            .collect();
        if free.len() > 1 && self.has_usable_alternative(service, avoid) {
            free.retain(|id| Some(*id) != avoid);
        }
        if free.is_empty() {
            return None;
        }
        if prefix != 0 && self.settings.policy.balancing == LoadBalancing::TwoChoices {
            let holder = self.prefix_holder(service, prefix, &free);
            if holder.is_some() {
                return holder;
            }
        }
        match self.settings.policy.balancing {
            LoadBalancing::TwoChoices => {
                let a = free[self.random.random_range(0..free.len())];
                let b = free[self.random.random_range(0..free.len())];
                Some(self.lower_latency(now, service, a, b))
            }
            LoadBalancing::LeastInFlight => free
                .into_iter()
                .min_by_key(|id| self.targets.get(id).map_or(0, |target| target.in_flight)),
            LoadBalancing::RoundRobin => {
                let state = &mut self.services[usize::from(service.0)];
                state.round_robin_next = state.round_robin_next.wrapping_add(1);
                Some(free[state.round_robin_next % free.len()])
            }
        }
    }

    fn is_free(&self, id: TargetId) -> bool {
        self.targets.get(&id).is_some_and(TargetState::has_capacity)
    }

    fn has_usable_alternative(&self, service: ServiceIx, avoid: Option<TargetId>) -> bool {
        let usable = |id: &&TargetId| self.targets.get(id).is_some_and(TargetState::is_usable);
        let targets = &self.services[usize::from(service.0)].targets;
        targets.iter().filter(usable).any(|id| Some(*id) != avoid)
    }

    fn lower_latency(&self, now: Time, service: ServiceIx, a: TargetId, b: TargetId) -> TargetId {
        let default_latency = self.services[usize::from(service.0)].avg_step_us;
        let expected = |id| {
            self.targets
                .get(&id)
                .map_or(f64::MAX, |target| target.expected_us(now, default_latency))
        };
        if expected(b) < expected(a) { b } else { a }
    }

    /// One of the two targets ranked highest for a prefix, if it has capacity and is not loaded far
    /// above the average.
    fn prefix_holder(&self, service: ServiceIx, prefix: u128, free: &[TargetId]) -> Option<TargetId> {
        let state = &self.services[usize::from(service.0)];
        let average = f64::from(state.in_flight + 1) / state.targets.len().max(1) as f64;
        let max_in_flight = (average * PREFIX_LOAD_FACTOR).ceil().max(1.0);
        let ids = state.targets.iter().map(|id| u64::from(id.0));
        let ranked = rendezvous::rank(prefix, ids)
            .into_iter()
            .map(|id| TargetId(id as u32));
        let lightly_loaded = |id: &TargetId| {
            self.targets
                .get(id)
                .is_some_and(|target| f64::from(target.in_flight) < max_in_flight)
        };
        // Only the first two targets of the ranking have the prefix cached; all others are equally
        // good.
        ranked.take(2).find(|id| free.contains(id) && lightly_loaded(id))
    }

    /// The target that a request of this stage would most likely be sent to, for operators.
    pub(super) fn likely_target(&self, now: Time, stage: &ResolvedStage) -> Option<TargetId> {
        let state = &self.services[usize::from(stage.service.0)];
        let usable = state
            .targets
            .iter()
            .filter_map(|id| self.targets.get(id))
            .filter(|target| target.is_usable());
        let expected = |target: &&TargetState| target.expected_us(now, state.avg_step_us) as u64;
        usable.min_by_key(expected).map(|target| target.plan.id)
    }

    // ------------------------------------------------------------------------
    // Dispatch

    fn dispatch(&mut self, now: Time, id: RequestId, to: TargetId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&to) else {
            return;
        };
        request.attempts += 1;
        request.sends += 1;
        self.request_chart
            .step(&mut request.phase, RequestEvent::Dispatched);
        let stage = request.stage().clone();
        let echo = Echo {
            node: self.settings.node,
            incarnation: self.settings.incarnation,
            request: id.data().as_ffi(),
            step: request.step,
            attempt: request.attempts,
        };
        let attempt = self.attempts.insert(Attempt {
            echo,
            target: to,
            started: now,
            last_answer: now,
        });
        self.attempt_owner.insert(attempt, id);
        request.attempt = Some(attempt);
        target.in_flight += 1;
        let state = &mut self.services[usize::from(stage.service.0)];
        state.in_flight += 1;
        state.backlog.remove(request.rank, request.org);
        request.first_undispatched = request.step + 1;
        let stream = self.plan.config.as_ref().is_some_and(|config| {
            config.services[usize::from(stage.service.0)].kind == crate::ServiceKind::Engine
        });
        let order = StepOrder {
            echo,
            target: to,
            address: target.plan.address.clone(),
            service: stage.service,
            repeatable: request.repeatable(),
            model: stage.model,
            input: Arc::clone(&request.input),
            so_far: Arc::from(request.answer.as_slice()),
            deadline: request.deadline,
            rank: request.rank,
            stream,
        };
        self.count(Counter::Dispatched(order.service));
        self.actions.push(TrafficAction::Dispatch { attempt, order });
        let wake = self.next_check(now, id);
        self.set_wake(id, wake);
    }

    /// When to check on a request whose step is at a target: at its deadline, or at the attempt's
    /// timeout if there is still time to run the step on another target.
    pub(super) fn next_check(&self, from: Time, id: RequestId) -> Time {
        let Some(request) = self.requests.get(id) else {
            return Time(0);
        };
        if !self.settings.policy.attempt_timeouts || !request.repeatable() {
            return request.deadline;
        }
        // The expected time of a step of the stage, in microseconds: the average of its service.
        let took = |stage: &ResolvedStage| self.services[usize::from(stage.service.0)].avg_step_us;
        let timeout_at = from
            + Span(took(request.stage()) as u64)
                .scale(ATTEMPT_TIMEOUT_FACTOR)
                .max(MIN_ATTEMPT_TIMEOUT);
        let remaining: f64 = request.remaining_stages().iter().map(took).sum();
        if timeout_at + Span(remaining as u64) <= request.deadline {
            timeout_at
        } else {
            request.deadline
        }
    }
}
