//! Selects the less loaded of two random targets, as a baseline.

use crate::{PickView, Picker};
use heatherhinge_blackboard::TargetCell;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Selects the one of two random targets that has fewer of this host's requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Picker for TwoChoices {
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
        let second = rng.random_range(0..targets.len());
        let key = |index: usize| (view.avoids(&targets[index]), targets[index].own_in_flight());
        Some(if key(second) < key(first) {
            second
        } else {
            first
        })
    }
}
