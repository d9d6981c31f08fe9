//! What this node has seen of one target that answers forwarded calls.

use super::{PrefixTracker, TargetEntry};
use crate::chart::Chart;
use crate::{IncarnationId, Span, TargetBucket, TargetEvent, TargetPhase, Time, rendezvous};

slotmap::new_key_type! {
    /// A target that the forwarder knows.
    pub struct TargetKey;
}

/// Failures in a row that put a target into quarantine.
const STREAK: u32 = 3;
/// The first quarantine.
const OUT_FIRST: Span = Span::from_millis(400);
/// The longest quarantine.
const OUT_LONGEST: Span = Span::from_secs(4);
/// How much a new answer moves the averages.
const GAIN: f64 = 0.2;
/// The least and the most that one measurement may say of a target's speed.
const SLOW_RANGE: (f64, f64) = (0.25, 20.0);
/// The slowness of a target that takes as long as is expected of its service.
pub(super) const AS_EXPECTED: f64 = 1.0;
/// What remains of a measured slowness after a second without another measurement, so that a slow target is tried again.
const SLOW_FADE: f64 = 0.85;
/// What a target's share of failures loses per second without a measurement.
const FAILING_FADE: f64 = 0.4;

/// One target, with what this node has seen of it.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// What the list says.
    pub entry: TargetEntry,
    /// Its id as a key for rendezvous hashing.
    pub hash: u128,
    /// The mark of its run.
    pub incarnation_id: IncarnationId,
    /// Whether it is used.
    pub phase: TargetPhase,
    /// Calls of this node that it is working on.
    pub in_flight: u32,
    /// Prompt tokens that this node sent and that are not read yet, as far as is known.
    pub pending_prefill_tokens: f64,
    /// Prefixes that it most likely holds.
    pub prefixes: PrefixTracker,
    /// Time of an answer relative to what was expected; 1 is as expected.
    pub slowness: f64,
    /// Share of answers that were failures.
    pub failing: f64,
    /// It said that it is full; until then it gets nothing.
    pub full_until: Time,
    /// Until when it wants nothing from this node.
    pub cooldown_until: Time,
    /// What this node has given out of its rate, while it has one.
    pub bucket: TargetBucket,
    /// Until when it has no room for another call, by the word of the node that gives out its rate.
    pub no_capacity_until: Time,
    /// When that was told.
    pub no_capacity_at: Time,
    measured: Time,
    failure_streak: u32,
    quarantine_until: Time,
    next_quarantine: Span,
}

impl TargetRecord {
    /// A target that has just come onto the list.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            hash: rendezvous::text_key(&entry.id),
            incarnation_id: entry.incarnation_id(),
            entry,
            phase: TargetPhase::Live,
            in_flight: 0,
            pending_prefill_tokens: 0.0,
            prefixes: PrefixTracker::default(),
            slowness: AS_EXPECTED,
            failing: 0.0,
            full_until: Time(0),
            cooldown_until: Time(0),
            bucket: TargetBucket::default(),
            no_capacity_until: Time(0),
            no_capacity_at: Time(0),
            measured: Time(0),
            failure_streak: 0,
            quarantine_until: Time(0),
            next_quarantine: OUT_FIRST,
        }
    }

    /// How much longer it wants nothing from this node.
    pub fn cooldown(&self, now: Time) -> Span {
        self.cooldown_until.since(now)
    }

    /// Whether it may get a call now, from this node if it does not rest. A quarantine that is over becomes a trial, one call at a time.
    pub fn usable(&mut self, now: Time, chart: &Chart<TargetPhase, TargetEvent>) -> bool {
        if self.phase == TargetPhase::Quarantined && now >= self.quarantine_until {
            // Probes are priced, and a call says more: the end of the wait counts as a good probe.
            chart.step(&mut self.phase, TargetEvent::ProbeOk);
        }
        let phase_allows = match self.phase {
            TargetPhase::Live => true,
            TargetPhase::Trial => self.in_flight == 0,
            TargetPhase::Quarantined | TargetPhase::Leaving => false,
        };
        phase_allows && self.entry.accepts_work() && now >= self.full_until
    }

    /// How slow it is to be reckoned with now; without measurements that goes towards `unmeasured`.
    ///
    /// Measurements are relative to an average of the service, and often below what is expected: a plain target that nobody has measured counts as one of the
    /// fastest, or it would get no call beside them.
    pub fn slowness_now(&self, now: Time, unmeasured: f64) -> f64 {
        let idle = now.since(self.measured).as_secs().min(60.0);
        unmeasured + (self.slowness - unmeasured) * SLOW_FADE.powf(idle)
    }

    /// How often it is to be reckoned to fail now; like slowness, a record fades, so that it is tried again.
    pub fn failing_now(&self, now: Time) -> f64 {
        let idle = now.since(self.measured).as_secs().min(60.0);
        self.failing * FAILING_FADE.powf(idle)
    }

    /// It answered; `relative` is the time it took over the time that was expected.
    pub fn record_answer(
        &mut self,
        now: Time,
        relative: f64,
        failure: bool,
        chart: &Chart<TargetPhase, TargetEvent>,
    ) {
        let relative = relative.clamp(SLOW_RANGE.0, SLOW_RANGE.1);
        self.slowness += GAIN * (relative - self.slowness);
        self.measured = now;
        self.failing += GAIN * (f64::from(u8::from(failure)) - self.failing);
        self.failure_streak = 0;
        if chart.step(&mut self.phase, TargetEvent::Answered) {
            self.next_quarantine = OUT_FIRST;
        }
    }

    /// It failed in a way that says something of itself; true when it goes into quarantine.
    pub fn record_failure(
        &mut self,
        now: Time,
        certain: bool,
        chart: &Chart<TargetPhase, TargetEvent>,
    ) -> bool {
        self.failure_streak += 1;
        self.failing += GAIN * (1.0 - self.failing);
        self.measured = now;
        let out = certain || self.failure_streak >= STREAK || self.phase == TargetPhase::Trial;
        if out && chart.step(&mut self.phase, TargetEvent::Failed) {
            self.quarantine_until = now + self.next_quarantine;
            self.next_quarantine = OUT_LONGEST.min(self.next_quarantine + self.next_quarantine);
            return true;
        }
        false
    }
}
