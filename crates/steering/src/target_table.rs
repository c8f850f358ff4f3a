//! Routing snapshot: the targets that may receive requests, by service and version.

use crate::{MoveStage, MoveTracker, Side, Target};
use heatherhinge_types::Name;
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

/// Targets of a service.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    /// All targets when no move is in progress, else those of the old versions.
    pub current: TargetGroup,
    /// Targets of the new version of a move.
    pub moving: TargetGroup,
    /// The move in progress, if there is one.
    pub tracker: Option<Arc<MoveTracker>>,
}

impl ServicePool {
    /// Returns whether all requests may go to the new version when the current one has no targets.
    #[must_use]
    pub fn may_move_all(&self) -> bool {
        self.tracker
            .as_ref()
            .is_some_and(|tracker| tracker.stage() != MoveStage::RolledBack)
    }

    /// Returns the targets of a side. Without a move all targets are on [`Side::Current`].
    #[must_use]
    pub const fn group(&self, side: Side) -> &TargetGroup {
        match side {
            Side::Current => &self.current,
            Side::Moving => &self.moving,
        }
    }
}

/// All targets that may receive requests, by service.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// Version of the stored table that this one was built from.
    pub stored_version: u64,
    /// Pools by service.
    pub pools: BTreeMap<Name, Arc<ServicePool>>,
}
