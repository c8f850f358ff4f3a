//! In-memory ownership rows, and the sizes of the platform's responses.

use heatherhinge_controllers::{OwnershipRows, RowWrite, TransactionResult};
use heatherhinge_platform::Attribute;
use serde_json::json;
use std::collections::BTreeMap;

/// The table service, without faults and in memory.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: OwnershipRows,
    scan_bytes: Option<u64>,
}

impl Store {
    pub(crate) fn write(&mut self, rows: Vec<RowWrite>) -> TransactionResult {
        if !self.rows.allow(&rows) {
            return TransactionResult::Conflict;
        }
        self.rows.apply(rows);
        self.scan_bytes = None;
        TransactionResult::Applied
    }

    /// Returns the size in bytes of the response to one scan, as DynamoDB JSON. The attributes of
    /// `crates/entryd/src/ownership_store.rs` are repeated here, because the clients' encoding is
    /// private.
    pub(crate) fn scan_bytes(&mut self) -> u64 {
        let rows = &self.rows;
        *self.scan_bytes.get_or_insert_with(|| {
            let hosts = rows.hosts.values().map(|row| {
                json!({ "pk": text(format!("ownership#host#{}", row.host)),
                    "version": number(10_000), "nonce": text(format!("{}-10000", row.host)),
                    "body": Attribute::Bytes(Vec::new()), "epoch": number(row.epoch),
                    "start_wall_ms": number(row.start_wall_ms.0),
                    "lease_until_wall_ms": number(row.lease_until_wall_ms.0),
                    "peer_addr": text(row.peer_addr.to_string()), "is_ended": number(0) })
            });
            let partitions = rows.partitions.values().map(|row| {
                json!({ "pk": text(format!("ownership#partition#{}", row.partition.0)),
                    "version": number(10), "nonce": text(format!("{}-10000", row.owner)),
                    "body": Attribute::Bytes(Vec::new()), "owner": text(row.owner.to_string()),
                    "owner_epoch": number(row.owner_epoch),
                    "from_wall_ms": number(row.from_wall_ms.0) })
            });
            let items: Vec<_> = hosts.chain(partitions).collect();
            json!({ "Items": items, "Count": items.len(), "ScannedCount": items.len() })
                .to_string()
                .len() as u64
        })
    }
}

/// Returns the size in bytes of the response to a read of `bundle#current`.
pub(crate) fn bundle_row_bytes() -> u64 {
    let row = BTreeMap::from([
        ("pk", text("bundle#current".to_owned())),
        ("version", number(100_000)),
        ("nonce", text("entry-0001-100000".to_owned())),
        ("body", Attribute::Bytes(Vec::new())),
        ("digest", text("0".repeat(32))),
    ]);
    json!({ "Item": row }).to_string().len() as u64
}

fn text(value: String) -> Attribute {
    Attribute::Text(value)
}

const fn number(value: u64) -> Attribute {
    Attribute::Number(value)
}
