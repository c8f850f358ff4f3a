//! Reports what requests reveal about targets to the controllers.

use heatherhinge_blackboard::TargetCell;
use heatherhinge_types::Digest;
use std::sync::Arc;

/// An observation of a target that a request made.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The target.
    pub target: Arc<TargetCell>,
    /// What was observed.
    pub kind: ObservationKind,
}

/// The kind of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationKind {
    /// A target that is not warm returned a successful response.
    ColdResponse {
        /// Time until the response head, in nanoseconds.
        latency_ns: u64,
    },
    /// A target that is not warm failed.
    ColdFailure,
    /// The target's load report announces that it is leaving.
    Leaving,
    /// The target reported a different start id than before.
    Restarted,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after a request with this digest was sent.
    Broke {
        /// Digest of the request.
        digest: Digest,
    },
}

/// Receives observations. It is called on the request path and must not block.
pub trait Observer: Send + Sync + 'static {
    /// Receives one observation.
    fn observe(&self, observation: Observation);
}

/// Discards observations, for tests and benches of the data path alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullObserver;

impl Observer for NullObserver {
    fn observe(&self, _observation: Observation) {}
}
