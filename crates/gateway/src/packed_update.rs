//! A table update as hosts send it to each other.

use heatherhinge_steering::TableUpdate;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Size from which an update is compressed, in bytes. Smaller ones, which only confirm a version or
/// change a few rows, would not become much smaller.
const PACK_FROM_BYTES: usize = 1_024;
/// Largest size of an update that is unpacked, in bytes. A table of 5,000 registrations takes about
/// 1.3 MB, and a message that states more is taken for malformed.
const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// Bytes before the compressed ones that state the size of the update.
const SIZE_BYTES: usize = 4;

/// An update, compressed where that is worth it: a configuration of 1,500 routes takes 320 ms on a
/// link of 10 Mbit/s as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PackedUpdate {
    /// The update as it is.
    Plain(TableUpdate),
    /// The update in the encoding of `postcard`, compressed by LZ4, after its size.
    Lz4(Vec<u8>),
}

/// An update that cannot be unpacked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnpackError(String);

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the update cannot be unpacked: {}", self.0)
    }
}

impl std::error::Error for UnpackError {}

impl PackedUpdate {
    /// Packs an update.
    pub(crate) fn pack(update: TableUpdate) -> Self {
        let size: usize = update
            .rows
            .iter()
            .filter_map(|row| row.content.as_ref().map(|content| content.len()))
            .sum();
        if size < PACK_FROM_BYTES {
            return Self::Plain(update);
        }
        match postcard::to_allocvec(&update) {
            Ok(encoded) => Self::Lz4(lz4_flex::block::compress_prepend_size(&encoded)),
            Err(error) => {
                // The encoding of plain data does not fail; the update is sent as it is then.
                tracing::warn!("fleet: an update cannot be packed: {error}");
                Self::Plain(update)
            }
        }
    }

    /// Unpacks the update.
    ///
    /// # Errors
    ///
    /// Says what is wrong with a message that was cut, spoiled or states too large a size.
    pub(crate) fn unpack(self) -> Result<TableUpdate, UnpackError> {
        let packed = match self {
            Self::Plain(update) => return Ok(update),
            Self::Lz4(packed) => packed,
        };
        let size = packed
            .first_chunk::<SIZE_BYTES>()
            .map(|size| u32::from_le_bytes(*size) as usize)
            .filter(|size| *size <= MAX_UNPACKED_BYTES)
            .ok_or_else(|| UnpackError("its size is missing or too large".to_owned()))?;
        let encoded = lz4_flex::block::decompress(&packed[SIZE_BYTES..], size)
            .map_err(|error| UnpackError(error.to_string()))?;
        postcard::from_bytes(&encoded).map_err(|error| UnpackError(error.to_string()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/packed_update.rs"]
mod tests;
