//! The record of a case, `record.txt`: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begin: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| {
            eprintln!("record.txt cannot be written: {error}");
            std::process::exit(2)
        });
        let file = Mutex::new(BufWriter::new(file));
        Self { begin: Instant::now(), file }
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} s  {text}", now as f64 / 1_000.0);
        }
    }

    /// Writes a line, and shows it as well.
    pub fn show(&self, text: &str) {
        println!("{:8.3} s  {text}", self.now() as f64 / 1_000.0);
        self.line(text);
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}
