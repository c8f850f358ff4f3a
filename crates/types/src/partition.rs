//! Maps identifiers to partitions.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of partitions: the values of one byte, because the last byte of an idempotency key is
/// its partition.
pub const PARTITION_COUNT: usize = 256;

/// One part of the identifier space, owned by at most one host; `docs/design.md`, section 6.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Partition(pub u8);

impl Partition {
    /// Returns the partition of a name, such as a target or a service.
    #[must_use]
    pub fn of_name(text: &str) -> Self {
        Self::of_digest(Digest::of(text.as_bytes()))
    }

    /// Returns the partition of a digest.
    #[must_use]
    pub fn of_digest(digest: Digest) -> Self {
        Self(digest.0.to_le_bytes()[0])
    }

    /// Returns all partitions in order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=u8::MAX).map(Self)
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
