//! How one attempt ended.

use heatherhinge_types::Code;

/// How one attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether a layer below has retried already.
        is_retried_below: bool,
    },
    /// The target says that it shed the request before starting it.
    Shed,
    /// The target says that the request expired before it was started.
    Expired,
    /// No connection was opened, so nothing was sent.
    Unreachable,
    /// The connection broke after the request may have been written.
    Broke,
    /// The deadline passed while the target had the request.
    DeadlinePassed,
    /// The answer is malformed.
    BadAnswer,
    /// The caller's body broke off while the target was reading it.
    CallerBroke,
    /// The claim's lease ended before the request was sent.
    LeaseEnded,
}

impl AttemptOutcome {
    /// Returns whether the request certainly did not run. Only these outcomes say so:
    /// `docs/design.md`, section 7.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Expired | Self::Unreachable | Self::LeaseEnded
        )
    }

    /// Returns the code of a refusal that ends in this outcome, or `None` for an answer.
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

    /// Returns whether the outcome speaks against the target.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        match self {
            Self::Answered { status, .. } => status >= 500,
            Self::Shed | Self::Unreachable | Self::Broke | Self::BadAnswer => true,
            Self::Expired | Self::DeadlinePassed | Self::CallerBroke | Self::LeaseEnded => false,
        }
    }

    /// Returns whether another target may do better.
    #[must_use]
    pub(crate) const fn is_transient(self) -> bool {
        match self {
            Self::Answered {
                status,
                is_retried_below,
            } => !is_retried_below && matches!(status, 500 | 502 | 503 | 504),
            Self::Shed | Self::Unreachable | Self::Broke | Self::BadAnswer => true,
            Self::Expired | Self::DeadlinePassed | Self::CallerBroke | Self::LeaseEnded => false,
        }
    }
}
