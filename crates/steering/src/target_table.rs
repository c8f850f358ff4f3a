//! Routing snapshot: the targets that may receive requests, by service and version.

use crate::{MoveStage, MoveTracker, Side, Target};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Targets of one version of a service.
#[derive(Clone, Debug, Default)]
pub struct TargetGroup {
    /// Targets in the zone of this host.
    pub near: Vec<Arc<Target>>,
    /// Targets in other zones.
    pub far: Vec<Arc<Target>>,
}

impl TargetGroup {
    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns whether both lists are empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl TargetGroup {
    /// Iterates over the targets of all zones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.near.iter().chain(&self.far)
    }

    /// Returns for how long no target but the `excluded` ones wants anything, in milliseconds;
    /// `None` if one may get a request now, or if there is none.
    pub fn held_off_ms(&self, excluded: impl Fn(&Target) -> bool, now: MonoNs) -> Option<u64> {
        let mut candidates = self.iter().filter(|target| !excluded(target)).peekable();
        candidates.peek()?;
        let mut shortest = u64::MAX;
        for target in candidates {
            if !target.wants_nothing(now) {
                return None;
            }
            if !target.cell.is_leaving() {
                shortest = shortest.min(target.cell.held_off_ms(now));
            }
        }
        Some(shortest)
    }
}

/// Targets of a service.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    /// All targets when no move is in progress, else those of the old versions.
    pub current: TargetGroup,
    /// Targets of the new version of a move.
    pub moving: TargetGroup,
    /// Those of the new version that receive its share while it is unproven, the same on all hosts.
    /// They are so few that each bears about its usual load, because some versions fail only under
    /// load.
    pub trial: TargetGroup,
    /// The move in progress, if there is one.
    pub tracker: Option<Arc<MoveTracker>>,
}

impl ServicePool {
    /// Chooses the side of a search and the targets to search among; see
    /// [`MoveTracker::choose_side`]. Without a move all targets are on [`Side::Current`]. When the
    /// old versions have no targets, all requests go to the new one unless it was rolled back.
    #[must_use]
    pub fn choose(&self, is_first_search: bool) -> (Side, &TargetGroup) {
        let Some(tracker) = &self.tracker else {
            return (Side::Current, &self.current);
        };
        let stage = tracker.stage();
        match tracker.choose_side(is_first_search) {
            Side::Current if self.current.is_empty() && stage != MoveStage::RolledBack => {
                (Side::Moving, &self.moving)
            }
            Side::Current => (Side::Current, &self.current),
            Side::Moving if stage < MoveStage::Shift => (Side::Moving, &self.trial),
            Side::Moving => (Side::Moving, &self.moving),
        }
    }
}

/// All targets that may receive requests, by service.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// Version of the stored table that this one was built from.
    pub stored_version: StoreVersion,
    /// Registered targets that are left out because they have said that they leave.
    pub leaving: usize,
    /// Pools by service.
    pub pools: BTreeMap<Name, Arc<ServicePool>>,
}
