//! `lacewing`: the operator's command line.

mod args;
mod client;

use std::{env, path::Path, process::ExitCode};

use cli::{TryOptions, collect, try_files};
use model::Verdict;
use node::api::{OperatorReq, OperatorResp, Submitter};

use crate::{
    args::{Args, Command, Parsed},
    client::Client,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNCERTAIN: u8 = 3;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let words: Vec<String> = env::args().skip(1).collect();
    match args::parse(&words) {
        Ok(Parsed::Text(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Parsed::Run(args)) => run(&args),
        Err(message) => {
            eprintln!("lacewing: {message}");
            eprintln!("Try `lacewing --help`.");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(args: &Args) -> ExitCode {
    match &args.command {
        Command::Check { dir } => check(dir),
        Command::Try { dir, options } => try_dir(dir, *options),
        Command::Publish { dir } => publish(args, dir),
        Command::Status { name } => {
            let name = name.clone();
            call(args, &OperatorReq::Status { name })
        }
        Command::Cancel { name } => {
            let name = name.clone();
            let by = submitter();
            call(args, &OperatorReq::Cancel { by, name })
        }
        Command::Dump => match Client::new(args).dump() {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(e) => failed(&e.to_string(), EXIT_FAILED),
        },
    }
}

fn check(dir: &Path) -> ExitCode {
    let files = match collect(dir) {
        Ok(files) => files,
        Err(e) => return failed(&e.to_string(), EXIT_USAGE),
    };
    let sources: Vec<model::SourceFile<'_>> = files
        .iter()
        .map(|file| model::SourceFile {
            path: &file.path,
            text: &file.text,
        })
        .collect();
    match model::Catalog::parse(&sources) {
        Ok(catalog) => {
            println!(
                "{} files, {} units: no fault found",
                files.len(),
                catalog.units.len()
            );
            ExitCode::SUCCESS
        }
        Err(e) => failed(&e.to_string(), EXIT_USAGE),
    }
}

fn try_dir(dir: &Path, options: TryOptions) -> ExitCode {
    let files = match collect(dir) {
        Ok(files) => files,
        Err(e) => return failed(&e.to_string(), EXIT_USAGE),
    };
    let report = try_files(&files, options);
    print!("{report}");
    if report.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    }
}

fn publish(args: &Args, dir: &Path) -> ExitCode {
    let files = match collect(dir) {
        Ok(files) => files,
        Err(e) => return failed(&e.to_string(), EXIT_USAGE),
    };
    let req = OperatorReq::Publish {
        by: submitter(),
        base: None,
        files,
        dry_run: false,
    };
    call(args, &req)
}

fn submitter() -> Submitter {
    Submitter {
        id: String::new(),
        author: env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
    }
}

fn call(args: &Args, req: &OperatorReq) -> ExitCode {
    match Client::new(args).operator(req) {
        Ok(OperatorResp::Done { message, .. }) => {
            println!("{message}");
            ExitCode::SUCCESS
        }
        Ok(OperatorResp::Status(units)) => {
            for unit in &units {
                println!("{}", cli::unit_line(unit));
            }
            ExitCode::SUCCESS
        }
        Ok(
            resp @ (OperatorResp::Changes { .. }
            | OperatorResp::Recalls(_)
            | OperatorResp::InForce { .. }),
        ) => {
            println!("{resp:?}");
            ExitCode::SUCCESS
        }
        Ok(OperatorResp::Failed { verdict, message }) => failed(&message, exit_code(verdict)),
        Err(e) => failed(&e.to_string(), exit_code(e.verdict())),
    }
}

fn exit_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::MayHaveRun => EXIT_UNCERTAIN,
        Verdict::NotRun | Verdict::Ran => EXIT_FAILED,
    }
}

fn failed(message: &str, code: u8) -> ExitCode {
    eprintln!("lacewing: {message}");
    ExitCode::from(code)
}
