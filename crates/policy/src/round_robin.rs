//! Selects the targets in turn, as a baseline.

use crate::random::skip_avoided;
use crate::{PickView, Picker};
use heatherhinge_blackboard::TargetCell;
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Selects the targets in turn.
#[derive(Debug, Default)]
pub struct RoundRobin(AtomicUsize);

impl Picker for RoundRobin {
    fn pick<R: Rng>(
        &self,
        targets: &[Arc<TargetCell>],
        view: &PickView<'_>,
        _rng: &mut R,
    ) -> Option<usize> {
        if targets.is_empty() {
            return None;
        }
        let turn = self.0.fetch_add(1, Ordering::Relaxed);
        Some(skip_avoided(targets, view, turn % targets.len()))
    }
}
