//! The file format of traces: JSON lines. The first line is the header with the expected outcomes; the other
//! lines are arrivals, as arrays of numbers, and faults.

use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// The measure that an expected outcome bounds.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// The share of requests completed before their deadline.
    Attainment,
    /// The share of all stage work spent on requests not completed before their deadline.
    Wasted,
}

/// The bound of an expected outcome.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The measure is at least this value.
    #[serde(rename = "least")]
    AtLeast(f64),
    /// The measure is at most this value.
    #[serde(rename = "most")]
    AtMost(f64),
}

/// An outcome that a replay of the trace must reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectedOutcome {
    /// The bounded measure.
    pub measure: Measure,
    /// Restricts the measure to requests of this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Restricts the measure to requests of this organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// The bound of the measure.
    pub bound: Bound,
}

/// The header of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// The name of the trace.
    #[serde(rename = "trace")]
    pub name: String,
    /// The deployment that provides configuration and targets: a directory below `settings/`.
    pub deployment: String,
    /// The seed from which the trace was generated, or zero for a recorded trace.
    pub seed: u64,
    /// The age of the load that targets report, in milliseconds; without it they report no load.
    pub report_lag_ms: Option<u64>,
    /// Organisations; arrivals refer to them by index.
    pub organisations: Vec<String>,
    /// Pipelines; arrivals refer to them by index.
    pub pipelines: Vec<String>,
    /// The outcomes that must hold under the default policy.
    pub outcomes: Vec<ExpectedOutcome>,
}

/// The arrival of a request. In the file it is an array of four numbers, in the order of the fields.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct Arrival {
    /// Milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The index of the organisation in [`TraceHeader::organisations`].
    pub organisation: usize,
    /// The index of the pipeline in [`TraceHeader::pipelines`].
    pub pipeline: usize,
    /// The deadline, in milliseconds from the arrival.
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

/// A fault of targets or of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All targets of a service become slower.
    #[serde(rename = "slow")]
    SlowService {
        /// The service.
        service: String,
        /// The factor applied to service times.
        factor: f64,
    },
    /// One target becomes slower and still responds to health checks.
    SlowTarget {
        /// The id of the target.
        target: u32,
        /// The factor applied to service times.
        factor: f64,
    },
    /// The targets of an availability zone stop responding.
    ZoneLost {
        /// The zone.
        zone: String,
    },
    /// Every call to a service fails with a lost connection.
    #[serde(rename = "failing")]
    FailingService {
        /// The service.
        service: String,
    },
    /// The configuration service is down; the node keeps using the configuration it has.
    ConfigurationDown,
}

/// A fault and the time at which it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The kind of the fault.
    #[serde(rename = "fault")]
    pub kind: FaultKind,
}

/// A trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The header.
    pub header: TraceHeader,
    /// Arrivals, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// Faults, ordered by time.
    pub faults: Vec<Fault>,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum TraceLine {
    Arrival(Arrival),
    Fault(Fault),
}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// # Errors
    /// When the file cannot be read, when a line is invalid (the error names its number), or when an arrival
    /// refers to an organisation or pipeline that the header does not list.
    pub fn load(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let mut lines = text.lines().enumerate();
        let parse_error = |index: usize, error: &serde_json::Error| {
            io::Error::other(format!("{}:{}: {error}", path.display(), index + 1))
        };
        let (_, header) = lines
            .next()
            .ok_or_else(|| io::Error::other("the trace file is empty"))?;
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
                "{}: arrival {index}: the header does not list its organisation or pipeline",
                path.display()
            ))),
            None => Ok(()),
        }
    }

    /// Formats the trace as JSON lines.
    ///
    /// # Errors
    /// When the trace cannot be serialised.
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
