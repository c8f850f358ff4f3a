//! Defines the rows of the table service that hold ownership, and conditional writes to them.
//!
//! The types describe rows and conditions; the platform client encodes them. `docs/design.md`,
//! section 6.

use heatherhinge_types::{Name, Partition, WallMs};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Row `host#<id>`: the lease of one entry host. It is never deleted while a partition names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRow {
    /// Name of the host.
    pub host: Name,
    /// Incremented whenever the host acquires its lease anew.
    pub epoch: u64,
    /// Start of the process by its wall clock, which distinguishes runs of the host.
    pub start_wall_ms: WallMs,
    /// End of the lease by the host's wall clock. It never moves back within an epoch.
    pub lease_until_wall_ms: WallMs,
    /// Address of the host's peer protocol.
    pub peer_addr: SocketAddr,
    /// Whether the epoch is over: the host released it, or another host ended it after the lease
    /// had lapsed. A lease that is ended cannot be renewed.
    pub is_ended: bool,
}

/// Row `partition#<n>`: the owner of one partition, written only when the owner changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionRow {
    /// Partition that the row is about.
    pub partition: Partition,
    /// Name of the owner.
    pub owner: Name,
    /// Epoch of the owner's lease under which it took the partition. The tenure is over when that
    /// epoch is.
    pub owner_epoch: u64,
    /// Start of the tenure by the owner's wall clock.
    pub from_wall_ms: WallMs,
}

/// All rows of ownership, as one strongly consistent read returns them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipRows {
    /// Host rows by name.
    pub hosts: BTreeMap<Name, HostRow>,
    /// Partition rows by partition.
    pub partitions: BTreeMap<Partition, PartitionRow>,
}

impl OwnershipRows {
    /// Returns whether all conditions of a transaction hold.
    #[must_use]
    pub fn allow(&self, parts: &[RowWrite]) -> bool {
        parts.iter().all(|part| match part {
            RowWrite::Host { row, condition } => condition.holds(self.hosts.get(&row.host)),
            RowWrite::CheckHost { host, condition } => condition.holds(self.hosts.get(host)),
            RowWrite::Partition { row, condition } => {
                condition.holds(self.partitions.get(&row.partition))
            }
        })
    }

    /// Applies the writes of a transaction that took effect.
    pub fn apply(&mut self, parts: Vec<RowWrite>) {
        for part in parts {
            match part {
                RowWrite::Host { row, .. } => {
                    self.hosts.insert(row.host.clone(), row);
                }
                RowWrite::Partition { row, .. } => {
                    self.partitions.insert(row.partition, row);
                }
                RowWrite::CheckHost { .. } => {}
            }
        }
    }
}

/// Condition on a host row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostCondition {
    /// There is no such row.
    Absent,
    /// The row has this epoch, end of lease and `is_ended`.
    Unchanged {
        /// Required epoch.
        epoch: u64,
        /// Required end of the lease.
        lease_until_wall_ms: WallMs,
        /// Whether the epoch must be over.
        is_ended: bool,
    },
    /// The row has this epoch and is not ended.
    Running {
        /// Epoch that must still be running.
        epoch: u64,
    },
    /// The row has another epoch, or it is ended.
    Ended {
        /// Epoch that must be over.
        epoch: u64,
    },
}

impl HostCondition {
    /// Returns the condition that a row has not changed since it was read.
    #[must_use]
    pub fn unchanged(row: Option<&HostRow>) -> Self {
        row.map_or(Self::Absent, |row| Self::Unchanged {
            epoch: row.epoch,
            lease_until_wall_ms: row.lease_until_wall_ms,
            is_ended: row.is_ended,
        })
    }

    /// Returns whether the condition holds for a row; `None` stands for an absent row.
    #[must_use]
    pub fn holds(&self, row: Option<&HostRow>) -> bool {
        match (self, row) {
            (Self::Absent, row) => row.is_none(),
            (Self::Unchanged { .. }, row) => *self == Self::unchanged(row),
            (Self::Running { epoch }, Some(row)) => row.epoch == *epoch && !row.is_ended,
            (Self::Ended { epoch }, Some(row)) => row.epoch != *epoch || row.is_ended,
            (Self::Running { .. } | Self::Ended { .. }, None) => false,
        }
    }
}

/// Condition on a partition row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionCondition {
    /// There is no such row.
    Absent,
    /// The row has not changed since it was read.
    Unchanged(PartitionRow),
}

impl PartitionCondition {
    /// Returns whether the condition holds for a row; `None` stands for an absent row.
    #[must_use]
    pub fn holds(&self, row: Option<&PartitionRow>) -> bool {
        match self {
            Self::Absent => row.is_none(),
            Self::Unchanged(expected) => row == Some(expected),
        }
    }
}

/// One part of a transaction. Either all parts take effect or none does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowWrite {
    /// Replaces a host row.
    Host {
        /// The new row.
        row: HostRow,
        /// Condition on the old row.
        condition: HostCondition,
    },
    /// Writes nothing but makes the transaction depend on a host row.
    CheckHost {
        /// Name of the host.
        host: Name,
        /// Condition on its row.
        condition: HostCondition,
    },
    /// Replaces a partition row.
    Partition {
        /// The new row.
        row: PartitionRow,
        /// Condition on the old row.
        condition: PartitionCondition,
    },
}
