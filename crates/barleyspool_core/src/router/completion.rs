//! The end of requests: completed, given up, or abandoned by their callers.

use super::Router;
use crate::{
    CallerId, Counter, Earlier, Guard, Outcome, Reason, Refusal, RefusalOrigin, Request, RequestEvent,
    RequestId, ResolvedStage, RetryReason, Span, Time, TrafficAction, Verdict,
};
use std::sync::Arc;

impl Router {
    /// Completes a request whose last step was answered.
    pub(super) fn complete(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        self.request_chart
            .step(&mut request.phase, RequestEvent::LastDone);
        let length = request.answer.len() as u64;
        let (rank, late) = (request.rank, now > request.deadline);
        if !late {
            self.count(Counter::Complete(rank));
        }
        self.finish(id, &Outcome::Complete { length }, late);
    }

    /// Ends a request without a complete answer. Its callers get the final outcome at once. `peer` is the
    /// target or node at which the refusal originated, if there is one.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, reason: Reason, peer: Option<RefusalOrigin>) {
        let Some(attempt) = self.requests.get(id).map(|request| request.attempt) else {
            return;
        };
        if let Some(attempt) = attempt {
            self.cancel_attempt(attempt);
            if let Some((_, _, took)) = self.release_attempt(now, attempt)
                && let Some(request) = self.requests.get_mut(id)
            {
                request.may_have_run = true;
                let service = request.stage().service;
                request.spent.push((service, took));
            }
        }
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        self.request_chart.step(&mut request.phase, RequestEvent::GivenUp);
        let touched = request.may_have_run && self.settings.guards.enforces(Guard::NotRunProven);
        let may_have_run = touched || request.earlier == Earlier::Uncertain;
        let verdict = if may_have_run {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        };
        let step = Some(request.stage().service);
        let counter = if may_have_run {
            Counter::RefusedUnknown(reason)
        } else {
            Counter::RefusedNotRun(reason)
        };
        self.count(counter);
        let retry_after = self.retry_after(now, id);
        self.finish(
            id,
            &Outcome::Refused(Refusal {
                reason,
                verdict,
                step,
                origin: peer,
                retry_after,
            }),
            true,
        );
    }

    /// The retry delay for callers of a request that was given up: until the queue of its current step
    /// has drained.
    fn retry_after(&self, now: Time, id: RequestId) -> Span {
        let Some(request) = self.requests.get(id) else {
            return Span::ZERO;
        };
        let service = request.stage().service;
        let state = &self.services[usize::from(service.0)];
        let ahead = state
            .backlog
            .steps_ahead(request.rank, request.org, request.weight);
        let above = state.backlog.arrival_rate_above(now, request.rank);
        let wait = state.wait_us(ahead, f64::from(self.capacity(service)), above);
        Span((wait as u64).max(state.avg_step_us as u64)).max(self.service_cooldown(now, service))
    }

    /// Sends the outcome to every listener, updates counters and remembered keys, and removes the
    /// request.
    fn finish(&mut self, id: RequestId, outcome: &Outcome, wasted: bool) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.timers.remove(&(request.wake, id));
        self.drop_backlog(&request);
        for &(service, took) in &request.spent {
            self.counters.add(Counter::Spent(service), took.0);
            if wasted {
                self.counters.add(Counter::Wasted(service), took.0);
            }
        }
        for listener in &request.listeners {
            self.caller_requests.remove(&listener.caller);
            let (caller, outcome) = (listener.caller, outcome.clone());
            self.actions.push(TrafficAction::Finish {
                caller,
                outcome,
                redirect: None,
            });
        }
        if request.remembered {
            match outcome.verdict() {
                Verdict::NotRun => self.key_memory.forget(request.key),
                _ => self
                    .key_memory
                    .end(request.key, Arc::from(request.answer), outcome.clone()),
            }
        }
    }

    /// Removes the steps that will not be sent any more from the backlogs.
    fn drop_backlog(&mut self, request: &Request) {
        for stage in &request.stages[usize::from(request.first_undispatched)..] {
            self.services[usize::from(stage.service.0)]
                .backlog
                .remove(request.rank, request.org);
        }
    }

    /// Handles a caller that closed its stream. A request without listeners is cancelled, unless its
    /// key is remembered for duplicates.
    pub(super) fn handle_caller_left(&mut self, now: Time, caller: CallerId) {
        let Some(id) = self.caller_requests.remove(&caller) else {
            return;
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.listeners.retain(|listener| listener.caller != caller);
        if request.listeners.is_empty() && !request.remembered {
            self.give_up(now, id, Reason::CallerLeft, None);
        }
    }

    /// Handles the timer of a request: a missed start or deadline, or the timeout of an attempt.
    pub(super) fn handle_timer(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let deadline = request.deadline;
        let Some(attempt) = request.attempt else {
            let started = request.may_have_run;
            let reason = if started {
                Reason::DeadlineMissed
            } else {
                Reason::DeadlineUnreachable
            };
            return self.give_up(now, id, reason, None);
        };
        let Some((target, last_answer)) = self
            .attempts
            .get(attempt)
            .map(|state| (state.target, state.last_answer))
        else {
            return;
        };
        if now >= deadline {
            // No answer since the send, so the target may hang. A slow target is not counted as failed.
            if last_answer == self.attempts[attempt].started && self.overdue(now, id, last_answer) {
                self.record_target_failure(now, target);
            }
            return self.give_up(
                now,
                id,
                Reason::DeadlineMissed,
                Some(RefusalOrigin::Target(target)),
            );
        }
        let check_at = self.next_check(last_answer, id);
        if now < check_at {
            return self.set_wake(id, check_at);
        }
        self.time_out_attempt(now, id);
    }

    /// Whether a step has taken more than twice its expected time.
    fn overdue(&self, now: Time, id: RequestId, since: Time) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        // The expected time of a step of the stage, in microseconds: the average of its service.
        let took = |stage: &ResolvedStage| self.services[usize::from(stage.service.0)].avg_step_us;
        now.since(since).0 as f64 > 2.0 * took(request.stage())
    }

    /// Cancels an attempt that timed out, and sends its step again.
    fn time_out_attempt(&mut self, now: Time, id: RequestId) {
        let Some(attempt) = self.requests.get(id).and_then(|request| request.attempt) else {
            return;
        };
        self.cancel_attempt(attempt);
        let Some((_, target, took)) = self.release_attempt(now, attempt) else {
            return;
        };
        self.record_target_failure(now, target);
        if let Some(request) = self.requests.get_mut(id) {
            request.may_have_run = true;
            let service = request.stage().service;
            request.spent.push((service, took));
            // The attempt would have taken longer still. Without this sample a stage that has become
            // slower would never show it, since no answer is awaited, and every step would time out
            // again.
            self.services[usize::from(service.0)].record_step_time(took);
            let resumed = !request.answer.is_empty();
            let reason = if resumed {
                RetryReason::Resumed
            } else {
                RetryReason::TimedOut
            };
            self.retry_step(now, id, target, reason);
            self.dispatch_waiting(now, service);
        }
    }
}
