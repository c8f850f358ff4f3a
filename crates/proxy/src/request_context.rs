//! One request on its way.

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

/// A request, what was planned for it, and what has happened to it so far.
pub(crate) struct RequestContext {
    pub(crate) head: Parts,
    pub(crate) body: RequestBody,
    pub(crate) digest: Digest,
    pub(crate) plan: RequestPlan,
    pub(crate) basis: SnapshotVersions,
    pub(crate) trace: Trace,
    pub(crate) request_records: RequestRecords,
    pub(crate) arrived_ns: MonoNs,
    /// Time that attempts took at targets, all together.
    pub(crate) target_ns: u64,
    pub(crate) attempts: u32,
    /// Time after which the request must not be sent, from its claim.
    pub(crate) not_after_wall_ms: Option<WallMs>,
    pub(crate) rng: Pcg64Mcg,
}

/// A target that a request holds.
#[derive(Debug)]
pub(crate) struct AcquiredTarget {
    // Declared in this order so that the request has left the target when waiters are woken.
    pub(crate) chosen: Chosen,
    pub(crate) wake: WakeOnDrop,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) response: Response<Incoming>,
    pub(crate) held: AcquiredTarget,
}
