//! Injects pairs of faults at every step of a request, for repeatable and unrepeatable work, into one router
//! with scripted targets. Time is virtual and random choices are seeded, so that every run is the same.
//!
//! Each cell of the matrix is checked against what the scripted targets actually ran. Then the guards are
//! disabled one at a time, and some cell must fail without each of them.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::print_stdout,
    reason = "a test fails by panicking, and prints what it covered"
)]

mod support;

use barleyspool_core::*;
use std::sync::Arc;
use support::*;

/// The fault that one send of a step meets.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Fault {
    /// No fault: the step runs and its answer arrives.
    None,
    /// The target refuses the send.
    Refused,
    /// The target refuses the send, since it is leaving.
    RefusedLeaving,
    /// The target cannot be reached.
    Unreachable,
    /// The connection breaks after the step ran.
    BrokenAfterRun,
    /// The connection breaks and the step did not run, which the router cannot know.
    BrokenBeforeRun,
    /// The stream breaks after its first half.
    BrokenMidStream,
    /// The stream skips some bytes.
    StreamGap,
    /// The end of the stream is reported before all of it was sent.
    EarlyEnd,
    /// The answer to another request arrives on the connection of this one.
    ForeignAnswer,
    /// A part of another attempt's stream arrives on the connection of this one.
    ForeignPart,
    /// The answer arrives twice.
    DuplicateAnswer,
    /// The step runs, and no answer ever arrives.
    Hang,
    /// The answer arrives after the deadline.
    LateAnswer,
    /// The router's process is suspended, and resumes before the deadline.
    ShortPause,
    /// The router's process is suspended until after the deadline.
    LongPause,
    /// The control thread hangs, and the traffic threads run on with an old plan.
    StalePlan,
    /// A new configuration takes effect that does not define this pipeline.
    NewConfig,
    /// The target is removed from the fleet list while the step runs.
    Unlisted,
    /// A planned stop of the node begins.
    PlannedStop,
    /// The caller sends the same request to this node again while it runs.
    Resend,
    /// The caller disconnects.
    CallerDisconnects,
}

use Fault::*;
const FAULTS: [Fault; 22] = [
    None,
    Refused,
    RefusedLeaving,
    Unreachable,
    BrokenAfterRun,
    BrokenBeforeRun,
    BrokenMidStream,
    StreamGap,
    EarlyEnd,
    ForeignAnswer,
    ForeignPart,
    DuplicateAnswer,
    Hang,
    LateAnswer,
    ShortPause,
    LongPause,
    StalePlan,
    NewConfig,
    Unlisted,
    PlannedStop,
    Resend,
    CallerDisconnects,
];

/// The kind of request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Kind {
    Repeatable,
    Unrepeatable,
    /// Repeatable except for its last stage.
    UnrepeatableStage,
}

const KINDS: [Kind; 3] = [Kind::Repeatable, Kind::Unrepeatable, Kind::UnrepeatableStage];
const STEPS: u8 = 4;

/// One cell of the matrix: at `step` the first send meets the fault `first`, the second `second`.
#[derive(Copy, Clone, Debug)]
struct MatrixCell {
    kind: Kind,
    earlier: Earlier,
    step: u8,
    first: Fault,
    second: Fault,
}

fn cells() -> impl Iterator<Item = MatrixCell> {
    KINDS.into_iter().flat_map(|kind| {
        [Earlier::None, Earlier::Uncertain]
            .into_iter()
            .flat_map(move |earlier| {
                (0..STEPS).flat_map(move |step| {
                    FAULTS.into_iter().flat_map(move |first| {
                        FAULTS.into_iter().map(move |second| MatrixCell {
                            kind,
                            earlier,
                            step,
                            first,
                            second,
                        })
                    })
                })
            })
    })
}

/// A step that a scripted target ran.
struct StepRun {
    step: u8,
    repeatable: bool,
}

/// One cell while it runs, with the steps that the scripted targets ran.
struct CellRun {
    bench: RouterHarness,
    cell: MatrixCell,
    callers: Vec<CallerId>,
    call: Call,
    step_runs: Vec<StepRun>,
    sends: u32,
}

impl CellRun {
    fn new(cell: MatrixCell, guards: Guards) -> Self {
        let mut call = call("mine");
        call.unrepeatable = cell.kind == Kind::Unrepeatable;
        call.earlier = cell.earlier;
        if cell.kind == Kind::UnrepeatableStage {
            call.pipeline = "check".into();
        }
        let mut bench = RouterHarness::guarded(guards);
        let caller = bench.arrive(call.clone());
        Self {
            bench,
            cell,
            callers: vec![caller],
            call,
            step_runs: Vec::new(),
            sends: 0,
        }
    }

    fn stages(&self) -> [&'static str; 4] {
        match self.cell.kind {
            Kind::UnrepeatableStage => ["encode", "retrieve", "rerank", "notes"],
            _ => ["encode", "retrieve", "rerank", "generate"],
        }
    }

    fn all_ended(&self) -> bool {
        self.callers
            .iter()
            .all(|caller| !self.bench.callers[caller].outcomes.is_empty())
    }

    /// Runs the cell until every caller has its outcome, at most until 3 s after the deadline.
    fn run_to_outcomes(&mut self) {
        let end = self.call.deadline + ms(3000);
        while !self.all_ended() && self.bench.now < end {
            match self.bench.sent.pop() {
                Some((attempt, order)) => self.handle_send(attempt, &order),
                Option::None => self.bench.pass(ms(20)),
            }
        }
    }

    fn record_run(&mut self, order: &StepOrder) {
        self.step_runs.push(StepRun {
            step: order.echo.step,
            repeatable: order.repeatable,
        });
    }

    /// Handles one send: injects the cell's fault if it belongs to the cell's step, otherwise answers it.
    fn handle_send(&mut self, attempt: AttemptId, order: &StepOrder) {
        self.bench.pass(ms(5));
        let fault = if order.echo.step != self.cell.step {
            None
        } else {
            self.sends += 1;
            match self.sends {
                1 => self.cell.first,
                2 => self.cell.second,
                _ => None,
            }
        };
        self.inject(fault, attempt, order);
    }

    /// Runs the step and answers it correctly.
    fn run_and_answer(&mut self, attempt: AttemptId, order: &StepOrder) {
        self.record_run(order);
        self.bench.answer(attempt, order);
    }

    /// Streams the first half of the remaining output.
    fn send_half(&mut self, attempt: AttemptId, order: &StepOrder) {
        let output = output_of(order);
        let from = order.so_far.len().min(output.len());
        let middle = from + (output.len() - from) / 2;
        if order.stream {
            let data = Arc::from(&output[from..middle]);
            self.bench.step(TrafficEvent::Part {
                attempt,
                echo: order.echo,
                offset: from as u64,
                data,
            });
        }
    }

    fn inject(&mut self, fault: Fault, attempt: AttemptId, order: &StepOrder) {
        let echo = Some(order.echo);
        match fault {
            None => self.run_and_answer(attempt, order),
            Refused => self.bench.end(
                attempt,
                echo,
                AttemptEnd::Refused {
                    leaving: false,
                    cooldown: Span::ZERO,
                },
            ),
            RefusedLeaving => {
                let end = AttemptEnd::Refused {
                    leaving: true,
                    cooldown: Span::ZERO,
                };
                self.bench.step(TrafficEvent::Ended {
                    attempt,
                    echo,
                    end,
                    report: Option::None,
                    leaving: true,
                });
            }
            Unreachable => self.bench.end(attempt, Option::None, AttemptEnd::Unreachable),
            BrokenAfterRun => {
                self.record_run(order);
                self.bench.end(attempt, Option::None, AttemptEnd::Interrupted);
            }
            BrokenBeforeRun => self.bench.end(attempt, Option::None, AttemptEnd::Interrupted),
            BrokenMidStream => {
                self.record_run(order);
                self.send_half(attempt, order);
                self.bench.end(attempt, Option::None, AttemptEnd::Interrupted);
            }
            StreamGap => {
                self.record_run(order);
                let output = output_of(order);
                let offset = (order.so_far.len() + 2).min(output.len()) as u64;
                let data = Arc::from(&output[offset as usize..]);
                self.bench.step(TrafficEvent::Part {
                    attempt,
                    echo: order.echo,
                    offset,
                    data,
                });
                self.bench.end(attempt, echo, done(output.len() as u64));
            }
            EarlyEnd => {
                self.record_run(order);
                self.send_half(attempt, order);
                self.bench.end(attempt, echo, done(output_of(order).len() as u64));
            }
            ForeignAnswer => {
                self.record_run(order);
                let foreign = Echo {
                    request: order.echo.request + 1,
                    ..order.echo
                };
                let output: Payload = Arc::from(b"alien".as_slice());
                self.bench
                    .end(attempt, Some(foreign), AttemptEnd::Done { output, length: 5 });
            }
            ForeignPart => {
                self.record_run(order);
                let foreign = Echo {
                    attempt: order.echo.attempt + 7,
                    ..order.echo
                };
                let (offset, data) = (order.so_far.len() as u64, Arc::from(b"alien".as_slice()));
                self.bench.step(TrafficEvent::Part {
                    attempt,
                    echo: foreign,
                    offset,
                    data,
                });
                self.bench.end(attempt, echo, done(offset + 5));
            }
            DuplicateAnswer => {
                self.run_and_answer(attempt, order);
                self.bench.answer(attempt, order);
            }
            Hang => self.record_run(order),
            LateAnswer => {
                self.record_run(order);
                let time_left = self.call.deadline.since(self.bench.now);
                self.bench.pass(time_left + ms(50));
                self.bench.answer(attempt, order);
            }
            ShortPause => {
                self.bench.sleep(ms(100));
                self.run_and_answer(attempt, order);
                self.bench.refresh_plan();
            }
            LongPause => {
                self.bench.sleep(ms(4000));
                self.run_and_answer(attempt, order);
                self.bench.refresh_plan();
            }
            StalePlan => {
                // The answer arrives when the plan has not been refreshed for too long.
                let plan = Plan {
                    refreshed_at: self.bench.now - ms(10_000),
                    ..Plan::clone(self.bench.router.plan())
                };
                self.bench.apply_plan(plan);
                let before = self.bench.sent.len();
                self.run_and_answer(attempt, order);
                assert!(
                    self.bench.sent.len() == before
                        || !self.bench.router.plan().is_fresh(self.bench.now, ms(0))
                );
                self.bench.pass(ms(1));
            }
            NewConfig => {
                let mut next = document(2);
                next.head.pipelines.retain(|pipeline| pipeline.name == "single");
                let plan = Plan::clone(self.bench.router.plan());
                let config = Config::from_document(&next, plan.config.as_deref()).unwrap();
                self.bench.apply_plan(Plan {
                    config: Some(Arc::new(config)),
                    ..plan
                });
                self.run_and_answer(attempt, order);
            }
            Unlisted => {
                let plan = Plan::clone(self.bench.router.plan());
                let remaining = plan
                    .targets
                    .iter()
                    .filter(|target| target.id != order.target)
                    .cloned()
                    .collect();
                self.bench.apply_plan(Plan {
                    targets: Arc::new(remaining),
                    ..plan
                });
                self.run_and_answer(attempt, order);
            }
            PlannedStop => {
                let plan = Plan {
                    serving: Serving::Stopping,
                    ..Plan::clone(self.bench.router.plan())
                };
                self.bench.apply_plan(plan);
                self.run_and_answer(attempt, order);
            }
            Resend => {
                let resent = Call {
                    earlier: Earlier::Uncertain,
                    ..self.call.clone()
                };
                let caller = self.bench.arrive(resent);
                self.callers.push(caller);
                self.run_and_answer(attempt, order);
            }
            CallerDisconnects => {
                let caller = self.callers[0];
                self.bench.step(TrafficEvent::CallerLeft { caller });
                // No caller is left to receive an outcome, so only the accounting of the router is checked.
                let received = self.bench.callers.get_mut(&caller).unwrap();
                if received.outcomes.is_empty() {
                    let refusal = Refusal {
                        reason: Reason::CallerLeft,
                        verdict: Verdict::Unknown,
                        step: Option::None,
                        origin: Option::None,
                        retry_after: Span::ZERO,
                    };
                    received.outcomes.push(Outcome::Refused(refusal));
                    received.at = self.bench.now;
                }
                self.run_and_answer(attempt, order);
            }
        }
    }

    // ------------------------------------------------------------------------
    // Checks

    /// Checks the outcomes of all callers, the steps that ran and the accounting of the router.
    fn check(&mut self) -> Result<(), String> {
        for caller in self.callers.clone() {
            self.check_caller(caller)?;
        }
        self.check_step_runs()?;
        if self.cell.kind != Kind::Repeatable {
            self.check_resend()?;
        }
        // All state is released once the callers have their outcomes.
        self.bench.pass(ms(4000));
        let router = &self.bench.router;
        let in_flight: u32 = router.targets().map(|target| target.in_flight).sum();
        let remaining = (
            router.live_requests(),
            router.waiting_steps(),
            in_flight,
            router.active_organisations(),
        );
        if remaining != (0, 0, 0, 0) {
            return Err(format!("not released: {remaining:?}"));
        }
        if router.counters().get(Counter::Wasted(ServiceIx(0)))
            > router.counters().get(Counter::Spent(ServiceIx(0)))
        {
            return Err("more time was wasted than spent".into());
        }
        Ok(())
    }

    /// Checks that a caller received one outcome in time, with a correct verdict and only its own output.
    fn check_caller(&self, caller: CallerId) -> Result<(), String> {
        let received = &self.bench.callers[&caller];
        let [outcome] = received.outcomes.as_slice() else {
            return Err(format!("{} outcomes", received.outcomes.len()));
        };
        let paused = [self.cell.first, self.cell.second].contains(&LongPause);
        if received.at > self.call.deadline + ms(100) && !paused {
            return Err("the outcome arrived long after the deadline".into());
        }
        if received.gap {
            return Err("the answer stream has a gap".into());
        }
        let expected = whole_answer(&self.stages(), "mine");
        match outcome.verdict() {
            Verdict::Complete if received.bytes != expected => Err(format!(
                "the answer is not that of the request: {}",
                String::from_utf8_lossy(&received.bytes)
            )),
            Verdict::NotRun if !self.step_runs.is_empty() => Err("not run, but a step ran".into()),
            // This router cannot know whether an earlier send ran: only the home node can, once its takeover
            // wait is over.
            Verdict::NotRun
                if self.cell.kind == Kind::Repeatable && self.cell.earlier == Earlier::Uncertain =>
            {
                Err("the verdict is not run for a caller with an uncertain earlier send".into())
            }
            Verdict::Complete | Verdict::NotRun => Ok(()),
            Verdict::Unknown if expected.starts_with(&received.bytes) => Ok(()),
            Verdict::Unknown => Err("a part is not of the answer to the request".into()),
        }
    }

    /// Checks that no unrepeatable step ran more than once.
    fn check_step_runs(&self) -> Result<(), String> {
        for step in 0..STEPS {
            let count = self
                .step_runs
                .iter()
                .filter(|run| run.step == step && !run.repeatable)
                .count();
            if count > 1 {
                return Err(format!("unrepeatable step {step} ran {count} times"));
            }
        }
        Ok(())
    }

    /// A resent unrepeatable request never runs beside the first: it receives the outcome of the first.
    fn check_resend(&mut self) -> Result<(), String> {
        if self.bench.now >= self.call.deadline {
            return Ok(());
        }
        let first = self.callers[0];
        let disconnected = [self.cell.first, self.cell.second].contains(&CallerDisconnects);
        let resent = Call {
            earlier: Earlier::Uncertain,
            ..self.call.clone()
        };
        let caller = self.bench.arrive(resent);
        self.callers.push(caller);
        self.run_to_outcomes();
        self.check_step_runs()?;
        let received = |caller| {
            (
                &self.bench.callers[&caller].bytes,
                self.bench.outcome(caller).map(Outcome::verdict),
            )
        };
        let (bytes, verdict) = received(first);
        match verdict {
            Some(Verdict::Complete) if received(caller) != (bytes, verdict) => {
                Err("the resent request received another answer than the first".into())
            }
            Some(Verdict::Unknown) if !disconnected && received(caller).1 != verdict => {
                Err("the resent request was not notified that the first may have run".into())
            }
            _ => self.check_caller(caller),
        }
    }
}

fn run_cell(cell: MatrixCell, guards: Guards) -> Result<(), String> {
    let mut run = CellRun::new(cell, guards);
    run.run_to_outcomes();
    run.check()
}

/// Runs all cells; returns their number and the cells that failed, with the error.
fn run_all(guards: Guards) -> (usize, Vec<(MatrixCell, String)>) {
    let mut failures = Vec::new();
    let mut count = 0;
    for cell in cells() {
        count += 1;
        if let Err(error) = run_cell(cell, guards) {
            failures.push((cell, error));
        }
    }
    (count, failures)
}

#[test]
fn all_guarantees_hold_for_every_pair_of_faults_at_every_step() {
    let (count, failures) = run_all(Guards::default());
    println!("fault matrix: {count} cells, {} failed", failures.len());
    assert!(
        failures.is_empty(),
        "{} cells failed; the first: {:?}",
        failures.len(),
        failures[0]
    );
}

/// Disables a guard and asserts that some cell of the matrix fails without it.
fn assert_guard_is_needed(guard: Guard) {
    let (_, failures) = run_all(Guards::without(guard));
    let Some((cell, error)) = failures.first() else {
        panic!("without {guard:?} no cell fails: the matrix does not cover this guard");
    };
    println!(
        "without {guard:?}: {} cells fail; the first: {cell:?}: {error}",
        failures.len()
    );
}

#[test]
fn the_matrix_fails_if_answers_are_not_matched_to_their_attempt() {
    assert_guard_is_needed(Guard::EchoMatch);
}

#[test]
fn the_matrix_fails_if_unrepeatable_steps_are_retried_after_an_unknown_outcome() {
    assert_guard_is_needed(Guard::NoUnsafeRetry);
}

#[test]
fn the_matrix_fails_if_not_run_does_not_cover_the_whole_request() {
    assert_guard_is_needed(Guard::NotRunProven);
}

#[test]
fn the_matrix_fails_without_checks_of_part_offsets() {
    assert_guard_is_needed(Guard::NoStreamGap);
}

#[test]
fn the_matrix_fails_without_checks_of_the_stream_length() {
    assert_guard_is_needed(Guard::StreamLength);
}

#[test]
fn the_matrix_fails_without_the_key_memory() {
    assert_guard_is_needed(Guard::KeyMemory);
}
