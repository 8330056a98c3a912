//! The record of a run: what was sent, answered and run, line by line.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use lagoondyke_standin::time::monotonic_ms;

/// A log whose times count from its creation.
#[derive(Debug)]
pub struct Record {
    file: RefCell<BufWriter<File>>,
    start: u64,
}

impl Record {
    /// Creates the file, or replaces it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = RefCell::new(BufWriter::new(File::create(path)?));
        Ok(Self { file, start: monotonic_ms() })
    }

    /// Milliseconds since the creation of the record.
    pub fn now(&self) -> u64 {
        monotonic_ms() - self.start
    }

    /// Appends a line with the present time.
    pub fn add(&self, line: impl AsRef<str>) {
        let mut file = self.file.borrow_mut();
        let _ = writeln!(file, "{:>7} {}", self.now(), line.as_ref());
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        let _ = self.file.borrow_mut().flush();
    }
}
