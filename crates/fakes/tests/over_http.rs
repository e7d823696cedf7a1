//! Tests of the stand-ins over HTTP: the faults of the admin paths, and replicas that echo requests.

use fakes::{FakePlatform, PlatformSpec, serve};
use model::{Attempt, Epoch, Size, TaskId, Time, UnitId, WorkerId};
use store::{
    Command, HttpPlatform, HttpPlatformConfig, StoreError, Table, TableReq, TaskStart, VmList,
    WorkerCall, Workers,
};

/// A fault duration longer than any test, in milliseconds.
const LONG_MS: &str = "600000";

struct TestServer {
    url: String,
}

impl TestServer {
    fn new() -> Self {
        let platform = FakePlatform::new(&PlatformSpec::default());
        let http = serve("127.0.0.1:0", platform).expect("a free port");
        let url = format!("http://{}", http.address());
        Self { url }
    }

    /// Returns a client that calls the platform as a node of the failure domain does.
    fn client_in(&self, domain: &str) -> HttpPlatform {
        HttpPlatform::new(HttpPlatformConfig {
            url: format!("{}/from/{domain}", self.url),
            ..HttpPlatformConfig::default()
        })
    }

    fn get(&self, path: &str) -> String {
        let call = ureq::get(format!("{}{path}", self.url)).call();
        let mut resp = call.expect("the stand-in answers");
        resp.body_mut().read_to_string().expect("a whole answer")
    }
}

fn read() -> TableReq {
    TableReq::Get {
        key: "a".to_owned(),
    }
}

fn start_replica(platform: &mut HttpPlatform) -> Result<(), StoreError> {
    let start = Command::Start(TaskStart {
        task: TaskId::new(&UnitId::new("desk@d1"), 0),
        attempt: Attempt(1),
        size: Size::new(1_000, 1_000, 0),
        command: Vec::new(),
        service: "desk".to_owned(),
        start_by: Time::MAX,
        lease_until: Time::MAX,
    });
    let call = WorkerCall {
        worker: WorkerId(1),
        epoch: Epoch::default(),
        boot: 0,
        since: 0,
        commands: vec![start],
    };
    platform.worker(&call).map(|_| ())
}

/// Guards against a fault that affects other callers than the named ones: cutting off a domain or its workers
/// must leave the calls of another domain, and the other kinds of calls, as they were.
#[test]
fn cuts_apply_only_to_the_named_domains() {
    let server = TestServer::new();
    let (mut d1, mut d2) = (server.client_in("d1"), server.client_in("d2"));
    assert!(d1.table(&read()).is_ok());
    server.get(&format!("/admin/cut-domain/d1/{LONG_MS}"));
    assert!(matches!(d1.table(&read()), Err(StoreError::Unreachable(_))));
    let vms = d1.vms("d1".parse().expect("a name"));
    assert!(matches!(vms, Err(StoreError::Unreachable(_))));
    assert!(
        start_replica(&mut d1).is_ok(),
        "the workers are still reachable"
    );
    assert!(d2.table(&read()).is_ok());
    server.get(&format!("/admin/cut-workers/d1/{LONG_MS}"));
    assert!(start_replica(&mut d1).is_err());
    server.get(&format!("/admin/lose-replies/{LONG_MS}"));
    assert!(matches!(d2.table(&read()), Err(StoreError::Lost(_))));
    server.get(&format!("/admin/cut-table/{LONG_MS}"));
    assert!(matches!(d2.table(&read()), Err(StoreError::Unreachable(_))));
}

/// Guards against a stand-in that answers requests while no replica runs or after the worker has died, or that
/// does not record an answered request.
#[test]
fn a_replica_echoes_requests_and_they_are_recorded() {
    let server = TestServer::new();
    let url = format!("{}/backend/1/desk/dealers/7?due=1", server.url);
    let post = || {
        let req = ureq::post(&url).header("x-request-id", "r1");
        req.header("idempotency-key", "k1").send("oil change")
    };
    assert!(post().is_err(), "no replica runs yet");
    start_replica(&mut server.client_in("d1")).expect("the worker is reachable");
    let mut resp = post().expect("the replica answers");
    let echo = resp.body_mut().read_to_string().expect("a whole answer");
    for part in ["POST", "/dealers/7?due=1", "oil change", "r1", "k1"] {
        assert!(echo.contains(part), "{part}: {echo}");
    }
    let requests = server.get("/admin/requests");
    assert_eq!(requests.matches("\"key\":\"k1\"").count(), 1, "{requests}");
    assert!(server.get("/admin/runs").contains("desk@d1/0"));
    server.get("/admin/worker/1/die");
    assert!(post().is_err(), "the worker is dead");
}
