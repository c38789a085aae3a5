//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The record of a run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Begins a record in a file.
    ///
    /// # Errors
    /// Returns the error of creating the file.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        // A record that cannot be written does not change the result.
        let _ignored = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}
