//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn add(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms());
        let _ = file.flush();
    }

    /// Adds a line that is also printed.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.add(text);
    }
}
