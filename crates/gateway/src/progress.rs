//! How far a request has come over its attempts.

use crate::ResponseBody;
use crate::attempt::Attempted;
use crate::call::Call;
use heatherhinge_steering::{AttemptContext, AttemptOutcome, NextStep, after_attempt};
use heatherhinge_types::{Code, Name};
use http::Response;

/// What the attempts of a request share.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) sends: u32,
    pub(crate) misses: u32,
    /// Targets whose attempts have ended.
    pub(crate) ended: Vec<Name>,
    /// Whether an attempt that was sent may have run.
    pub(crate) may_have_run: bool,
    /// Answer of a target that is passed on if no attempt does better.
    pub(crate) fallback: Option<Response<ResponseBody>>,
}

/// Ends a request that was not answered in time.
pub(crate) fn end_late(
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

/// What a request does after an attempt.
pub(crate) enum Decision {
    Deliver(Box<Response<ResponseBody>>),
    Await,
    Retry {
        draws_on_budget: bool,
        otherwise: Code,
    },
    End(Code),
}

impl Progress {
    /// Returns the attempts that have reached a target or may still do so.
    pub(crate) fn started(&self, pending: usize) -> u32 {
        self.sends + u32::try_from(pending).unwrap_or(u32::MAX)
    }

    pub(crate) fn next(&mut self, call: &Call, attempted: Attempted, pending: usize) -> Decision {
        match attempted.end {
            AttemptOutcome::NoTarget | AttemptOutcome::NeverSent => self.misses += 1,
            AttemptOutcome::NotRun => self.sends += 1,
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Broke => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
        let facts = AttemptContext {
            end: attempted.end,
            is_idempotent: call.route.kind.is_idempotent(),
            sends: self.sends,
            misses: self.misses,
            max_sends: call.route.max_attempts.max(1),
            pending,
        };
        let otherwise = self.code(attempted.end);
        let step = after_attempt(&facts);
        match (step, attempted.response) {
            (NextStep::Deliver, Some(response)) => Decision::Deliver(Box::new(response)),
            (NextStep::Deliver, None) => Decision::End(Code::TargetBroke),
            (step, response) => {
                self.fallback = response.or(self.fallback.take());
                match step {
                    NextStep::Retry { draws_on_budget } => Decision::Retry {
                        draws_on_budget,
                        otherwise,
                    },
                    NextStep::Await => Decision::Await,
                    NextStep::Deliver | NextStep::End => Decision::End(otherwise),
                }
            }
        }
    }

    /// Returns the code that ends the request when nothing better comes.
    fn code(&self, end: AttemptOutcome) -> Code {
        if self.may_have_run {
            return Code::TargetBroke;
        }
        match end {
            AttemptOutcome::NotRun => Code::TargetShed,
            AttemptOutcome::NeverSent => Code::NoTarget,
            // A target with room has shed the request before.
            _ if self.sends > 0 => Code::TargetShed,
            _ => Code::QueueFull,
        }
    }
}
