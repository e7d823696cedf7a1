//! Parses the command line.

mod spec;

use std::{env, path::PathBuf, time::Duration};

use cli::TryOptions;
use fakes::FaultLevel;
use getopts::{Matches, Options};
use load::Policy;
use model::{DomainId, NodeId};
use node::api::RecallTarget;

use self::spec::{CommandSpec, OPTIONS};
use crate::{explain_run::ExplainOptions, load_run::LoadOptions};

/// The parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    /// The URL of the node to call; empty if none was given.
    pub(crate) node: String,
    /// The operators' token; empty if none was given.
    pub(crate) token: String,
    /// Whether to print JSON.
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Check {
        dir: PathBuf,
    },
    Try {
        dir: PathBuf,
        options: TryOptions,
        log: bool,
    },
    Load(LoadOptions),
    Explain(ExplainOptions),
    Publish {
        dir: PathBuf,
        dry_run: bool,
    },
    Status {
        name: Option<String>,
    },
    Cancel {
        name: String,
    },
    Recalls,
    Recall {
        target: RecallTarget,
    },
    Lift {
        target: RecallTarget,
    },
    Drain {
        node: NodeId,
    },
    Evacuate {
        domain: DomainId,
        undo: bool,
    },
    Dump,
}

/// The result of parsing.
#[derive(Clone, Debug)]
pub(crate) enum Parsed {
    /// A text to print, such as the help.
    Text(String),
    /// A command to run.
    Run(Box<Args>),
}

/// An error in the command line.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
pub(crate) enum UsageError {
    #[error("no command; `lacewing --help` lists them")]
    NoCommand,
    #[error("`{0}` is no command; `lacewing --help` lists them")]
    UnknownCommand(String),
    #[error("{0}; see `lacewing --help`")]
    BadOption(String),
    #[error("--{option} is no option of `{command}`; see `lacewing help {command}`")]
    WrongOption {
        option: &'static str,
        command: &'static str,
    },
    #[error("usage: lacewing {command} {args}; see `lacewing help {command}`")]
    WrongArguments {
        command: &'static str,
        args: &'static str,
    },
    #[error("--{option}: `{value}` is not {expected}")]
    BadValue {
        option: &'static str,
        value: String,
        expected: &'static str,
    },
    #[error("`{value}` is not {expected}")]
    BadArgument {
        value: String,
        expected: &'static str,
    },
}

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// Returns an error if a command, option or argument is unknown, missing or invalid.
pub(crate) fn parse(arguments: &[String]) -> Result<Parsed, UsageError> {
    let matches = options()
        .parse(arguments)
        .map_err(|e| UsageError::BadOption(e.to_string()))?;
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Parsed::Text(format!("lacewing {version}\n")));
    }
    let wants_help = matches.opt_present("help");
    let Some(name) = matches.free.first() else {
        return if wants_help {
            Ok(Parsed::Text(spec::general_help()))
        } else {
            Err(UsageError::NoCommand)
        };
    };
    let command = find(name)?;
    if wants_help {
        return Ok(Parsed::Text(spec::command_help(command)));
    }
    let args: Vec<&str> = matches.free[1..].iter().map(String::as_str).collect();
    check_usage(command, &matches, &args)?;
    if command.name == "help" {
        return help(&args);
    }
    parse_args(command, &matches, &args)
}

fn options() -> Options {
    let mut opts = Options::new();
    for option in &OPTIONS {
        let short = if option.name == "help" { "h" } else { "" };
        if option.hint.is_empty() {
            opts.optflag(short, option.name, option.about);
        } else {
            opts.optopt(short, option.name, option.about, option.hint);
        }
    }
    opts.optflag("V", "version", "show the version");
    opts
}

fn find(name: &str) -> Result<&'static CommandSpec, UsageError> {
    spec::command(name).ok_or_else(|| UsageError::UnknownCommand(name.to_owned()))
}

fn help(args: &[&str]) -> Result<Parsed, UsageError> {
    let text = match args {
        [name] => spec::command_help(find(name)?),
        _ => spec::general_help(),
    };
    Ok(Parsed::Text(text))
}

/// Checks that the command takes the given options and number of arguments.
fn check_usage(command: &CommandSpec, matches: &Matches, args: &[&str]) -> Result<(), UsageError> {
    let is_wrong = |option: &&spec::OptionSpec| {
        matches.opt_present(option.name) && !command.options.contains(&option.name)
    };
    let name = command.name;
    if let Some(option) = OPTIONS.iter().find(is_wrong) {
        return Err(UsageError::WrongOption {
            option: option.name,
            command: name,
        });
    }
    let (min, max) = command.count;
    if args.len() < min || args.len() > max {
        return Err(UsageError::WrongArguments {
            command: name,
            args: command.args,
        });
    }
    Ok(())
}

/// Reads the settings that all commands share, and the command.
fn parse_args(
    command: &CommandSpec,
    matches: &Matches,
    args: &[&str],
) -> Result<Parsed, UsageError> {
    let setting = |flag: &str, variable: &str| {
        let value = matches.opt_str(flag).or_else(|| env::var(variable).ok());
        value.unwrap_or_default()
    };
    let mut node = setting("node", "LACEWING_NODE");
    if let ("dump", [address]) = (command.name, args) {
        (*address).clone_into(&mut node);
    }
    Ok(Parsed::Run(Box::new(Args {
        node: with_scheme(&node),
        token: setting("operator-token", "LACEWING_OPERATOR_TOKEN"),
        json: matches.opt_present("json"),
        command: parse_command(command, matches, args)?,
    })))
}

/// Adds `http://` to an address without a scheme.
fn with_scheme(node: &str) -> String {
    if node.is_empty() || node.contains("://") {
        node.to_owned()
    } else {
        format!("http://{node}")
    }
}

/// Reads the arguments and options of a command.
fn parse_command(
    command: &CommandSpec,
    matches: &Matches,
    args: &[&str],
) -> Result<Command, UsageError> {
    let first = || args.first().copied().unwrap_or_default();
    Ok(match command.name {
        "check" => Command::Check {
            dir: first().into(),
        },
        "try" => Command::Try {
            dir: first().into(),
            options: try_options(matches)?,
            log: matches.opt_present("log"),
        },
        "load" => Command::Load(load_options(matches)?),
        "explain" => Command::Explain(ExplainOptions {
            logs: args.iter().map(PathBuf::from).collect(),
            window: match number(matches, "window")? {
                None => DEFAULT_WINDOW,
                Some(0) => return Err(bad_value("window", "0", "a whole number above 0")),
                Some(seconds) => Duration::from_secs(seconds),
            },
        }),
        "publish" => Command::Publish {
            dir: first().into(),
            dry_run: matches.opt_present("dry-run"),
        },
        "status" => Command::Status {
            name: args.first().map(|name| (*name).to_owned()),
        },
        "cancel" => Command::Cancel {
            name: first().to_owned(),
        },
        "recall" if args.is_empty() => Command::Recalls,
        "recall" => Command::Recall {
            target: target(args)?,
        },
        "lift" => Command::Lift {
            target: target(args)?,
        },
        "drain" => Command::Drain {
            node: argument(first(), "a node's number, such as n3")?,
        },
        "evacuate" => Command::Evacuate {
            domain: argument(first(), "a failure domain's name")?,
            undo: matches.opt_present("undo"),
        },
        "dump" => Command::Dump,
        other => return Err(UsageError::UnknownCommand(other.to_owned())),
    })
}

/// Parses a recall target, given either as two arguments or as one such as `worker/w7`.
fn target(args: &[&str]) -> Result<RecallTarget, UsageError> {
    argument(
        &args.join("/"),
        "batch NAME, worker wN or setting SERVICE@VERSION",
    )
}

/// Parses an argument. `expected` describes valid values in the error message.
fn argument<T: std::str::FromStr>(text: &str, expected: &'static str) -> Result<T, UsageError> {
    text.parse().map_err(|_| UsageError::BadArgument {
        value: text.replace('/', " "),
        expected,
    })
}

fn try_options(matches: &Matches) -> Result<TryOptions, UsageError> {
    let defaults = TryOptions::default();
    let faults = match matches.opt_str("faults").as_deref() {
        None | Some("none") => FaultLevel::None,
        Some("some") => FaultLevel::Some,
        Some("many") => FaultLevel::Many,
        Some(other) => return Err(bad_value("faults", other, "none, some or many")),
    };
    let workers = number(matches, "workers")?.unwrap_or(defaults.workers);
    if !(1..=MAX_WORKERS).contains(&workers) {
        let value = workers.to_string();
        return Err(bad_value("workers", &value, "between 1 and 2000"));
    }
    Ok(TryOptions {
        seed: number(matches, "seed")?.unwrap_or(defaults.seed),
        workers,
        faults,
    })
}

fn load_options(matches: &Matches) -> Result<LoadOptions, UsageError> {
    let defaults = LoadOptions::default();
    let text_of = |name: &'static str| matches.opt_str(name);
    let factors = match text_of("factors") {
        None => defaults.factors,
        Some(text) => text
            .split(',')
            .map(|part| part.trim().parse().ok())
            .map(|factor| factor.filter(|factor| (MIN_FACTOR..=MAX_FACTOR).contains(factor)))
            .collect::<Option<Vec<f64>>>()
            .ok_or_else(|| bad_value("factors", &text, "a list of numbers from 0.01 to 20"))?,
    };
    let policies = match text_of("policies") {
        None => defaults.policies,
        Some(text) => text
            .split(',')
            .map(|part| part.trim().parse::<Policy>())
            .collect::<Result<Vec<Policy>, _>>()
            .map_err(|_| bad_value("policies", &text, "a list of policies"))?,
    };
    let bounded = |name, default: u64, max: u64| match number::<u64>(matches, name)? {
        None => Ok(default),
        Some(n) if (1..=max).contains(&n) => Ok(n),
        Some(n) => Err(bad_value(name, &n.to_string(), "a whole number in range")),
    };
    let shape = match text_of("shape") {
        None => defaults.shape,
        Some(text) => text
            .parse()
            .map_err(|_| bad_value("shape", &text, "desk or large"))?,
    };
    let workers = match number::<usize>(matches, "workers")? {
        None => None,
        Some(n) if (1..=MAX_LOAD_WORKERS).contains(&n) => Some(n),
        Some(n) => Err(bad_value(
            "workers",
            &n.to_string(),
            "a whole number in range",
        ))?,
    };
    let span = |name, default: Duration| match text_of(name) {
        None => Ok(default),
        Some(_) => bounded(name, 0, MAX_OUTAGE_MS).map(Duration::from_millis),
    };
    Ok(LoadOptions {
        seed: number(matches, "seed")?.unwrap_or(defaults.seed),
        seeds: bounded("seeds", defaults.seeds, 1_000)?,
        shape,
        workers,
        factors,
        seconds: bounded("seconds", defaults.seconds, 600)?,
        policies,
        lost_workers: number(matches, "lost")?.unwrap_or(0),
        outage: span("outage", defaults.outage)?,
        slow_table: span("slow-table", defaults.slow_table)?,
        restart: matches.opt_present("restart"),
        recorded: matches.opt_str("recorded").map(PathBuf::from),
        record: matches.opt_str("record").map(PathBuf::from),
        plot: matches.opt_str("plot").map(PathBuf::from),
    })
}

/// The window of the report of `explain` if none is given.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);

/// The smallest factor of a load.
const MIN_FACTOR: f64 = 0.01;
/// The largest factor of a load.
const MAX_FACTOR: f64 = 20.0;

/// The largest number of workers of a load.
const MAX_LOAD_WORKERS: usize = 2_000;

/// The longest time for which the table is away or slow in a load, in milliseconds.
const MAX_OUTAGE_MS: u64 = 60_000;

/// The largest number of workers of a simulated cell.
const MAX_WORKERS: u32 = 2_000;

/// Returns the number given for an option, if the option was given.
fn number<T: std::str::FromStr>(
    matches: &Matches,
    option: &'static str,
) -> Result<Option<T>, UsageError> {
    let Some(text) = matches.opt_str(option) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| bad_value(option, &text, "a whole number in range"))
}

fn bad_value(option: &'static str, value: &str, expected: &'static str) -> UsageError {
    UsageError::BadValue {
        option,
        value: value.to_owned(),
        expected,
    }
}
