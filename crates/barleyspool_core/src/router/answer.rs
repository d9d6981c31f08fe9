//! Answers, reports and failures of targets.

use super::Router;
use crate::{
    AttemptEnd, AttemptId, Counter, Echo, ExecutionStatus, Guard, LoadReport, MAX_COOLDOWN, Payload, Reason,
    RefusalOrigin, RequestEvent, RequestId, RetryReason, ServiceIx, Span, TargetCooldown, TargetEvent,
    TargetId, TargetPhase, Time, TrafficAction,
};
use std::sync::Arc;

/// How often a step is sent at most when no retry budget is in use.
const MAX_SENDS_WITHOUT_BUDGET: u16 = 3;

impl Router {
    /// Appends a part of a streamed answer and forwards it, if it belongs to this attempt and leaves no
    /// gap.
    pub(super) fn handle_part(
        &mut self,
        now: Time,
        attempt: AttemptId,
        echo: Echo,
        offset: u64,
        data: &Payload,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return self.count(Counter::LateAnswer);
        };
        if state.echo != echo && self.settings.guards.enforces(Guard::EchoMatch) {
            self.count(Counter::Misdirected);
            return self.abort_attempt(now, attempt);
        }
        state.last_answer = now;
        let Some(&id) = self.attempt_owner.get(&attempt) else {
            return;
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.may_have_run = true;
        let answer_length = request.answer.len() as u64;
        if offset > answer_length && self.settings.guards.enforces(Guard::NoStreamGap) {
            self.count(Counter::StreamGap);
            return self.abort_attempt(now, attempt);
        }
        let Some(new_data) = data.get(answer_length.saturating_sub(offset) as usize..) else {
            return;
        };
        if request.answer.len() + new_data.len() > self.settings.max_answer {
            return self.give_up(now, id, Reason::AnswerTooLarge, None);
        }
        request.answer.extend_from_slice(new_data);
        self.forward_answer(id);
    }

    /// Sends each listener the part of the answer that it does not have yet, if the last step is
    /// running.
    pub(super) fn forward_answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.is_last_step() {
            return;
        }
        let answer_length = request.answer.len() as u64;
        for listener in request
            .listeners
            .iter_mut()
            .filter(|listener| listener.sent < answer_length)
        {
            let data: Payload = Arc::from(&request.answer[listener.sent as usize..]);
            let (caller, offset) = (listener.caller, listener.sent);
            listener.sent = answer_length;
            self.actions.push(TrafficAction::Part { caller, offset, data });
        }
    }

    /// Closes an attempt whose connection can no longer be trusted. Its step counts as broken off.
    fn abort_attempt(&mut self, now: Time, attempt: AttemptId) {
        self.cancel_attempt(attempt);
        self.handle_attempt_end(now, attempt, None, AttemptEnd::Interrupted);
    }

    /// Applies the load and leaving state that a target reported with an answer.
    pub(super) fn apply_answer_report(
        &mut self,
        now: Time,
        attempt: AttemptId,
        report: Option<LoadReport>,
        leaving: bool,
    ) {
        let Some(target) = self.attempts.get(attempt).map(|attempt| attempt.target) else {
            return;
        };
        self.apply_report(now, target, report, leaving);
    }

    fn apply_report(&mut self, now: Time, id: TargetId, report: Option<LoadReport>, leaving: bool) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if let Some(report) = report {
            target.report = Some((report, now));
        }
        let leaving = leaving && self.settings.guards.enforces(Guard::TargetLeaving);
        if leaving
            && self
                .target_chart
                .step(&mut target.phase, TargetEvent::ReportedLeaving)
        {
            let incarnation = target.plan.incarnation;
            self.count(Counter::ReportedLeaving);
            self.actions.push(TrafficAction::NotifyLeaving {
                target: id,
                incarnation,
            });
        }
    }

    pub(super) fn handle_probe_result(
        &mut self,
        now: Time,
        id: TargetId,
        ok: bool,
        report: Option<LoadReport>,
        leaving: bool,
    ) {
        self.apply_report(now, id, report, leaving);
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.record_probe(now, ok, &self.target_chart);
        let service = target.plan.service;
        self.dispatch_waiting(now, service);
    }

    // ------------------------------------------------------------------------
    // The end of an attempt

    pub(super) fn handle_attempt_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        echo: Option<Echo>,
        end: AttemptEnd,
    ) {
        let Some(state) = self.attempts.get(attempt) else {
            return self.count(Counter::LateAnswer);
        };
        let misdirected = echo.is_some_and(|echo| echo != state.echo) && self.enforces(Guard::EchoMatch);
        if misdirected {
            self.count(Counter::Misdirected);
        }
        let end = if misdirected {
            AttemptEnd::Interrupted
        } else {
            self.verify_length(attempt, end)
        };
        let Some((id, target, took)) = self.release_attempt(now, attempt) else {
            return;
        };
        self.record_target_result(now, target, took, &end);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.may_have_run |= end.execution_status() != ExecutionStatus::NotRun;
        let service = request.stage().service;
        match end {
            AttemptEnd::Done { output, .. } => {
                request.spent.push((service, took));
                self.services[usize::from(service.0)].record_step_time(took);
                self.retry_budget.record_success();
                self.complete_step(now, id, &output);
            }
            AttemptEnd::Refused { .. } => self.retry_step(now, id, target, RetryReason::Refused),
            AttemptEnd::Unreachable => self.retry_step(now, id, target, RetryReason::Unreachable),
            AttemptEnd::Interrupted => {
                request.spent.push((service, took));
                let resumed = !request.answer.is_empty();
                let reason = if resumed {
                    RetryReason::Resumed
                } else {
                    RetryReason::Interrupted
                };
                if request.repeatable() || !self.settings.guards.enforces(Guard::NoUnsafeRetry) {
                    self.retry_step(now, id, target, reason);
                } else {
                    self.give_up(now, id, Reason::StepFailed, Some(RefusalOrigin::Target(target)));
                }
            }
        }
        self.dispatch_waiting(now, service);
    }

    /// Turns an end whose stated length differs from the bytes received into a broken-off attempt.
    fn verify_length(&mut self, attempt: AttemptId, end: AttemptEnd) -> AttemptEnd {
        let AttemptEnd::Done { output, length } = &end else {
            return end;
        };
        let request = self
            .attempt_owner
            .get(&attempt)
            .and_then(|id| self.requests.get(*id));
        let streamed = request.map_or(0, |request| request.answer.len() as u64);
        if streamed + output.len() as u64 == *length || !self.enforces(Guard::StreamLength) {
            return end;
        }
        self.count(Counter::StreamGap);
        AttemptEnd::Interrupted
    }

    /// Removes an attempt; returns its request, its target and how long it took.
    pub(super) fn release_attempt(
        &mut self,
        now: Time,
        attempt: AttemptId,
    ) -> Option<(RequestId, TargetId, Span)> {
        let state = self.attempts.remove(attempt)?;
        let id = self.attempt_owner.remove(&attempt)?;
        let request = self.requests.get_mut(id)?;
        request.attempt = None;
        self.services[usize::from(request.stage().service.0)].in_flight -= 1;
        if let Some(target) = self.targets.get_mut(&state.target) {
            target.in_flight -= 1;
        }
        Some((id, state.target, now.since(state.started)))
    }

    fn record_target_result(&mut self, now: Time, id: TargetId, took: Span, end: &AttemptEnd) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        match end {
            AttemptEnd::Done { .. } => {
                let full = !target.limit.allows(target.in_flight + 1);
                let report = target.report.map(|(report, _)| report);
                target.limit.record_answer(now, took, full, report);
                target.record_success(&self.target_chart);
            }
            AttemptEnd::Refused { leaving: true, .. } => {
                self.apply_report(now, id, None, true);
            }
            AttemptEnd::Refused { cooldown: rest, .. } => {
                target.limit.shrink(now);
                self.start_cooldown(now, id, *rest);
            }
            AttemptEnd::Unreachable | AttemptEnd::Interrupted => self.record_target_failure(now, id),
        }
    }

    /// Puts a target into the cooldown that it requested, and notifies the other lanes of this node.
    fn start_cooldown(&mut self, now: Time, id: TargetId, cooldown: Span) {
        let Some(target) = self.targets.get_mut(&id).filter(|_| cooldown > Span::ZERO) else {
            return;
        };
        let cooldown = TargetCooldown {
            target: id,
            incarnation: target.plan.incarnation,
            until: now + cooldown.min(MAX_COOLDOWN),
        };
        target.start_cooldown(cooldown.until, &self.target_chart);
        self.count(Counter::CooldownRequested);
        self.actions.push(TrafficAction::NotifyCooldown(cooldown));
    }

    /// The shortest remaining cooldown of a service's targets that are not leaving; zero if one of them
    /// has none.
    pub(super) fn service_cooldown(&self, now: Time, service: ServiceIx) -> Span {
        let targets = &self.services[usize::from(service.0)].targets;
        let targets = targets.iter().filter_map(|id| self.targets.get(id));
        let remaining = targets.filter(|target| target.phase != TargetPhase::Leaving);
        let cooldowns = remaining.map(|target| target.cooldown_until.since(now));
        cooldowns.min().unwrap_or_default()
    }

    /// Counts a failure of a target and quarantines it, unless more than half of the service's targets
    /// would be unusable: then the fault is more likely at this node than at all those targets.
    pub(super) fn record_target_failure(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if !target.record_failure(now) || target.phase == TargetPhase::Quarantined {
            return;
        }
        let service = usize::from(target.plan.service.0);
        let listed = &self.services[service].targets;
        let unusable = |id: &&TargetId| self.targets.get(id).is_none_or(|target| !target.is_usable());
        if (listed.iter().filter(unusable).count() + 1) * 2 > listed.len()
            && self.enforces(Guard::QuarantineCap)
        {
            return self.count(Counter::QuarantineCapped);
        }
        self.count(Counter::Quarantined);
        if let Some(target) = self.targets.get_mut(&id) {
            target.quarantine(now, &self.target_chart);
        }
    }

    // ------------------------------------------------------------------------
    // The next state of the request

    fn complete_step(&mut self, now: Time, id: RequestId, output: &Payload) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.answer.extend_from_slice(output);
        if request.answer.len() > self.settings.max_answer {
            return self.give_up(now, id, Reason::AnswerTooLarge, None);
        }
        if request.is_last_step() {
            self.forward_answer(id);
            return self.complete(now, id);
        }
        self.request_chart
            .step(&mut request.phase, RequestEvent::StepDone);
        request.input = Arc::from(std::mem::take(&mut request.answer));
        request.step += 1;
        request.sends = 0;
        request.avoid = None;
        if self.start_by(id).is_some_and(|start_by| start_by < now) {
            return self.give_up(now, id, Reason::DeadlineMissed, None);
        }
        self.enqueue(now, id);
    }

    /// Sends the current step again if time, targets and the retry budget allow it; otherwise gives up
    /// the request.
    pub(super) fn retry_step(&mut self, now: Time, id: RequestId, failed: TargetId, reason: RetryReason) {
        let start_by = self.start_by(id);
        let late = start_by.is_none_or(|start_by| start_by < now);
        let service = self.requests.get(id).map(|request| request.stage().service);
        let cooldown = service.map_or(Span::ZERO, |service| self.service_cooldown(now, service));
        if cooldown > Span::ZERO && start_by.is_some_and(|start_by| start_by < now + cooldown) {
            return self.give_up(
                now,
                id,
                Reason::TargetsCoolingDown,
                Some(RefusalOrigin::Target(failed)),
            );
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // Wherever the request is given up below, the refusal originates at the target that failed.
        let peer = Some(RefusalOrigin::Target(failed));
        if late {
            return self.give_up(now, id, Reason::DeadlineMissed, peer);
        }
        let without_budget =
            !self.settings.policy.use_retry_budget || !self.settings.guards.enforces(Guard::RetryBudget);
        let allowed = if without_budget {
            request.sends < MAX_SENDS_WITHOUT_BUDGET
        } else {
            self.retry_budget.try_spend()
        };
        if !allowed {
            self.count(Counter::RetryDenied);
            return self.give_up(now, id, Reason::RetryBudget, peer);
        }
        request.avoid = Some(failed);
        self.request_chart.step(&mut request.phase, RequestEvent::Retry);
        let (rank, org, weight) = (request.rank, request.org, request.weight);
        request.first_undispatched = request.step;
        let service = request.stage().service;
        self.services[usize::from(service.0)]
            .backlog
            .add(rank, org, weight);
        self.count(Counter::Retried(reason));
        self.enqueue(now, id);
    }

    /// Closes the connection of an attempt and notifies its target. The attempt remains until it is
    /// released.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let Some(target) = self.targets.get(&state.target) else {
            return;
        };
        let (echo, target, address) = (state.echo, state.target, target.plan.address.clone());
        self.counters.count(Counter::Cancelled);
        self.actions.push(TrafficAction::Cancel {
            attempt,
            echo,
            target,
            address,
        });
    }
}
