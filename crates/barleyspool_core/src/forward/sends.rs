//! The active sends of a forwarder, and what their ends say of targets.

use super::target_choice::unshared_tokens;
use super::target_record::MIN_PREFILL_US;
use super::{Forwarder, SendEnd, SendKey, TargetKey, TargetQuery};
use crate::{Span, TargetPhase, Time};

/// Initial estimate of the time until an answer.
const INITIAL_ANSWER_TIME: Span = Span::from_millis(60);
/// Weight of a new sample in a moving average.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the average time to the first output; it is higher because load changes within
/// seconds.
const FIRST_OUTPUT_WEIGHT: f64 = 0.15;
/// Minimum number of tokens of a sample of the prefill rate; shorter ones are too inaccurate.
const MIN_SAMPLE_TOKENS: f64 = 500.0;
/// How long a target that refused a call receives no calls. Every refusal counts as one because the target
/// is full, unless the address belongs to another target now or inputs are gone.
const FULL_TARGET_PAUSE: Span = Span::from_millis(40);
/// Maximum fraction of a service's targets that may be in quarantine. Beyond it, this node's own view is more
/// likely to be wrong than the targets.
const MAX_QUARANTINED_FRACTION: f64 = 0.5;

/// State of an active send.
#[derive(Clone, Debug)]
pub(super) struct Send {
    target: TargetKey,
    route: String,
    started: Time,
    /// Whether the target is an engine.
    to_engine: bool,
    /// Expected time to the first output of an engine, or to the answer of another target, in microseconds.
    expected: f64,
    /// Prompt tokens of this call that the target has to prefill.
    prefill_tokens: f64,
    /// Tokens to prefill at the target when the call was sent, including its own. Zero if the target is not
    /// an engine, and for an engine with nothing to prefill.
    queue_tokens: f64,
    first_output: bool,
}

impl Forwarder {
    /// Records that a call is being sent to `target`.
    pub fn begin(&mut self, now: Time, query: &TargetQuery, target: TargetKey) -> SendKey {
        let (expected, prefill_tokens, queue_tokens) = match query.engine_memory {
            Some(memory) => {
                let prefill_tokens =
                    unshared_tokens(query) + self.uncached_prefix_tokens(now, query, memory, target, None);
                let before = self.targets.get(target).map_or(0.0, |record| {
                    record.prefill_backlog(now, self.usual_token_time()).0
                });
                let tokens = before + prefill_tokens;
                (tokens / self.prefill_rate * 1000.0, prefill_tokens, tokens)
            }
            None => (self.expected_answer(&query.service), 0.0, 0.0),
        };
        if let Some(record) = self.targets.get_mut(target) {
            record.in_flight += 1;
            record.begin_prefill(now, prefill_tokens);
            if query.prefix != 0 {
                record.prefixes.record(now, query.prefix, query.prefix_tokens);
            }
        }
        self.sends.insert(Send {
            target,
            route: query.route.clone(),
            started: now,
            to_engine: query.engine_memory.is_some(),
            expected,
            prefill_tokens,
            queue_tokens,
            first_output: false,
        })
    }

    /// Expected time to the answer of a service, in microseconds.
    fn expected_answer(&self, service: &str) -> f64 {
        self.answer_time
            .get(service)
            .copied()
            .unwrap_or(INITIAL_ANSWER_TIME.0 as f64)
    }

    /// Expected time from sending a call for this query to its first output.
    pub fn expected_first_output(&self, query: &TargetQuery) -> Span {
        let Some(_) = query.engine_memory else {
            return Span(self.expected_answer(&query.service) as u64);
        };
        let prefill = f64::from(query.prompt_tokens) / self.prefill_rate * 1000.0;
        let measured = self.first_output_time.get(&query.route);
        Span(measured.copied().unwrap_or(prefill) as u64)
    }

    /// The usual time of an engine for a prompt token, in microseconds.
    pub(super) fn usual_token_time(&self) -> f64 {
        1000.0 / self.prefill_rate
    }

    /// Records the first output of a call, which means that its prompt has been prefilled.
    pub fn first_output(&mut self, now: Time, send: SendKey) {
        let usual = self.usual_token_time();
        let Some(send) = self.sends.get_mut(send) else {
            return;
        };
        if send.first_output {
            return;
        }
        send.first_output = true;
        let took = now.since(send.started).0.max(1) as f64;
        if send.prefill_tokens > 0.0 {
            let average = self.first_output_time.entry(send.route.clone()).or_insert(took);
            *average += FIRST_OUTPUT_WEIGHT * (took - *average);
        }
        let Some(record) = self.targets.get_mut(send.target) else {
            return;
        };
        record.end_prefill(now, send.prefill_tokens);
        if send.queue_tokens >= MIN_SAMPLE_TOKENS {
            let rate = send.queue_tokens * 1000.0 / took;
            self.prefill_rate += AVERAGE_WEIGHT * (rate - self.prefill_rate);
            self.prefill_rate = self.prefill_rate.max(1.0);
            record.record_answer(now, took / send.expected.max(MIN_PREFILL_US), false, &self.chart);
            let tokens = send.queue_tokens.max(MIN_PREFILL_US / usual);
            record.speed.record(now, took / tokens, usual);
        }
    }

    /// Records the end of a send. Returns whether its target was put into quarantine.
    pub fn end(&mut self, now: Time, key: SendKey, end: SendEnd) -> bool {
        let Some(send) = self.sends.remove(key) else {
            return false;
        };
        let took = now.since(send.started).0.max(1) as f64;
        let Some(record) = self.targets.get_mut(send.target) else {
            return false;
        };
        let service = record.entry.service.clone();
        record.in_flight = record.in_flight.saturating_sub(1);
        if !send.first_output {
            record.drop_prefill(send.prefill_tokens);
        }
        match end {
            SendEnd::Answered { success } => {
                // The target is not an engine, or is one that had nothing to prefill. Other engines are
                // measured at their first output, if they had at least `MIN_SAMPLE_TOKENS` to prefill.
                if send.queue_tokens == 0.0 {
                    let relative = took / send.expected.max(1000.0);
                    if !send.to_engine {
                        record.fade_measurements(now, relative);
                    }
                    record.record_answer(now, relative, !success, &self.chart);
                    if success {
                        let average = self.answer_time.entry(service).or_insert(took);
                        *average += AVERAGE_WEIGHT * (took - *average);
                    }
                }
                false
            }
            SendEnd::Refused {
                inputs_gone: true, ..
            } => false,
            SendEnd::Refused {
                misdirected: true, ..
            } => self.record_target_failure(now, send.target, true),
            SendEnd::Refused { .. } => {
                record.full_until = now + FULL_TARGET_PAUSE;
                self.record_target_failure(now, send.target, false)
            }
            SendEnd::Unreachable => self.record_target_failure(now, send.target, true),
            SendEnd::BrokenOff | SendEnd::TimedOut => self.record_target_failure(now, send.target, false),
        }
    }

    /// Ends a send whose caller disconnected or whose deadline passed; this says nothing about the target.
    pub fn abandon(&mut self, key: SendKey) {
        let Some(send) = self.sends.remove(key) else {
            return;
        };
        if let Some(record) = self.targets.get_mut(send.target) {
            record.in_flight = record.in_flight.saturating_sub(1);
            if !send.first_output {
                record.drop_prefill(send.prefill_tokens);
            }
        }
    }

    /// Records a failure and returns whether the target was put into quarantine. A `certain` failure is
    /// enough for that; of others it takes several in a row. No target is quarantined beyond
    /// [`MAX_QUARANTINED_FRACTION`].
    fn record_target_failure(&mut self, now: Time, target: TargetKey, certain: bool) -> bool {
        let Some(record) = self.targets.get(target) else {
            return false;
        };
        let keys = self.by_service.get(&record.entry.service);
        let all = keys.map_or(1, Vec::len);
        let quarantined_count = keys.map_or(0, |keys| {
            let quarantined = |key: &&TargetKey| {
                self.targets
                    .get(**key)
                    .is_some_and(|record| record.phase == TargetPhase::Quarantined)
            };
            keys.iter().filter(quarantined).count()
        });
        let capped = (quarantined_count + 1) as f64 > all as f64 * MAX_QUARANTINED_FRACTION;
        let Some(record) = self.targets.get_mut(target) else {
            return false;
        };
        if capped {
            record.failure_rate += 0.2 * (1.0 - record.failure_rate);
            return false;
        }
        record.record_failure(now, certain, &self.chart)
    }

    /// Forgets the failures of the targets of a service, since this node has just regained its links to them.
    pub fn links_restored(&mut self, service: &str) {
        for key in self.by_service.get(service).into_iter().flatten() {
            if let Some(record) = self.targets.get_mut(*key) {
                record.links_restored(&self.chart);
            }
        }
    }
}
