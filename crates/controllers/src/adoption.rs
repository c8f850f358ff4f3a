//! Which tenures of this host may adopt the claims of the tenure before.

use crate::{OwnershipRows, PartitionCondition, PartitionRow, RowWrite};
use heatherhinge_claims::TenureId;
use heatherhinge_types::{Name, Partition};
use std::collections::BTreeMap;

/// Matches claims that were received with the tenures that this host replaced.
///
/// Claims are complete only for the tenure that follows directly, so the giver must be the owner
/// that the row named before this host took it.
#[derive(Debug, Default)]
pub(crate) struct Adoption {
    received: BTreeMap<Partition, TenureId>,
    /// The tenure of this host that a write asked for, and the one that it replaced.
    replaced: BTreeMap<Partition, (PartitionRow, TenureId)>,
}

impl Adoption {
    /// Remembers which tenures a transaction would replace.
    pub(crate) fn note_takes(&mut self, parts: &[RowWrite]) {
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

    /// Remembers which tenure claims were received from.
    pub(crate) fn note_received(&mut self, partition: Partition, giver: TenureId) {
        self.received.insert(partition, giver);
    }

    /// Returns whether claims were received from a tenure that the rows still name. Its owner
    /// stops, and this host is expected to take the partition soon.
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

    /// Forgets what concerns partitions that are owned by others again.
    pub(crate) fn forget_lost(&mut self, rows: &OwnershipRows, me: &Name) {
        self.replaced.retain(|partition, (taken, _)| {
            let row = rows.partitions.get(partition);
            row.is_none_or(|row| row.owner != *me || row == taken)
        });
    }
}

/// Names the tenure that a row stands for.
pub(crate) fn tenure_of(row: &PartitionRow) -> TenureId {
    TenureId {
        host: row.owner.clone(),
        epoch: row.owner_epoch,
        from_wall_ms: row.from_wall_ms,
    }
}
