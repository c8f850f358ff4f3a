//! Selects a target at random, as a baseline.

use crate::{PickView, Picker};
use heatherhinge_blackboard::TargetCell;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Selects each target with the same probability.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Picker for Random {
    fn pick<R: Rng>(
        &self,
        targets: &[Arc<TargetCell>],
        view: &PickView<'_>,
        rng: &mut R,
    ) -> Option<usize> {
        if targets.is_empty() {
            return None;
        }
        let first = rng.random_range(0..targets.len());
        Some(skip_avoided(targets, view, first))
    }
}

/// Returns `index`, or the next one if the target there is to be avoided.
pub(crate) fn skip_avoided(
    targets: &[Arc<TargetCell>],
    view: &PickView<'_>,
    index: usize,
) -> usize {
    if view.avoids(&targets[index]) {
        (index + 1) % targets.len()
    } else {
        index
    }
}
