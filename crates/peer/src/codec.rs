//! Encodes messages as length-delimited frames of bincode.

use crate::service::{PeerServiceRequest, PeerServiceResponse};
use bytes::{Bytes, BytesMut};
use std::io;
use std::pin::Pin;
use tarpc::{ClientMessage, Response};
use tokio_serde::formats::Bincode;
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame. It bounds the memory that one message of another host makes this host allocate.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Longest deadline that is accepted. `tarpc` adds the deadline of a message to the clock and
/// panics if the sum overflows, so larger values are rejected before it decodes them.
const MAX_DEADLINE_S: u64 = 3_600;

type PeerRequest = ClientMessage<PeerServiceRequest>;
type PeerResponse = Response<PeerServiceResponse>;

pub(crate) type ClientCodec = Bincode<PeerResponse, PeerRequest>;

pub(crate) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Returns the kind of the innermost error; the transport's layers wrap each other's errors.
pub(crate) fn root_kind(error: &io::Error) -> io::ErrorKind {
    error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<io::Error>())
        .map_or(error.kind(), root_kind)
}

/// Bincode that checks the deadline of a call before `tarpc` uses it.
#[derive(Debug, Default)]
pub(crate) struct ServerCodec(Bincode<PeerRequest, PeerResponse>);

impl Deserializer<PeerRequest> for ServerCodec {
    type Error = io::Error;

    fn deserialize(mut self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<PeerRequest> {
        check_deadline(frame)?;
        Deserializer::<PeerRequest>::deserialize(Pin::new(&mut self.0), frame)
    }
}

impl Serializer<PeerResponse> for ServerCodec {
    type Error = io::Error;

    fn serialize(mut self: Pin<&mut Self>, item: &PeerResponse) -> io::Result<Bytes> {
        Serializer::<PeerResponse>::serialize(Pin::new(&mut self.0), item)
    }
}

/// Rejects a call with a deadline over [`MAX_DEADLINE_S`]. A call starts with its tag, 0, and the
/// seconds of its deadline, each a bincode integer.
fn check_deadline(frame: &[u8]) -> io::Result<()> {
    let Some((0, rest)) = read_integer(frame) else {
        return Ok(());
    };
    match read_integer(rest) {
        Some((seconds, _)) if seconds > MAX_DEADLINE_S => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the deadline is more than an hour away",
        )),
        _ => Ok(()),
    }
}

/// Decodes one integer in bincode's variable-length form and returns it with the remaining bytes.
/// A byte below 251 is the value itself; 251 to 253 precede 2, 4 or 8 bytes in little-endian order.
fn read_integer(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (&first, rest) = bytes.split_first()?;
    let width = match first {
        0..=250 => return Some((u64::from(first), rest)),
        251 => 2,
        252 => 4,
        253 => 8,
        _ => return None,
    };
    let (digits, rest) = rest.split_at_checked(width)?;
    let value = digits
        .iter()
        .rev()
        .fold(0, |value, byte| (value << 8) | u64::from(*byte));
    Some((value, rest))
}
