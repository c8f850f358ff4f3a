//! Defines the errors of calls to the platform's services.

use heatherhinge_types::Code;
use std::fmt;

/// Why a call did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The service is unreachable or rejects calls; a write had no effect.
    Unavailable,
    /// The condition of a write did not hold; nothing was written.
    Conflict,
    /// A write may have taken effect: its response was lost, late or malformed.
    OutcomeUnknown,
    /// The call was rejected as malformed, or the response to a read is malformed; with the
    /// reason.
    Malformed(String),
}

impl PlatformError {
    /// Returns the numbered result code.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::Unavailable => Code::StoreUnavailable,
            Self::Conflict => Code::StoreConflict,
            Self::OutcomeUnknown => Code::StoreOutcomeUnknown,
            Self::Malformed(_) => Code::StoreMalformed,
        }
    }

    pub(crate) fn malformed(error: impl fmt::Display) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(detail) => write!(f, "{} ({detail})", self.code()),
            _ => self.code().fmt(f),
        }
    }
}

impl std::error::Error for PlatformError {}
