//! Defines the interface of target selection policies.

use heatherhinge_blackboard::TargetCell;
use heatherhinge_types::{MonoNs, Name};
use rand::Rng;
use std::sync::Arc;

/// Inputs of a selection besides the targets.
#[derive(Clone, Copy, Debug)]
pub struct PickView<'a> {
    /// Time of the decision.
    pub now_ns: MonoNs,
    /// Most requests that may be in flight at a target, from all hosts.
    pub limit: u32,
    /// A target that has just failed this request; it is avoided if there is another.
    pub avoid: Option<&'a Name>,
}

impl PickView<'_> {
    /// Returns whether a target is the one to avoid.
    #[must_use]
    pub fn avoids(&self, cell: &TargetCell) -> bool {
        self.avoid.is_some_and(|name| *name == cell.id)
    }
}

/// Selects one of several targets.
pub trait Picker: Send + Sync + 'static {
    /// Returns the index of the selected target, or `None` when no target that the policy examined
    /// has capacity.
    fn pick<R: Rng>(
        &self,
        targets: &[Arc<TargetCell>],
        view: &PickView<'_>,
        rng: &mut R,
    ) -> Option<usize>;
}
