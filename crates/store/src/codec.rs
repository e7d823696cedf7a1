//! The coding of typed values in rows and objects.

use serde::{Serialize, de::DeserializeOwned};

/// Bytes that do not decode to the type that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("cannot decode the value: {0}")]
pub struct DecodeError(String);

/// Encodes a value for a row or an object.
///
/// # Panics
///
/// The type's `Serialize` fails, which none of this workspace's does.
#[must_use]
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("serialisation into memory does not fail")
}

/// Decodes the value of a row or an object.
///
/// # Errors
///
/// The bytes are no encoding of a `T`, or bytes are left over.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|e| DecodeError(e.to_string()))?;
    if read == bytes.len() {
        Ok(value)
    } else {
        let left = bytes.len() - read;
        Err(DecodeError(format!("{left} bytes are left over")))
    }
}
