//! Packing and unpacking of table updates.

use super::*;
use heatherhinge_steering::RowChange;
use heatherhinge_types::{Name, StoreVersion};

fn update(rows: usize) -> TableUpdate {
    let row = |number| RowChange {
        key: Name::from(format!("i-{number}")),
        version: StoreVersion::without_epoch(7),
        content: (number % 5 != 4).then(|| {
            let text = format!("{{\"service\":\"desk\",\"address\":\"10.1.0.{number}:80\"}}");
            text.into_bytes().into()
        }),
    };
    TableUpdate {
        is_whole: true,
        version: StoreVersion::without_epoch(9),
        age_ms: 40,
        rows: (0..rows).map(row).collect(),
    }
}

// Guards against rows, removals or versions that get lost in transit, and against large tables that
// saturate a slow link.
#[test]
fn updates_survive_packing_unchanged() {
    for rows in [0, 3, 400] {
        let packed = PackedUpdate::pack(update(rows));
        if let PackedUpdate::Lz4(bytes) = &packed {
            assert!(bytes.len() * 3 < rows * 50, "{} bytes", bytes.len());
        }
        assert_eq!(packed.unpack(), Ok(update(rows)));
    }
    assert!(matches!(
        PackedUpdate::pack(update(400)),
        PackedUpdate::Lz4(_)
    ));
    assert!(matches!(
        PackedUpdate::pack(update(3)),
        PackedUpdate::Plain(_)
    ));
}

// Guards against a daemon that crashes or runs out of memory because of a corrupt message.
#[test]
fn corrupt_updates_are_rejected() {
    let PackedUpdate::Lz4(packed) = PackedUpdate::pack(update(400)) else {
        panic!("400 rows are packed");
    };
    let mut huge = packed.clone();
    huge[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let truncated = packed[..packed.len() / 2].to_vec();
    for corrupt in [Vec::new(), vec![1, 0], huge, truncated] {
        assert!(PackedUpdate::Lz4(corrupt).unpack().is_err());
    }
}
