//! What this node believes of one target.

use crate::chart::{Chart, symbol};
use crate::{ConcurrencyLimit, LimitMode, LoadReport, PlanTarget, Policy, Span, Time};

symbol! {
    /// A target as this node sees it.
    TargetPhase {
        /// In use.
        Live = "live",
        /// Answered a probe after a quarantine; one call at a time until one is answered.
        Trial = "trial",
        /// Not used by this node, which could not reach it.
        Quarantined = "quarantined",
        /// On its way out; gets no new work from anybody.
        Leaving = "leaving",
    }
}

symbol! {
    /// What can happen to a target.
    TargetEvent {
        /// It answered a step.
        Answered = "answered",
        /// It failed too often in a row.
        Failed = "failed",
        /// It refused a call and wants nothing from this node for a while.
        #[serde(rename = "AskedRest")]
        CooldownRequested = "asked_rest",
        /// It answered a probe.
        ProbeOk = "probe_ok",
        /// It did not answer a probe.
        ProbeFailed = "probe_failed",
        /// It, a peer or the list said that it is leaving.
        ReportedLeaving = "reported_leaving",
        /// The list names a newer run of it.
        Replaced = "replaced",
    }
}

/// The chart of a target.
pub const TARGET_CHART: &str = include_str!("../../../charts/target.json");

/// Failures in a row that put a target into quarantine.
const QUARANTINE_FAILURES: u32 = 3;
/// The first wait before a probe.
const MIN_PROBE_WAIT: Span = Span::from_millis(200);
/// The longest wait before a probe.
const MAX_PROBE_WAIT: Span = Span::from_secs(5);
/// A load report counts half after this time.
const REPORT_HALF_LIFE_S: f64 = 1.0;

/// One target, with what this node has seen of it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// What the plan says of it.
    pub plan: PlanTarget,
    /// Whether it is used.
    pub phase: TargetPhase,
    /// Calls of this node that it is working on.
    pub in_flight: u32,
    /// How many there may be.
    pub limit: ConcurrencyLimit,
    /// Its last load report, and when it came.
    pub report: Option<(LoadReport, Time)>,
    /// When to probe it, while it is in quarantine and no probe is under way.
    pub probe_at: Option<Time>,
    /// Until when it wants nothing from this node, probes included.
    pub cooldown_until: Time,
    failure_streak: u32,
    probe_wait: Span,
}

impl TargetState {
    /// A target that has just come into the plan.
    pub fn new(plan: PlanTarget, policy: &Policy) -> Self {
        let limit = ConcurrencyLimit::new(plan.share.ceil(), ceiling(&plan, policy));
        Self {
            plan,
            phase: TargetPhase::Live,
            in_flight: 0,
            limit,
            report: None,
            probe_at: None,
            cooldown_until: Time(0),
            failure_streak: 0,
            probe_wait: MIN_PROBE_WAIT,
        }
    }

    /// Takes what a newer plan says of the same target.
    pub fn update(&mut self, plan: &PlanTarget, policy: &Policy) {
        self.plan.clone_from(plan);
        self.limit.set_ceiling(ceiling(plan, policy));
    }

    /// Whether it may get new work at all.
    pub fn is_usable(&self) -> bool {
        matches!(self.phase, TargetPhase::Live | TargetPhase::Trial)
    }

    /// Whether it may get one more call now.
    pub fn has_capacity(&self) -> bool {
        match self.phase {
            TargetPhase::Live => self.limit.allows(self.in_flight),
            TargetPhase::Trial => self.in_flight == 0,
            TargetPhase::Quarantined | TargetPhase::Leaving => false,
        }
    }

    /// How many calls this node may have there at once.
    pub fn capacity(&self) -> u32 {
        match self.phase {
            TargetPhase::Live => self.limit.value as u32,
            TargetPhase::Trial => 1,
            TargetPhase::Quarantined | TargetPhase::Leaving => 0,
        }
    }

    /// The latency to expect of one more call, in microseconds.
    pub fn expected_us(&self, now: Time, otherwise: f64) -> f64 {
        let base = if self.limit.latency_us > 0.0 {
            self.limit.latency_us
        } else {
            otherwise
        };
        let slots = f64::from(self.plan.slots.max(1));
        let others = self.report.map_or(0.0, |(report, at)| {
            let busy = f64::from((report.running + report.queued).saturating_sub(self.in_flight));
            busy * 0.5_f64.powf(now.since(at).as_secs() / REPORT_HALF_LIFE_S)
        });
        let load = (f64::from(self.in_flight) + others + 1.0) / slots;
        let far = if self.plan.same_zone { 1.0 } else { 1.05 };
        base * (0.5 + load) * far
    }

    /// Counts a failure; true when the streak is long enough for a quarantine.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failure_streak += 1;
        self.limit.shrink(now);
        self.failure_streak >= QUARANTINE_FAILURES || self.phase == TargetPhase::Trial
    }

    /// An answer or a successful probe came.
    pub fn record_success(&mut self, chart: &Chart<TargetPhase, TargetEvent>) {
        self.failure_streak = 0;
        if chart.step(&mut self.phase, TargetEvent::Answered) {
            self.probe_wait = MIN_PROBE_WAIT;
        }
    }

    /// Goes into quarantine; the first probe comes soon, later ones ever more seldom.
    pub fn quarantine(&mut self, now: Time, chart: &Chart<TargetPhase, TargetEvent>) {
        if chart.step(&mut self.phase, TargetEvent::Failed) {
            self.probe_at = Some(now + self.probe_wait);
        }
    }

    /// It wants nothing from this node until `until`; a probe then shows whether it is back.
    pub fn start_cooldown(&mut self, until: Time, chart: &Chart<TargetPhase, TargetEvent>) {
        if until <= self.cooldown_until {
            return;
        }
        self.cooldown_until = until;
        chart.step(&mut self.phase, TargetEvent::CooldownRequested);
        if self.phase == TargetPhase::Quarantined {
            self.probe_at = Some(self.probe_at.map_or(until, |at| at.max(until)));
        }
    }

    /// A probe came back.
    pub fn record_probe(&mut self, now: Time, ok: bool, chart: &Chart<TargetPhase, TargetEvent>) {
        let rests = now < self.cooldown_until;
        if ok && !rests && chart.step(&mut self.phase, TargetEvent::ProbeOk) {
            self.failure_streak = 0;
        }
        if self.phase == TargetPhase::Quarantined {
            self.probe_wait = MAX_PROBE_WAIT.min(self.probe_wait + self.probe_wait);
            self.probe_at = Some((now + self.probe_wait).max(self.cooldown_until));
        }
    }
}

/// The highest limit that the policy allows at this target.
fn ceiling(plan: &PlanTarget, policy: &Policy) -> f64 {
    match policy.limit_mode {
        LimitMode::Adaptive => f64::from(plan.slots),
        LimitMode::Fixed(most) => f64::from(most),
        LimitMode::Unbounded => f64::from(u32::MAX),
    }
}
