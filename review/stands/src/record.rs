//! The record of a run: lines that begin with the time in milliseconds.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

pub struct Log(Mutex<File>);

impl Log {
    pub fn open(path: impl AsRef<Path>) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Mutex::new(file)))
    }

    pub fn write(&self, line: &str) {
        let text = format!("{} {line}\n", now_ms());
        // A run whose record is incomplete fails its own checks.
        let _ = self.0.lock().unwrap().write_all(text.as_bytes());
    }
}
