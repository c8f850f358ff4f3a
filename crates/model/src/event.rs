//! Events of the simulation.

use crate::Step;
use heatherhinge_claims::{ClaimResponse, HandedPartition, Settlement};
use heatherhinge_controllers::{OwnershipEvent, RowWrite};
use heatherhinge_types::{Code, WallMs};

/// Result of a request to a target.
#[derive(Clone, Debug)]
pub(crate) enum TargetResponse {
    /// The request ran. The number of the run serves as the body of the response.
    Ran(u64),
    /// The target did not start the request.
    NotRun(Code),
    /// The response was lost or timed out.
    NoResponse,
}

/// An event. `host` is the host concerned and `run` the process that the event is meant for.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick {
        host: usize,
        run: u64,
    },
    StepController {
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
    RequestArrived {
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
    ClaimResponseArrived {
        host: usize,
        run: u64,
        attempt: usize,
        response: ClaimResponse,
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
    TargetRequestArrived {
        attempt: usize,
        not_after: WallMs,
    },
    TargetResponseArrived {
        host: usize,
        run: u64,
        attempt: usize,
        response: TargetResponse,
    },
    Settle {
        host: usize,
        settlement: Settlement,
    },
    HandOver {
        host: usize,
        handed: HandedPartition,
    },
    CallerResponseArrived {
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
    /// Returns the host that must be running and not paused, and the process if only that one may
    /// handle the event.
    pub(crate) fn required_process(&self) -> Option<(usize, Option<u64>)> {
        match self {
            Self::Tick { host, run }
            | Self::StepController { host, run, .. }
            | Self::SendClaim { host, run, .. }
            | Self::ClaimResponseArrived { host, run, .. }
            | Self::ClaimTimeout { host, run, .. }
            | Self::Send { host, run, .. }
            | Self::TargetResponseArrived { host, run, .. } => Some((*host, Some(*run))),
            Self::RequestArrived { host, .. }
            | Self::Claim { host, .. }
            | Self::Settle { host, .. }
            | Self::HandOver { host, .. } => Some((*host, None)),
            _ => None,
        }
    }
}
