//! A field at the end of a stored value or a message that those of earlier builds do not have.
//!
//! The field is written only if it differs from its default. Earlier builds ignore bytes after the fields that they
//! know, so they read values with and without it. The field must be the last one, and has the attribute
//! `#[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]`.

use std::{fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
};

/// The byte before the field, which tells it from the end of the value.
const PRESENT: u8 = 1;

/// Returns whether a field is not written.
pub fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Serializes a field that differs from its default.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<T: Serialize, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    (PRESENT, value).serialize(serializer)
}

/// Deserializes a field, or returns its default if the value ends before it.
///
/// # Errors
///
/// Returns an error if the bytes after the other fields are not such a field.
pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Default + Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_tuple(2, Trailing(PhantomData))
}

struct Trailing<T>(PhantomData<T>);

impl<'de, T: Default + Deserialize<'de>> Visitor<'de> for Trailing<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a trailing field")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<T, A::Error> {
        match seq.next_element() {
            // The value ends here.
            Ok(None) | Err(_) => Ok(T::default()),
            Ok(Some(PRESENT)) => seq
                .next_element()?
                .ok_or_else(|| A::Error::custom("the trailing field is missing")),
            Ok(Some(other)) => Err(A::Error::custom(format_args!(
                "the trailing field begins with {other}"
            ))),
        }
    }
}
