//! What happens at a moment of the model.

use crate::Step;
use heatherhinge_claims::{ClaimResponse, HandedPartition, Settlement};
use heatherhinge_controllers::{OwnershipEvent, RowWrite};
use heatherhinge_types::{Code, WallMs};

/// What a target or an owner answered to a sender.
#[derive(Clone, Debug)]
pub(crate) enum TargetAnswer {
    /// The request ran; the number of the run stands for the answer's body.
    Ran(u64),
    /// The target did not start the request.
    NotRun(Code),
    /// The connection broke or the answer did not come in time.
    NoAnswer,
}

/// An event. `host` is the place where it happens and `run` the process that it is meant for.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick {
        host: usize,
        run: u64,
    },
    Control {
        host: usize,
        run: u64,
        event: OwnershipEvent,
    },
    StoreRead {
        host: usize,
        run: u64,
        id: u64,
    },
    StoreWrite {
        host: usize,
        run: u64,
        id: u64,
        parts: Vec<RowWrite>,
    },
    LateWrite {
        parts: Vec<RowWrite>,
    },
    Arrive {
        host: usize,
        attempt: usize,
    },
    SendClaim {
        host: usize,
        run: u64,
        attempt: usize,
    },
    Claim {
        host: usize,
        attempt: usize,
    },
    ClaimAnswered {
        host: usize,
        run: u64,
        attempt: usize,
        answer: ClaimResponse,
    },
    ClaimTimeout {
        host: usize,
        run: u64,
        attempt: usize,
    },
    Send {
        host: usize,
        run: u64,
        attempt: usize,
        not_after: WallMs,
    },
    AtTarget {
        attempt: usize,
        not_after: WallMs,
    },
    TargetAnswered {
        host: usize,
        run: u64,
        attempt: usize,
        answer: TargetAnswer,
    },
    Settle {
        host: usize,
        settlement: Settlement,
    },
    HandOver {
        host: usize,
        handed: HandedPartition,
    },
    Answered {
        attempt: usize,
        is_final: bool,
    },
    CallerTimeout {
        attempt: usize,
    },
    SecondStarted,
    Book,
    InjectFaults,
    Start {
        host: usize,
    },
    HealPartition,
    Scripted {
        step: Step,
    },
}

impl Event {
    /// Returns the host that has to be running and not paused, and the process if it matters.
    pub(crate) fn required_process(&self) -> Option<(usize, Option<u64>)> {
        match self {
            Self::Tick { host, run }
            | Self::Control { host, run, .. }
            | Self::SendClaim { host, run, .. }
            | Self::ClaimAnswered { host, run, .. }
            | Self::ClaimTimeout { host, run, .. }
            | Self::Send { host, run, .. }
            | Self::TargetAnswered { host, run, .. } => Some((*host, Some(*run))),
            Self::Arrive { host, .. }
            | Self::Claim { host, .. }
            | Self::Settle { host, .. }
            | Self::HandOver { host, .. } => Some((*host, None)),
            _ => None,
        }
    }
}
