//! The state that this node keeps for one target of forwarded calls.

use super::{EngineSpeed, PrefixTracker, TargetEntry, TargetLoad};
use crate::chart::Chart;
use crate::{IncarnationId, Span, TargetBucket, TargetEvent, TargetPhase, Time, rendezvous};

slotmap::new_key_type! {
    /// The key of a target that the forwarder knows.
    pub struct TargetKey;
}

/// The number of consecutive failures that puts a target into quarantine.
const QUARANTINE_STREAK: u32 = 3;
/// The length of the first quarantine.
const FIRST_QUARANTINE: Span = Span::from_millis(400);
/// The longest quarantine.
const MAX_QUARANTINE: Span = Span::from_secs(4);
/// The smoothing factor of the moving averages.
const SMOOTHING: f64 = 0.2;
/// The range to which one slowness measurement is clamped.
const SLOWNESS_RANGE: (f64, f64) = (0.25, 20.0);
/// The slowness of a target whose answers take as long as expected of its service.
pub(super) const EXPECTED_SLOWNESS: f64 = 1.0;
/// The share of a measured slowness that remains after a second without a measurement, so that a slow
/// target is tried again.
const SLOWNESS_DECAY: f64 = 0.85;
/// A plain target that counts as slow gets a call again this long after its last measurement. A better one then replaces
/// it.
const REMEASURE_INTERVAL: Span = Span::from_secs(3);
/// How many times as slow as the fastest a target has to be for that.
const REMEASURE_RATIO: f64 = 1.5;
/// The greatest factor on the expected time of an engine whose first output is overdue. A call that hangs, or whose end
/// was not reported, should not keep others from the engine for long.
const MAX_OVERDUE: f64 = 4.0;
/// The shortest time that a prompt is expected to take, in microseconds. Links and event loops alone vary by
/// milliseconds.
pub(super) const MIN_PREFILL_US: f64 = 10_000.0;
/// The share of a failure rate that remains after a second without a measurement.
const FAILURE_RATE_DECAY: f64 = 0.4;

/// A listed target and the observations of this node.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// The entry in the target list.
    pub entry: TargetEntry,
    /// The hash of its id for rendezvous hashing.
    pub hash: u128,
    /// The id of its current incarnation.
    pub incarnation_id: IncarnationId,
    /// The state that decides whether the target is used.
    pub phase: TargetPhase,
    /// Calls of this node that the target is working on.
    pub in_flight: u32,
    /// The estimated number of prompt tokens that this node sent and the target has not computed yet.
    pub pending_prefill_tokens: f64,
    /// The prefixes that the target most likely holds.
    pub prefixes: PrefixTracker,
    /// Answer time relative to the expected one; 1 is as expected.
    pub slowness: f64,
    /// The load that the target reported.
    pub load: TargetLoad,
    /// The learned speed, if it is an engine.
    pub speed: EngineSpeed,
    /// Prompts that the engine has yet to prefill.
    prefills: u32,
    /// When the engine most likely began the oldest of these.
    prefilling_since: Time,
    /// When the last of these was sent, or is expected to be sent.
    sent_until: Time,
    /// The share of answers that were failures.
    pub failure_rate: f64,
    /// Until when the target gets no calls since it refused one because it is full, or without another
    /// known cause.
    pub full_until: Time,
    /// The end of the cooldown that the target requested from this node.
    pub cooldown_until: Time,
    /// The calls that this node has granted, while the target has a rate limit.
    pub bucket: TargetBucket,
    /// Until when the target has no capacity, as reported by the node that grants its rate.
    pub no_capacity_until: Time,
    /// When that report arrived.
    pub no_capacity_at: Time,
    measured_at: Time,
    failure_streak: u32,
    quarantine_until: Time,
    next_quarantine: Span,
}

impl TargetRecord {
    /// A target that has just been listed.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            hash: rendezvous::text_key(&entry.id),
            incarnation_id: entry.incarnation_id(),
            entry,
            phase: TargetPhase::Live,
            in_flight: 0,
            pending_prefill_tokens: 0.0,
            prefixes: PrefixTracker::default(),
            slowness: EXPECTED_SLOWNESS,
            load: TargetLoad::default(),
            speed: EngineSpeed::default(),
            prefills: 0,
            prefilling_since: Time(0),
            sent_until: Time(0),
            failure_rate: 0.0,
            full_until: Time(0),
            cooldown_until: Time(0),
            bucket: TargetBucket::default(),
            no_capacity_until: Time(0),
            no_capacity_at: Time(0),
            measured_at: Time(0),
            failure_streak: 0,
            quarantine_until: Time(0),
            next_quarantine: FIRST_QUARANTINE,
        }
    }

    /// The remaining cooldown.
    pub fn cooldown(&self, now: Time) -> Span {
        self.cooldown_until.since(now)
    }

    /// Whether the target may get a call now: it is not in quarantine or leaving, its entry accepts work,
    /// and it is not in the pause after a refusal (`full_until`). Neither its cooldown nor its rate limit is checked.
    /// After its quarantine a target is on trial and gets one call at a time.
    pub fn usable(&mut self, now: Time, chart: &Chart<TargetPhase, TargetEvent>) -> bool {
        if self.phase == TargetPhase::Quarantined && now >= self.quarantine_until {
            // Probes cost money, and a call tells more than a probe does, so the end of the quarantine
            // counts as a successful probe.
            chart.step(&mut self.phase, TargetEvent::ProbeOk);
        }
        let phase_allows = match self.phase {
            TargetPhase::Live => true,
            TargetPhase::Trial => self.in_flight == 0,
            TargetPhase::Quarantined | TargetPhase::Leaving => false,
        };
        phase_allows && self.entry.accepts_work() && now >= self.full_until
    }

    /// Whether the target is in quarantine, or on trial after it.
    pub fn is_suspended(&self) -> bool {
        matches!(self.phase, TargetPhase::Quarantined | TargetPhase::Trial)
    }

    /// The current estimate of the slowness; without measurements it decays towards `unmeasured`.
    ///
    /// Measurements are relative to an average of the service, and often below the expected time. A
    /// plain target without measurements therefore counts as one of the fastest; otherwise it would get
    /// no calls beside them.
    pub fn slowness_now(&self, now: Time, unmeasured: f64) -> f64 {
        unmeasured + (self.slowness - unmeasured) * SLOWNESS_DECAY.powf(self.idle_s(now))
    }

    /// The time since the last measurement in seconds, at most a minute.
    fn idle_s(&self, now: Time) -> f64 {
        now.since(self.measured_at).as_secs().min(60.0)
    }

    /// Whether the target counts as slower than `fastest` by a measurement so old that it is due for another.
    pub fn is_due(&self, now: Time, fastest: f64) -> bool {
        self.in_flight == 0
            && now.since(self.measured_at) >= REMEASURE_INTERVAL
            && self.slowness_now(now, fastest) > fastest * REMEASURE_RATIO
    }

    /// The prompt tokens that the engine has yet to prefill, without those that it should have computed of the oldest
    /// prompt, and how many times slower than known the engine is, if the first output of that prompt is overdue. `usual`
    /// is the time for a token of all engines in microseconds.
    pub fn prefill_backlog(&self, now: Time, usual: f64) -> (f64, f64) {
        if self.prefills == 0 {
            return (0.0, 1.0);
        }
        let token_time = self.speed.token_time(now, usual);
        let oldest = self.pending_prefill_tokens / f64::from(self.prefills);
        let elapsed = now.since(self.prefilling_since).0 as f64;
        let backlog = self.pending_prefill_tokens - (elapsed / token_time).min(oldest);
        let expected = (oldest * token_time).max(MIN_PREFILL_US);
        (backlog.max(0.0), (elapsed / expected).clamp(1.0, MAX_OVERDUE))
    }

    /// Counts a prompt that the engine has yet to prefill. It is sent at `sent`, which may be later than now.
    pub fn begin_prefill(&mut self, sent: Time, tokens: f64) {
        if tokens <= 0.0 {
            return;
        }
        self.sent_until = self.sent_until.max(sent);
        if self.prefills == 0 {
            self.prefilling_since = sent;
        }
        self.prefills += 1;
        self.pending_prefill_tokens += tokens;
    }

    /// Records that the engine has prefilled a prompt.
    pub fn end_prefill(&mut self, now: Time, tokens: f64) {
        self.drop_prefill(tokens);
        if tokens > 0.0 {
            // The next prompt may not have been sent yet, and would count as overdue.
            self.prefilling_since = now.max(self.sent_until);
        }
    }

    /// Removes a prompt that the engine will not prefill any more.
    pub fn drop_prefill(&mut self, tokens: f64) {
        if tokens > 0.0 {
            self.prefills = self.prefills.saturating_sub(1);
        }
        self.pending_prefill_tokens = (self.pending_prefill_tokens - tokens).max(0.0);
    }

    /// The current estimate of the failure rate. It decays like the slowness, so that the target is
    /// tried again.
    pub fn failure_rate_now(&self, now: Time) -> f64 {
        self.failure_rate * FAILURE_RATE_DECAY.powf(self.idle_s(now))
    }

    /// Gives measurements from before `now` the weight that they still have in the choice of a target, and none if they
    /// are old and `relative`, the next one, is better.
    ///
    /// Only for plain targets: engines get so few calls from one node that a single answer would replace what is known
    /// of a slow one.
    pub fn fade_measurements(&mut self, now: Time, relative: f64) {
        if self.measured_at == Time(0) {
            return;
        }
        let known = self.slowness_now(now, EXPECTED_SLOWNESS);
        let is_old = now.since(self.measured_at) >= REMEASURE_INTERVAL;
        self.slowness = if is_old { known.min(relative) } else { known };
    }

    /// Records an answer; `relative` is its time divided by the expected one.
    pub fn record_answer(
        &mut self,
        now: Time,
        relative: f64,
        failure: bool,
        chart: &Chart<TargetPhase, TargetEvent>,
    ) {
        let relative = relative.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SMOOTHING * (relative - self.slowness);
        self.measured_at = now;
        self.failure_rate += SMOOTHING * (f64::from(u8::from(failure)) - self.failure_rate);
        self.failure_streak = 0;
        if chart.step(&mut self.phase, TargetEvent::Answered) {
            self.next_quarantine = FIRST_QUARANTINE;
        }
    }

    /// Forgets failures, which were caused by lost links of this node.
    pub fn links_restored(&mut self, chart: &Chart<TargetPhase, TargetEvent>) {
        self.failure_rate = 0.0;
        self.failure_streak = 0;
        self.next_quarantine = FIRST_QUARANTINE;
        // A target on trial gets one call at a time, and calls from before may still hang.
        chart.step(&mut self.phase, TargetEvent::ProbeOk);
        chart.step(&mut self.phase, TargetEvent::Answered);
    }

    /// Records a failure caused by the target itself; true if the target goes into quarantine. A `certain`
    /// failure does that by itself, others only if several occur in a row.
    pub fn record_failure(
        &mut self,
        now: Time,
        certain: bool,
        chart: &Chart<TargetPhase, TargetEvent>,
    ) -> bool {
        self.failure_streak += 1;
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
        self.measured_at = now;
        let quarantines =
            certain || self.failure_streak >= QUARANTINE_STREAK || self.phase == TargetPhase::Trial;
        if quarantines && chart.step(&mut self.phase, TargetEvent::Failed) {
            self.quarantine_until = now + self.next_quarantine;
            self.next_quarantine = MAX_QUARANTINE.min(self.next_quarantine + self.next_quarantine);
            return true;
        }
        false
    }
}
