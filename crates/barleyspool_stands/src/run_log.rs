//! The log of what targets ran: the evidence on which proofs rest.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// What happened to a step at a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// It began to run.
    #[serde(rename = "begin")]
    Started,
    /// It ran to its end.
    #[serde(rename = "end")]
    Completed,
    /// It was cancelled while it ran.
    #[serde(rename = "cut")]
    Cancelled,
    /// It was refused and did not run.
    Refused,
    /// An order was put into effect.
    #[serde(rename = "order")]
    OrderApplied,
}

/// One line of a run log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Unix milliseconds.
    pub at_ms: u64,
    /// The target's number.
    pub target: u32,
    /// The service.
    pub service: String,
    /// What happened.
    pub event: RunEvent,
    /// The caller's key, as it stands in the payload.
    pub key: String,
    /// Whether the step could be run more than once.
    pub repeatable: bool,
    /// The revision of an order.
    #[serde(default)]
    pub revision: u64,
}

/// Appends lines to a file. Each is written at once, so that a killed target loses none.
#[derive(Debug)]
pub struct RunLog {
    file: Option<Mutex<File>>,
}

impl RunLog {
    /// Opens the log of a target in `dir`; without a folder nothing is written.
    ///
    /// # Errors
    /// When the file cannot be opened.
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

    /// Writes a line.
    pub fn write(&self, record: &RunRecord) {
        if let (Some(file), Ok(mut text)) = (&self.file, serde_json::to_string(record)) {
            text.push('\n');
            if let Ok(mut file) = file.lock() {
                // A log that cannot be written shows as a lost run, and the proof fails.
                let _ = file.write_all(text.as_bytes());
            }
        }
    }
}

/// Reads all run logs of a folder.
///
/// # Errors
/// When a file cannot be read or a line is not understood; a last line cut short by a kill is passed over.
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

/// How often each step that may run at most once was begun, by service and key.
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
