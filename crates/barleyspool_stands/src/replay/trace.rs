//! The form of a recorded trace: JSON lines. The first is the head, with the outcomes that have to hold; the
//! others are arrivals, as short arrays, and faults.

use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// What an outcome speaks of.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// The share of requests answered completely before their deadline.
    Attainment,
    /// The share of all stage work spent on requests that were not.
    Wasted,
}

/// Which way an outcome is bounded.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At least this.
    #[serde(rename = "least")]
    AtLeast(f64),
    /// At most this.
    #[serde(rename = "most")]
    AtMost(f64),
}

/// One stated outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectedOutcome {
    /// What it speaks of.
    pub measure: Measure,
    /// Only this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Only this organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// What has to hold.
    pub bound: Bound,
}

/// The head of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Its name.
    #[serde(rename = "trace")]
    pub name: String,
    /// The deployment whose configuration and targets it is for, below `settings/`.
    pub deployment: String,
    /// The seed it was made with, or zero for a recorded one.
    pub seed: u64,
    /// How old the load is that targets report, in milliseconds; nothing is reported without it.
    pub report_lag_ms: Option<u64>,
    /// Organisations, as arrivals number them.
    pub organisations: Vec<String>,
    /// Pipelines, as arrivals number them.
    pub pipelines: Vec<String>,
    /// What has to hold under the default policy.
    pub outcomes: Vec<ExpectedOutcome>,
}

/// One arrival: when, by whom, for what, with how long a deadline. In the file an array of four numbers.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct Arrival {
    /// Milliseconds from the beginning.
    pub at_ms: u64,
    /// The organisation.
    pub organisation: usize,
    /// The pipeline.
    pub pipeline: usize,
    /// The deadline in milliseconds ahead.
    pub deadline_ms: u64,
}

impl From<[u64; 4]> for Arrival {
    fn from([at_ms, organisation, pipeline, deadline_ms]: [u64; 4]) -> Self {
        Self {
            at_ms,
            organisation: organisation as usize,
            pipeline: pipeline as usize,
            deadline_ms,
        }
    }
}

impl From<Arrival> for [u64; 4] {
    fn from(arrival: Arrival) -> Self {
        [
            arrival.at_ms,
            arrival.organisation as u64,
            arrival.pipeline as u64,
            arrival.deadline_ms,
        ]
    }
}

/// What happens to targets or platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Every target of a service takes this many times as long.
    #[serde(rename = "slow")]
    SlowService {
        /// The service.
        service: String,
        /// How many times as long.
        factor: f64,
    },
    /// One target takes this many times as long, and still answers its health check.
    SlowTarget {
        /// The target's number.
        target: u32,
        /// How many times as long.
        factor: f64,
    },
    /// The targets of a zone answer nothing any more.
    ZoneLost {
        /// The zone.
        zone: String,
    },
    /// Every call of a service breaks off.
    #[serde(rename = "failing")]
    FailingService {
        /// The service.
        service: String,
    },
    /// The configuration service is down; the node goes on with what it has.
    ConfigurationDown,
}

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds from the beginning.
    pub at_ms: u64,
    /// What happens.
    #[serde(rename = "fault")]
    pub kind: FaultKind,
}

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Its head.
    pub header: TraceHeader,
    /// Arrivals in order.
    pub arrivals: Vec<Arrival>,
    /// Faults in order.
    pub faults: Vec<Fault>,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum TraceLine {
    Arrival(Arrival),
    Fault(Fault),
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    /// When the file cannot be read, with the line that is not understood.
    pub fn load(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let mut lines = text.lines().enumerate();
        let parse_error = |index: usize, error: &serde_json::Error| {
            io::Error::other(format!("{}:{}: {error}", path.display(), index + 1))
        };
        let (_, header) = lines
            .next()
            .ok_or_else(|| io::Error::other("the trace is empty"))?;
        let header = serde_json::from_str(header).map_err(|error| parse_error(0, &error))?;
        let mut trace = Self {
            header,
            arrivals: Vec::new(),
            faults: Vec::new(),
        };
        for (index, line) in lines {
            match serde_json::from_str(line).map_err(|error| parse_error(index, &error))? {
                TraceLine::Arrival(arrival) => trace.arrivals.push(arrival),
                TraceLine::Fault(fault) => trace.faults.push(fault),
            }
        }
        trace.validate(path)?;
        Ok(trace)
    }

    fn validate(&self, path: &Path) -> io::Result<()> {
        let is_in_range = |arrival: &Arrival| {
            arrival.organisation < self.header.organisations.len()
                && arrival.pipeline < self.header.pipelines.len()
        };
        match self.arrivals.iter().position(|arrival| !is_in_range(arrival)) {
            Some(index) => Err(io::Error::other(format!(
                "{}: arrival {index}: not in the head's lists",
                path.display()
            ))),
            None => Ok(()),
        }
    }

    /// The trace as text.
    ///
    /// # Errors
    /// When it cannot be put into JSON.
    pub fn to_jsonl(&self) -> serde_json::Result<String> {
        let mut lines = vec![serde_json::to_string(&self.header)?];
        for fault in &self.faults {
            lines.push(serde_json::to_string(fault)?);
        }
        for arrival in &self.arrivals {
            lines.push(serde_json::to_string(arrival)?);
        }
        lines.push(String::new());
        Ok(lines.join("\n"))
    }
}
