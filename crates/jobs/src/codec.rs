//! How jobs and their progress are stored.

use serde::{Serialize, de::DeserializeOwned};

use crate::error::CodecError;

/// The layout of stored values. It is raised when a stored type changes.
pub(crate) const FORMAT: u8 = 1;

/// Encodes a value for the store: one byte with the format, then `bincode`.
///
/// # Panics
///
/// Only for a type whose length can't be known before it is encoded. No stored type is one.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = vec![FORMAT];
    // Encoding into a vector fails only for types without a known length, which no stored type has.
    bincode::serde::encode_into_std_write(value, &mut buf, bincode::config::standard())
        .expect("stored types have a known length");
    buf
}

/// Decodes a stored value.
///
/// # Errors
///
/// The bytes are no value of this type, or of a newer format.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (&format, rest) = bytes.split_first().ok_or(CodecError::Empty)?;
    if format != FORMAT {
        return Err(CodecError::Format(format));
    }
    let (value, _) = bincode::serde::decode_from_slice(rest, bincode::config::standard())?;
    Ok(value)
}
