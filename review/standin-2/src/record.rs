//! The record of a run: what was sent, answered and run.

use std::{cell::RefCell, fs::File, io::Write, rc::Rc, time::Instant};

/// Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Rc<RefCell<Option<File>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            file: Rc::default(),
        }
    }
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let record = Self::default();
        *record.file.borrow_mut() = Some(File::create(path)?);
        Ok(record)
    }

    /// Returns the milliseconds since the run began.
    pub fn ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        if let Some(file) = &mut *self.file.borrow_mut() {
            let _ = writeln!(file, "{:9.3} {text}", ms as f64 / 1_000.0);
        }
    }
}
