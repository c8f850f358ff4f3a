//! Tests which records a host keeps, drops, counts and uploads.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{answered, chosen, record, request, waited};
use heatherhinge_records::{
    BATCH_LIMIT_RECORDS, Batch, Record, RecordEvent, RecordRing, RecordSink, Sampler, Subject,
    record_queue,
};
use heatherhinge_types::{Name, WallMs};
use yare::parameterized;

const NOW: WallMs = WallMs(common::START_WALL_MS);

fn ring(one_in: u64, limit: usize) -> RecordRing {
    RecordRing::new(Name::from("entry-a"), Sampler::one_in(1, one_in), limit)
}

fn plain(id: usize) -> Record {
    record(
        id as u64,
        "entry-a",
        request(&format!("p{id}")),
        chosen("t1", 1),
    )
}

fn refused(id: usize) -> Record {
    let event = RecordEvent::Refused { code: 1201 };
    record(id as u64, "entry-a", request(&format!("r{id}")), event)
}

fn upload(ring: &mut RecordRing) -> Option<Batch> {
    let batch = ring.next_batch(NOW)?;
    ring.confirm(batch.sequence);
    Some(batch)
}

/// Guards against a sample that depends on more than seed and id, or is not one in a hundred.
#[test]
fn sample_is_one_in_a_hundred_and_repeats() {
    let ids: Vec<Name> = (0..20_000).map(|n| Name::from(format!("r{n}"))).collect();
    let kept = |seed| -> Vec<&Name> {
        let sampler = Sampler::new(seed);
        ids.iter().filter(|id| sampler.keeps(id)).collect()
    };
    assert_eq!(kept(1), kept(1));
    assert_ne!(kept(1), kept(2));
    // With 20,000 requests the standard deviation is 14; the bounds allow 5 of them on each side.
    assert!((130..=270).contains(&kept(1).len()), "{}", kept(1).len());
}

/// Guards against refusals being evicted before plain or sampled successes, and against uncounted
/// losses of records that should have been uploaded.
#[parameterized(
    plain_is_evicted_first = { 1_000_000, &[3, 3], &[3, 1], 0 },
    sampled_is_evicted_before_refused = { 1, &[3, 3], &[3, 1], 2 },
    refused_is_evicted_last = { 1, &[0, 6], &[4, 0], 2 },
)]
fn full_ring_evicts_by_class(one_in: u64, pushed: &[usize; 2], left: &[usize; 2], lost: u64) {
    let mut ring = ring(one_in, 4);
    (0..pushed[1]).for_each(|id| ring.push(refused(id)));
    (0..pushed[0]).for_each(|id| ring.push(plain(id)));
    let count = |make: fn(usize) -> Record| {
        (0..6)
            .filter(|id| ring.find(&make(*id).subject).next().is_some())
            .count()
    };
    assert_eq!([count(refused), count(plain)], *left);
    assert_eq!((ring.len(), ring.lost()), (4, lost));
}

/// Guards against unreported losses: the next batch has a record with their count, once.
#[test]
fn losses_are_recorded_once() {
    let mut ring = ring(1, 4);
    (0..9).for_each(|id| ring.push(refused(id)));
    let batch = upload(&mut ring).unwrap();
    let lost: Vec<_> = batch
        .records
        .iter()
        .filter(|r| matches!(r.event, RecordEvent::RecordsLost { .. }))
        .collect();
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].event, RecordEvent::RecordsLost { count: 5 });
    // The record of the loss evicted one more record from the full ring, which is counted next.
    let next = upload(&mut ring).unwrap();
    assert_eq!(next.records[0].event, RecordEvent::RecordsLost { count: 1 });
    assert_eq!(upload(&mut ring), None);
}

/// Guards against a batch being lost or changed when the response to its upload is lost, and
/// against a late confirmation of an earlier batch removing a later one.
#[test]
fn batch_is_repeated_until_confirmed() {
    let mut ring = ring(1, 100);
    ring.push(refused(1));
    let first = ring.next_batch(NOW).unwrap();
    ring.push(refused(2));
    assert_eq!(ring.next_batch(NOW).unwrap(), first);
    ring.confirm(first.sequence);
    let second = ring.next_batch(NOW).unwrap();
    assert_eq!(second.sequence, first.sequence + 1);
    assert_eq!(second.records[..], [refused(2)]);
    ring.confirm(first.sequence);
    assert_eq!(ring.next_batch(NOW).unwrap(), second);
}

/// Guards against a batch of unbounded size after an outage of the object store.
#[test]
fn batches_are_bounded_and_in_order() {
    let mut ring = ring(1, 65_536);
    (0..BATCH_LIMIT_RECORDS + 1)
        .for_each(|id| ring.push(if id % 3 == 0 { refused(id) } else { plain(id) }));
    let batch = upload(&mut ring).unwrap();
    assert_eq!(batch.records.len(), BATCH_LIMIT_RECORDS);
    assert!(batch.records.is_sorted_by_key(|r| r.at_wall_ms));
    assert_eq!(upload(&mut ring).unwrap().records.len(), 1);
}

/// Guards against records that were not uploaded being evicted while uploaded ones stay in memory.
#[test]
fn uploaded_records_are_evicted_first() {
    let mut ring = ring(1, 4);
    (0..3).for_each(|id| ring.push(refused(id)));
    upload(&mut ring).unwrap();
    (3..7).for_each(|id| ring.push(refused(id)));
    assert_eq!(ring.lost(), 0);
    assert_eq!(upload(&mut ring).unwrap().records.len(), 4);
}

/// Guards against an incomplete history of a retried request: its first attempt is recorded before
/// the record that is always kept, and its response after it.
#[test]
fn history_of_a_retried_request_is_complete() {
    let mut ring = ring(1_000_000, 100);
    let id = request("r1");
    let retried = RecordEvent::Retried {
        target: "t1".into(),
        code: 1304,
        backoff_ms: 3,
    };
    let events = [chosen("t1", 1), retried, chosen("t2", 2), answered(200, 1)];
    for (at_ms, event) in events.into_iter().enumerate() {
        ring.push(record(at_ms as u64, "entry-a", id.clone(), event));
        ring.push(plain(at_ms));
    }
    let batch = upload(&mut ring).unwrap();
    assert_eq!(batch.records.len(), 4);
    assert!(batch.records.iter().all(|r| r.subject == id));
    assert_eq!(ring.find(&id).count(), 4);
    assert_eq!(
        ring.find(&request("p0")).count(),
        1,
        "unsampled records can be found in memory too"
    );
}

/// Guards against work per record that grows with the number of records of the same id, with which
/// this test would run for hours.
#[test]
fn work_per_record_is_bounded_for_one_id() {
    let mut ring = ring(1_000_000, 65_536);
    let id = request("same");
    for at_ms in 0..200_000 {
        let event = if at_ms % 1_000 == 999 {
            waited(1)
        } else {
            chosen("t1", 1)
        };
        ring.push(record(at_ms, "entry-a", id.clone(), event));
    }
    assert_eq!((ring.len(), ring.find(&id).count()), (65_536, 65_536));
}

/// Guards against the sink blocking the path of a request when the queue is not drained.
#[test]
fn full_queue_drops_and_counts() {
    let (sink, queue) = record_queue(2);
    (0..5).for_each(|id| sink.record(refused(id)));
    let mut ring = ring(1, 100);
    assert_eq!(queue.drain_into(&mut ring), 2);
    assert_eq!(ring.lost(), 3);
    assert_eq!(queue.drain_into(&mut ring), 0);
    assert_eq!(ring.lost(), 3);
}

/// Guards against events of plain successes being always kept, and other events being sampled.
#[parameterized(
    first_attempt = { chosen("t", 1), true },
    second_attempt = { chosen("t", 2), false },
    good_response = { answered(200, 1), true },
    response_after_retry = { answered(200, 2), false },
    failed_response = { answered(503, 1), false },
    wait_in_queue = { waited(1), false },
    zone_out = { RecordEvent::ZoneOut, false },
)]
fn only_plain_successes_are_sampled(event: RecordEvent, expected: bool) {
    assert_eq!(event.is_plain_success(), expected);
    let mut ring = ring(1_000_000, 100);
    ring.push(record(0, "entry-a", request("x"), event));
    assert_eq!(ring.find(&Subject::Host).count(), 0);
    assert_eq!(upload(&mut ring).is_none(), expected);
}
