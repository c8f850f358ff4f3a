//! Tracks the attempts of a request and decides what follows each of them.

use crate::ResponseBody;
use crate::attempt::AttemptResult;
use crate::call::Call;
use heatherhinge_steering::{AttemptContext, AttemptOutcome, NextStep, after_attempt};
use heatherhinge_types::{Code, Name};
use http::Response;

/// State shared by the attempts of a request.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) sends: u32,
    pub(crate) unsent_attempts: u32,
    /// Targets whose attempts have ended.
    pub(crate) ended: Vec<Name>,
    /// Whether an attempt that was sent may have run.
    pub(crate) may_have_run: bool,
    /// Response that is forwarded if no other attempt succeeds.
    pub(crate) fallback: Option<Response<ResponseBody>>,
}

/// Returns the result of a request whose time is over; `is_sent` tells whether it reached a target.
pub(crate) fn end_at_deadline(
    progress: &mut Progress,
    is_sent: bool,
) -> Result<Response<ResponseBody>, Code> {
    if let Some(response) = progress.fallback.take() {
        return Ok(response);
    }
    Err(if is_sent {
        Code::DeadlinePassed
    } else {
        Code::DeadlineTooShort
    })
}

/// What happens to a request after an attempt.
pub(crate) enum Decision {
    Deliver(Box<Response<ResponseBody>>),
    Await,
    Retry {
        draws_on_budget: bool,
        error_code: Code,
    },
    End(Code),
}

impl Progress {
    /// Returns the number of attempts that have reached a target or, being pending, still may.
    pub(crate) fn started(&self, pending: usize) -> u32 {
        self.sends + u32::try_from(pending).unwrap_or(u32::MAX)
    }

    pub(crate) fn next(
        &mut self,
        call: &Call,
        attempted: AttemptResult,
        pending: usize,
    ) -> Decision {
        match attempted.end {
            AttemptOutcome::NoTarget | AttemptOutcome::NeverSent => self.unsent_attempts += 1,
            AttemptOutcome::NotRun => self.sends += 1,
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Unconfirmed
            | AttemptOutcome::Broke => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
        let facts = AttemptContext {
            end: attempted.end,
            is_idempotent: call.route.kind.is_idempotent(),
            sends: self.sends,
            unsent_attempts: self.unsent_attempts,
            max_sends: call.route.max_attempts.max(1),
            pending,
        };
        let error_code = self.code(attempted.end);
        let step = after_attempt(&facts);
        match (step, attempted.response) {
            (NextStep::Deliver, Some(response)) => Decision::Deliver(Box::new(response)),
            (NextStep::Deliver, None) => Decision::End(Code::TargetBroke),
            (step, response) => {
                self.fallback = response.or(self.fallback.take());
                match step {
                    NextStep::Retry { draws_on_budget } => Decision::Retry {
                        draws_on_budget,
                        error_code,
                    },
                    NextStep::Await => Decision::Await,
                    NextStep::Deliver | NextStep::End => Decision::End(error_code),
                }
            }
        }
    }

    /// Returns the code that ends the request if no further attempt succeeds.
    fn code(&self, end: AttemptOutcome) -> Code {
        match end {
            AttemptOutcome::Unconfirmed => Code::UnconfirmedRefusal,
            _ if self.may_have_run => Code::TargetBroke,
            AttemptOutcome::NotRun => Code::TargetShed,
            AttemptOutcome::NeverSent => Code::NoTarget,
            // An earlier attempt reached a target that shed the request.
            _ if self.sends > 0 => Code::TargetShed,
            _ => Code::QueueFull,
        }
    }
}
