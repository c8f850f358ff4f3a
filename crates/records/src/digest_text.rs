//! Serializes digests as 32 hexadecimal digits.
//!
//! Many JSON readers round 128-bit numbers, and `serde` cannot deserialize them in a tagged enum.

use heatherhinge_types::Digest;
use serde::{Deserialize, Deserializer, Serializer, de::Error};
use std::borrow::Cow;

pub(crate) fn serialize<S: Serializer>(digest: &Digest, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(digest)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
    let text = Cow::<'_, str>::deserialize(deserializer)?;
    u128::from_str_radix(&text, 16)
        .map(Digest)
        .map_err(D::Error::custom)
}
