//! Decides which tenures of this host may adopt the claims of the previous tenure.

use crate::{OwnershipRows, PartitionCondition, PartitionRow, RowWrite};
use heatherhinge_claims::TenureId;
use heatherhinge_types::{Name, Partition};
use std::collections::BTreeMap;

/// Matches received claims with the tenures that this host replaced.
///
/// Claims are complete only for the tenure that follows directly, so they must come from the owner
/// that the row named before this host took the partition.
#[derive(Debug, Default)]
pub(crate) struct Adoption {
    received: BTreeMap<Partition, TenureId>,
    /// The tenure of this host that a write requested, and the one that it replaces.
    replaced: BTreeMap<Partition, (PartitionRow, TenureId)>,
}

impl Adoption {
    /// Records which tenures a transaction would replace.
    pub(crate) fn record_takeover(&mut self, parts: &[RowWrite]) {
        for part in parts {
            let RowWrite::Partition { row, condition } = part else {
                continue;
            };
            match condition {
                PartitionCondition::Unchanged(old) => {
                    let replaced = (row.clone(), tenure_of(old));
                    self.replaced.insert(row.partition, replaced);
                }
                PartitionCondition::Absent => {
                    self.replaced.remove(&row.partition);
                }
            }
        }
    }

    /// Records which tenure claims were received from.
    pub(crate) fn record_received(&mut self, partition: Partition, giver: TenureId) {
        self.received.insert(partition, giver);
    }

    /// Returns whether claims were received from a tenure that the rows still name. Its owner is
    /// stopping, and this host is expected to take the partition soon.
    pub(crate) fn expects_takeover(&self, rows: &OwnershipRows) -> bool {
        self.received.iter().any(|(partition, giver)| {
            let row = rows.partitions.get(partition);
            row.is_some_and(|row| tenure_of(row) == *giver)
        })
    }

    /// Returns the tenure whose claims this host may adopt for a partition that it owns.
    pub(crate) fn giver(&self, row: &PartitionRow) -> Option<&TenureId> {
        let (taken, replaced) = self.replaced.get(&row.partition)?;
        let received = self.received.get(&row.partition)?;
        (taken == row && replaced == received).then_some(received)
    }

    /// Removes the replaced tenures of partitions in which this host has a different tenure by now.
    pub(crate) fn drop_outdated(&mut self, rows: &OwnershipRows, me: &Name) {
        self.replaced.retain(|partition, (taken, _)| {
            let row = rows.partitions.get(partition);
            row.is_none_or(|row| row.owner != *me || row == taken)
        });
    }
}

/// Returns the tenure that a row describes.
pub(crate) fn tenure_of(row: &PartitionRow) -> TenureId {
    TenureId {
        host: row.owner.clone(),
        epoch: row.owner_epoch,
        from_wall_ms: row.from_wall_ms,
    }
}
