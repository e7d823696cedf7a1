//! The command line's words.

use std::{env, path::PathBuf};

use cli::TryOptions;
use fakes::FaultLevel;
use getopts::{Matches, Options};

const USAGE: &str = "\
lacewing: runs unlike work on one shared cluster

Usage: lacewing [options] COMMAND

Commands:
  check DIR       check the operator files in DIR and below it
  try DIR         run them on an embedded cell, on virtual time
  publish DIR     put them in force and submit their batches and jobs
  status [NAME]   show what became of units of work
  cancel NAME     cancel a unit of work
  dump            show a node's state as JSON
";

/// What to do, and where.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    pub(crate) node: String,
    pub(crate) token: String,
    pub(crate) command: Command,
}

/// What to do.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Check { dir: PathBuf },
    Try { dir: PathBuf, options: TryOptions },
    Publish { dir: PathBuf },
    Status { name: Option<String> },
    Cancel { name: String },
    Dump,
}

/// The outcome of parsing.
#[derive(Clone, Debug)]
pub(crate) enum Parsed {
    /// A text to print, such as the help.
    Text(String),
    /// Something to do.
    Run(Args),
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("", "node", "a node's address (LACEWING_NODE)", "URL");
    opts.optopt(
        "",
        "operator-token",
        "the operators' token (LACEWING_OPERATOR_TOKEN)",
        "TOKEN",
    );
    opts.optopt(
        "",
        "seed",
        "try: what all that is random depends on (1)",
        "N",
    );
    opts.optopt("", "workers", "try: how many workers there are (12)", "N");
    opts.optopt(
        "",
        "faults",
        "try: how many faults there are (none)",
        "none|some|many",
    );
    opts.optflag("h", "help", "print this help");
    opts.optflag("V", "version", "print the version");
    opts
}

/// Reads the words after the program's name.
pub(crate) fn parse(words: &[String]) -> Result<Parsed, String> {
    let opts = options();
    let matches = opts.parse(words).map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        return Ok(Parsed::Text(opts.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Parsed::Text(format!(
            "lacewing {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let setting = |flag: &str, variable: &str| {
        let value = matches.opt_str(flag).or_else(|| env::var(variable).ok());
        value.unwrap_or_default()
    };
    Ok(Parsed::Run(Args {
        node: setting("node", "LACEWING_NODE"),
        token: setting("operator-token", "LACEWING_OPERATOR_TOKEN"),
        command: command(&matches)?,
    }))
}

fn command(matches: &Matches) -> Result<Command, String> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words[..] {
        ["check", dir] => Ok(Command::Check { dir: dir.into() }),
        ["try", dir] => Ok(Command::Try {
            dir: dir.into(),
            options: try_options(matches)?,
        }),
        ["publish", dir] => Ok(Command::Publish { dir: dir.into() }),
        ["status"] => Ok(Command::Status { name: None }),
        ["status", name] => Ok(Command::Status {
            name: Some(name.to_owned()),
        }),
        ["cancel", name] => Ok(Command::Cancel {
            name: name.to_owned(),
        }),
        ["dump"] => Ok(Command::Dump),
        [] => Err("no command".to_owned()),
        [word, ..] => Err(format!(
            "`{word}` is no command, or has too few or too many words"
        )),
    }
}

fn try_options(matches: &Matches) -> Result<TryOptions, String> {
    let defaults = TryOptions::default();
    let faults = match matches.opt_str("faults").as_deref() {
        None | Some("none") => FaultLevel::None,
        Some("some") => FaultLevel::Some,
        Some("many") => FaultLevel::Many,
        Some(other) => return Err(format!("--faults: `{other}` is not none, some or many")),
    };
    Ok(TryOptions {
        seed: number(matches, "seed")?.unwrap_or(defaults.seed),
        workers: number(matches, "workers")?.unwrap_or(defaults.workers),
        faults,
    })
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, String> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| format!("--{name}: `{text}` is not a number in range"))
}
