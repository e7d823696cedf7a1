//! `lacewing explain`: shows from the logs of nodes where the time of late jobs went.

use std::{
    fs::File,
    io::{self, BufReader},
    path::{Path, PathBuf},
    time::Duration,
};

use explain::{History, Report, ReportConfig};

use crate::{
    exit::{Exit, failed},
    print,
};

/// The options of the command.
#[derive(Clone, Debug)]
pub(crate) struct ExplainOptions {
    /// The logs to read; `-` is standard input.
    pub(crate) logs: Vec<PathBuf>,
    /// The length of a window of the report.
    pub(crate) window: Duration,
}

/// Runs the command.
pub(crate) fn run(options: &ExplainOptions, json: bool) -> Exit {
    let mut history = History::default();
    for path in &options.logs {
        if let Err(e) = read(&mut history, path) {
            return failed(format_args!("{}: {e}", path.display()), Exit::Usage);
        }
    }
    if history.job_count() == 0 {
        return failed("the logs name no job", Exit::Failed);
    }
    let cfg = ReportConfig {
        window_ms: u64::try_from(options.window.as_millis()).unwrap_or(u64::MAX),
        ..ReportConfig::default()
    };
    let report = Report::new(&history, &cfg);
    if json {
        return print::json(&report);
    }
    print!("{report}");
    Exit::Done
}

fn read(history: &mut History, path: &Path) -> io::Result<()> {
    if path == Path::new("-") {
        history.read(io::stdin().lock())
    } else {
        history.read(BufReader::new(File::open(path)?))
    }
}
