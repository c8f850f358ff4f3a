//! Records the targets that a request was sent to.

use arc_swap::ArcSwap;
use heatherhinge_steering::TargetLoad;
use heatherhinge_types::Name;
use std::sync::Arc;

/// A send of a request.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    /// Id of the target.
    pub(crate) target: Name,
    /// Load that it reported before the send.
    pub(crate) load: TargetLoad,
}

/// Sends of one request. Its attempts run concurrently, and each must avoid the targets of the
/// others.
#[derive(Debug, Default)]
pub(crate) struct SentLog(ArcSwap<Vec<Sent>>);

impl SentLog {
    /// Records a send.
    pub(crate) fn push(&self, target: Name, load: TargetLoad) {
        let sent = Sent { target, load };
        self.0.rcu(|old| {
            let mut new = Vec::clone(old);
            new.push(sent.clone());
            new
        });
    }

    /// Returns a snapshot of the sends so far.
    pub(crate) fn read(&self) -> Arc<Vec<Sent>> {
        self.0.load_full()
    }

    /// Returns whether the request has not been sent to any target.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.load().is_empty()
    }

    /// Returns whether the request was sent to a target.
    pub(crate) fn contains(&self, target: &Name) -> bool {
        self.0.load().iter().any(|sent| sent.target == *target)
    }
}
