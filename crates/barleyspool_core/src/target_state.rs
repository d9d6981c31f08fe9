//! The state of one target as observed by this node.

use crate::chart::{Chart, symbol};
use crate::{ConcurrencyLimit, LimitMode, LoadReport, PlanTarget, Policy, Span, Time};

symbol! {
    /// The phase of a target, as observed by this node.
    TargetPhase {
        /// In use.
        Live = "live",
        /// It answered a probe after a quarantine and gets one call at a time until one succeeds.
        Trial = "trial",
        /// Not used by this node, after repeated failures or during a cooldown.
        Quarantined = "quarantined",
        /// Shutting down; it gets no new work from any node.
        Leaving = "leaving",
    }
}

symbol! {
    /// The events that change the phase of a target.
    TargetEvent {
        /// It answered a step.
        Answered = "answered",
        /// The number of consecutive failures reached the limit.
        Failed = "failed",
        /// It refused a call and requested a cooldown from this node.
        #[serde(rename = "AskedRest")]
        CooldownRequested = "asked_rest",
        /// It answered a probe.
        ProbeOk = "probe_ok",
        /// It did not answer a probe.
        ProbeFailed = "probe_failed",
        /// The target, a peer or the fleet list reported that it is leaving.
        ReportedLeaving = "reported_leaving",
        /// The fleet list shows a newer incarnation.
        Replaced = "replaced",
    }
}

/// The state chart of a target.
pub const TARGET_CHART: &str = include_str!("../../../charts/target.json");

/// Number of consecutive failures that put a target into quarantine.
const QUARANTINE_FAILURES: u32 = 3;
/// Wait before the first probe; it doubles after each failed probe.
const MIN_PROBE_WAIT: Span = Span::from_millis(200);
/// Maximum wait before a probe.
const MAX_PROBE_WAIT: Span = Span::from_secs(5);
/// Half-life of the weight of a load report, in seconds.
const REPORT_HALF_LIFE_S: f64 = 1.0;

/// One target with its observed state.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The target's entry in the plan.
    pub plan: PlanTarget,
    /// Its phase.
    pub phase: TargetPhase,
    /// Calls of this node in progress at the target.
    pub in_flight: u32,
    /// The limit of calls in progress.
    pub limit: ConcurrencyLimit,
    /// The last load report and when it was received.
    pub report: Option<(LoadReport, Time)>,
    /// When to probe it, while it is in quarantine and no probe is in progress.
    pub probe_at: Option<Time>,
    /// End of the cooldown that it requested; until then this node sends it nothing, not even probes.
    pub cooldown_until: Time,
    failure_streak: u32,
    probe_wait: Span,
}

impl TargetState {
    /// The state of a target that is new in the plan.
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

    /// Applies the entry of a newer plan for the same target.
    pub fn update(&mut self, plan: &PlanTarget, policy: &Policy) {
        self.plan.clone_from(plan);
        self.limit.set_ceiling(ceiling(plan, policy));
    }

    /// Whether its phase permits new work.
    pub fn is_usable(&self) -> bool {
        matches!(self.phase, TargetPhase::Live | TargetPhase::Trial)
    }

    /// Whether it may get another call now.
    pub fn has_capacity(&self) -> bool {
        match self.phase {
            TargetPhase::Live => self.limit.allows(self.in_flight),
            TargetPhase::Trial => self.in_flight == 0,
            TargetPhase::Quarantined | TargetPhase::Leaving => false,
        }
    }

    /// Maximum number of calls that this node may have in progress at the target.
    pub fn capacity(&self) -> u32 {
        match self.phase {
            TargetPhase::Live => self.limit.value as u32,
            TargetPhase::Trial => 1,
            TargetPhase::Quarantined | TargetPhase::Leaving => 0,
        }
    }

    /// Estimated latency of another call, in microseconds; `otherwise` is the base latency to use before any
    /// was observed.
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

    /// Records a failure; returns true if the target should be put into quarantine.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failure_streak += 1;
        self.limit.shrink(now);
        self.failure_streak >= QUARANTINE_FAILURES || self.phase == TargetPhase::Trial
    }

    /// Records a successful response.
    pub fn record_success(&mut self, chart: &Chart<TargetPhase, TargetEvent>) {
        self.failure_streak = 0;
        if chart.step(&mut self.phase, TargetEvent::Answered) {
            self.probe_wait = MIN_PROBE_WAIT;
        }
    }

    /// Puts the target into quarantine and schedules a probe; the interval between probes grows exponentially.
    pub fn quarantine(&mut self, now: Time, chart: &Chart<TargetPhase, TargetEvent>) {
        if chart.step(&mut self.phase, TargetEvent::Failed) {
            self.probe_at = Some(now + self.probe_wait);
        }
    }

    /// Starts or extends a cooldown until `until`; a probe at its end decides whether the target is used again.
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

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Time, ok: bool, chart: &Chart<TargetPhase, TargetEvent>) {
        let in_cooldown = now < self.cooldown_until;
        if ok && !in_cooldown && chart.step(&mut self.phase, TargetEvent::ProbeOk) {
            self.failure_streak = 0;
        }
        if self.phase == TargetPhase::Quarantined {
            self.probe_wait = MAX_PROBE_WAIT.min(self.probe_wait + self.probe_wait);
            self.probe_at = Some((now + self.probe_wait).max(self.cooldown_until));
        }
    }
}

/// The maximum concurrency limit that the policy permits for the target.
fn ceiling(plan: &PlanTarget, policy: &Policy) -> f64 {
    match policy.limit_mode {
        LimitMode::Adaptive => f64::from(plan.slots),
        LimitMode::Fixed(most) => f64::from(most),
        LimitMode::Unbounded => f64::from(u32::MAX),
    }
}
