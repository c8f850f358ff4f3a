//! Holds the state of a request while it is processed.

use crate::headers::Trace;
use crate::request::RequestBody;
use crate::request_records::RequestRecords;
use crate::response_body::WakeOnDrop;
use heatherhinge_blackboard::SnapshotVersions;
use heatherhinge_policy::{Chosen, RequestPlan};
use heatherhinge_types::{Digest, MonoNs, WallMs};
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use rand_pcg::Pcg64Mcg;

/// A request, its plan and its progress so far.
pub(crate) struct RequestContext {
    pub(crate) head: Parts,
    pub(crate) body: RequestBody,
    pub(crate) digest: Digest,
    pub(crate) plan: RequestPlan,
    pub(crate) basis: SnapshotVersions,
    pub(crate) trace: Trace,
    pub(crate) request_records: RequestRecords,
    pub(crate) arrived_ns: MonoNs,
    /// Total time that attempts spent at targets, in nanoseconds.
    pub(crate) target_ns: u64,
    pub(crate) attempts: u32,
    /// Time from which the request must not be sent, set by its claim.
    pub(crate) not_after_wall_ms: Option<WallMs>,
    pub(crate) rng: Pcg64Mcg,
}

/// A target with a slot that a request occupies.
#[derive(Debug)]
pub(crate) struct AcquiredTarget {
    // Fields drop in this order: the slot is free before a waiting request is woken.
    pub(crate) chosen: Chosen,
    pub(crate) wake: WakeOnDrop,
}

/// A target's response whose head has arrived, with the target that sends it.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) acquired: AcquiredTarget,
}
