//! The record of a run: what was sent, answered and run, by time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_ms: u64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_ms: now_ms(),
        })
    }

    pub fn line(&self, who: &str, text: &str) {
        self.line_at(now_ms(), who, text);
    }

    pub fn line_at(&self, at_ms: u64, who: &str, text: &str) {
        let since = at_ms.saturating_sub(self.started_ms);
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{since:>6} ms  {who:<10} {text}");
    }
}
