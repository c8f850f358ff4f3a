//! Parses idempotency keys, which contain their issue time.

use crate::{Partition, WallMs};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

/// An `Idempotency-Key`: a UUID version 7, so that its issue time can be compared with a lease.
///
/// See `docs/design.md`, section 7.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

/// Why a text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKeyError {
    /// The text is not a UUID.
    NotUuid,
    /// The UUID is not of version 7, so it contains no issue time.
    NotVersion7,
}

impl IdempotencyKey {
    /// Creates a key from its issue time and 10 random bytes.
    #[must_use]
    pub fn new(issued_wall_ms: WallMs, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(issued_wall_ms.0, &random).into_uuid())
    }

    /// Returns the time at which the caller created the key, by the caller's clock.
    #[must_use]
    pub fn issued_wall_ms(self) -> WallMs {
        let bytes = self.0.as_bytes();
        let ms = bytes[..6]
            .iter()
            .fold(0_u64, |ms, byte| (ms << 8) | u64::from(*byte));
        WallMs(ms)
    }

    /// Returns the partition whose owner keeps the claims of this key.
    #[must_use]
    pub fn partition(self) -> Partition {
        Partition(self.0.as_bytes()[15])
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, IdempotencyKeyError> {
        // The draft standard of the header encodes the key as a quoted structured-field string.
        let unquoted = text.trim().trim_matches('"');
        let uuid = Uuid::parse_str(unquoted).map_err(|_| IdempotencyKeyError::NotUuid)?;
        if uuid.get_version_num() == 7 {
            Ok(Self(uuid))
        } else {
            Err(IdempotencyKeyError::NotVersion7)
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Debug for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
