//! Keeps the registrations of targets and builds the routing snapshot from them.

use crate::Platform;
use heatherhinge_steering::{
    AppliedChange, Replica, TableUpdate, TargetControl, TargetInputs, TargetTable,
};
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeSet;

/// The replica of the registrations and the targets decoded from it.
#[derive(Debug, Default)]
pub(crate) struct TargetRegistry {
    replica: Replica,
    control: TargetControl,
}

impl TargetRegistry {
    pub(crate) const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the number of registered targets.
    pub(crate) fn len(&self) -> usize {
        self.control.len()
    }

    /// Applies an update and returns whether anything but heartbeats has changed.
    pub(crate) fn apply<P: Platform>(
        &mut self,
        update: &TableUpdate,
        platform: &P,
        now: MonoNs,
    ) -> bool {
        let before = self.replica.as_of();
        let is_same = |before: &[u8], after: &[u8]| platform.is_same_target(before, after);
        let applied = self.replica.apply(update, now, is_same);
        let gap_ms = self.replica.as_of().ms_since(before);
        for change in &applied.changes {
            if applied.begins_epoch {
                self.apply_restored(change, platform, now);
            } else {
                self.apply_change(change, platform, gap_ms, now);
            }
        }
        !applied.changes.is_empty()
    }

    fn apply_change<P: Platform>(
        &mut self,
        change: &AppliedChange,
        platform: &P,
        gap_ms: u64,
        now: MonoNs,
    ) {
        let Some(row) = &change.row else {
            tracing::info!(target = %change.key, gap_ms, "targets: registration removed");
            self.control.remove(&change.key, gap_ms, now);
            return;
        };
        match platform.target(&change.key, &row.content) {
            Ok(entry) => self.control.set(entry, now),
            Err(error) => {
                tracing::debug!(
                    key = %change.key,
                    "targets: invalid registration; its target, if any, is removed: {error}"
                );
                self.control.remove(&change.key, 0, now);
            }
        }
    }

    /// Applies a change of the first update of an epoch, which may show an older state.
    fn apply_restored<P: Platform>(&mut self, change: &AppliedChange, platform: &P, now: MonoNs) {
        let entry = change
            .row
            .as_ref()
            .and_then(|row| platform.target(&change.key, &row.content).ok());
        match entry {
            Some(entry) => self.control.set_restored(entry, now),
            None => self.control.remove_restored(&change.key, now),
        }
    }

    /// Drops targets whose expired registrations have not come back; returns whether any was
    /// dropped.
    pub(crate) fn expire(&mut self, now: MonoNs) -> bool {
        self.control.expire(now)
    }

    /// Returns the number of registered targets that have said that they leave.
    pub(crate) fn leaving(&self) -> usize {
        self.control.leaving()
    }

    /// Builds the routing snapshot.
    pub(crate) fn table(&self, inputs: &TargetInputs<'_>) -> TargetTable {
        self.control.table(self.replica.version(), inputs)
    }
}

/// Returns the ids of the targets that a routing snapshot uses.
pub(crate) fn used_ids(table: &TargetTable) -> BTreeSet<Name> {
    table
        .pools
        .values()
        .flat_map(|pool| [&pool.current, &pool.moving, &pool.trial])
        .flat_map(|group| group.near.iter().chain(&group.far))
        .map(|target| target.id().clone())
        .collect()
}
