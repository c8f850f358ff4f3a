//! Why a call to another host failed.

use std::fmt;

/// Why a call failed. The difference matters to callers: only [`PeerError::Unavailable`] and
/// [`PeerError::TooLarge`] promise that the other host did not act on the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The call was not sent, or the other host refused it unread.
    Unavailable,
    /// The call may have reached the other host; its answer did not arrive in time.
    OutcomeUnknown,
    /// The message does not fit a frame and was not sent.
    TooLarge,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the host cannot be reached",
            Self::OutcomeUnknown => "the host may have acted, its answer did not arrive",
            Self::TooLarge => "the message does not fit a frame",
        })
    }
}

impl std::error::Error for PeerError {}
