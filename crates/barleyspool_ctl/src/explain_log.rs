//! Collects the log lines of a request from the logs of several gateways, by time, and summarises its outcome.
//!
//! A gateway is a process of `barleyspool-gateway`, the HTTP gateway daemon. Entry nodes log in another format; their
//! lines lack the fields `at_ms`, `node` and `event` that a gateway's log line has at its top level, and are skipped.
//!
//! An attempt here is one time that the caller sends a call. In the entry daemon an attempt is one send of a step to a
//! target.

use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::{fs, io};

/// {path}: {cause}
#[derive(Debug, displaydoc::Display)]
pub struct UnreadableLog {
    /// The path of the file.
    pub path: String,
    /// The I/O error.
    pub cause: io::Error,
}

impl std::error::Error for UnreadableLog {}

/// The event of a call that is sent to no target because targets crashed while running it.
const CALL_BLOCKED: &str = "kept_away";
/// The event of a target that crashed while running a call.
const TARGET_CRASHED: &str = "target_ended";
/// What precedes the key of a part of prompts in the field `suspect`.
const SUSPECT_PART: &str = "part ";

/// The event of a call that was refused because the targets of its service were at their rate limits.
const TARGETS_AT_LIMIT: &str = "at_limit";
/// The event of a target that reported a new rate limit.
const TARGET_RATE_LIMIT: &str = "target_limit";

/// A log line of a request, or of a target that its call could not use.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The time of the event by the clock of the node, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The node that wrote the line.
    pub node: String,
    /// The name of the event.
    pub event: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        // The platform may prefix the line with its own timestamp and name.
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        Some(Self {
            at_ms: fields.remove("at_ms")?.as_u64()?,
            node: fields.remove("node")?.as_str()?.to_owned(),
            event: fields.remove("event")?.as_str()?.to_owned(),
            fields,
        })
    }

    fn text_field(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn number_field(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// The log lines with the id `id` from all files, by time. Two kinds of lines with other ids are included:
/// - if the call was blocked because it crashes targets: the crashes under other attempts of the same call, which the
///   caller sent under other ids and which have the same fingerprint (the field `print`), or under calls with the same part
///   in their prompts (the field `parts`), if that is what was blocked,
/// - if it was refused at the rate limits: the last limit that each target of the service had reported by then.
///
/// # Errors
/// If a file cannot be read. Lines that are not log events are skipped.
pub fn request_lines(id: &str, files: &[PathBuf]) -> Result<Vec<LogLine>, UnreadableLog> {
    let read = |path: &PathBuf| {
        fs::read_to_string(path).map_err(|cause| UnreadableLog {
            path: path.display().to_string(),
            cause,
        })
    };
    let texts: Vec<String> = files.iter().map(read).collect::<Result<_, _>>()?;
    let lines_where = |text: &str, is_wanted: &dyn Fn(&LogLine) -> bool| -> Vec<LogLine> {
        let all_lines = texts.iter().flat_map(|text| text.lines());
        let lines = all_lines
            .filter(|line| line.contains(text))
            .filter_map(LogLine::parse);
        lines.filter(|line| is_wanted(line)).collect()
    };
    let lines_with = |value: &str, field: &str| lines_where(value, &|line| line.text_field(field) == value);
    let mut lines = lines_with(id, "id");
    let call_blocked = lines.iter().find(|line| line.event == CALL_BLOCKED);
    if let Some(blocked) = call_blocked {
        let crashes = match blocked.text_field("suspect").strip_prefix(SUSPECT_PART) {
            Some(part) => lines_where(part, &|line| {
                line.text_field("parts").split(',').any(|known| known == part)
            }),
            None => lines_with(blocked.text_field("print"), "print"),
        };
        let crashes = crashes.into_iter();
        lines.extend(crashes.filter(|line| line.event == TARGET_CRASHED && line.text_field("id") != id));
    }
    let targets_at_limit = lines.iter().find(|line| line.event == TARGETS_AT_LIMIT);
    if let Some((service, at_ms)) =
        targets_at_limit.map(|line| (line.text_field("service").to_owned(), line.at_ms))
    {
        let limit_lines = lines_with(&service, "service").into_iter();
        let earlier = limit_lines.filter(|line| line.event == TARGET_RATE_LIMIT && line.at_ms <= at_ms);
        let mut latest_by_target: BTreeMap<String, LogLine> = BTreeMap::new();
        for line in earlier {
            let is_newer = latest_by_target
                .get(line.text_field("target"))
                .is_none_or(|latest| latest.at_ms <= line.at_ms);
            if is_newer {
                latest_by_target.insert(line.text_field("target").to_owned(), line);
            }
        }
        let latest_limits = latest_by_target
            .into_values()
            .filter(|line| line.text_field("id") != id);
        lines.extend(latest_limits);
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

/// A summary of the request's outcome in one sentence.
pub fn describe_outcome(lines: &[LogLine]) -> String {
    let Some(ended) = lines.iter().rev().find(|line| line.event == "ended") else {
        return "its outcome was not logged: the process exited before, or the line was dropped".to_owned();
    };
    let status = ended.number_field("status");
    let took_ms = ended.number_field("took_ms");
    match ended.text_field("reason") {
        "" => format!(
            "answered by a target with status {status} after {took_ms} ms{}",
            slowest_stage(lines)
        ),
        reason => {
            let step = prefixed(" at ", ended.text_field("step"));
            let peer = prefixed(" by ", ended.text_field("peer"));
            let verdict = match ended.text_field("verdict") {
                "not_run" => "no part of it ran",
                _ => "it ran or may have run",
            };
            let retry_after = match ended.number_field("come_back_ms") {
                0 => String::new(),
                ms => format!("; the caller was told to retry after {ms} ms"),
            };
            format!(
                "{reason}{step}{peer} after {took_ms} ms; {verdict}{retry_after}{}{}",
                slowest_stage(lines),
                crashed_targets(lines) + &rate_limited_targets(lines)
            )
        }
    }
}

fn prefixed(prefix: &str, text: &str) -> String {
    if text.is_empty() {
        String::new()
    } else {
        format!("{prefix}{text}")
    }
}

/// The targets that crashed while running this attempt, other attempts of the same call, or calls with the same blocked part
/// of a prompt. Each attempt is one send of the call by its caller.
fn crashed_targets(lines: &[LogLine]) -> String {
    let crashes = lines.iter().filter(|line| line.event == TARGET_CRASHED);
    let ids: BTreeSet<&str> = crashes.map(|line| line.text_field("target")).collect();
    if ids.is_empty() {
        return String::new();
    }
    let ids: Vec<&str> = ids.into_iter().collect();
    format!(
        "; targets that crashed under the same call or part: {}",
        ids.join(", ")
    )
}

/// The targets that reported a rate limit, with their limits in calls per second.
fn rate_limited_targets(lines: &[LogLine]) -> String {
    let limits = lines.iter().filter(|line| line.event == TARGET_RATE_LIMIT);
    let describe = |line: &LogLine| {
        let calls_per_s = line.fields.get("per_s").and_then(Value::as_f64)?;
        Some(format!("{} to {calls_per_s}", line.text_field("target")))
    };
    let limits: Vec<String> = limits.filter_map(describe).collect();
    if limits.is_empty() {
        return String::new();
    }
    format!(
        "; rate limits of targets, in calls per second: {}",
        limits.join(", ")
    )
}

/// The stage with the longest duration; empty if no stage ran. The field `stage` of a log line is the index of the
/// stage in the route, and `service` is the name of its service.
fn slowest_stage(lines: &[LogLine]) -> String {
    let stages = lines.iter().filter(|line| line.event == "stage");
    let slowest = stages.max_by_key(|line| line.number_field("took_ms"));
    slowest.map_or(String::new(), |line| {
        format!(
            "; the slowest stage was {} ({}) with {} ms",
            line.number_field("stage"),
            line.text_field("service"),
            line.number_field("took_ms")
        )
    })
}
