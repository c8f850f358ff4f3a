//! Sizes of messages between entry hosts, by the library that the peer protocol encodes with.

use serde::Serialize;
use serde::de::IgnoredAny;
use std::io;
use std::pin::Pin;
use tokio_serde::Serializer;
use tokio_serde::formats::Bincode;

/// Bytes around a message: 4 of the frame's length and at most 44 of the call's header (tag,
/// deadline, trace context, request id, method).
pub const CALL_BYTES: u64 = 48;

/// Returns the bytes of a message in its frame.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn framed_bytes<T: Serialize>(message: &T) -> io::Result<u64> {
    let mut codec = Bincode::<IgnoredAny, &T>::default();
    let bytes = Serializer::<&T>::serialize(Pin::new(&mut codec), &message)?;
    Ok(bytes.len() as u64 + CALL_BYTES)
}
