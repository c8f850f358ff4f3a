//! Compresses the table updates that hosts send to each other.

use heatherhinge_steering::TableUpdate;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Size from which an update is compressed, in bytes. Smaller ones, which only confirm a version or
/// change a few rows, hardly shrink.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;
/// Largest uncompressed size of an update, in bytes; a larger one is rejected as malformed. A table
/// of 5,000 registrations takes about 1.3 MB.
const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// Length of the uncompressed size that precedes the compressed data, in bytes.
const SIZE_BYTES: usize = 4;

/// An update, compressed if it is large: a configuration of 1,500 routes takes 320 ms on a link of
/// 10 Mbit/s uncompressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PackedUpdate {
    /// The uncompressed update.
    Plain(TableUpdate),
    /// The uncompressed size as 4 bytes in little-endian order, then the update in the `postcard`
    /// encoding, compressed with LZ4.
    Lz4(Vec<u8>),
}

/// An update that cannot be unpacked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnpackError(String);

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unpacking the update failed: {}", self.0)
    }
}

impl std::error::Error for UnpackError {}

impl PackedUpdate {
    /// Packs an update; it is compressed if its rows reach the threshold.
    pub(crate) fn pack(update: TableUpdate) -> Self {
        let size: usize = update
            .rows
            .iter()
            .filter_map(|row| row.content.as_ref().map(|content| content.len()))
            .sum();
        if size < COMPRESSION_THRESHOLD_BYTES {
            return Self::Plain(update);
        }
        match postcard::to_allocvec(&update) {
            Ok(encoded) => Self::Lz4(lz4_flex::block::compress_prepend_size(&encoded)),
            Err(error) => {
                // Encoding plain data does not fail. If it ever does, the update is sent
                // uncompressed.
                tracing::warn!(
                    "fleet: compressing an update failed; sending it uncompressed: {error}"
                );
                Self::Plain(update)
            }
        }
    }

    /// Unpacks the update.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is truncated or corrupt, or states more than 16 MiB.
    pub(crate) fn unpack(self) -> Result<TableUpdate, UnpackError> {
        let packed = match self {
            Self::Plain(update) => return Ok(update),
            Self::Lz4(packed) => packed,
        };
        let size = packed
            .first_chunk::<SIZE_BYTES>()
            .map(|size| u32::from_le_bytes(*size) as usize)
            .filter(|size| *size <= MAX_UNPACKED_BYTES)
            .ok_or_else(|| UnpackError("its size is missing or above 16 MiB".to_owned()))?;
        let encoded = lz4_flex::block::decompress(&packed[SIZE_BYTES..], size)
            .map_err(|error| UnpackError(error.to_string()))?;
        postcard::from_bytes(&encoded).map_err(|error| UnpackError(error.to_string()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/packed_update.rs"]
mod tests;
