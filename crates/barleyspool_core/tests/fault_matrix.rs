//! Every fault at every step of a request, in pairs, for repeatable and unrepeatable work, on one router
//! whose targets are scripted at its interface. Virtual time, no random choices but seeded ones.
//!
//! Each cell is judged by what the scripted targets truly ran. Then each guard is taken out in turn, and the
//! same cells have to find it missing.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::print_stdout,
    reason = "a proof stops where it fails, and says what it covered"
)]

mod support;

use barleyspool_core::*;
use std::sync::Arc;
use support::*;

/// What goes wrong with one send of a step.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Refused,
    RefusedLeaving,
    Unreachable,
    /// The connection breaks and the step ran.
    BrokenRan,
    /// The connection breaks and the step did not run; nobody can tell.
    BrokenNotRun,
    /// A stream breaks after its first half.
    BrokenHalfway,
    /// A stream leaves out a piece.
    Gap,
    /// An end marker comes before the end.
    EarlyEnd,
    /// Another request's answer comes on this one's connection.
    AlienAnswer,
    /// Another request's part comes on this one's connection.
    AlienPart,
    /// The answer comes, and then comes again.
    Twice,
    /// Nothing ever comes.
    Hang,
    /// The answer comes after the deadline.
    Late,
    /// The process sleeps, less long than the deadline.
    ShortSleep,
    /// The process sleeps through the deadline.
    LongSleep,
    /// The control thread hangs, and the process goes on.
    StalePlan,
    /// A new configuration without this pipeline comes into force.
    NewConfig,
    /// The target goes off the list while it works.
    OffList,
    /// A planned stop begins.
    Stop,
    /// The same request is sent again to this node while it runs.
    Repeat,
    /// The caller goes away.
    CallerLeaves,
}

use Fault::*;
const FAULTS: [Fault; 22] = [
    None,
    Refused,
    RefusedLeaving,
    Unreachable,
    BrokenRan,
    BrokenNotRun,
    BrokenHalfway,
    Gap,
    EarlyEnd,
    AlienAnswer,
    AlienPart,
    Twice,
    Hang,
    Late,
    ShortSleep,
    LongSleep,
    StalePlan,
    NewConfig,
    OffList,
    Stop,
    Repeat,
    CallerLeaves,
];

/// What is asked.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Kind {
    Repeatable,
    Unrepeatable,
    /// The last stage is unrepeatable.
    UnrepeatableStage,
}

const KINDS: [Kind; 3] = [Kind::Repeatable, Kind::Unrepeatable, Kind::UnrepeatableStage];
const STEPS: u8 = 4;

/// One cell: at `step` the first send meets `first`, the second `second`.
#[derive(Copy, Clone, Debug)]
struct Cell {
    kind: Kind,
    earlier: Earlier,
    step: u8,
    first: Fault,
    second: Fault,
}

fn cells() -> impl Iterator<Item = Cell> {
    KINDS.into_iter().flat_map(|kind| {
        [Earlier::None, Earlier::Uncertain]
            .into_iter()
            .flat_map(move |earlier| {
                (0..STEPS).flat_map(move |step| {
                    FAULTS.into_iter().flat_map(move |first| {
                        FAULTS.into_iter().map(move |second| Cell {
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

/// A run of a step, as its target knows it.
struct Truth {
    step: u8,
    repeatable: bool,
}

struct Run {
    bench: Bench,
    cell: Cell,
    callers: Vec<CallerId>,
    call: Call,
    truth: Vec<Truth>,
    sends: u32,
}

impl Run {
    fn new(cell: Cell, guards: Guards) -> Self {
        let mut call = call("mine");
        call.unrepeatable = cell.kind == Kind::Unrepeatable;
        call.earlier = cell.earlier;
        if cell.kind == Kind::UnrepeatableStage {
            call.pipeline = "check".into();
        }
        let mut bench = Bench::guarded(guards);
        let caller = bench.arrive(call.clone());
        Self {
            bench,
            cell,
            callers: vec![caller],
            call,
            truth: Vec::new(),
            sends: 0,
        }
    }

    fn stages(&self) -> [&'static str; 4] {
        match self.cell.kind {
            Kind::UnrepeatableStage => ["encode", "retrieve", "rerank", "notes"],
            _ => ["encode", "retrieve", "rerank", "generate"],
        }
    }

    fn ended(&self) -> bool {
        self.callers
            .iter()
            .all(|caller| !self.bench.callers[caller].outcomes.is_empty())
    }

    /// Plays the cell until every caller has its outcome, or well past the deadline.
    fn play(&mut self) {
        let end = self.call.deadline + ms(3000);
        while !self.ended() && self.bench.now < end {
            match self.bench.sent.pop() {
                Some((attempt, order)) => self.serve(attempt, &order),
                Option::None => self.bench.pass(ms(20)),
            }
        }
    }

    fn ran(&mut self, order: &StepOrder) {
        self.truth.push(Truth {
            step: order.echo.step,
            repeatable: order.repeatable,
        });
    }

    /// One send: the fault of the cell if it is the cell's step, a good answer else.
    fn serve(&mut self, attempt: AttemptId, order: &StepOrder) {
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
        self.fault(fault, attempt, order);
    }

    fn good(&mut self, attempt: AttemptId, order: &StepOrder) {
        self.ran(order);
        self.bench.answer(attempt, order);
    }

    fn half(&mut self, attempt: AttemptId, order: &StepOrder) {
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

    fn fault(&mut self, fault: Fault, attempt: AttemptId, order: &StepOrder) {
        let echo = Some(order.echo);
        match fault {
            None => self.good(attempt, order),
            Refused => self.bench.end(
                attempt,
                echo,
                AttemptEnd::Refused {
                    leaving: false,
                    rest: Span::ZERO,
                },
            ),
            RefusedLeaving => {
                let end = AttemptEnd::Refused {
                    leaving: true,
                    rest: Span::ZERO,
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
            BrokenRan => {
                self.ran(order);
                self.bench.end(attempt, Option::None, AttemptEnd::BrokenOff);
            }
            BrokenNotRun => self.bench.end(attempt, Option::None, AttemptEnd::BrokenOff),
            BrokenHalfway => {
                self.ran(order);
                self.half(attempt, order);
                self.bench.end(attempt, Option::None, AttemptEnd::BrokenOff);
            }
            Gap => {
                self.ran(order);
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
                self.ran(order);
                self.half(attempt, order);
                self.bench.end(attempt, echo, done(output_of(order).len() as u64));
            }
            AlienAnswer => {
                self.ran(order);
                let alien = Echo {
                    request: order.echo.request + 1,
                    ..order.echo
                };
                let output: Payload = Arc::from(b"alien".as_slice());
                self.bench
                    .end(attempt, Some(alien), AttemptEnd::Done { output, length: 5 });
            }
            AlienPart => {
                self.ran(order);
                let alien = Echo {
                    attempt: order.echo.attempt + 7,
                    ..order.echo
                };
                let (offset, data) = (order.so_far.len() as u64, Arc::from(b"alien".as_slice()));
                self.bench.step(TrafficEvent::Part {
                    attempt,
                    echo: alien,
                    offset,
                    data,
                });
                self.bench.end(attempt, echo, done(offset + 5));
            }
            Twice => {
                self.good(attempt, order);
                self.bench.answer(attempt, order);
            }
            Hang => self.ran(order),
            Late => {
                self.ran(order);
                let left = self.call.deadline.since(self.bench.now);
                self.bench.pass(left + ms(50));
                self.bench.answer(attempt, order);
            }
            ShortSleep => {
                self.bench.sleep(ms(100));
                self.good(attempt, order);
                self.bench.refresh_plan();
            }
            LongSleep => {
                self.bench.sleep(ms(4000));
                self.good(attempt, order);
                self.bench.refresh_plan();
            }
            StalePlan => {
                // The answer comes in when the plan has not been vouched for for too long.
                let plan = Plan {
                    made: self.bench.now - ms(10_000),
                    ..Plan::clone(self.bench.router.plan())
                };
                self.bench.take_plan(plan);
                let before = self.bench.sent.len();
                self.good(attempt, order);
                assert!(
                    self.bench.sent.len() == before || !self.bench.router.plan().fresh(self.bench.now, ms(0))
                );
                self.bench.pass(ms(1));
            }
            NewConfig => {
                let mut next = document(2);
                next.head.pipelines.retain(|pipeline| pipeline.name == "single");
                let plan = Plan::clone(self.bench.router.plan());
                let config = Config::from_document(&next, plan.config.as_deref()).unwrap();
                self.bench.take_plan(Plan {
                    config: Some(Arc::new(config)),
                    ..plan
                });
                self.good(attempt, order);
            }
            OffList => {
                let plan = Plan::clone(self.bench.router.plan());
                let rest = plan
                    .targets
                    .iter()
                    .filter(|target| target.id != order.target)
                    .cloned()
                    .collect();
                self.bench.take_plan(Plan {
                    targets: Arc::new(rest),
                    ..plan
                });
                self.good(attempt, order);
            }
            Stop => {
                let plan = Plan {
                    serving: Serving::Stopping,
                    ..Plan::clone(self.bench.router.plan())
                };
                self.bench.take_plan(plan);
                self.good(attempt, order);
            }
            Repeat => {
                let again = Call {
                    earlier: Earlier::Uncertain,
                    ..self.call.clone()
                };
                let caller = self.bench.arrive(again);
                self.callers.push(caller);
                self.good(attempt, order);
            }
            CallerLeaves => {
                let caller = self.callers[0];
                self.bench.step(TrafficEvent::CallerLeft { caller });
                // Nobody listens: the outcome is the caller's own doing, and only the books must balance.
                let heard = self.bench.callers.get_mut(&caller).unwrap();
                if heard.outcomes.is_empty() {
                    let refusal = Refusal {
                        reason: Reason::CallerLeft,
                        verdict: Verdict::Unknown,
                        step: Option::None,
                        peer: Option::None,
                        come_back: Span::ZERO,
                    };
                    heard.outcomes.push(Outcome::Refused(refusal));
                    heard.at = self.bench.now;
                }
                self.good(attempt, order);
            }
        }
    }

    // ------------------------------------------------------------------------
    // Judging

    fn judge(&mut self) -> Result<(), String> {
        for caller in self.callers.clone() {
            self.judge_caller(caller)?;
        }
        self.judge_runs()?;
        if self.cell.kind != Kind::Repeatable {
            self.judge_repeat()?;
        }
        // Nothing is left over once the callers are gone.
        self.bench.pass(ms(4000));
        let router = &self.bench.router;
        let in_flight: u32 = router.targets().map(|target| target.in_flight).sum();
        let left = (
            router.live_requests(),
            router.waiting_steps(),
            in_flight,
            router.active_organisations(),
        );
        if left != (0, 0, 0, 0) {
            return Err(format!("left over: {left:?}"));
        }
        if router.counters().get(Counter::Wasted(ServiceIx(0)))
            > router.counters().get(Counter::Spent(ServiceIx(0)))
        {
            return Err("more was wasted than spent".into());
        }
        Ok(())
    }

    fn judge_caller(&self, caller: CallerId) -> Result<(), String> {
        let heard = &self.bench.callers[&caller];
        let [outcome] = heard.outcomes.as_slice() else {
            return Err(format!("{} outcomes", heard.outcomes.len()));
        };
        let slept = [self.cell.first, self.cell.second].contains(&LongSleep);
        if heard.at > self.call.deadline + ms(100) && !slept {
            return Err("the outcome came long after the deadline".into());
        }
        if heard.gap {
            return Err("a part left a gap".into());
        }
        let whole = whole_answer(&self.stages(), "mine");
        match outcome.verdict() {
            Verdict::Complete if heard.bytes != whole => Err(format!(
                "not its own answer: {}",
                String::from_utf8_lossy(&heard.bytes)
            )),
            Verdict::NotRun if !self.truth.is_empty() => Err("said not run, and it ran".into()),
            // The truth of an earlier send is not known here: nobody but the settled home may say it.
            Verdict::NotRun
                if self.cell.kind == Kind::Repeatable && self.cell.earlier == Earlier::Uncertain =>
            {
                Err("said not run to a caller that was unsure".into())
            }
            Verdict::Complete | Verdict::NotRun => Ok(()),
            Verdict::Unknown if whole.starts_with(&heard.bytes) => Ok(()),
            Verdict::Unknown => Err("passed on what is not its own".into()),
        }
    }

    fn judge_runs(&self) -> Result<(), String> {
        for step in 0..STEPS {
            let once = self
                .truth
                .iter()
                .filter(|run| run.step == step && !run.repeatable)
                .count();
            if once > 1 {
                return Err(format!("unrepeatable step {step} ran {once} times"));
            }
        }
        Ok(())
    }

    /// A repeat of an unrepeatable key is never run beside the first: it hears what the first heard.
    fn judge_repeat(&mut self) -> Result<(), String> {
        if self.bench.now >= self.call.deadline {
            return Ok(());
        }
        let first = self.callers[0];
        let left = [self.cell.first, self.cell.second].contains(&CallerLeaves);
        let again = Call {
            earlier: Earlier::Uncertain,
            ..self.call.clone()
        };
        let caller = self.bench.arrive(again);
        self.callers.push(caller);
        self.play();
        self.judge_runs()?;
        let heard = |caller| {
            (
                &self.bench.callers[&caller].bytes,
                self.bench.outcome(caller).map(Outcome::verdict),
            )
        };
        let (bytes, verdict) = heard(first);
        match verdict {
            Some(Verdict::Complete) if heard(caller) != (bytes, verdict) => {
                Err("a repeat heard something else than the first".into())
            }
            Some(Verdict::Unknown) if !left && heard(caller).1 != verdict => {
                Err("a repeat was not told that the first may have run".into())
            }
            _ => self.judge_caller(caller),
        }
    }
}

fn run(cell: Cell, guards: Guards) -> Result<(), String> {
    let mut run = Run::new(cell, guards);
    run.play();
    run.judge()
}

/// The first cell that fails, with why, and how many there are.
fn search(guards: Guards) -> (usize, Vec<(Cell, String)>) {
    let mut failures = Vec::new();
    let mut count = 0;
    for cell in cells() {
        count += 1;
        if let Err(why) = run(cell, guards) {
            failures.push((cell, why));
        }
    }
    (count, failures)
}

#[test]
fn every_fault_at_every_step_keeps_the_promises() {
    let (count, failures) = search(Guards::default());
    println!("fault matrix: {count} cells, {} failed", failures.len());
    assert!(
        failures.is_empty(),
        "{} cells failed; the first: {:?}",
        failures.len(),
        failures[0]
    );
}

/// Takes a guard out and demands that the matrix notices.
fn is_needed(guard: Guard) {
    let (_, failures) = search(Guards::without(guard));
    let Some((cell, why)) = failures.first() else {
        panic!("without {guard:?} no cell fails: the matrix does not show that it is needed");
    };
    println!(
        "without {guard:?}: {} cells fail; the first: {cell:?}: {why}",
        failures.len()
    );
}

#[test]
fn the_matrix_needs_answers_matched_to_their_attempt() {
    is_needed(Guard::EchoMatch);
}

#[test]
fn the_matrix_needs_unknown_to_be_final_for_unrepeatable_steps() {
    is_needed(Guard::NoUnsafeRetry);
}

#[test]
fn the_matrix_needs_not_run_to_speak_of_the_whole_request() {
    is_needed(Guard::NotRunProven);
}

#[test]
fn the_matrix_needs_part_offsets() {
    is_needed(Guard::NoStreamGap);
}

#[test]
fn the_matrix_needs_the_length_at_the_end() {
    is_needed(Guard::StreamLength);
}

#[test]
fn the_matrix_needs_the_memory_of_keys() {
    is_needed(Guard::KeyMemory);
}
