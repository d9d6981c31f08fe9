//! A lane: a traffic thread with one router, its connections to targets and its callers.

use crate::shared::{LaneStats, Shared, TargetView};
use crate::target_client::TargetClient;
use barleyspool_core::chart::Symbol;
use barleyspool_core::{
    AttemptEnd, AttemptId, Call, CallerId, Counter, Forecast, LeavingTarget, Outcome, Router, TargetCooldown,
    Time, TrafficAction, TrafficEvent,
};
use barleyspool_wire::http::AbortOnDrop;
use barleyspool_wire::{rpc, rpc_convert};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The maximum number of messages waiting in the inbox of a lane.
const INBOX_CAPACITY: usize = 4096;
/// The interval at which a lane publishes its [`LaneStats`].
const STATS_INTERVAL: Duration = Duration::from_millis(200);

/// A message to a lane from another thread.
#[derive(Debug)]
pub enum LaneMessage {
    /// A caller sent a `Run` request.
    Arrive {
        /// The caller's open stream.
        caller: CallerId,
        /// The request.
        call: Call,
        /// The sender of the caller's response stream.
        replies: mpsc::UnboundedSender<rpc::RunReply>,
    },
    /// A caller closed its stream before it received the outcome.
    CallerLeft(CallerId),
    /// An operator requests a forecast for a call, without running it.
    Explain {
        /// The request.
        call: Call,
        /// Receives the forecast.
        reply: oneshot::Sender<Forecast>,
    },
}

/// The sender of a lane's inbox.
pub type LaneSender = mpsc::Sender<LaneMessage>;
/// The receiver of a lane's inbox.
pub type LaneReceiver = mpsc::Receiver<LaneMessage>;

/// Creates the inbox of a lane.
pub fn inbox_channel() -> (LaneSender, LaneReceiver) {
    mpsc::channel(INBOX_CAPACITY)
}

/// A notice from a lane to the control thread.
#[derive(Copy, Clone, Debug)]
pub enum LaneNotice {
    /// A target reported that it is leaving.
    Leaving(LeavingTarget),
    /// A target requested a cooldown: this node sends it nothing until the cooldown ends.
    Cooldown(TargetCooldown),
    /// This node has lost its links to all targets, or has regained them.
    LinksLost(bool),
    /// A caller has seen a newer configuration revision than this node.
    NewerRevision,
}

/// The state of one traffic thread.
pub struct Lane {
    shared: Arc<Shared>,
    index: usize,
    router: Router,
    target_client: Arc<TargetClient>,
    callers: HashMap<CallerId, mpsc::UnboundedSender<rpc::RunReply>>,
    attempt_tasks: HashMap<AttemptId, AbortOnDrop<()>>,
    events: mpsc::UnboundedSender<TrafficEvent>,
    notices: mpsc::UnboundedSender<LaneNotice>,
}

impl Lane {
    /// Creates a lane for `router`. Also returns the receiver of the events from its attempts.
    pub fn new(
        shared: Arc<Shared>,
        index: usize,
        router: Router,
        notices: mpsc::UnboundedSender<LaneNotice>,
    ) -> (Self, mpsc::UnboundedReceiver<TrafficEvent>) {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let target_client = Arc::new(TargetClient::new(Arc::clone(&shared), notices.clone()));
        let lane = Self {
            shared,
            index,
            router,
            target_client,
            callers: HashMap::new(),
            attempt_tasks: HashMap::new(),
            events,
            notices,
        };
        (lane, event_receiver)
    }

    /// Runs until the daemon shuts down.
    pub async fn run(
        mut self,
        mut inbox: LaneReceiver,
        mut event_receiver: mpsc::UnboundedReceiver<TrafficEvent>,
    ) {
        let mut plan_changed = self.shared.plan_changed.subscribe();
        let mut shutdown = self.shared.shutdown.subscribe();
        let mut stats_timer = tokio::time::interval(STATS_INTERVAL);
        let _watch = AbortOnDrop(tokio::spawn(self.target_client.watch_links()));
        loop {
            let wait = self.time_until_wake();
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(event) = event_receiver.recv() => self.step(event),
                Ok(()) = plan_changed.changed() => {
                    let actions = self.router.apply_plan(self.shared.clock.now(), self.shared.plan.load_full());
                    self.execute(actions);
                }
                () = tokio::time::sleep(wait) => self.step(TrafficEvent::Tick),
                _ = stats_timer.tick() => self.publish_stats(),
                _ = shutdown.changed() => return,
            }
        }
    }

    /// The time until the next timer event of the router, at most one second.
    fn time_until_wake(&self) -> Duration {
        let now = self.shared.clock.now();
        let wake_at = self.router.next_wake().unwrap_or(Time(now.0 + 1_000_000));
        Duration::from_micros(wake_at.since(now).0.min(1_000_000))
    }

    fn handle_message(&mut self, message: LaneMessage) {
        match message {
            LaneMessage::Arrive {
                caller,
                call,
                replies,
            } => {
                if self.shared.settings.log_arrivals {
                    log_arrival(self.shared.clock.now(), &call);
                }
                self.callers.insert(caller, replies);
                self.step(TrafficEvent::Arrive { caller, call });
            }
            LaneMessage::CallerLeft(caller) => {
                if self.callers.remove(&caller).is_some() {
                    self.step(TrafficEvent::CallerLeft { caller });
                }
            }
            LaneMessage::Explain { call, reply } => {
                let forecast = self.router.forecast(self.shared.clock.now(), &call);
                // Sending fails if the operator has disconnected; the error is ignored.
                let _ = reply.send(forecast);
            }
        }
    }

    fn step(&mut self, event: TrafficEvent) {
        if let TrafficEvent::Ended { attempt, .. } = &event {
            self.attempt_tasks.remove(attempt);
        }
        let actions = self.router.step(self.shared.clock.now(), event);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<TrafficAction>) {
        for action in actions {
            match action {
                TrafficAction::Dispatch { attempt, order } => {
                    let (client, events) = (Arc::clone(&self.target_client), self.events.clone());
                    let task = tokio::spawn(async move { client.run_step(attempt, order, &events).await });
                    self.attempt_tasks.insert(attempt, AbortOnDrop(task));
                }
                TrafficAction::Cancel {
                    attempt,
                    echo,
                    address,
                    ..
                } => {
                    // Dropping the task closes its connection, so no late byte of it can be taken for the
                    // response to another request.
                    self.attempt_tasks.remove(&attempt);
                    tokio::spawn(async move { TargetClient::cancel(&address, echo).await });
                }
                TrafficAction::Part { caller, offset, data } => {
                    let part = rpc::Part {
                        offset,
                        data: data.to_vec(),
                    };
                    self.send(caller, rpc::run_reply::Reply::Part(part));
                }
                TrafficAction::Finish {
                    caller,
                    outcome,
                    redirect,
                } => self.finish(caller, &outcome, redirect),
                TrafficAction::Probe { target, address } => {
                    let (client, events) = (Arc::clone(&self.target_client), self.events.clone());
                    tokio::spawn(async move { client.probe(target, &address, &events).await });
                }
                TrafficAction::NotifyCooldown(cooldown) => self.notify(LaneNotice::Cooldown(cooldown)),
                TrafficAction::NotifyLeaving { target, incarnation } => {
                    self.notify(LaneNotice::Leaving(LeavingTarget { target, incarnation }));
                }
                TrafficAction::NotifyNewerRevision => self.notify(LaneNotice::NewerRevision),
            }
        }
    }

    fn notify(&self, notice: LaneNotice) {
        // The receiver is closed only at shutdown.
        let _ = self.notices.send(notice);
    }

    fn send(&self, caller: CallerId, reply: rpc::run_reply::Reply) {
        if let Some(replies) = self.callers.get(&caller) {
            // If the stream is closed, its `Drop` sends `LaneMessage::CallerLeft`.
            let _ = replies.send(rpc::RunReply { reply: Some(reply) });
        }
    }

    fn finish(&mut self, caller: CallerId, outcome: &Outcome, redirect: Option<String>) {
        let step_service = match outcome {
            Outcome::Refused(refusal) => refusal.step.map(|step| self.shared.service_name(step)),
            Outcome::Complete { .. } => None,
        };
        let revision = self.router.revision();
        let reply =
            rpc_convert::outcome_message(outcome, &step_service.unwrap_or_default(), redirect, revision);
        self.send(caller, rpc::run_reply::Reply::Outcome(reply));
        self.callers.remove(&caller);
    }

    fn publish_stats(&self) {
        let now = self.shared.clock.now();
        let target_view = |target: &barleyspool_core::TargetState| TargetView {
            id: target.plan.id,
            address: target.plan.address.clone(),
            zone: target.plan.zone.clone(),
            service: self.shared.service_name(target.plan.service),
            phase: target.phase.name(),
            in_flight: target.in_flight,
            limit: target.limit.value as u32,
            latency_ms: (target.limit.latency_us / 1000.0) as u64,
            report_age_ms: target.report.map(|(_, at)| now.since(at).as_millis()),
        };
        let stats = LaneStats {
            counters: self.router.counters().clone(),
            live_requests: self.router.live_requests(),
            waiting_steps: self.router.waiting_steps(),
            targets: self.router.targets().map(target_view).collect(),
        };
        self.log_phase_changes(&stats);
        self.shared.lane_stats[self.index].store(Arc::new(stats));
    }

    /// Logs each target whose phase differs from the last published one, and the first time that quarantines
    /// were capped.
    fn log_phase_changes(&self, stats: &LaneStats) {
        let previous = self.shared.lane_stats[self.index].load();
        for target in &stats.targets {
            let old_phase = previous
                .targets
                .iter()
                .find(|old| old.id == target.id)
                .map(|old| old.phase);
            if old_phase.is_some_and(|old_phase| old_phase != target.phase) {
                spdlog::info!("target changed", kv: { target = target.id.0, phase = target.phase });
            }
        }
        let quarantines_capped = |stats: &LaneStats| stats.counters.get(Counter::QuarantineCapped);
        if quarantines_capped(&previous) == 0 && quarantines_capped(stats) > 0 {
            spdlog::warn!("most targets of a service look down; this node may be the faulty one");
        }
    }
}

/// Logs a request with what a replay needs: its arrival as a Unix time in milliseconds, organisation, pipeline and
/// deadline in milliseconds from the arrival. The log line is an object with the names of organisation and pipeline; in
/// a trace file an arrival is an array of four numbers, with the time from the start of the trace and the indexes of
/// organisation and pipeline, so the lines must be converted before a replay.
fn log_arrival(now: Time, call: &Call) {
    spdlog::info!("arrival", kv: {
        at_ms = now.as_millis(),
        organisation = call.organisation.as_str(),
        pipeline = call.pipeline.as_str(),
        deadline_ms = call.deadline.since(now).as_millis(),
        unrepeatable = call.unrepeatable,
        bytes = call.payload.len() as u64,
    });
}

/// The end event of an attempt of which nothing was sent.
pub fn unsent_attempt_ended(attempt: AttemptId) -> TrafficEvent {
    TrafficEvent::Ended {
        attempt,
        echo: None,
        end: AttemptEnd::Unreachable,
        report: None,
        leaving: false,
    }
}
