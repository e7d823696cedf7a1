//! A hash function whose results do not depend on the process.

/// Returns the 64-bit FNV-1a hash of the bytes, which is the same in every process and version.
///
/// Use it to detect changed contents and to distribute keys. It is not resistant to deliberate
/// collisions.
///
/// # Examples
///
/// ```
/// use model::stable_hash;
///
/// assert_eq!(stable_hash(*b""), 0xcbf2_9ce4_8422_2325);
/// assert_eq!(stable_hash("a".bytes()), 0xaf63_dc4c_8601_ec8c);
/// ```
#[must_use]
pub fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.into_iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
