//! Computes 128-bit digests of requests and names.

use serde::{Deserialize, Serialize};
use std::fmt;
use twox_hash::XxHash3_128;

/// A digest that is the same on every host.
///
/// It identifies a request body or a name and is not cryptographic, so it does not protect against
/// deliberate collisions.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u128);

impl Digest {
    /// Returns the digest of a byte string.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(XxHash3_128::oneshot(bytes))
    }

    /// Parses the 32 hexadecimal digits that [`fmt::Display`] writes.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_hex
            .then(|| u128::from_str_radix(text, 16).ok())
            .flatten()
            .map(Self)
    }

    /// Returns the digest of several parts. The length of each part is included, so that moving a
    /// byte from one part to the next changes the digest.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = twox_hash::xxhash3_128::Hasher::new();
        for part in parts {
            hasher.write(&(part.len() as u64).to_le_bytes());
            hasher.write(part);
        }
        Self(hasher.finish_128())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
