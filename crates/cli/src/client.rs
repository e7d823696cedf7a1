//! Calls to a node's operator face.

use std::time::Duration;

use model::Verdict;
use node::api::{OperatorReq, OperatorResp};

use crate::args::Args;

/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A call to a node that brought no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum ClientError {
    /// No node is named.
    #[error("no node is named: give --node URL or set LACEWING_NODE")]
    NoNode,
    /// The node was not reached.
    #[error("{node} cannot be reached: {reason}; try another node")]
    Unreachable { node: String, reason: String },
    /// The node refused the call.
    #[error("{node} refused the call: {reason}")]
    Refused { node: String, reason: String },
    /// The answer did not come.
    #[error(
        "the answer of {node} was lost: {reason}; look at `lacewing status` before you try again"
    )]
    Lost { node: String, reason: String },
}

impl ClientError {
    /// Whether the call may have been done.
    pub(crate) const fn verdict(&self) -> Verdict {
        match self {
            Self::NoNode | Self::Unreachable { .. } | Self::Refused { .. } => Verdict::NotRun,
            Self::Lost { .. } => Verdict::MayHaveRun,
        }
    }
}

/// A node's operator face.
pub(crate) struct Client {
    agent: ureq::Agent,
    node: String,
    token: String,
}

impl Client {
    pub(crate) fn new(args: &Args) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            agent,
            node: args.node.trim_end_matches('/').to_owned(),
            token: args.token.clone(),
        }
    }

    pub(crate) fn operator(&self, req: &OperatorReq) -> Result<OperatorResp, ClientError> {
        let body = serde_json::to_vec(req).map_err(|e| self.refused(e.to_string()))?;
        let url = self.url("/v1/operator")?;
        let resp = self
            .agent
            .post(&url)
            .header("authorization", &format!("Bearer {}", self.token))
            .send(&body[..])
            .map_err(|e| self.call_error(&e))?;
        let text = self.text(resp)?;
        serde_json::from_str(&text).map_err(|e| self.lost(e.to_string()))
    }

    pub(crate) fn dump(&self) -> Result<String, ClientError> {
        let url = self.url("/v1/dump")?;
        let resp = self
            .agent
            .get(&url)
            .header("authorization", &format!("Bearer {}", self.token))
            .call()
            .map_err(|e| self.call_error(&e))?;
        self.text(resp)
    }

    fn url(&self, path: &str) -> Result<String, ClientError> {
        if self.node.is_empty() {
            return Err(ClientError::NoNode);
        }
        Ok(format!("{}{path}", self.node))
    }

    fn text(&self, mut resp: ureq::http::Response<ureq::Body>) -> Result<String, ClientError> {
        let status = resp.status().as_u16();
        let text = resp
            .body_mut()
            .read_to_string()
            .map_err(|e| self.lost(e.to_string()))?;
        match status {
            200 => Ok(text),
            400..500 => Err(self.refused(text.trim().to_owned())),
            _ => Err(self.lost(format!("status {status}"))),
        }
    }

    fn call_error(&self, e: &ureq::Error) -> ClientError {
        let reason = e.to_string();
        let node = self.node.clone();
        match e {
            ureq::Error::ConnectionFailed
            | ureq::Error::HostNotFound
            | ureq::Error::BadUri(_)
            | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
                ClientError::Unreachable { node, reason }
            }
            ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
                ClientError::Unreachable { node, reason }
            }
            _ => ClientError::Lost { node, reason },
        }
    }

    fn refused(&self, reason: String) -> ClientError {
        let node = self.node.clone();
        ClientError::Refused { node, reason }
    }

    fn lost(&self, reason: String) -> ClientError {
        let node = self.node.clone();
        ClientError::Lost { node, reason }
    }
}
