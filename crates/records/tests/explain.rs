//! Tests the text that explains decisions against snapshots, and the JSON lines.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{START_WALL_MS, answered, chosen, record, request, waited};
use heatherhinge_blackboard::MoveState;
use heatherhinge_records::{Record, RecordEvent, Subject, explain, json_lines};
use heatherhinge_types::{Digest, Name, Partition, StartId, WallMs};

fn retried(target: &str) -> RecordEvent {
    RecordEvent::Retried {
        target: target.into(),
        code: 1303,
        backoff_ms: 4,
    }
}

fn claimed() -> RecordEvent {
    RecordEvent::Claimed {
        partition: Partition(77),
        owner: "entry-b".into(),
        not_after_wall_ms: WallMs(START_WALL_MS + 90_000),
    }
}

fn step(
    state: MoveState,
    share_permille: u32,
    step: u64,
    failed: u64,
    reason: &str,
) -> RecordEvent {
    RecordEvent::MoveStep {
        service: "orders".into(),
        state,
        share_permille,
        step,
        reason: reason.into(),
        new_good: 300 - failed,
        new_failed: failed,
        old_good: 29_000,
        old_failed: 4,
    }
}

/// Guards against text that is out of order, incomplete or without the versions of the state.
#[test]
fn request_that_was_retried() {
    let id = request("4bf92f35");
    let record_at = |at_ms, event| record(at_ms, "entry-a", id.clone(), event);
    insta::assert_snapshot!(explain(&[
        record_at(12, waited(12)),
        record_at(12, chosen("10.0.1.7:80", 1)),
        record_at(14, retried("10.0.1.7:80")),
        record_at(18, chosen("10.0.2.9:80", 2)),
        record_at(41, answered(200, 2)),
    ]));
}

/// Guards against text that does not say whether a refused booking ran, and against records of
/// several hosts being ordered by host rather than by time, or printed twice.
#[test]
fn booking_that_was_refused() {
    let id = request("0af76519");
    let refused = |code| RecordEvent::Refused { code };
    let from_a = [
        record(0, "entry-a", id.clone(), claimed()),
        record(1, "entry-a", id.clone(), chosen("10.0.1.7:80", 1)),
        record(2_000, "entry-a", id.clone(), refused(1305)),
    ];
    let from_c = [record(2_400, "entry-c", id, refused(1105))];
    let mut records: Vec<Record> = from_c.to_vec();
    records.extend(from_a.clone());
    records.extend(from_a);
    insta::assert_snapshot!(explain(&records));
}

/// Guards against text without the counts on which a move was rolled back.
#[test]
fn move_that_was_rolled_back() {
    let id = Subject::Move("orders-7".into());
    let record_at = |at_ms, event| record(at_ms, "entry-b", id.clone(), event);
    insta::assert_snapshot!(explain(&[
        record_at(
            0,
            step(MoveState::Waiting, 0, 0, 0, "no target of the new version")
        ),
        record_at(
            9_000,
            step(MoveState::Canary, 20, 1, 0, "targets of v2 are warm")
        ),
        record_at(
            40_000,
            step(MoveState::Raising, 100, 2, 0, "not worse on any route")
        ),
        record_at(
            71_000,
            step(
                MoveState::TakenBack,
                0,
                3,
                41,
                "more failures on route book"
            )
        ),
    ]));
}

fn one_of_each_kind() -> Vec<Record> {
    let digest = Digest(u128::MAX - 5);
    let start_id = StartId(u64::MAX);
    let name = Name::from("n");
    let events = [
        chosen("t", 1),
        waited(3),
        answered(200, 1),
        RecordEvent::Refused { code: 9_999 },
        retried("t"),
        claimed(),
        RecordEvent::Replayed {
            partition: Partition(1),
            owner: name.clone(),
        },
        RecordEvent::ColdSeen {
            start_id,
            reason: name.clone(),
        },
        RecordEvent::AllowanceSet { allowance: 2 },
        RecordEvent::WarmAnnounced { start_id },
        RecordEvent::Quarantined {
            digest,
            until_wall_ms: WallMs(START_WALL_MS),
            crashed: vec!["t1".into(), "t2".into()],
        },
        step(MoveState::Late, 1_000, 9, 0, "no calls"),
        RecordEvent::ZoneOut,
        RecordEvent::ZoneBack,
        RecordEvent::BundleInForce { version: 8, digest },
        RecordEvent::BundleAccepted {
            version: 8,
            digest,
            key_id: name.clone(),
        },
        RecordEvent::BundleRefused {
            code: 2105,
            key_id: name.clone(),
        },
        RecordEvent::HostPhase { phase: name },
        RecordEvent::Ownership {
            taken: 3,
            released: 1,
            epoch: 5,
        },
        RecordEvent::RecordsLost { count: 2 },
    ];
    let subjects = [
        Subject::Host,
        Subject::Bundle,
        Subject::Zone("north".into()),
        Subject::Target("t".into()),
    ];
    let subjects = subjects.into_iter().cycle();
    events
        .into_iter()
        .zip(subjects)
        .map(|(event, subject)| record(0, "entry-a", subject, event))
        .collect()
}

/// Guards against a kind of event without a sentence.
#[test]
fn every_kind_has_a_sentence() {
    let records = one_of_each_kind();
    let text = explain(&records);
    insta::assert_snapshot!(text);
    assert_eq!(text.matches("Based on").count(), records.len());
    assert!(!text.contains(": \n"));
    assert_eq!(explain(&[]), "No record was found.\n");
}

/// Guards against a record that cannot be decoded after encoding, such as one with a digest, and
/// against a truncated line that makes the others unreadable.
#[test]
fn json_lines_are_read_back() {
    let records = one_of_each_kind();
    let text = json_lines::encode(&records).unwrap();
    let decoded = json_lines::decode(&text);
    assert_eq!((decoded.records, decoded.bad_lines), (records.clone(), 0));
    let truncated = json_lines::decode(&text[..text.len() - 9]);
    assert_eq!(
        (truncated.records.len(), truncated.bad_lines),
        (records.len() - 1, 1)
    );
}
