//! The record of what was sent, answered and run.

use std::{
    cell::RefCell,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
};

use tokio::time::Instant;

pub struct Record {
    out: RefCell<BufWriter<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            out: RefCell::new(BufWriter::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut out = self.out.borrow_mut();
        let _ = writeln!(out, "{ms:>7} {text}");
    }

    /// Like [`line`](Self::line), also on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.out.borrow_mut().flush();
    }
}
