//! Encoding and decoding of the values stored in rows and objects.

use serde::{Serialize, de::DeserializeOwned};

/// The error returned when bytes do not decode to the requested type.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("cannot decode the value: {0}")]
pub struct DecodeError(String);

/// The most memory that decoding a value may take, in bytes. A text is allocated with the length that it states before it is
/// read. A number of one byte counts as eight.
const MAX_DECODED_BYTES: usize = 128 << 20;

/// Encodes a value for a row or an object.
///
/// # Panics
///
/// Panics if the type's `Serialize` implementation fails. No type of this workspace does that.
#[must_use]
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("serialisation into memory does not fail")
}

/// Decodes the value of a row or an object.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoding of a `T`, or if bytes are left over.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let cfg = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (value, read) =
        bincode::serde::decode_from_slice(bytes, cfg).map_err(|e| DecodeError(e.to_string()))?;
    if read == bytes.len() {
        Ok(value)
    } else {
        let left = bytes.len() - read;
        Err(DecodeError(format!("{left} bytes are left over")))
    }
}
