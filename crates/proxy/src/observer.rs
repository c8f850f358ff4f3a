//! What the data path tells the controllers about targets.

use heatherhinge_blackboard::TargetCell;
use heatherhinge_types::Digest;
use std::sync::Arc;

/// Something that a request showed about a target.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The target.
    pub target: Arc<TargetCell>,
    /// What was seen.
    pub kind: ObservationKind,
}

/// A sign of a target's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationKind {
    /// A target that is not warm gave a good answer.
    ColdAnswer {
        /// Time until the head of the answer, in nanoseconds.
        latency_ns: u64,
    },
    /// A target that is not warm failed.
    ColdFailure,
    /// The target says that it is leaving.
    Leaving,
    /// The target reported another start id than before.
    Restarted,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after a request with this digest was sent.
    Broke {
        /// Digest of the request.
        digest: Digest,
    },
}

/// Takes observations. It is called on the path of a request and must not block.
pub trait Observer: Send + Sync + 'static {
    /// Takes one observation.
    fn observe(&self, observation: Observation);
}

/// Ignores observations, for tests and benches of the data path alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullObserver;

impl Observer for NullObserver {
    fn observe(&self, _observation: Observation) {}
}
