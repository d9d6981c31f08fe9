//! Structured logs: one JSON object per line on standard error, written only when a state changes.

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;

/// The log levels that the settings accept.
pub const LEVELS: &[&str] = &["error", "warn", "info", "debug"];

/// Writes the logs of this process to standard error, from `level` up. An unknown level means `info`; the settings
/// are validated before.
pub fn init(process: &str, level: &str) {
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc();
    let Ok(sink) = sink else { return };
    let logger = Logger::builder()
        .name(process)
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
