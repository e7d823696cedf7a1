//! The encoding of stored jobs and their progress.

use serde::{Serialize, de::DeserializeOwned};

use crate::error::CodecError;

/// The format version of stored values. It is raised when a stored type changes.
pub(crate) const FORMAT_VERSION: u8 = 1;

/// The most memory that decoding a value may take, in bytes. A text is allocated with the length that it states before it is
/// read. A number of one byte counts as eight.
const MAX_DECODED_BYTES: usize = 64 << 20;

/// Encodes a value for the store: one byte with the format version, then `bincode`.
///
/// # Panics
///
/// Panics if `T` contains a sequence whose length is not known before it is encoded. No stored type
/// does.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = vec![FORMAT_VERSION];
    // Encoding into a vector fails only for types without a known length, and no stored type is
    // one.
    bincode::serde::encode_into_std_write(value, &mut buf, bincode::config::standard())
        .expect("stored types have a known length");
    buf
}

/// Decodes a stored value.
///
/// # Errors
///
/// Returns an error if the bytes have another format version, do not encode a `T`, or encode one that is too large.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (&format, rest) = bytes.split_first().ok_or(CodecError::Empty)?;
    if format != FORMAT_VERSION {
        return Err(CodecError::Format(format));
    }
    let cfg = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (value, _) = bincode::serde::decode_from_slice(rest, cfg)?;
    Ok(value)
}
