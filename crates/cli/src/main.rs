//! `lacewing`: the command line for operators.

mod args;
mod client;
mod exit;
mod explain_run;
mod load_run;
mod print;
mod publish;

use std::{env, path::Path, process::ExitCode};

use cli::{FilesError, TryOptions, collect, try_files};
use model::Catalog;
use node::api::{FileText, OperatorReq, OperatorResp, UnitStatus, parse_files};

use crate::{
    args::{Args, Command, Parsed},
    client::Client,
    exit::{Exit, failed},
    publish::{publish, submitter},
};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let exit = match args::parse(&arguments) {
        Ok(Parsed::Text(text)) => {
            print!("{text}");
            Exit::Done
        }
        Ok(Parsed::Run(args)) => run(&args),
        Err(e) => failed(e, Exit::Usage),
    };
    exit.into()
}

fn run(args: &Args) -> Exit {
    let by = submitter;
    match args.command.clone() {
        Command::Check { dir } => check(&dir, args.json),
        Command::Try { dir, options, log } => try_dir(&dir, options, log, args.json),
        Command::Load(options) => load_run::run(&options, args.json),
        Command::Explain(options) => explain_run::run(&options, args.json),
        Command::Publish { dir, dry_run } => match read_checked(&dir) {
            Ok((files, _)) => publish(&Client::new(args), &files, dry_run, args.json),
            Err(exit) => exit,
        },
        Command::Status { name } => call(args, &OperatorReq::Status { name }),
        Command::Cancel { name } => call(args, &OperatorReq::Cancel { by: by(), name }),
        Command::Recalls => call(args, &OperatorReq::Recalls),
        Command::Recall { target } => {
            let targets = vec![target];
            call(args, &OperatorReq::Recall { by: by(), targets })
        }
        Command::Lift { target } => {
            let targets = vec![target];
            call(args, &OperatorReq::Lift { by: by(), targets })
        }
        Command::Drain { node } => call(args, &OperatorReq::Drain { node }),
        Command::Evacuate { domain, undo } => {
            let by = by();
            call(args, &OperatorReq::Evacuate { by, domain, undo })
        }
        Command::Dump => match Client::new(args).dump() {
            Ok(text) => {
                println!("{text}");
                Exit::Done
            }
            Err(e) => failed(&e, e.exit()),
        },
    }
}

/// Reads the operator files of a folder and checks them. Prints the first error on standard error.
fn read_checked(dir: &Path) -> Result<(Vec<FileText>, Catalog), Exit> {
    let files = collect(dir).map_err(|e: FilesError| failed(e, Exit::Usage))?;
    let catalog = parse_files(&files).map_err(|e| failed(e, Exit::Usage))?;
    Ok((files, catalog))
}

fn check(dir: &Path, json: bool) -> Exit {
    let (files, catalog) = match read_checked(dir) {
        Ok(checked) => checked,
        Err(exit) => return exit,
    };
    if json {
        let units: Vec<_> = catalog.units.into_values().collect();
        return print::json(&units);
    }
    let units = catalog.units.len();
    println!("{} files, {units} units: no fault found", files.len());
    Exit::Done
}

fn try_dir(dir: &Path, options: TryOptions, log: bool, json: bool) -> Exit {
    let files = match read_checked(dir) {
        Ok((files, _)) => files,
        Err(exit) => return exit,
    };
    let report = try_files(&files, options);
    if json {
        print::json(&report);
    } else {
        for line in report.log.iter().filter(|_| log) {
            println!("{line}");
        }
        print!("{report}");
    }
    if report.is_ok() {
        Exit::Done
    } else {
        Exit::Failed
    }
}

/// Sends a call to the node and prints its answer.
fn call(args: &Args, req: &OperatorReq) -> Exit {
    match Client::new(args).operator(req) {
        Ok(OperatorResp::Done { message, .. }) => {
            println!("{message}");
            Exit::Done
        }
        Ok(OperatorResp::Status(units)) => status(args, req, &units),
        Ok(OperatorResp::Recalls(recalls)) if args.json => print::json(&recalls),
        Ok(OperatorResp::Recalls(recalls)) => print::recalls(&recalls),
        Ok(OperatorResp::Failed { verdict, message }) => failed(message, verdict),
        Ok(resp @ (OperatorResp::Changes { .. } | OperatorResp::InForce { .. })) => {
            print::unexpected(&resp)
        }
        Err(e) => failed(&e, e.exit()),
    }
}

/// Prints the status of units. A named unit that does not exist is an error.
fn status(args: &Args, req: &OperatorReq, units: &[UnitStatus]) -> Exit {
    match req {
        OperatorReq::Status { name: Some(name) } if units.is_empty() => {
            let message = format!("there is no unit `{name}`; `lacewing status` lists all");
            failed(message, Exit::Failed)
        }
        _ if args.json => print::json(&units),
        _ => print::units(units),
    }
}
