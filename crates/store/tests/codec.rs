//! Decoding of values that no node has written.

use store::{decode, encode};

/// Guards against a row whose text seems so long that reading it ends the process.
#[test]
fn a_length_beyond_all_memory_is_an_error() {
    for length in [u64::MAX, 1 << 62, 1 << 46] {
        let mut bytes = vec![253];
        bytes.extend(length.to_le_bytes());
        assert!(decode::<String>(&bytes).is_err(), "{length}");
        assert!(decode::<Vec<String>>(&bytes).is_err(), "{length}");
    }
    let text = "a".repeat(8 << 20);
    assert_eq!(decode(&encode(&text)), Ok(text));
}
