//! Defines the errors of calls to other hosts.

use std::fmt;

/// Why a call failed. Only [`PeerError::Unavailable`] and [`PeerError::TooLarge`] guarantee that
/// the other host did not act on the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The call was not sent, or the other host rejected it before running it.
    Unavailable,
    /// The call may have reached the other host; its response did not arrive in time.
    OutcomeUnknown,
    /// The message exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES) and was not sent.
    TooLarge,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the host is unreachable or rejected the call; it did not act",
            Self::OutcomeUnknown => "the host may have acted; its response did not arrive",
            Self::TooLarge => "the message exceeds the largest frame and was not sent",
        })
    }
}

impl std::error::Error for PeerError {}
