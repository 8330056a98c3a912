//! The record of a run: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { begin: Instant::now(), file })
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let seconds = now as f64 / 1_000.0;
        let _ = writeln!(file, "{seconds:8.3} s  {}", text.as_ref());
    }
}

pub fn sleep(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}
