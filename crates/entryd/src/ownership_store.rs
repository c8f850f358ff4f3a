//! Reads and writes the ownership rows in the table service.

use bytes::Bytes;
use heatherhinge_controllers::{
    HostCondition, HostRow, OwnershipRows, PartitionCondition, PartitionRow, RowWrite,
    TransactionResult,
};
use heatherhinge_platform::{Attribute, Condition, Item, PlatformError, Table, TableClient, Write};
use heatherhinge_types::{Name, Partition, WallMs};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Prefix of the keys of all ownership rows, so that one scan reads them.
const OWNERSHIP_PREFIX: &str = "ownership#";
const HOST_PREFIX: &str = "ownership#host#";
const PARTITION_PREFIX: &str = "ownership#partition#";

/// Reads and writes the ownership rows.
///
/// The table service compares one version number, while the controller sets conditions on the
/// content of a row. A condition is checked against the row as last read or written here, and the
/// write requires that row's version, which is at least as strict.
#[derive(Debug)]
pub(crate) struct OwnershipStore {
    table: TableClient,
    cached: Mutex<CachedRows>,
}

#[derive(Clone, Debug, Default)]
struct CachedRows {
    rows: OwnershipRows,
    versions: BTreeMap<String, u64>,
}

impl OwnershipStore {
    pub(crate) fn new(table: TableClient) -> Self {
        Self {
            table,
            cached: Mutex::new(CachedRows::default()),
        }
    }

    /// Reads all rows.
    pub(crate) async fn read(&self) -> Result<OwnershipRows, PlatformError> {
        let items = self.table.scan(OWNERSHIP_PREFIX).await?;
        let mut cached = CachedRows::default();
        for item in &items {
            cached.add(item).ok_or_else(|| {
                PlatformError::Malformed(format!(
                    "ownership row {} has a missing or invalid field",
                    item.pk
                ))
            })?;
        }
        let rows = cached.rows.clone();
        *self.lock() = cached;
        Ok(rows)
    }

    /// Writes rows in one transaction.
    pub(crate) async fn write(&self, rows: Vec<RowWrite>, nonce: &str) -> TransactionResult {
        let Some(writes) = self.lock().writes(&rows, nonce) else {
            return TransactionResult::Conflict;
        };
        match self.table.transact(&writes).await {
            Ok(()) => {
                self.lock().apply_written(rows, &writes);
                TransactionResult::Applied
            }
            Err(PlatformError::Conflict) => TransactionResult::Conflict,
            Err(PlatformError::OutcomeUnknown) => TransactionResult::Unknown,
            Err(PlatformError::Unavailable) => TransactionResult::Unavailable,
            Err(PlatformError::Malformed(detail)) => {
                tracing::error!(
                    "owner: the table service rejected a write of ownership rows: {detail}"
                );
                TransactionResult::Unavailable
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, CachedRows> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CachedRows {
    fn add(&mut self, item: &Item) -> Option<()> {
        self.versions.insert(item.pk.clone(), item.version);
        if let Some(host) = item.pk.strip_prefix(HOST_PREFIX) {
            let row = host_row(host, item)?;
            self.rows.hosts.insert(row.host.clone(), row);
        } else {
            let number: u8 = item.pk.strip_prefix(PARTITION_PREFIX)?.parse().ok()?;
            let row = partition_row(Partition(number), item)?;
            self.rows.partitions.insert(row.partition, row);
        }
        Some(())
    }

    /// Returns the writes, or `None` if a condition does not hold for the cached rows.
    fn writes(&self, rows: &[RowWrite], nonce: &str) -> Option<Vec<Write>> {
        if !self.rows.allow(rows) {
            return None;
        }
        Some(rows.iter().map(|row| self.write(row, nonce)).collect())
    }

    fn write(&self, row: &RowWrite, nonce: &str) -> Write {
        match row {
            RowWrite::Host { row, condition } => {
                let pk = host_key(&row.host);
                let is_absent = *condition == HostCondition::Absent;
                let (version, condition) = self.version_and_condition(&pk, is_absent);
                Write::Put {
                    item: host_item(row, pk, version, nonce),
                    condition,
                }
            }
            RowWrite::CheckHost { host, condition } => {
                let pk = host_key(host);
                let is_absent = *condition == HostCondition::Absent;
                let (_, condition) = self.version_and_condition(&pk, is_absent);
                Write::Check { pk, condition }
            }
            RowWrite::Partition { row, condition } => {
                let pk = partition_key(row.partition);
                let is_absent = *condition == PartitionCondition::Absent;
                let (version, condition) = self.version_and_condition(&pk, is_absent);
                Write::Put {
                    item: partition_item(row, pk, version, nonce),
                    condition,
                }
            }
        }
    }

    fn version_and_condition(&self, pk: &str, is_absent: bool) -> (u64, Condition) {
        match self.versions.get(pk) {
            Some(version) if !is_absent => (version + 1, Condition::Version(*version)),
            _ => (1, Condition::NotExists),
        }
    }

    fn apply_written(&mut self, rows: Vec<RowWrite>, writes: &[Write]) {
        for write in writes {
            if let Write::Put { item, .. } = write {
                self.versions.insert(item.pk.clone(), item.version);
            }
        }
        self.rows.apply(rows);
    }
}

fn host_key(host: &Name) -> String {
    format!("{HOST_PREFIX}{host}")
}

fn partition_key(partition: Partition) -> String {
    format!("{PARTITION_PREFIX}{partition}")
}

fn item(pk: String, version: u64, nonce: &str, attributes: Vec<(&str, Attribute)>) -> Item {
    Item {
        pk,
        version,
        nonce: nonce.to_owned(),
        body: Bytes::new(),
        attributes: attributes
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    }
}

fn host_item(row: &HostRow, pk: String, version: u64, nonce: &str) -> Item {
    let attributes = vec![
        ("epoch", Attribute::Number(row.epoch)),
        ("start_wall_ms", Attribute::Number(row.start_wall_ms.0)),
        (
            "lease_until_wall_ms",
            Attribute::Number(row.lease_until_wall_ms.0),
        ),
        ("peer_addr", Attribute::Text(row.peer_addr.to_string())),
        ("is_ended", Attribute::Number(u64::from(row.is_ended))),
    ];
    item(pk, version, nonce, attributes)
}

fn host_row(host: &str, item: &Item) -> Option<HostRow> {
    Some(HostRow {
        host: Name::from(host),
        epoch: item.number("epoch")?,
        start_wall_ms: WallMs(item.number("start_wall_ms")?),
        lease_until_wall_ms: WallMs(item.number("lease_until_wall_ms")?),
        peer_addr: item.text("peer_addr")?.parse().ok()?,
        is_ended: item.number("is_ended")? != 0,
    })
}

fn partition_item(row: &PartitionRow, pk: String, version: u64, nonce: &str) -> Item {
    let attributes = vec![
        ("owner", Attribute::Text(row.owner.to_string())),
        ("owner_epoch", Attribute::Number(row.owner_epoch)),
        ("from_wall_ms", Attribute::Number(row.from_wall_ms.0)),
    ];
    item(pk, version, nonce, attributes)
}

fn partition_row(partition: Partition, item: &Item) -> Option<PartitionRow> {
    Some(PartitionRow {
        partition,
        owner: Name::from(item.text("owner")?),
        owner_epoch: item.number("owner_epoch")?,
        from_wall_ms: WallMs(item.number("from_wall_ms")?),
    })
}
