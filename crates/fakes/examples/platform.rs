//! Serves the stand-ins for the platform over HTTP, for runs with real node processes.

use std::{env, process::ExitCode, thread, time::Duration};

use fakes::{FakePlatform, PlatformSpec, serve};
use getopts::{Matches, Options};

fn main() -> ExitCode {
    let mut opts = Options::new();
    opts.optopt("", "listen", "where to listen (127.0.0.1:0)", "ADDR");
    opts.optopt("", "domains", "how many failure domains (3)", "N");
    opts.optopt("", "workers", "how many workers (12)", "N");
    opts.optflag("h", "help", "print this help");
    let args: Vec<String> = env::args().skip(1).collect();
    let run = opts
        .parse(&args)
        .map_err(|e| e.to_string())
        .and_then(|matches| run(&opts, &matches));
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("platform: {message}");
            ExitCode::from(2)
        }
    }
}

fn run(opts: &Options, matches: &Matches) -> Result<(), String> {
    if matches.opt_present("help") {
        print!("{}", opts.usage("usage: platform [options]"));
        return Ok(());
    }
    let defaults = PlatformSpec::default();
    let spec = PlatformSpec {
        domains: number(matches, "domains", defaults.domains)?,
        workers: number(matches, "workers", defaults.workers)?,
        ..defaults
    };
    let listen = matches
        .opt_str("listen")
        .unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let server = serve(&listen, FakePlatform::new(&spec)).map_err(|e| format!("{listen}: {e}"))?;
    println!("listening on http://{}", server.address());
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

fn number(matches: &Matches, name: &str, default: u32) -> Result<u32, String> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: `{text}` is not a number")),
    }
}
