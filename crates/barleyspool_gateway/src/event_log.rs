//! Structured logs: one JSON object a line on standard output, bounded and never waited for.

use crate::LogSettings;
use barleyspool_core::{CallFingerprint, Time};
use serde::{Serialize, Serializer};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Logger, ThreadPool};
use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::sync::Arc;

/// One line. docs/OPERATIONS.md says what each means.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent<'a> {
    /// The process started.
    Started {
        /// The version of the program.
        version: &'a str,
        /// Its zone.
        zone: &'a str,
    },
    /// A planned stop begins.
    Stopping {
        /// Calls in flight.
        in_flight: usize,
    },
    /// The process ends.
    Stopped {
        /// Calls that were cut off.
        #[serde(rename = "cut")]
        aborted_calls: usize,
        /// Callers' connections that were still open: answers may have been on their way on them.
        #[serde(rename = "open")]
        open_connections: usize,
    },
    /// The machine goes on after a suspension.
    Suspended {
        /// How long it was suspended, in milliseconds.
        slept_ms: u64,
    },
    /// The settings were read again.
    #[serde(rename = "reloaded")]
    SettingsReloaded {
        /// Whether they are in use.
        #[serde(rename = "good")]
        valid: bool,
        /// What is wrong with them, if anything.
        cause: &'a str,
    },
    /// A configuration came into force.
    #[serde(rename = "configuration")]
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// The version before.
        #[serde(rename = "before")]
        previous: u64,
        /// From whom it came.
        from: &'a str,
    },
    /// A configuration was offered and refused.
    #[serde(rename = "configuration_refused")]
    ConfigurationRejected {
        /// Its version.
        version: u64,
        /// The first thing that is wrong with it.
        cause: &'a str,
        /// From whom it came.
        from: &'a str,
    },
    /// An item of the source cannot be read and is left out.
    ItemSkipped {
        /// Its key.
        key: &'a str,
        /// What is wrong with it.
        cause: &'a str,
    },
    /// The list of targets changed.
    #[serde(rename = "targets")]
    TargetsChanged {
        /// How many there are.
        #[serde(rename = "targets")]
        listed: usize,
        /// How many of them are leaving.
        leaving: usize,
        /// The source's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// From whom it came.
        from: &'a str,
        /// How many get nothing because their zone is evacuated.
        evacuated: usize,
        /// How many get nothing because their entries can't be read.
        unreadable: usize,
        /// How many were seen to run again under their id.
        restarted: usize,
        /// How many get nothing because their entries came back with an older copy of the source.
        #[serde(rename = "doubted")]
        unverified: usize,
    },
    /// The source has come back from an older copy of itself, so that its revisions go back.
    #[serde(rename = "source_went_back")]
    SourceRestored {
        /// Its era: how often it has, by its own count.
        era: u16,
        /// The revision in the era at which the list of targets stands now.
        #[serde(rename = "at")]
        revision: u64,
        /// The revision at which it stood, in the era before.
        #[serde(rename = "before")]
        previous_revision: u64,
        /// From whom it came.
        from: &'a str,
    },
    /// Other zones than before are evacuated.
    #[serde(rename = "evacuated")]
    EvacuationsChanged {
        /// The zones, separated by commas; empty when none is.
        zones: &'a str,
        /// The source's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// From whom it came.
        from: &'a str,
    },
    /// The source was lost or is back.
    #[serde(rename = "source")]
    SourceStatus {
        /// What was read.
        feed: &'a str,
        /// Whether it answers.
        #[serde(rename = "answers")]
        available: bool,
        /// What went wrong.
        cause: &'a str,
    },
    /// This node reads the source for its zone from now on, or no more.
    #[serde(rename = "reader")]
    ReaderRole {
        /// Whether it does.
        #[serde(rename = "reads")]
        is_reader: bool,
        /// Whether it watches for a short time only.
        #[serde(rename = "short")]
        short_watch: bool,
        /// The nodes that answer, itself among them.
        members: usize,
    },
    /// Another node was asked for what is newer there and did not tell.
    #[serde(rename = "ask_failed")]
    PeerRequestFailed {
        /// Its address.
        peer: &'a str,
        /// What went wrong.
        cause: &'a str,
    },
    /// This node takes the others that it knows for all there are, after a start.
    #[serde(rename = "members")]
    MembersConverged {
        /// The others that are known.
        known: usize,
        /// Nodes that take calls.
        serving: usize,
    },
    /// What is thought of another node changed.
    #[serde(rename = "member")]
    MemberChanged {
        /// Its address.
        address: &'a str,
        /// How it is now.
        health: &'a str,
        /// What that rests on: its own word, its silence, or the word of another node.
        evidence: &'a str,
        /// Nodes that take calls.
        serving: usize,
    },
    /// A target was put into quarantine by this node.
    #[serde(rename = "quarantine")]
    TargetQuarantined {
        /// Its id.
        target: &'a str,
        /// What it did last.
        cause: &'a str,
        /// The call at which that showed.
        id: &'a str,
    },
    /// A target ended while it had a call.
    #[serde(rename = "target_ended")]
    TargetCrashed {
        /// The target's id.
        target: &'a str,
        /// The call's id.
        id: &'a str,
        /// What it has in common with other tries of the same call.
        #[serde(rename = "print", serialize_with = "as_text")]
        fingerprint: CallFingerprint,
        /// Whether it counts against the call: not when targets have answered the same call lately.
        counts: bool,
    },
    /// The answer of a target said that it leaves, which this node did not know.
    TargetLeaves {
        /// The target's id.
        target: &'a str,
        /// Its service.
        service: &'a str,
        /// The call whose answer said so; empty for pieces.
        id: &'a str,
    },
    /// The answer of a target named another limit than before.
    #[serde(rename = "target_limit")]
    TargetRateLimit {
        /// The target's id.
        target: &'a str,
        /// Its service.
        service: &'a str,
        /// The calls a second that it takes; none when it limits nothing any more.
        per_s: Option<f64>,
        /// The call whose answer said so; empty for pieces.
        id: &'a str,
    },
    /// A target refused a request and wants nothing from this node for a while.
    #[serde(rename = "target_rests")]
    TargetCooldown {
        /// The target's id.
        target: &'a str,
        /// Its service.
        service: &'a str,
        /// For how long, in milliseconds.
        #[serde(rename = "rest_ms")]
        cooldown_ms: u64,
        /// The call that it refused; empty for pieces.
        id: &'a str,
    },
    /// A call was turned away because every target that may get it wants nothing from this node.
    #[serde(rename = "at_rest")]
    TargetsCoolingDown {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// Milliseconds until the first rest is over.
        wait_ms: u64,
    },
    /// A call found no room at any target that is usable, since each takes so many calls a second and no more.
    #[serde(rename = "at_limit")]
    TargetsAtLimit {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// Milliseconds until there is room, by the word of whoever gives it out.
        wait_ms: u64,
        /// Targets of all services that this node knows to name a limit.
        limited: usize,
        /// Whether this node hears all others, as far as it can tell.
        steady: bool,
    },
    /// Limits are others than before, read in answers here or told by other nodes.
    LimitsChanged {
        /// How many targets limit what they take.
        limited: usize,
    },
    /// Other calls than before get no target, since targets have ended under them.
    #[serde(rename = "calls_refused")]
    BlockedCallsChanged {
        /// How many get none.
        #[serde(rename = "calls")]
        blocked: usize,
        /// Calls under which this node knows of any target that has ended.
        #[serde(rename = "known")]
        crash_records: usize,
    },
    /// A call was turned away, or not sent again, because targets end under it.
    #[serde(rename = "kept_away")]
    CallBlocked {
        /// The call's id.
        id: &'a str,
        /// What it has in common with the tries under which they ended.
        #[serde(rename = "print", serialize_with = "as_text")]
        fingerprint: CallFingerprint,
        /// Milliseconds until it may go to a target again.
        wait_ms: u64,
    },
    /// A call was taken.
    #[serde(rename = "admitted")]
    CallAdmitted {
        /// The call's id.
        id: &'a str,
        /// What it has in common with other tries of the same call.
        #[serde(rename = "print", serialize_with = "as_text")]
        fingerprint: CallFingerprint,
        /// Its route.
        route: &'a str,
        /// Its organisation.
        organisation: &'a str,
        /// Its priority.
        rank: u8,
        /// Milliseconds that it has.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
        /// Milliseconds that it is expected to take.
        expected_ms: u64,
        /// The configuration's version.
        version: u64,
    },
    /// A call was refused because it would be late.
    #[serde(rename = "refused")]
    CallRefused {
        /// The call's id.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Its priority.
        rank: u8,
        /// Milliseconds within which its first output should come.
        #[serde(rename = "aim_ms")]
        objective_ms: u64,
        /// Milliseconds that it was expected to take.
        expected_ms: u64,
        /// How many of them it would wait.
        wait_ms: u64,
        /// The pool that it would wait for longest.
        #[serde(rename = "slowest")]
        slowest_pool: &'a str,
        /// The configuration's version.
        version: u64,
    },
    /// A stage of a call ended.
    #[serde(rename = "stage")]
    StageEnded {
        /// The call's id.
        id: &'a str,
        /// The stage's place.
        stage: usize,
        /// Its pool.
        service: &'a str,
        /// Its pieces.
        pieces: u32,
        /// The node that made the calls.
        owner: &'a str,
        /// What became of it.
        #[serde(rename = "end")]
        outcome: &'a str,
        /// Milliseconds that it took.
        took_ms: u64,
    },
    /// A call with pieces of several requests ended at a pool's target.
    #[serde(rename = "pool_call")]
    BatchEnded {
        /// The target's id.
        target: &'a str,
        /// Its pieces.
        pieces: usize,
        /// How many of them were made.
        #[serde(rename = "made")]
        computed: usize,
        /// Pieces that still wait for the pool.
        waiting: u32,
        /// Kilobytes of inputs that were fetched from another zone.
        #[serde(rename = "far_kb")]
        cross_zone_kb: u64,
        /// What became of the call.
        #[serde(rename = "end")]
        outcome: &'a str,
        /// Milliseconds that it took.
        took_ms: u64,
    },
    /// A call was sent to a target.
    #[serde(rename = "sent")]
    CallSent {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// The target's id.
        target: &'a str,
        /// Which send it is, from 1.
        #[serde(rename = "send")]
        send_number: u32,
        /// Milliseconds that the target may take.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
        /// Kilobytes of inputs that it fetches from another zone.
        #[serde(rename = "far_kb")]
        cross_zone_kb: u64,
        /// Why it was sent again; empty the first time.
        #[serde(rename = "retry")]
        retry_reason: &'a str,
    },
    /// A call ended.
    #[serde(rename = "ended")]
    CallEnded {
        /// The call's id.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// The status that the caller got; 0 for a closed connection.
        status: u16,
        /// Why, when no target answered; else empty.
        reason: &'a str,
        /// Whether it may have run, when no target answered.
        verdict: &'a str,
        /// The step at which it failed.
        step: &'a str,
        /// The target or node at which it failed.
        peer: &'a str,
        /// When it may come back, in milliseconds.
        #[serde(rename = "come_back_ms")]
        retry_after_ms: u64,
        /// Milliseconds until the first output.
        #[serde(rename = "first_ms")]
        first_output_ms: u64,
        /// Milliseconds all in all.
        took_ms: u64,
    },
    /// A caller's connection ended while the kernel had not taken all of an answer.
    #[serde(rename = "undelivered")]
    AnswerUndelivered {
        /// The id of the call that was answered last on it.
        id: &'a str,
        /// What went wrong.
        cause: &'a str,
    },
    /// Lines were dropped in the last second.
    #[serde(rename = "dropped")]
    LinesDropped {
        /// How many.
        lines: u64,
    },
}

/// A number of 64 bits as text: many readers of JSON keep 53.
fn as_text<S: Serializer>(fingerprint: &CallFingerprint, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(fingerprint)
}

#[derive(Serialize)]
struct LogLine<'a> {
    at_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: &'a LogEvent<'a>,
}

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    routine: u32,
    total: u32,
    dropped: u64,
}

/// The log of one thread.
#[derive(Clone)]
pub struct EventLog {
    logger: Arc<Logger>,
    node: Rc<str>,
    settings: LogSettings,
    budget: Rc<RefCell<LineBudget>>,
}

impl EventLog {
    /// Starts the writing thread. Lines that it cannot take are dropped, so nobody waits for it.
    ///
    /// # Errors
    /// When the thread or the stream cannot be set up.
    pub fn start(settings: &LogSettings) -> Result<Arc<Logger>, spdlog::Error> {
        let queue = NonZeroUsize::new(settings.queue as usize).unwrap_or(NonZeroUsize::MIN);
        let pool = ThreadPool::builder().capacity(queue).build_arc()?;
        let stream = StdStreamSink::builder()
            .std_stream(StdStream::Stdout)
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()?;
        let sink: Arc<dyn Sink> = AsyncPoolSink::builder()
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .sink(stream)
            .build_arc()?;
        Ok(Arc::new(Logger::builder().sink(sink).build()?))
    }

    /// The log of a thread that shares `logger` with others.
    pub fn new(logger: Arc<Logger>, node: &str, settings: LogSettings) -> Self {
        Self {
            logger,
            node: Rc::from(node),
            settings,
            budget: Rc::default(),
        }
    }

    /// Writes a line that tells of a change or a failure.
    pub fn write(&self, now: Time, event: &LogEvent) {
        self.write_limited(now, event, false);
    }

    /// Writes a line of a call that goes well; these are dropped first.
    pub fn write_routine(&self, now: Time, event: &LogEvent) {
        self.write_limited(now, event, true);
    }

    fn write_limited(&self, now: Time, event: &LogEvent, routine: bool) {
        if let Some(dropped) = self.start_second(now) {
            self.emit(now, &LogEvent::LinesDropped { lines: dropped });
        }
        let mut budget = self.budget.borrow_mut();
        let exceeded = budget.total >= self.settings.lines_per_s
            || (routine && budget.routine >= self.settings.routine_lines_per_s);
        if exceeded {
            budget.dropped += 1;
            return;
        }
        budget.total += 1;
        budget.routine += u32::from(routine);
        drop(budget);
        self.emit(now, event);
    }

    /// Starts a new second's budget; tells how many lines the last one dropped, if any.
    fn start_second(&self, now: Time) -> Option<u64> {
        let second = now.0 / 1_000_000;
        let mut budget = self.budget.borrow_mut();
        if budget.second == second {
            return None;
        }
        let dropped = budget.dropped;
        *budget = LineBudget {
            second,
            ..LineBudget::default()
        };
        (dropped > 0).then_some(dropped)
    }

    fn emit(&self, now: Time, event: &LogEvent) {
        let line = LogLine {
            at_ms: now.as_millis(),
            node: &self.node,
            event,
        };
        if let Ok(text) = serde_json::to_string(&line) {
            spdlog::info!(logger: self.logger, "{text}");
        }
    }

    /// Waits until what was written is out; only for the end of the process.
    pub fn flush(&self) {
        self.logger.flush();
    }
}
