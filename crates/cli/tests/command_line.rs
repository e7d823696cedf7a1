//! Table tests of the command line: arguments, the node's answer, the exit code and the printed text.

use std::{
    io::Read as _,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Command, Output},
    thread,
    time::{Duration, Instant},
};

use fakes::{FakePlatform, PlatformSpec, RunPlan};
use node::Settings;
use tiny_http::{Response, Server};

const TOKEN: &str = "the operators' token";
/// The longest time that a daemon may take until it gives the expected answer.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the program in the root folder of the repository.
fn lacewing(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lacewing"))
        .args(args)
        .current_dir(root())
        .env_remove("LACEWING_NODE")
        .env_remove("LACEWING_OPERATOR_TOKEN")
        .output()
        .expect("the program can be run")
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs the program and checks its exit code and that its output contains `printed`. Errors must be on standard error
/// and begin with the program's name.
fn expect(args: &[&str], code: i32, printed: &str) {
    let output = lacewing(args);
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    let stream = if code == 0 { &out } else { &err };
    assert_eq!(output.status.code(), Some(code), "{args:?}: {out}{err}");
    assert!(stream.contains(printed), "{args:?}: {out}{err}");
    assert!(
        code == 0 || err.starts_with("lacewing: "),
        "{args:?}: {err}"
    );
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Commands that reach no node: the arguments, the exit code, and a part of the output.
const LOCAL_CASES: &[(&[&str], i32, &str)] = &[
    (
        &["--version"],
        0,
        concat!("lacewing ", env!("CARGO_PKG_VERSION")),
    ),
    (&["--help"], 0, "Usage: lacewing COMMAND"),
    (
        &["help", "recall"],
        0,
        "Usage: lacewing recall [batch|worker|setting ID] [OPTIONS]",
    ),
    (&["publish", "--help"], 0, "--dry-run"),
    (&[], 2, "no command; `lacewing --help` lists them"),
    (&["frob"], 2, "`frob` is no command"),
    (&["help", "frob"], 2, "`frob` is no command"),
    (
        &["--frob"],
        2,
        "Unrecognized option: 'frob'; see `lacewing --help`",
    ),
    (&["check"], 2, "usage: lacewing check DIR"),
    (&["check", "a", "b"], 2, "usage: lacewing check DIR"),
    (
        &["status", "--seed", "1"],
        2,
        "--seed is no option of `status`",
    ),
    (
        &["try", "examples", "--seed", "x"],
        2,
        "--seed: `x` is not a whole number in range",
    ),
    (&["try", "examples", "--seed", "-1"], 2, "--seed"),
    (
        &["try", "examples", "--workers", "0"],
        2,
        "--workers: `0` is not between 1 and 2000",
    ),
    (
        &["try", "examples", "--faults", "lots"],
        2,
        "`lots` is not none, some or many",
    ),
    (&["load", "examples"], 2, "usage: lacewing load"),
    (
        &["load", "--factors", "1,0"],
        2,
        "--factors: `1,0` is not a list of numbers from 0.01 to 20",
    ),
    (
        &["load", "--policies", "standard,best"],
        2,
        "--policies: `standard,best` is not a list of policies",
    ),
    (
        &["load", "--seconds", "0"],
        2,
        "--seconds: `0` is not a whole number in range",
    ),
    (
        &["load", "--recorded", "no such file"],
        2,
        "no such file: No such file",
    ),
    (
        &[
            "load",
            "--factors",
            "0.2",
            "--seconds",
            "2",
            "--policies",
            "standard,arrival",
        ],
        0,
        "figure load/0.2/arrival/lookup/wait_p99",
    ),
    (
        &["load", "--factors", "0.2", "--seconds", "2", "--json"],
        0,
        "\"policy\": \"gangs-preempt\"",
    ),
    (&["explain"], 2, "usage: lacewing explain LOG.."),
    (
        &["explain", "no such file"],
        2,
        "no such file: No such file",
    ),
    (&["explain", "README.md"], 1, "the logs name no job"),
    (
        &["explain", "--window", "0", "README.md"],
        2,
        "--window: `0` is not a whole number above 0",
    ),
    (
        &["explain", "--json", "crates/cli/tests/testdata/nodes.log"],
        0,
        "\"start_storage\": 300",
    ),
    (
        &["recall", "batch"],
        2,
        "`batch` is not batch NAME, worker wN or setting SERVICE@VERSION",
    ),
    (
        &["recall", "worker", "x"],
        2,
        "`worker x` is not batch NAME",
    ),
    (
        &["recall", "setting", "a"],
        2,
        "`setting a` is not batch NAME",
    ),
    (&["drain", "x"], 2, "`x` is not a node's number, such as n3"),
    (
        &["evacuate", "no domain"],
        2,
        "`no domain` is not a failure domain's name",
    ),
    (
        &["status"],
        2,
        "no node is named: give --node URL or set LACEWING_NODE",
    ),
    (
        &["status", "--node", "http://a b"],
        2,
        "is no address of a node",
    ),
    (&["status", "--node", "127.0.0.1:1"], 1, "cannot be reached"),
    (
        &["dump", "127.0.0.1:1"],
        1,
        "http://127.0.0.1:1 cannot be reached",
    ),
    (&["check", "nowhere"], 2, "nowhere: "),
    (
        &["check", "crates/cli/src"],
        2,
        "no lacewing.toml in this folder or below it",
    ),
    (
        &["publish", "nowhere", "--node", "127.0.0.1:1"],
        2,
        "nowhere: ",
    ),
    (
        &["publish", "examples", "--node", "127.0.0.1:1"],
        1,
        "cannot be reached",
    ),
    (
        &["check", "examples"],
        0,
        "2 files, 8 units: no fault found",
    ),
    (
        &["check", "examples", "--json"],
        0,
        "\"name\": \"dealer-lookup\"",
    ),
];

#[test]
fn commands_without_a_node() {
    for (args, code, printed) in LOCAL_CASES {
        expect(args, *code, printed);
    }
}

/// Starts a server that gives the same answer to every call.
fn canned(status: u16, body: &'static str) -> SocketAddr {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address");
    thread::spawn(move || {
        while let Ok(mut req) = server.recv() {
            let mut sent = String::new();
            let _ = req.as_reader().read_to_string(&mut sent);
            let _ = req.respond(Response::from_string(body).with_status_code(status));
        }
    });
    address
}

/// Starts a server that closes each connection after the call, without an answer.
fn hangs_up() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = stream;
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf);
        }
    });
    address
}

const NOT_RUN: &str = r#"{"failed":{"verdict":"not-run","message":"another change came first"}}"#;
const UNCERTAIN: &str = r#"{"failed":{"verdict":"may-have-run","message":"no answer in time"}}"#;
const DONE: &str = r#"{"done":{"message":"it is done","version":3}}"#;
const NO_RECALLS: &str = r#"{"recalls":[]}"#;

/// Calls to a node: the status and body of the node's answer, the arguments, the exit code, and a part of the output.
const ANSWER_CASES: &[(u16, &str, &[&str], i32, &str)] = &[
    (200, DONE, &["cancel", "a"], 0, "it is done"),
    (200, DONE, &["recall", "batch", "a"], 0, "it is done"),
    (200, DONE, &["lift", "worker/w7"], 0, "it is done"),
    (200, DONE, &["drain", "n3"], 0, "it is done"),
    (200, DONE, &["evacuate", "d1"], 0, "it is done"),
    (200, NO_RECALLS, &["recall"], 0, "nothing is recalled"),
    (200, r#"{"status":[]}"#, &["status"], 0, "no units of work"),
    (200, r#"{"status":[]}"#, &["status", "--json"], 0, "[]"),
    (
        200,
        r#"{"status":[]}"#,
        &["status", "a"],
        1,
        "there is no unit `a`",
    ),
    (
        200,
        NOT_RUN,
        &["cancel", "a"],
        1,
        "another change came first",
    ),
    (200, UNCERTAIN, &["cancel", "a"], 3, "no answer in time"),
    (
        200,
        NO_RECALLS,
        &["publish", "examples"],
        3,
        "is not understood",
    ),
    (
        200,
        NOT_RUN,
        &["publish", "examples"],
        1,
        "another change came first",
    ),
    (
        200,
        UNCERTAIN,
        &["publish", "examples"],
        3,
        "no answer in time",
    ),
    (
        200,
        "{",
        &["cancel", "a"],
        3,
        "look at `lacewing status` before you try again",
    ),
    (
        401,
        "the token is wrong",
        &["cancel", "a"],
        1,
        "give --operator-token",
    ),
    (
        400,
        "not a call",
        &["cancel", "a"],
        1,
        "refused the call: not a call",
    ),
    (500, "", &["cancel", "a"], 3, "the answer of http://"),
];

#[test]
fn answers_of_a_node() {
    for (status, body, args, code, printed) in ANSWER_CASES {
        let node = canned(*status, body).to_string();
        let args = [*args, &["--node", &node]].concat();
        expect(&args, *code, printed);
    }
}

/// Guards against reporting a call without an answer as not executed.
#[test]
fn a_lost_answer_is_uncertain() {
    let node = hangs_up().to_string();
    let hint = "look at `lacewing status` before you try again";
    expect(&["cancel", "a", "--node", &node], 3, hint);
}

/// Starts a node on a fake platform in this process and returns its URL.
fn real_node() -> String {
    let spec = PlatformSpec {
        domains: 1,
        regions: 1,
        workers: 4,
        plan: RunPlan {
            max: Duration::from_secs(2),
            ..RunPlan::default()
        },
        ..PlatformSpec::default()
    };
    let platform = fakes::serve("127.0.0.1:0", FakePlatform::new(&spec)).expect("a free port");
    let settings = Settings {
        node: "n1".parse().expect("a node"),
        region: "r1".parse().expect("a region"),
        domain: "d1".parse().expect("a domain"),
        listen: free_port(),
        peer_listen: free_port(),
        platform: format!("http://{}", platform.address()),
        operator_token: TOKEN.to_owned(),
        peer_token: "the nodes' token".to_owned(),
        metrics: None,
    };
    let address = settings.listen;
    thread::spawn(move || node::run_daemon(&settings));
    format!("http://{address}")
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Runs the program repeatedly until it succeeds and its output contains `printed`. Returns the output.
fn until(args: &[&str], printed: &str) -> String {
    let limit = Instant::now() + STARTUP_TIMEOUT;
    loop {
        let output = lacewing(args);
        let out = text(&output.stdout);
        if output.status.success() && out.contains(printed) {
            return out;
        }
        let err = text(&output.stderr);
        assert!(Instant::now() < limit, "{args:?}: {out}{err}");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Runs the commands against a real node, from publication to the end of the work.
#[test]
fn a_real_node() {
    let node = real_node();
    let with = |args: &[&'static str]| -> Vec<String> {
        let options = ["--node", &node, "--operator-token", TOKEN];
        args.iter()
            .chain(&options)
            .map(ToString::to_string)
            .collect()
    };
    let run = |args: &[&'static str], printed: &str| {
        let args = with(args);
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        until(&args, printed)
    };
    run(&["dump"], "\"recovered\":true");
    run(
        &["publish", "examples/dealer-reminders", "--dry-run"],
        "+ unit/dealer-lookup",
    );
    run(
        &["publish", "examples/dealer-reminders"],
        "version 1 is in force on 1 of 1 nodes",
    );
    run(&["publish", "examples/dealer-reminders"], "nothing changes");
    run(&["recall", "worker", "w4"], "worker/w4 is recalled");
    run(&["recall"], "worker/w4");
    run(&["lift", "worker/w4"], "version 3");
    run(&["recall"], "nothing is recalled");
    run(&["status", "reminder-run"], "12 succeeded");
    expect(&["status", "--node", &node], 1, "give --operator-token");
    let wrong = [
        "status",
        "--node",
        &node,
        "--operator-token",
        "a wrong token",
    ];
    expect(&wrong, 1, "refused the call");
}

/// The tasks use more than the unit declares, so the scheduler raises the size of later tasks. A new scheduler must
/// take over running tasks with the sizes allocated on the workers, not with the declared ones. Otherwise it could
/// allocate more than a worker's capacity.
#[test]
fn a_new_scheduler_takes_over_learned_sizes() {
    let dir = "crates/cli/tests/loads/learned";
    for seed in ["1", "2", "3", "4"] {
        let output = lacewing(&["try", dir, "--seed", seed, "--faults", "many"]);
        let out = text(&output.stdout);
        let broken = out.lines().find(|line| line.starts_with("BROKEN"));
        assert_eq!(broken, None, "seed {seed}");
    }
}
