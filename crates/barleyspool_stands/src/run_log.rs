//! Log of the steps that targets ran. Tests check the guarantees of the system against it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// Event of a step or order at a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// The step started to run.
    #[serde(rename = "begin")]
    Started,
    /// The step ran to completion.
    #[serde(rename = "end")]
    Completed,
    /// The step was cancelled while it ran.
    #[serde(rename = "cut")]
    Cancelled,
    /// The step was refused and did not run.
    Refused,
    /// An order was applied.
    #[serde(rename = "order")]
    OrderApplied,
}

/// One record of a run log, written as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Id of the target.
    pub target: u32,
    /// Service of the target.
    pub service: String,
    /// Event that the record describes.
    pub event: RunEvent,
    /// Key of the request, taken from the payload, or the models of an order.
    pub key: String,
    /// Whether the step may run more than once.
    pub repeatable: bool,
    /// Revision of an order, or zero for a step.
    #[serde(default)]
    pub revision: u64,
}

/// Appends records to a file. Each record is written unbuffered, so that a killed target loses none.
#[derive(Debug)]
pub struct RunLog {
    file: Option<Mutex<File>>,
}

impl RunLog {
    /// Opens the log of a target in `dir`. Without a folder, nothing is logged.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened.
    pub fn open(dir: Option<&Path>, target: u32) -> io::Result<Self> {
        let Some(dir) = dir else {
            return Ok(Self { file: None });
        };
        let path = dir.join(format!("target-{target}.jsonl"));
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Some(Mutex::new(file)),
        })
    }

    /// Appends a record.
    pub fn write(&self, record: &RunRecord) {
        if let (Some(file), Ok(mut text)) = (&self.file, serde_json::to_string(record)) {
            text.push('\n');
            if let Ok(mut file) = file.lock() {
                // A failed write appears as a missing run, which fails the checks on the log.
                let _ = file.write_all(text.as_bytes());
            }
        }
    }
}

/// Reads all run logs of a folder, ordered by time. A last line truncated by a kill is skipped.
///
/// # Errors
/// Returns an error if a file cannot be read or a complete line cannot be parsed.
pub fn read_all(dir: &Path) -> io::Result<Vec<RunRecord>> {
    let mut records = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "jsonl") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        for line in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
            records.push(serde_json::from_str(line).map_err(io::Error::other)?);
        }
    }
    records.sort_by_key(|record: &RunRecord| record.at_ms);
    Ok(records)
}

/// Number of times that each unrepeatable step started, by service and key.
pub fn count_unrepeatable_runs(records: &[RunRecord]) -> BTreeMap<(String, String), u32> {
    let mut runs = BTreeMap::new();
    for record in records
        .iter()
        .filter(|record| record.event == RunEvent::Started && !record.repeatable)
    {
        *runs
            .entry((record.service.clone(), record.key.clone()))
            .or_default() += 1;
    }
    runs
}
