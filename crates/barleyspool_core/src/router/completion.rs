//! How requests end: complete, given up, or left by their callers.

use super::Router;
use crate::{
    CallerId, Counter, Earlier, Guard, Outcome, Peer, Reason, Refusal, Request, RequestEvent, RequestId,
    RetryReason, Span, StagePlan, Time, TrafficAction, Verdict,
};
use std::sync::Arc;

impl Router {
    /// The last step was answered: every listener gets its outcome.
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

    /// Refuses or gives up a request: its callers get their final answer at once.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, reason: Reason, peer: Option<Peer>) {
        let Some(attempt) = self.requests.get(id).map(|request| request.attempt) else {
            return;
        };
        if let Some(attempt) = attempt {
            self.cancel_attempt(attempt);
            if let Some((_, _, took)) = self.release_attempt(now, attempt)
                && let Some(request) = self.requests.get_mut(id)
            {
                request.touched = true;
                let service = request.stage().service;
                request.spent.push((service, took));
            }
        }
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        self.request_chart.step(&mut request.phase, RequestEvent::GivenUp);
        let touched = request.touched && self.settings.guards.enforces(Guard::NotRunProven);
        let may_have_run = touched || request.earlier == Earlier::Uncertain;
        let verdict = if may_have_run { Verdict::Unknown } else { Verdict::NotRun };
        let step = Some(request.stage().service);
        let counter = if may_have_run {
            Counter::RefusedUnknown(reason)
        } else {
            Counter::RefusedNotRun(reason)
        };
        self.count(counter);
        let come_back = self.retry_after(now, id);
        self.finish(
            id,
            &Outcome::Refused(Refusal {
                reason,
                verdict,
                step,
                peer,
                come_back,
            }),
            true,
        );
    }

    /// When a caller whose request was given up should come back: when the present step's queue has drained.
    fn retry_after(&self, now: Time, id: RequestId) -> Span {
        let Some(request) = self.requests.get(id) else {
            return Span::ZERO;
        };
        let service = request.stage().service;
        let state = &self.services[usize::from(service.0)];
        let ahead = state.backlog.ahead(request.rank, request.org, request.weight);
        let above = state.backlog.rate_above(now, request.rank);
        let wait = state.wait(ahead, f64::from(self.capacity(service)), above);
        Span((wait as u64).max(state.took as u64)).max(self.service_cooldown(now, service))
    }

    /// Tells every listener, settles the accounts and forgets the request.
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

    /// Takes the steps that will not be sent any more out of the backlogs.
    fn drop_backlog(&mut self, request: &Request) {
        for stage in &request.stages[usize::from(request.owed)..] {
            self.services[usize::from(stage.service.0)]
                .backlog
                .remove(request.rank, request.org);
        }
    }

    /// A caller closed its stream. Work that nobody waits for is cancelled, unless it is remembered for a
    /// repeat.
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

    /// The time has come to look at a request again.
    pub(super) fn handle_timer(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let deadline = request.deadline;
        let Some(attempt) = request.attempt else {
            let started = request.touched;
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
            // Nothing since the send: the target may hang. Slow is not counted as failed.
            if last_answer == self.attempts[attempt].started && self.overdue(now, id, last_answer) {
                self.record_target_failure(now, target);
            }
            return self.give_up(now, id, Reason::DeadlineMissed, Some(Peer::Target(target)));
        }
        let max_wait = self.next_check(last_answer, id);
        if now < max_wait {
            return self.set_wake(id, max_wait);
        }
        self.time_out_attempt(now, id);
    }

    /// Whether a step has taken several times as long as it should.
    fn overdue(&self, now: Time, id: RequestId, since: Time) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let took = |stage: &StagePlan| self.services[usize::from(stage.service.0)].took;
        now.since(since).0 as f64 > 2.0 * took(request.stage())
    }

    /// Gives up an attempt that takes far too long, and sends its step elsewhere.
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
            request.touched = true;
            let service = request.stage().service;
            request.spent.push((service, took));
            // What was given up would have taken longer still: without this a stage that has become slower
            // never shows it, since no answer is waited for, and every step is given up again.
            self.services[usize::from(service.0)].measured(took);
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
