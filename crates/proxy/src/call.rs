//! One request on its way.

use crate::answer_body::WakeOnDrop;
use crate::headers::Trace;
use crate::request::RequestBody;
use crate::story::Story;
use heatherhinge_blackboard::Basis;
use heatherhinge_policy::{Chosen, Plan};
use heatherhinge_types::{Digest, MonoNs, WallMs};
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use rand_pcg::Pcg64Mcg;

/// A request, what was planned for it, and what has happened to it so far.
pub(crate) struct Call {
    pub(crate) head: Parts,
    pub(crate) body: RequestBody,
    pub(crate) digest: Digest,
    pub(crate) plan: Plan,
    pub(crate) basis: Basis,
    pub(crate) trace: Trace,
    pub(crate) story: Story,
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
pub(crate) struct Held {
    // Declared in this order so that the request has left the target when waiters are woken.
    pub(crate) chosen: Chosen,
    pub(crate) wake: WakeOnDrop,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) response: Response<Incoming>,
    pub(crate) held: Held,
}
