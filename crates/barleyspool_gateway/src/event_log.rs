//! Structured logs: one JSON object per line on standard output. Their rate and their queue are limited, and writing
//! never blocks a caller.

use crate::LogSettings;
use barleyspool_core::{CallFingerprint, Suspect, Time};
use serde::{Serialize, Serializer};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Logger, ThreadPool};
use std::cell::RefCell;
use std::fmt::Display;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A log event; docs/OPERATIONS.md explains each one.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent<'a> {
    /// The process started.
    Started {
        /// The version of the program.
        version: &'a str,
        /// The availability zone of the node.
        zone: &'a str,
    },
    /// A planned stop started.
    Stopping {
        /// The number of calls in flight.
        in_flight: usize,
    },
    /// The process exits.
    Stopped {
        /// Calls that were still in flight and are aborted.
        #[serde(rename = "cut")]
        aborted_calls: usize,
        /// Connections of callers that were still open; answers may have been in transit on them.
        #[serde(rename = "open")]
        open_connections: usize,
    },
    /// The machine resumed after it was suspended.
    Suspended {
        /// How long it was suspended, in milliseconds.
        slept_ms: u64,
    },
    /// The settings file was read again.
    #[serde(rename = "reloaded")]
    SettingsReloaded {
        /// Whether the file is valid.
        #[serde(rename = "good")]
        valid: bool,
        /// The error; empty when the file is valid.
        cause: &'a str,
    },
    /// A configuration was applied.
    #[serde(rename = "configuration")]
    ConfigurationApplied {
        /// The version of the configuration.
        version: u64,
        /// The version that it replaces.
        #[serde(rename = "before")]
        previous: u64,
        /// The origin: `source`, or the address of the node that sent it.
        from: &'a str,
        /// How long this node knew that another node had newer data, in milliseconds.
        behind_ms: u64,
    },
    /// A configuration was rejected as invalid.
    #[serde(rename = "configuration_refused")]
    ConfigurationRejected {
        /// The version of the configuration.
        version: u64,
        /// The first error in it.
        cause: &'a str,
        /// The origin: `source`, or the address of the node that sent it.
        from: &'a str,
    },
    /// An item of the source cannot be read and is skipped.
    ItemSkipped {
        /// The key of the item.
        key: &'a str,
        /// Why it cannot be read.
        cause: &'a str,
    },
    /// The list of targets changed.
    #[serde(rename = "targets")]
    TargetsChanged {
        /// The number of targets in the list.
        #[serde(rename = "targets")]
        listed: usize,
        /// Targets that are shutting down.
        leaving: usize,
        /// The revision of the source.
        #[serde(rename = "at")]
        revision: u64,
        /// The origin: `source`, the address of a node, `answers` of targets, or `lapsed` for expired entries.
        from: &'a str,
        /// Targets that receive no calls because their zone is evacuated.
        evacuated: usize,
        /// Targets that receive no calls because their entries cannot be read.
        unreadable: usize,
        /// Targets that restarted under the same id, which a different start time shows.
        restarted: usize,
        /// Targets that receive no calls because their entries reappeared when the source was restored from a backup and
        /// have not been verified since.
        #[serde(rename = "doubted")]
        unverified: usize,
        /// How long this node knew that another node had newer data, in milliseconds.
        behind_ms: u64,
    },
    /// The source listed a report of a target that is older than the known one, which stands.
    ReportOutdated {
        /// The id of the target.
        target: &'a str,
        /// The number of the report.
        sequence: u64,
        /// The number of the known report.
        known: u64,
        /// Whether the target is known to leave, which the older report does not state.
        #[serde(rename = "leaves")]
        undoes_leaving: bool,
    },
    /// The source was restored from a backup, so its revision numbers decreased.
    #[serde(rename = "source_went_back")]
    SourceRestored {
        /// The era of the source: the number of times that it was restored, by its own count.
        era: u16,
        /// The revision of the list of targets, in the new era.
        #[serde(rename = "at")]
        revision: u64,
        /// The revision of the list before, in the previous era.
        #[serde(rename = "before")]
        previous_revision: u64,
        /// The origin: `source`, or the address of the node that sent it.
        from: &'a str,
    },
    /// The set of evacuated zones changed.
    #[serde(rename = "evacuated")]
    EvacuationsChanged {
        /// The evacuated zones, separated by commas; empty when there are none.
        zones: &'a str,
        /// The revision of the source.
        #[serde(rename = "at")]
        revision: u64,
        /// The origin: `source`, or the address of the node that sent it.
        from: &'a str,
        /// How long this node knew that another node had newer data, in milliseconds.
        behind_ms: u64,
    },
    /// A feed of the source became unavailable or available again, or fails for another reason than before.
    #[serde(rename = "source")]
    SourceStatus {
        /// The feed that was read.
        feed: &'a str,
        /// Whether the source answers.
        #[serde(rename = "answers")]
        available: bool,
        /// The error; empty when the source answers.
        cause: &'a str,
    },
    /// This node became or ceased to be a reader of the source for its zone.
    #[serde(rename = "reader")]
    ReaderRole {
        /// Whether it is a reader now.
        #[serde(rename = "reads")]
        is_reader: bool,
        /// Whether it uses watches with a short timeout.
        #[serde(rename = "short")]
        short_watch: bool,
        /// The number of responsive nodes, including this one.
        members: usize,
    },
    /// A request to another node for newer configuration or targets failed.
    #[serde(rename = "ask_failed")]
    PeerRequestFailed {
        /// The address of the node.
        peer: &'a str,
        /// The step that failed: `connect`, `answer` or `apply`.
        step: &'a str,
        /// The error.
        cause: &'a str,
        /// Duration of the request, in milliseconds.
        took_ms: u64,
        /// How long this node knew that another node had newer data, in milliseconds.
        behind_ms: u64,
        /// The number of nodes that report newer data.
        holders: usize,
    },
    /// The view of the other nodes converged after a start: this node most likely knows all of them.
    #[serde(rename = "members")]
    MembersConverged {
        /// The number of known other nodes.
        known: usize,
        /// The number of nodes that accept calls.
        serving: usize,
    },
    /// This node's view of the health of another node changed.
    #[serde(rename = "member")]
    MemberChanged {
        /// The address of the node.
        address: &'a str,
        /// Its new health.
        health: &'a str,
        /// The evidence: an answer of the node, its silence, or gossip of another node.
        evidence: &'a str,
        /// The number of nodes that accept calls.
        serving: usize,
    },
    /// This node put a target into quarantine.
    #[serde(rename = "quarantine")]
    TargetQuarantined {
        /// The target's id.
        target: &'a str,
        /// Its last failure.
        cause: &'a str,
        /// The id of the call that failed.
        id: &'a str,
    },
    /// A target crashed while it processed a call.
    #[serde(rename = "target_ended")]
    TargetCrashed {
        /// The target's id.
        target: &'a str,
        /// The call's id.
        id: &'a str,
        /// The fingerprint of the call, equal for all its tries.
        #[serde(rename = "print", serialize_with = "as_text")]
        fingerprint: CallFingerprint,
        /// The ids of the parts of its prompt that other calls may share, in hexadecimal, separated by commas.
        parts: &'a str,
        /// Whether the crash counts against the call; it does not if a target answered the same call recently.
        #[serde(rename = "counts")]
        counts_against_call: bool,
    },
    /// The answer of a target reported that it is shutting down, which this node did not know.
    TargetLeaves {
        /// The target's id.
        target: &'a str,
        /// Its service.
        service: &'a str,
        /// The id of the call whose answer reported it; empty for pieces.
        id: &'a str,
    },
    /// The answer of a target reported a changed rate limit.
    #[serde(rename = "target_limit")]
    TargetRateLimit {
        /// The target's id.
        target: &'a str,
        /// Its service.
        service: &'a str,
        /// The calls per second that it accepts; none when it has no limit any more.
        per_s: Option<f64>,
        /// The id of the call whose answer reported it; empty for pieces.
        id: &'a str,
    },
    /// A target refused a request and asked this node to send it nothing for a while.
    #[serde(rename = "target_rests")]
    TargetCooldown {
        /// The target's id.
        target: &'a str,
        /// Its service.
        service: &'a str,
        /// The duration, in milliseconds.
        #[serde(rename = "rest_ms")]
        cooldown_ms: u64,
        /// The id of the refused call; empty for pieces.
        id: &'a str,
    },
    /// A call was refused because every eligible target asked this node to send it nothing for a while.
    #[serde(rename = "at_rest")]
    TargetsCoolingDown {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// Milliseconds until the first of these cooldowns ends.
        wait_ms: u64,
    },
    /// A call was refused because every usable target has reached its rate limit.
    #[serde(rename = "at_limit")]
    TargetsAtLimit {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// Milliseconds until capacity is expected, as reported by the nodes that grant it.
        wait_ms: u64,
        /// The number of targets of all services that have a rate limit, as far as this node knows.
        limited: usize,
        /// Whether this node has run for 5 s and its membership table has converged, so that it assumes that it knows
        /// all nodes. Convergence alone may come earlier.
        steady: bool,
    },
    /// The targets of a service report that they fall over when they have to refuse too many calls.
    #[serde(rename = "brittle")]
    ServiceBrittle {
        /// The service.
        service: &'a str,
        /// The target that reported it.
        target: &'a str,
        /// How many refusals in a second each of them bears.
        refusals: f64,
    },
    /// This node lost its links to all targets of a service, or reaches one again.
    #[serde(rename = "reach")]
    ServiceReach {
        /// The service.
        service: &'a str,
        /// Whether it reaches a target of the service now.
        #[serde(rename = "reached")]
        is_reached: bool,
        /// The number of services that it does not reach.
        unreached: usize,
    },
    /// Rate limits of targets changed, as reported in answers to this node or by other nodes.
    LimitsChanged {
        /// The number of targets with a rate limit.
        limited: usize,
    },
    /// The set of calls that are blocked because they crash targets changed.
    #[serde(rename = "calls_refused")]
    BlockedCallsChanged {
        /// The number of blocked calls.
        #[serde(rename = "calls")]
        blocked: usize,
        /// The number of calls with a known crash of a target.
        #[serde(rename = "known")]
        crash_records: usize,
    },
    /// A call was refused, or not retried, because it crashes targets.
    #[serde(rename = "kept_away")]
    CallBlocked {
        /// The call's id.
        id: &'a str,
        /// The fingerprint of the call, equal for all its tries.
        #[serde(rename = "print", serialize_with = "as_text")]
        fingerprint: CallFingerprint,
        /// What targets crashed of: the call, or a part of its prompt.
        #[serde(serialize_with = "as_text")]
        suspect: Suspect,
        /// Milliseconds until it may be sent to a target again.
        wait_ms: u64,
    },
    /// A call was admitted.
    #[serde(rename = "admitted")]
    CallAdmitted {
        /// The call's id.
        id: &'a str,
        /// The fingerprint of the call, equal for all its tries.
        #[serde(rename = "print", serialize_with = "as_text")]
        fingerprint: CallFingerprint,
        /// Its route.
        route: &'a str,
        /// Its organisation.
        organisation: &'a str,
        /// The rank of its priority class; 0 is the most important.
        rank: u8,
        /// Milliseconds until its deadline.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
        /// The expected time from now to its first output, in milliseconds.
        expected_ms: u64,
        /// The version of the configuration.
        version: u64,
    },
    /// A call takes up a stream of an earlier call.
    #[serde(rename = "taken_up")]
    StreamTakenUp {
        /// The call's id.
        id: &'a str,
        /// The id of the call that brought the first event; empty if the caller does not name it.
        stream: &'a str,
        /// Whether the software version that began the stream is known.
        known: bool,
        /// The service in which the stream goes on; empty if no target of that version accepts work.
        service: &'a str,
    },
    /// An answer of a target was dropped before it was complete, and its connection closed.
    AnswerDropped {
        /// The target's address, or that of the node that passes the answer on.
        address: &'a str,
        /// Why.
        cause: &'a str,
        /// The bytes of its body that had been received; for a stream, those of an incomplete event.
        bytes: usize,
    },
    /// An answer of a target cannot be told from another one on its connection.
    AnswerFaulty {
        /// The target's address.
        address: &'a str,
        /// Why.
        fault: &'a str,
        /// The bytes of its body that had been received.
        bytes: usize,
    },
    /// An answer of a target ended with its connection, and who runs at the target's address was looked up.
    AnswerEnded {
        /// The call's id.
        id: &'a str,
        /// The target's id.
        target: &'a str,
        /// Who runs there.
        occupant: &'a str,
    },
    /// A target did not run a call, since stage results that it reads are gone.
    InputsGone {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// The target's id.
        target: &'a str,
        /// Whether this node had released them after the send.
        released: bool,
        /// How long after the send the refusal came, in milliseconds.
        after_ms: u64,
    },
    /// The stream of a call broke off at its target before its end.
    StreamBrokenOff {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// The target's id.
        target: &'a str,
        /// The number of the last event that was relayed.
        #[serde(skip_serializing_if = "Option::is_none")]
        last_event: Option<u64>,
        /// Whether the route allows the stream to go on at another target.
        resumable: bool,
        /// Milliseconds until the call's deadline.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
    },
    /// A call was refused because it would miss its objective or its deadline.
    #[serde(rename = "refused")]
    CallRefused {
        /// The call's id.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// The rank of its priority class; 0 is the most important.
        rank: u8,
        /// The caller's organisation.
        organisation: &'a str,
        /// The objective of its route for the time to the first output, in milliseconds.
        #[serde(rename = "aim_ms")]
        objective_ms: u64,
        /// The expected time from now to its first output, in milliseconds.
        expected_ms: u64,
        /// The part of that time spent in queues, in milliseconds.
        wait_ms: u64,
        /// The pool with the longest queueing delay.
        #[serde(rename = "slowest")]
        slowest_pool: &'a str,
        /// The version of the configuration.
        version: u64,
    },
    /// A stage of a call ended.
    #[serde(rename = "stage")]
    StageEnded {
        /// The call's id.
        id: &'a str,
        /// The index of the stage in the route.
        stage: usize,
        /// The service of its pool.
        service: &'a str,
        /// The number of its pieces.
        pieces: u32,
        /// The node that owns the pool and made the batch calls; `self` for this node.
        owner: &'a str,
        /// The outcome.
        #[serde(rename = "end")]
        outcome: &'a str,
        /// Its duration, in milliseconds.
        took_ms: u64,
    },
    /// The owner of a pool refused an order that would have waited until its deadline, since others went ahead of it in
    /// a shortage.
    OrderStarved {
        /// The id of the call.
        id: &'a str,
        /// The service of the pool.
        service: &'a str,
        /// The number of the shard.
        shard: u32,
        /// The rank of the call.
        rank: u8,
        /// The number of pieces of the order.
        pieces: u32,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
        /// The number of pieces ahead of it.
        ahead: u64,
        /// The time after which the caller is told to retry, in milliseconds.
        retry_ms: u64,
    },
    /// What the owner of a pool sees once a second while pieces wait or calls are in flight.
    PoolLoad {
        /// The service of the pool.
        service: &'a str,
        /// The number of the shard.
        shard: u32,
        /// The number of waiting pieces.
        waiting: u32,
        /// The number of calls in flight.
        in_flight: usize,
        /// The capacity for results of all targets, in kilobytes.
        capacity_kb: u64,
        /// Capacity reserved for calls in flight, in kilobytes.
        reserved_kb: u64,
        /// Results of orders of which other pieces are not computed yet, in kilobytes.
        collecting_kb: u64,
        /// The mean time since these were computed, in milliseconds.
        collecting_ms: u64,
        /// Results that their requests read or have yet to read, in kilobytes.
        in_use_kb: u64,
        /// The mean time since their orders were complete, in milliseconds.
        in_use_ms: u64,
        /// Results that are not needed any more and not freed yet, in kilobytes.
        releasing_kb: u64,
        /// The mean time since they were not needed any more, in milliseconds.
        releasing_ms: u64,
    },
    /// A batch call to a target of a pool ended. It contains pieces of one or several calls.
    #[serde(rename = "pool_call")]
    BatchEnded {
        /// The target's id.
        target: &'a str,
        /// The number of pieces in the batch.
        pieces: usize,
        /// The number of pieces that were computed.
        #[serde(rename = "made")]
        computed: usize,
        /// The number of pieces that still wait in the queue of the pool.
        waiting: u32,
        /// The size of the inputs fetched from other zones, in kilobytes.
        #[serde(rename = "far_kb")]
        cross_zone_kb: u64,
        /// The outcome.
        #[serde(rename = "end")]
        outcome: &'a str,
        /// Its duration, in milliseconds.
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
        /// The number of this send of the call, starting at 1.
        #[serde(rename = "send")]
        send_number: u32,
        /// Milliseconds until the deadline of the call.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
        /// The size of the inputs that the target fetches from other zones, in kilobytes.
        #[serde(rename = "far_kb")]
        cross_zone_kb: u64,
        /// The reason of a repeated send; empty for the first one.
        #[serde(rename = "retry")]
        retry_reason: &'a str,
        /// The software version of the target; empty when the target is not listed.
        software: &'a str,
        /// The number of the last event that the caller has; `None` unless the call resumes a stream.
        #[serde(skip_serializing_if = "Option::is_none")]
        resume_after: Option<u64>,
        /// The id of the call that brought the first event of that stream.
        #[serde(skip_serializing_if = "Option::is_none")]
        stream: Option<&'a str>,
    },
    /// A target answered a call with a refusal.
    SendRefused {
        /// The call's id.
        id: &'a str,
        /// The service.
        service: &'a str,
        /// The target's id.
        target: &'a str,
        /// The status code of the answer.
        status: u16,
        /// The id of the call that the answer names; empty when it names none.
        answers: &'a str,
        /// Whether the connection had been used for another request before.
        reused: bool,
        /// Whether the answer has the header by which targets mark answers of calls that they ran.
        sealed: bool,
    },
    /// A call ended.
    #[serde(rename = "ended")]
    CallEnded {
        /// The call's id.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// The status code sent to the caller; 0 for a closed connection.
        status: u16,
        /// The reason of the failure; empty when a target answered.
        reason: &'a str,
        /// Whether a failed call may have run; empty when a target answered.
        verdict: &'a str,
        /// The step that failed; see [`CallFailure`](crate::CallFailure).
        step: &'a str,
        /// The target or node that caused the failure; empty for this node.
        peer: &'a str,
        /// When the caller should retry, in milliseconds; 0 when a retry does not help.
        #[serde(rename = "come_back_ms")]
        retry_after_ms: u64,
        /// The time to the first output, in milliseconds.
        #[serde(rename = "first_ms")]
        first_output_ms: u64,
        /// The total duration, in milliseconds.
        took_ms: u64,
    },
    /// A caller's connection ended before the kernel had accepted all of an answer.
    #[serde(rename = "undelivered")]
    AnswerUndelivered {
        /// The id of the last call answered on the connection.
        id: &'a str,
        /// The error.
        cause: &'a str,
    },
    /// Log lines were dropped in an earlier second because of the rate limit.
    #[serde(rename = "dropped")]
    LinesDropped {
        /// The number of dropped lines.
        lines: u64,
    },
}

/// Serializes a 64-bit number as text, since many JSON parsers keep only 53 bits.
fn as_text<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
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

/// The log of one thread, with a rate limit of its own.
#[derive(Clone)]
pub struct EventLog {
    logger: Arc<Logger>,
    node: Rc<str>,
    settings: LogSettings,
    budget: Rc<RefCell<LineBudget>>,
}

impl EventLog {
    /// Starts the thread that writes the log. Lines that do not fit into its queue are dropped, so that no other thread
    /// waits for it.
    ///
    /// # Errors
    /// When the thread or the output stream cannot be set up.
    pub fn start(settings: &LogSettings, dropped: &Arc<AtomicU64>) -> Result<Arc<Logger>, spdlog::Error> {
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
            .error_handler(count_dropped(dropped))
            .build_arc()?;
        let logger = Logger::builder()
            .sink(sink)
            .error_handler(count_dropped(dropped))
            .build()?;
        Ok(Arc::new(logger))
    }

    /// Creates the log of one thread; the threads share `logger`.
    pub fn new(logger: Arc<Logger>, node: &str, settings: LogSettings) -> Self {
        Self {
            logger,
            node: Rc::from(node),
            settings,
            budget: Rc::default(),
        }
    }

    /// Writes an event that reports a change or a failure.
    pub fn write(&self, now: Time, event: &LogEvent) {
        self.write_limited(now, event, false);
    }

    /// Writes an event of a call that proceeds normally. These events have a lower rate limit and are dropped first.
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

    /// Resets the budget when a new second has started, and returns how many lines were dropped in the previous one.
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

    /// Waits until all lines are written. To be called only when the process exits.
    pub fn flush(&self) {
        self.logger.flush();
    }
}

/// Counts lines that are not written, since the queue is full or the output fails. The default handler of the library
/// prints each of them to standard error, and blocks the thread that logs while nobody reads that.
fn count_dropped(dropped: &Arc<AtomicU64>) -> impl Fn(spdlog::Error) + Send + Sync + use<> {
    let dropped = Arc::clone(dropped);
    move |_| {
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}
