//! Logging to standard error, one line per record, at the level that `LOG_LEVEL` sets.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Writes each record as one line.
struct LineLogger;

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("rudderreel")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let target = record.target().trim_start_matches("rudderreel_core::");
            // Standard error is unbuffered: formatting directly into it would make a system call for each part.
            let line = format!(
                "{}.{:03} {} {}: {}\n",
                now.as_secs(),
                now.subsec_millis(),
                record.level(),
                target,
                record.args()
            );
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Starts logging. If `LOG_LEVEL` is not set or not a level, the level is `info`.
pub fn start() {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(LevelFilter::Info);
    if log::set_logger(&LineLogger).is_ok() {
        log::set_max_level(level);
    }
}
