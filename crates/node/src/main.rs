//! `lacewingrouter`: the daemon that runs on each entry VM.

use std::{env, process::ExitCode};

use node::{CommandLine, parse_settings, run_daemon};

/// The exit code for a failure of the daemon.
const EXIT_FAILED: u8 = 1;
/// The exit code for missing or wrong settings.
const EXIT_USAGE: u8 = 2;

/// The first argument that runs a node on the users' platform, which has settings of its own.
const PLATFORM_COMMAND: &str = "entry";

fn main() -> ExitCode {
    if env::args().nth(1).as_deref() == Some(PLATFORM_COMMAND) {
        return match platform::run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("lacewingrouter: {e}");
                ExitCode::from(EXIT_FAILED)
            }
        };
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args: Vec<String> = env::args().skip(1).collect();
    match parse_settings(&args) {
        Ok(CommandLine::Text(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(CommandLine::Run(settings)) => match run_daemon(&settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("lacewingrouter: {e}");
                ExitCode::from(EXIT_FAILED)
            }
        },
        Err(e) => {
            for error in &e.errors {
                eprintln!("lacewingrouter: {error}");
            }
            eprintln!("Try `lacewingrouter --help`.");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
