//! Tests idempotency keys, digests, load reports and result code numbers.

use heatherhinge_types::{
    Code, Digest, IdempotencyKey, IdempotencyKeyError, LoadReport, Partition, WallMs,
};
use std::collections::BTreeSet;
use yare::parameterized;

/// Guards against a key whose issue time or partition is read from the wrong bytes.
#[test]
fn key_carries_issue_time_and_partition() {
    let key = IdempotencyKey::new(WallMs(1_700_000_000_123), [1, 2, 3, 4, 5, 6, 7, 8, 9, 42]);
    assert_eq!(key.issued_wall_ms(), WallMs(1_700_000_000_123));
    assert_eq!(key.partition(), Partition(42));
    assert_eq!(key.to_string().parse(), Ok(key));
    assert_eq!(format!("\"{key}\"").parse(), Ok(key));
}

/// Guards against a key without an issue time that is accepted.
#[parameterized(
    empty = { "", IdempotencyKeyError::NotUuid },
    words = { "order-17", IdempotencyKeyError::NotUuid },
    random = { "9b2f1a55-6d0c-4b57-8f2e-0a1b2c3d4e5f", IdempotencyKeyError::NotVersion7 },
)]
fn key_without_issue_time_is_rejected(text: &str, error: IdempotencyKeyError) {
    assert_eq!(text.parse::<IdempotencyKey>(), Err(error));
}

/// Guards against two requests that have one digest because their joined parts are equal.
#[test]
fn digest_separates_parts() {
    assert_ne!(
        Digest::of_parts(&[b"ab", b"c"]),
        Digest::of_parts(&[b"a", b"bc"])
    );
}

/// Guards against a malformed load report that is read as that of an idle target.
#[parameterized(
    empty = { "" },
    no_slots = { "inflight=1;start=2;uptime-ms=3" },
    negative = { "inflight=-1;slots=5;start=2;uptime-ms=3" },
    words = { "inflight=few;slots=5;start=2;uptime-ms=3" },
)]
fn malformed_load_report_is_rejected(text: &str) {
    assert!(text.parse::<LoadReport>().is_err());
}

/// Guards against a code number that is assigned twice or not mapped back to its code.
#[test]
fn code_numbers_are_unique() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    assert!(
        Code::ALL
            .iter()
            .all(|code| Code::from_number(code.number()) == Some(*code))
    );
}
