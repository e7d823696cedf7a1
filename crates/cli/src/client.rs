//! The client of a node's operator API.

use std::time::Duration;

use node::api::{OperatorReq, OperatorResp};

use crate::{args::Args, exit::Exit};

/// The longest time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The error of a call to a node.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ClientError {
    /// No node was given.
    #[error("no node is named: give --node URL or set LACEWING_NODE")]
    NoNode,
    /// The address of the node is invalid.
    #[error("`{0}` is no address of a node; it looks like http://10.0.0.1:7000")]
    BadNode(String),
    /// The node could not be reached, so the call was not executed.
    #[error("{node} cannot be reached: {reason}; try another node")]
    Unreachable { node: String, reason: String },
    /// The node refused the call.
    #[error("{node} refused the call: {reason}")]
    Refused { node: String, reason: String },
    /// No valid answer arrived, so the call may have been executed.
    #[error(
        "the answer of {node} was lost: {reason}; look at `lacewing status` before you try again"
    )]
    Lost { node: String, reason: String },
}

impl ClientError {
    /// Returns the exit code of a command that fails with this error.
    pub(crate) const fn exit(&self) -> Exit {
        match self {
            Self::NoNode | Self::BadNode(_) => Exit::Usage,
            Self::Unreachable { .. } | Self::Refused { .. } => Exit::Failed,
            Self::Lost { .. } => Exit::Uncertain,
        }
    }
}

/// A client of a node's operator API.
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

    /// Sends an operator's call and returns the answer.
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

    /// Returns the node's state as JSON.
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

    /// Reads the body of a response with status 200. Other responses are errors.
    fn text(&self, mut resp: ureq::http::Response<ureq::Body>) -> Result<String, ClientError> {
        let status = resp.status().as_u16();
        let text = resp
            .body_mut()
            .read_to_string()
            .map_err(|e| self.lost(e.to_string()))?;
        match status {
            200 => Ok(text),
            401 => Err(self.refused(format!(
                "{}; give --operator-token or set LACEWING_OPERATOR_TOKEN",
                text.trim()
            ))),
            400..500 => Err(self.refused(text.trim().to_owned())),
            _ => Err(self.lost(format!("status {status}"))),
        }
    }

    /// Converts a transport error. Only errors that occur before the request is sent count as not executed.
    fn call_error(&self, e: &ureq::Error) -> ClientError {
        let reason = e.to_string();
        let node = self.node.clone();
        match e {
            ureq::Error::BadUri(_) | ureq::Error::Http(_) => ClientError::BadNode(node),
            ureq::Error::ConnectionFailed
            | ureq::Error::HostNotFound
            | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
                ClientError::Unreachable { node, reason }
            }
            ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
                ClientError::Unreachable { node, reason }
            }
            _ => ClientError::Lost { node, reason },
        }
    }

    /// Returns the error of a call that was not executed.
    fn refused(&self, reason: String) -> ClientError {
        let node = self.node.clone();
        ClientError::Refused { node, reason }
    }

    /// Returns the error of a call that may have been executed.
    fn lost(&self, reason: String) -> ClientError {
        let node = self.node.clone();
        ClientError::Lost { node, reason }
    }
}
