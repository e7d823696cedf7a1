//! Serves the stand-ins for the platform over HTTP, for runs with real node processes.

use std::{env, process::ExitCode, thread, time::Duration};

use fakes::{FakePlatform, PlatformSpec, RunPlan, serve};
use getopts::{Matches, Options};

fn main() -> ExitCode {
    let mut opts = Options::new();
    opts.optopt("", "listen", "where to listen (127.0.0.1:0)", "ADDR");
    opts.optopt("", "domains", "how many failure domains (3)", "N");
    opts.optopt("", "workers", "how many workers (12)", "N");
    opts.optopt("", "regions", "how many regions (3)", "N");
    opts.optopt("", "vm-lag-ms", "how far the VM list lags (2000)", "MS");
    opts.optopt(
        "",
        "task-ms",
        "how long tasks run at the most (20000)",
        "MS",
    );
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
    let task_max = millis(matches, "task-ms", defaults.plan.max)?;
    let spec = PlatformSpec {
        domains: number(matches, "domains", defaults.domains)?,
        workers: number(matches, "workers", defaults.workers)?,
        regions: number(matches, "regions", defaults.regions)?,
        vm_lag: millis(matches, "vm-lag-ms", defaults.vm_lag)?,
        plan: RunPlan {
            min: task_max.min(defaults.plan.min),
            max: task_max,
            ..defaults.plan
        },
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

fn millis(matches: &Matches, name: &str, default: Duration) -> Result<Duration, String> {
    let default = u32::try_from(default.as_millis()).unwrap_or(u32::MAX);
    let ms = number(matches, name, default)?;
    Ok(Duration::from_millis(ms.into()))
}

fn number(matches: &Matches, name: &str, default: u32) -> Result<u32, String> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: `{text}` is not a number")),
    }
}
