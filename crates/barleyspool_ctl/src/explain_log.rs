//! A request's lines from the logs of several processes, in order, and its cause.

use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::{fs, io};

/// {path}: {cause}
#[derive(Debug, displaydoc::Display)]
pub struct UnreadableLog {
    /// The file.
    pub path: String,
    /// What the operating system said.
    pub cause: io::Error,
}

impl std::error::Error for UnreadableLog {}

/// The event of a call that was kept away from targets.
const CALL_BLOCKED: &str = "kept_away";
/// The event of a target that ended while it had a call.
const TARGET_CRASHED: &str = "target_ended";

/// The event of a call that found no room.
const TARGETS_AT_LIMIT: &str = "at_limit";
/// The event of a target that names another limit than before.
const TARGET_RATE_LIMIT: &str = "target_limit";

/// One line that names a request, or says why a target of it was left out.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, in milliseconds of the Unix epoch by the clock of its node.
    pub at_ms: u64,
    /// The node that wrote it.
    pub node: String,
    /// What happened.
    pub event: String,
    /// Everything else that it says.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        // A platform may put its own time and name before the line.
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

/// The lines that name `id`, from all files, by time; for a call that was kept away from targets also the lines of those that
/// ended under its other tries, which have other ids, and for one that found no room the last word of each target of that service
/// that named a limit before.
///
/// # Errors
/// When a file cannot be read. Lines that are no log lines are passed over.
pub fn request_lines(id: &str, files: &[PathBuf]) -> Result<Vec<LogLine>, UnreadableLog> {
    let read = |path: &PathBuf| {
        fs::read_to_string(path).map_err(|cause| UnreadableLog {
            path: path.display().to_string(),
            cause,
        })
    };
    let texts: Vec<String> = files.iter().map(read).collect::<Result<_, _>>()?;
    let lines_with = |value: &str, field: &str| -> Vec<LogLine> {
        let all_lines = texts.iter().flat_map(|text| text.lines());
        let lines = all_lines
            .filter(|line| line.contains(value))
            .filter_map(LogLine::parse);
        lines.filter(|line| line.text_field(field) == value).collect()
    };
    let mut lines = lines_with(id, "id");
    let call_blocked = lines.iter().find(|line| line.event == CALL_BLOCKED);
    if let Some(fingerprint) = call_blocked.map(|line| line.text_field("print").to_owned()) {
        let same_call = lines_with(&fingerprint, "print").into_iter();
        lines.extend(same_call.filter(|line| line.event == TARGET_CRASHED && line.text_field("id") != id));
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

/// What became of the request, in a sentence.
pub fn describe_outcome(lines: &[LogLine]) -> String {
    let Some(ended) = lines.iter().rev().find(|line| line.event == "ended") else {
        return "its end was not logged: the process ended first, or the line was dropped".to_owned();
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
                "not_run" => "nothing of it ran",
                _ => "it ran or may have run",
            };
            let retry_after = match ended.number_field("come_back_ms") {
                0 => String::new(),
                ms => format!("; it was told to come back after {ms} ms"),
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

/// The targets that ended under this try or others of the same call.
fn crashed_targets(lines: &[LogLine]) -> String {
    let crashes = lines.iter().filter(|line| line.event == TARGET_CRASHED);
    let ids: BTreeSet<&str> = crashes.map(|line| line.text_field("target")).collect();
    if ids.is_empty() {
        return String::new();
    }
    let ids: Vec<&str> = ids.into_iter().collect();
    format!("; targets that ended under the same call: {}", ids.join(", "))
}

/// The targets that limited what they take, and to how many calls a second.
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
        "; targets that limited themselves, in calls a second: {}",
        limits.join(", ")
    )
}

/// The stage that took longest, when stages ran.
fn slowest_stage(lines: &[LogLine]) -> String {
    let stages = lines.iter().filter(|line| line.event == "stage");
    let slowest = stages.max_by_key(|line| line.number_field("took_ms"));
    slowest.map_or(String::new(), |line| {
        format!(
            "; its longest stage was {} ({}) with {} ms",
            line.number_field("stage"),
            line.text_field("service"),
            line.number_field("took_ms")
        )
    })
}
