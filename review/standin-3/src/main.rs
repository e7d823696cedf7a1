//! Runs one scripted case of review 3: `standin-3 CASE DIR`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod http;
mod minion;
mod record;
mod store;
mod world;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, dir] = args.as_slice() else {
        eprintln!("usage: standin-3 CASE DIR");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = PathBuf::from(dir);
    let result = match case.as_str() {
        "large-job" => cases::large_job(&dir, has_trouble),
        "past-times" => cases::past_times(&dir, has_trouble),
        "crash-loop" => cases::crash_loop(&dir, has_trouble),
        "innocent" => cases::innocent(&dir, has_trouble),
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
