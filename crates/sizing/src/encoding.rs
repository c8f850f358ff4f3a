//! Computes the sizes of messages between entry hosts with the encoder of the peer protocol.

use serde::Serialize;
use serde::de::IgnoredAny;
use std::io;
use std::pin::Pin;
use tokio_serde::Serializer;
use tokio_serde::formats::Bincode;

/// Overhead of a message in bytes: 4 for the frame's length and at most 44 for the call's header
/// (tag, deadline, trace context, request id, method).
pub const CALL_BYTES: u64 = 48;

/// Returns the size of a message in bytes, including [`CALL_BYTES`].
///
/// # Errors
///
/// Returns the encoder's error.
pub fn framed_bytes<T: Serialize>(message: &T) -> io::Result<u64> {
    let mut codec = Bincode::<IgnoredAny, &T>::default();
    let bytes = Serializer::<&T>::serialize(Pin::new(&mut codec), &message)?;
    Ok(bytes.len() as u64 + CALL_BYTES)
}
