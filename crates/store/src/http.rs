//! The HTTP adapter of the ports, which sends JSON with `ureq`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use model::DomainId;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{
    ObjectReq, ObjectResp, Objects, StoreError, Table, TableReq, TableResp, VmInfo, VmList, VmRole,
    WorkerCall, WorkerReport, Workers,
};

/// The maximum size of a response body, in bytes.
const RESPONSE_MAX_BYTES: u64 = 64 << 20;

/// The most characters of an error in the log. Errors quote entries, which may be long.
const MAX_ERROR_CHARS: usize = 200;

/// The largest processors, in thousandths, and the largest memory, in MB, of a VM. Sums over all VMs stay far below the
/// largest number.
const MAX_VM_SIZE: u64 = 1 << 40;

/// Settings of [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct HttpPlatformConfig {
    /// The platform's base URL without a trailing slash, such as `http://10.0.0.1:7000`.
    pub url: String,
    /// The timeout for opening a connection. 1 s by default.
    pub connect_timeout: Duration,
    /// The timeout for a whole call, including reading the response. 4 s by default.
    pub call_timeout: Duration,
}

impl Default for HttpPlatformConfig {
    fn default() -> Self {
        Self {
            url: String::new(),
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(4),
        }
    }
}

/// A client of the platform's HTTP interface. Clones share their idle connections.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    agent: ureq::Agent,
    url: String,
    /// The number of invalid entries of the VM list that was read last.
    bad_vms: Arc<AtomicUsize>,
}

impl HttpPlatform {
    /// Creates a client. It opens no connection before the first call.
    #[must_use]
    pub fn new(cfg: HttpPlatformConfig) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(cfg.connect_timeout))
            .timeout_global(Some(cfg.call_timeout))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            agent,
            url: cfg.url,
            bad_vms: Arc::default(),
        }
    }

    fn post<T: DeserializeOwned>(&self, path: &str, req: &impl Serialize) -> Result<T, StoreError> {
        let body = serde_json::to_vec(req).map_err(|e| StoreError::Refused(e.to_string()))?;
        let url = format!("{}{path}", self.url);
        let resp = self
            .agent
            .post(&url)
            .header("content-type", "application/json")
            .send(&body[..])
            .map_err(|e| call_error(&e))?;
        read_response(resp)
    }
}

/// Converts a client error. Only failures to connect prove that the call had no effect.
fn call_error(e: &ureq::Error) -> StoreError {
    match e {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            StoreError::Unreachable(e.to_string())
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable(e.to_string())
        }
        _ => StoreError::Lost(e.to_string()),
    }
}

fn read_response<T: DeserializeOwned>(
    mut resp: ureq::http::Response<ureq::Body>,
) -> Result<T, StoreError> {
    let status = resp.status().as_u16();
    let body = resp
        .body_mut()
        .with_config()
        .limit(RESPONSE_MAX_BYTES)
        .read_to_vec()
        .map_err(|e| StoreError::Lost(e.to_string()))?;
    match status {
        200 => serde_json::from_slice(&body).map_err(|e| StoreError::Lost(e.to_string())),
        503 => Err(StoreError::Unreachable("the service is down".to_owned())),
        400..500 => Err(StoreError::Refused(
            String::from_utf8_lossy(&body).into_owned(),
        )),
        _ => Err(StoreError::Lost(format!("status {status}"))),
    }
}

impl Table for HttpPlatform {
    fn table(&mut self, req: &TableReq) -> Result<TableResp, StoreError> {
        self.post("/table", req)
    }
}

impl Objects for HttpPlatform {
    fn object(&mut self, req: &ObjectReq) -> Result<ObjectResp, StoreError> {
        self.post("/objects", req)
    }
}

impl VmList for HttpPlatform {
    fn vms(&mut self, domain: DomainId) -> Result<Vec<VmInfo>, StoreError> {
        let url = format!("{}/vms/{domain}", self.url);
        let resp = self.agent.get(&url).call().map_err(|e| call_error(&e))?;
        let entries: Vec<Box<RawValue>> = read_response(resp)?;
        let mut vms = Vec::with_capacity(entries.len());
        let mut errors = Vec::new();
        for entry in &entries {
            match read_vm(entry) {
                Ok(vm) => vms.push(vm),
                Err(e) => errors.push(e),
            }
        }
        let before = self.bad_vms.swap(errors.len(), Ordering::Relaxed);
        if let Some(error) = errors.first().filter(|_| errors.len() != before) {
            let error: String = error.chars().take(MAX_ERROR_CHARS).collect();
            log::warn!(
                "event=bad_entry list=vms count={} error={error:?}",
                errors.len()
            );
        }
        Ok(vms)
    }
}

/// Reads an entry of the VM list.
fn read_vm(entry: &RawValue) -> Result<VmInfo, String> {
    let vm: VmInfo = serde_json::from_str(entry.get()).map_err(|e| e.to_string())?;
    match vm.role {
        VmRole::Worker { size, .. } if size.milli_processors.max(size.memory_mb) > MAX_VM_SIZE => {
            Err("`size` is too large".to_owned())
        }
        VmRole::Worker { .. } | VmRole::Entry { .. } => Ok(vm),
    }
}

impl Workers for HttpPlatform {
    fn worker(&mut self, call: &WorkerCall) -> Result<WorkerReport, StoreError> {
        self.post(&format!("/workers/{}", call.worker.0), call)
    }
}

/// Serializes bytes as base64 text in human-readable formats and as plain bytes in binary formats.
pub(crate) mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(bytes: &[u8], s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            s.serialize_str(&STANDARD.encode(bytes))
        } else {
            bytes.serialize(s)
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        if d.is_human_readable() {
            let text = String::deserialize(d)?;
            STANDARD.decode(text).map_err(D::Error::custom)
        } else {
            Vec::deserialize(d)
        }
    }
}

/// Serializes an optional byte string in the same way as [`base64_bytes`].
pub(crate) mod base64_option {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    struct Bytes(#[serde(with = "super::base64_bytes")] Vec<u8>);

    #[expect(
        clippy::ref_option,
        reason = "serde's `with` passes a reference to the field"
    )]
    pub(crate) fn serialize<S: Serializer>(
        bytes: &Option<Vec<u8>>,
        s: S,
    ) -> Result<S::Ok, S::Error> {
        bytes.clone().map(Bytes).serialize(s)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        d: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        Ok(Option::<Bytes>::deserialize(d)?.map(|bytes| bytes.0))
    }
}
