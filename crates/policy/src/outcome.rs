//! Classifies how an attempt at a target ended.

use heatherhinge_types::Code;

/// How one attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the target or a service behind it has already retried the request.
        is_already_retried: bool,
    },
    /// The target reported that it shed the request before starting it.
    Shed,
    /// The target reported that the request expired before it was started.
    Expired,
    /// No connection was opened, so nothing was sent.
    Unreachable,
    /// The connection broke after the request may have been written.
    Broke,
    /// The deadline passed while the target had the request.
    DeadlinePassed,
    /// The response is malformed.
    BadAnswer,
    /// The caller's body ended early while the target was reading it.
    CallerBroke,
    /// The claim's lease ended before the request was sent.
    LeaseEnded,
}

impl AttemptOutcome {
    /// Returns whether it is certain that the request did not run; no other outcome proves it. See
    /// `docs/design.md`, section 7.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Expired | Self::Unreachable | Self::LeaseEnded
        )
    }

    /// Returns the code with which a request that ends in this outcome is refused, or `None` for a
    /// response.
    #[must_use]
    pub const fn code(self) -> Option<Code> {
        match self {
            Self::Answered { .. } => None,
            Self::Shed => Some(Code::TargetShed),
            Self::Expired => Some(Code::TargetExpired),
            Self::Unreachable => Some(Code::TargetUnreachable),
            Self::Broke => Some(Code::TargetBroke),
            Self::DeadlinePassed => Some(Code::DeadlinePassed),
            Self::BadAnswer => Some(Code::BadAnswer),
            Self::CallerBroke => Some(Code::RequestBodyCut),
            Self::LeaseEnded => Some(Code::LeaseEnded),
        }
    }

    /// Returns whether the outcome counts as a failure of the target.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        match self {
            Self::Answered { status, .. } => status >= 500,
            Self::Shed | Self::Unreachable | Self::Broke | Self::BadAnswer => true,
            Self::Expired | Self::DeadlinePassed | Self::CallerBroke | Self::LeaseEnded => false,
        }
    }

    /// Returns whether an attempt at another target may succeed.
    #[must_use]
    pub(crate) const fn is_transient(self) -> bool {
        match self {
            Self::Answered {
                status,
                is_already_retried,
            } => !is_already_retried && matches!(status, 500 | 502 | 503 | 504),
            Self::Shed | Self::Unreachable | Self::Broke | Self::BadAnswer => true,
            Self::Expired | Self::DeadlinePassed | Self::CallerBroke | Self::LeaseEnded => false,
        }
    }
}
