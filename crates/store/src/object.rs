//! The platform's object store, for values that are too large for a row.

use serde::{Deserialize, Serialize};

/// A call to the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ObjectReq {
    /// Reads an object.
    Get {
        /// The object's key.
        key: String,
    },
    /// Writes an object, replacing any previous content.
    Put {
        /// The object's key.
        key: String,
        /// The object's content.
        #[serde(with = "crate::http::base64_bytes")]
        value: Vec<u8>,
    },
    /// Deletes an object if it exists.
    Delete {
        /// The object's key.
        key: String,
    },
}

/// A response of the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ObjectResp {
    /// The content read by an [`ObjectReq::Get`], or `None` if the object does not exist.
    Object(#[serde(with = "crate::http::base64_option")] Option<Vec<u8>>),
    /// The write or deletion is complete.
    Done,
}
