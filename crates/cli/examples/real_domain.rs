//! Runs the real processes of a cell against the stand-in platform.
//!
//! `measure` runs one failure domain at three sizes and prints the processor time and memory of its nodes as `figure`
//! lines. `faults` kills and stops processes and cuts off the table under load. It then checks the workers' records:
//! no task ran on two workers at the same time, no worker exceeded its capacity, and no task with `repeat = "never"`
//! was started twice. It exits with 1 if a check fails.
//!
//! Build all programs first: `cargo build --release --workspace --bins --examples`.

use std::{
    env, fs,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    thread,
    time::Duration,
};

use serde_json::Value;

/// The operators' token.
const TOKEN: &str = "operators-of-the-run";
/// The number of nodes of a domain at the target size.
const NODES: u32 = 8;
/// The time from the publication of the work to the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// The length of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// The number of clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_S: f64 = 100.0;

type BoxError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let run = match env::args().nth(1).as_deref() {
        Some("measure") => measure(),
        Some("faults") => faults(),
        _ => Err("usage: real_domain measure|faults".into()),
    };
    match run {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("real_domain: {e}");
            ExitCode::from(2)
        }
    }
}

/// The processes of a cell. They are killed when this is dropped.
struct Cell {
    /// The folder of operator files and logs.
    dir: PathBuf,
    platform: Child,
    /// The URL of the platform.
    url: String,
    /// The id, URL and process of each node.
    nodes: Vec<(u32, String, Child)>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.nodes {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = self.platform.kill();
        let _ = self.platform.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the folder of the built programs.
fn program_dir() -> Result<PathBuf, BoxError> {
    let example = env::current_exe()?;
    let dir = example.parent().and_then(Path::parent);
    Ok(dir.ok_or("no folder of programs")?.to_owned())
}

impl Cell {
    /// Starts the platform and the nodes, and spreads the nodes over the domains.
    fn start(domains: u32, workers: u32, nodes: u32) -> Result<Self, BoxError> {
        let program_dir = program_dir()?;
        let mut platform = Command::new(program_dir.join("examples/platform"))
            .args(["--listen", "127.0.0.1:0"])
            .args(["--domains", &domains.to_string()])
            .args(["--workers", &workers.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let out = platform.stdout.take().ok_or("no output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let url = line
            .trim()
            .strip_prefix("listening on ")
            .ok_or("no address")?;
        let dir = env::temp_dir().join(format!("real-domain-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut cell = Self {
            dir,
            url: url.to_owned(),
            platform,
            nodes: Vec::new(),
        };
        for id in 1..=nodes {
            cell.start_node(id, domains)?;
        }
        Ok(cell)
    }

    /// Starts a node, in place of an earlier process with the same id.
    fn start_node(&mut self, id: u32, domains: u32) -> Result<(), BoxError> {
        let domain = (id - 1) % domains + 1;
        let (listen, peer) = (free_address()?, free_address()?);
        let log = fs::File::create(self.dir.join(format!("n{id}.log")))?;
        let child = Command::new(program_dir()?.join("lacewingrouter"))
            .args(["--node-id", &id.to_string()])
            .args(["--region", &format!("r{domain}")])
            .args(["--domain", &format!("d{domain}")])
            .args(["--listen", &listen, "--peer-listen", &peer])
            .args(["--platform", &self.url])
            .args([
                "--operator-token",
                TOKEN,
                "--peer-token",
                "peers-of-the-run",
            ])
            .stderr(log)
            .spawn()?;
        self.nodes.retain(|(other, _, _)| *other != id);
        self.nodes.push((id, format!("http://{listen}"), child));
        Ok(())
    }

    /// Returns the id, URL and process of a node.
    fn node(&mut self, id: u32) -> Result<&mut (u32, String, Child), BoxError> {
        let mut nodes = self.nodes.iter_mut();
        nodes
            .find(|(other, _, _)| *other == id)
            .ok_or_else(|| "no such node".into())
    }

    /// Publishes an operator file through a node, with up to 30 attempts at intervals of 1 s.
    fn publish(&mut self, id: u32, name: &str, text: &str) -> Result<(), BoxError> {
        let dir = self.dir.join(name);
        fs::create_dir_all(&dir)?;
        fs::write(dir.join("lacewing.toml"), text)?;
        let url = self.node(id)?.1.clone();
        for _ in 0..30 {
            let out = Command::new(program_dir()?.join("lacewing"))
                .arg("publish")
                .arg(&dir)
                .args(["--node", &url, "--operator-token", TOKEN])
                .output()?;
            if out.status.success() {
                return Ok(());
            }
            thread::sleep(Duration::from_secs(1));
        }
        Err(format!("{name} was not published").into())
    }

    /// Returns the platform's answer to a GET request, of up to 256 MiB.
    fn get(&self, path: &str) -> Result<String, BoxError> {
        let url = format!("{}{path}", self.url);
        Ok(ureq::get(&url)
            .call()?
            .into_body()
            .into_with_config()
            .limit(256 << 20)
            .read_to_string()?)
    }
}

/// Returns a loopback address on which no process listens.
fn free_address() -> Result<String, BoxError> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?
        .local_addr()?
        .to_string())
}

/// Sends a signal to a process. The name begins with `-`, as in `-STOP`.
fn signal(child: &Child, name: &str) -> Result<(), BoxError> {
    let status = Command::new("kill")
        .args([name, &child.id().to_string()])
        .status()?;
    status
        .success()
        .then_some(())
        .ok_or_else(|| "the signal was not sent".into())
}

/// Returns an operator file with a team, a quota that is large enough for everything, and units.
fn files(team: &str, units: &str) -> String {
    format!(
        "[team]\nname = \"{team}\"\nquota = {{ processors = 100000.0, memory_mb = 100000000 }}\n{units}"
    )
}

fn batch(name: &str, team: &str, tasks: u32, repeat: &str) -> String {
    format!(
        "[[batch]]\nname = \"{name}\"\nteam = \"{team}\"\ncommand = [\"run\"]\n\
         size = {{ processors = 2.0, memory_mb = 4096 }}\nclass = \"standard\"\ntasks = {tasks}\n\
         repeat = \"{repeat}\"\nrun_time_s = 10\nattempts = 5\n"
    )
}

fn service(name: &str, team: &str, replicas: u32) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\nteam = \"{team}\"\ncommand = [\"serve\"]\n\
         size = {{ processors = 2.0, memory_mb = 2048 }}\nclass = \"interactive\"\n\
         replicas = {replicas}\nspread = \"failure-domain\"\n\
         requests = {{ repeat = \"safe\", deadline_ms = 2000 }}\n"
    )
}

// Measurement

/// Measures a domain at three sizes.
fn measure() -> Result<bool, BoxError> {
    for workers in [30, 60, 120] {
        measure_at(workers)?;
    }
    Ok(true)
}

fn measure_at(workers: u32) -> Result<(), BoxError> {
    let mut cell = Cell::start(1, workers, NODES)?;
    thread::sleep(Duration::from_secs(8));
    // At the target size a domain runs 880 tasks on 120 workers. A fifth of them are replicas. The tasks of the batch
    // run for 1 to 20 s.
    let replicas = workers * 176 / 120;
    let tasks = workers * 14 * 40 / 120;
    cell.publish(1, "services", &files("t", &service("desk", "t", replicas)))?;
    cell.publish(
        2,
        "batch",
        &files("t", &batch("rebuild", "t", tasks, "safe")),
    )?;
    thread::sleep(SETTLE_TIME);
    let before: Vec<f64> = cell
        .nodes
        .iter()
        .map(|(_, _, child)| cpu_s(child))
        .collect();
    thread::sleep(MEASUREMENT_TIME);
    let mut shares: Vec<(f64, f64)> = cell
        .nodes
        .iter()
        .zip(before)
        .map(|((_, _, child), before)| {
            let share = (cpu_s(child) - before) / MEASUREMENT_TIME.as_secs_f64() * 100.0;
            (share, memory_mb(child))
        })
        .collect();
    shares.sort_by(|a, b| b.0.total_cmp(&a.0));
    let (scheduler, members) = shares.split_first().ok_or("no nodes")?;
    let mean = members.iter().map(|(cpu, _)| cpu).sum::<f64>() / f64::from(NODES - 1);
    let most = shares.iter().map(|(_, mb)| *mb).fold(0.0, f64::max);
    println!(
        "figure real_workers{workers}_highest_cpu {:.2} percent",
        scheduler.0
    );
    println!("figure real_workers{workers}_other_cpu {mean:.2} percent");
    println!("figure real_workers{workers}_highest_memory {most:.1} mb");
    Ok(())
}

/// Returns the processor time that a process has used, in seconds.
fn cpu_s(child: &Child) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |i: usize| fields.get(i).and_then(|field| field.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S
}

/// Returns the resident memory of a process, in MiB.
fn memory_mb(child: &Child) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}

// Faults

/// The number of failure domains.
const DOMAINS: u32 = 3;
/// The number of workers of the cell.
const WORKERS: u32 = 24;

/// Injects faults under load and checks the workers' records. Returns whether all checks passed.
fn faults() -> Result<bool, BoxError> {
    let mut cell = Cell::start(DOMAINS, WORKERS, 6)?;
    thread::sleep(Duration::from_secs(8));
    let units = batch("rebuild", "t", 240, "safe")
        + &batch("posting", "t", 120, "never")
        + &service("desk", "t", 6);
    cell.publish(1, "load", &files("t", &units))?;
    thread::sleep(Duration::from_secs(8));
    println!("n1 is killed");
    cell.node(1)?.2.kill()?;
    thread::sleep(Duration::from_secs(4));
    println!("n2 is stopped for 15 s, past its term");
    signal(&cell.node(2)?.2, "-STOP")?;
    thread::sleep(Duration::from_secs(15));
    signal(&cell.node(2)?.2, "-CONT")?;
    println!("n1 starts anew");
    cell.start_node(1, DOMAINS)?;
    thread::sleep(Duration::from_secs(4));
    println!("the table is cut off for 15 s; n3 is killed meanwhile");
    cell.get("/admin/cut-table/15000")?;
    thread::sleep(Duration::from_secs(2));
    cell.node(3)?.2.kill()?;
    thread::sleep(Duration::from_secs(15));
    cell.start_node(3, DOMAINS)?;
    println!("n5 is asked to shut down");
    signal(&cell.node(5)?.2, "-TERM")?;
    thread::sleep(Duration::from_secs(10));
    cell.start_node(5, DOMAINS)?;
    println!("the work is given 60 s more");
    thread::sleep(Duration::from_secs(60));
    check_runs(&cell.get("/admin/runs")?)
}

/// Checks the workers' records and prints the result. Returns whether all checks passed.
fn check_runs(text: &str) -> Result<bool, BoxError> {
    let workers: Vec<Value> = serde_json::from_str(text)?;
    let mut broken = Vec::new();
    let mut runs: Vec<(String, u64, u64, String)> = Vec::new();
    for worker in &workers {
        let name = worker["worker"].as_str().unwrap_or_default();
        for key in ["milli_processors", "memory_mb", "accelerators"] {
            let (peak, size) = (worker["peak"][key].as_u64(), worker["size"][key].as_u64());
            if peak > size {
                broken.push(format!("{name} held {peak:?} of {size:?} {key}"));
            }
        }
        for run in worker["runs"].as_array().into_iter().flatten() {
            let task = run["task"].as_str().unwrap_or_default().to_owned();
            let began = run["began_ms"].as_u64().unwrap_or(0);
            let ended = run["ended_ms"].as_u64().unwrap_or(u64::MAX);
            runs.push((task, began, ended, name.to_owned()));
        }
    }
    runs.sort();
    for pair in runs.windows(2) {
        let [(task, _, ended, a), (next, began, _, b)] = pair else {
            continue;
        };
        if task == next && began < ended {
            broken.push(format!("{task} ran on {a} and {b} at the same time"));
        }
        if task == next && task.starts_with("posting.") {
            broken.push(format!(
                "{task} must not be repeated, but ran on {a} and {b}"
            ));
        }
    }
    let distinct = |prefix: &str| {
        let mut names: Vec<&str> = runs
            .iter()
            .map(|(task, ..)| task.as_str())
            .filter(|task| task.starts_with(prefix))
            .collect();
        names.dedup();
        names.len()
    };
    println!(
        "{} runs, {} of 240 tasks of rebuild, {} of 120 of posting",
        runs.len(),
        distinct("rebuild."),
        distinct("posting.")
    );
    for line in &broken {
        println!("BROKEN: {line}");
    }
    println!(
        "{}",
        if broken.is_empty() {
            "every promise held"
        } else {
            "a promise was broken"
        }
    );
    Ok(broken.is_empty())
}
