//! Which calls a host makes to the store, and how many.

use super::*;

const LEAVE_MS: u64 = 2_000;

fn facts(is_reader: bool, targets_age_ms: u64) -> StoreFacts {
    StoreFacts {
        reader_place: is_reader.then_some(0),
        orders_behind_ms: 0,
        is_alone: false,
        orders_version: 5,
        targets_version: 5,
        targets_age_ms,
    }
}

fn start() -> (StoreCallScheduler, MonoNs) {
    let now = MonoNs::from_ms(10_000);
    (
        StoreCallScheduler::new(now, StartupDelays::default(), LEAVE_MS),
        now,
    )
}

fn reads(calls: &[StoreCall], of: StoredTable) -> usize {
    let is_read = |call: &&StoreCall| matches!(call, StoreCall::Read { table, .. } if *table == of);
    calls.iter().filter(is_read).count()
}

/// Plays a host whose calls all end at once in the same way and counts its reads.
fn play(facts: &StoreFacts, fault: Option<&StoreError>, lasts_ms: u64) -> (usize, usize) {
    let (mut duty, start) = start();
    let (mut targets, mut orders) = (0, 0);
    for ms in (0..lasts_ms).step_by(10) {
        let now = start.plus_ms(ms);
        for call in duty.next(facts, now) {
            if let StoreCall::Read { table, .. } = call {
                match table {
                    StoredTable::Targets => targets += 1,
                    StoredTable::Orders => orders += 1,
                }
                duty.ended(table, fault, now);
            }
        }
    }
    (targets, orders)
}

// Guards against a follower that calls although others have told it all.
#[test]
fn a_follower_with_fresh_copies_makes_no_call() {
    assert_eq!(play(&facts(false, 300), None, 10_000), (0, 0));
}

// Guards against readers that all read at the same moment: their copies are equally old, and five
// readers made 5.2 calls a second where one call was enough.
#[test]
fn the_other_readers_leave_the_first_one_time_to_read() {
    let relief = |targets_age_ms| StoreFacts {
        reader_place: Some(1),
        ..facts(true, targets_age_ms)
    };
    let (mut duty, now) = start();
    let age_ms = LEAVE_MS * 45 / 100;
    assert_eq!(
        reads(&duty.next(&relief(age_ms), now), StoredTable::Targets),
        0
    );
    assert_eq!(
        reads(&duty.next(&facts(true, age_ms), now), StoredTable::Targets),
        1
    );
    let (mut duty, now) = start();
    let age_ms = LEAVE_MS * 55 / 100;
    assert_eq!(
        reads(&duty.next(&relief(age_ms), now), StoredTable::Targets),
        1
    );
}

// Guards against a stale follower that waits for others.
#[test]
fn a_follower_reads_when_its_copy_is_old() {
    let (mut duty, now) = start();
    let calls = duty.next(&facts(false, LEAVE_MS * 7 / 10), now);
    assert_eq!(reads(&calls, StoredTable::Targets), 1);
    assert_eq!(reads(&calls, StoredTable::Orders), 1);
}

// Guards against a fleet that waits for its few readers after all hosts have lost power, and
// against one whose hosts all take up the readers' part at that moment.
#[test]
fn a_restarted_host_reads_only_what_it_lacks() {
    let now = MonoNs::from_ms(10_000);
    let startup_delays = StartupDelays {
        initial_read_delay_ms: 80,
        regular_calls_delay_ms: 1_500,
    };
    let mut duty = StoreCallScheduler::new(now, startup_delays, LEAVE_MS);
    let empty = StoreFacts {
        is_alone: true,
        orders_version: 0,
        targets_version: 0,
        ..facts(true, u64::MAX)
    };
    assert_eq!(duty.next(&empty, now.plus_ms(60)), []);
    let calls = duty.next(&empty, now.plus_ms(120));
    assert_eq!(reads(&calls, StoredTable::Targets), 1);
    assert_eq!(reads(&calls, StoredTable::Orders), 1);
    assert_eq!(calls.len(), 2);
    duty.ended(StoredTable::Targets, None, now.plus_ms(150));
    duty.ended(StoredTable::Orders, None, now.plus_ms(150));
    let full = StoreFacts {
        is_alone: true,
        ..facts(true, 900)
    };
    assert_eq!(duty.next(&full, now.plus_ms(1_000)), []);
    assert!(
        duty.next(&full, now.plus_ms(1_500))
            .contains(&StoreCall::Register)
    );
}

// Guards against hundreds of calls while reads bring nothing newer: 8,232 calls were made on a day
// on which the store dropped its history for 12 s.
#[test]
fn reads_that_bring_nothing_are_not_repeated_at_once() {
    let (targets, orders) = play(&facts(false, 5_000), None, 10_000);
    assert!(
        targets <= 21 && orders <= 21,
        "{targets} and {orders} reads"
    );
    let lost = StoreError::HistoryLost;
    let (targets, _) = play(&facts(true, 5_000), Some(&lost), 10_000);
    assert!(targets <= 23, "{targets} reads");
}

// Guards against a wait where the history is lost for the first time.
#[test]
fn a_lost_history_is_followed_by_a_whole_read_at_once() {
    let (mut duty, now) = start();
    duty.next(&facts(true, 1_000), now);
    duty.ended(StoredTable::Orders, Some(&StoreError::HistoryLost), now);
    let calls = duty.next(&facts(true, 0), now);
    let is_whole = |call: &StoreCall| matches!(call, StoreCall::Read { after: 0, .. });
    assert!(calls.iter().any(is_whole), "{calls:?}");
}

// Guards against hosts that stay with old orders although another host has newer ones.
#[test]
fn known_newer_orders_are_read_from_the_store() {
    let (mut duty, now) = start();
    let behind = StoreFacts {
        orders_behind_ms: ORDERS_BEHIND_MS,
        ..facts(false, 100)
    };
    assert_eq!(reads(&duty.next(&behind, now), StoredTable::Orders), 1);
}

// Guards against a large fleet that calls a store which is away: each call is paid for, and the
// readers tell the others when it is back.
#[test]
fn a_follower_seldom_tries_a_store_that_is_away() {
    let fault = StoreError::Unavailable("down".to_owned());
    let (targets, orders) = play(&facts(false, 5_000), Some(&fault), 8_000);
    assert!(targets + orders <= 9, "{targets} and {orders} reads");
    let empty = StoreFacts {
        targets_version: 0,
        ..facts(false, u64::MAX)
    };
    let (targets, _) = play(&empty, Some(&fault), 8_000);
    assert!(targets >= 10, "{targets} reads of a host without a copy");
}

// Guards against a host that lost the store once, has learned from others since, and does not read
// newer orders that the others could not pass on.
#[test]
fn newer_orders_are_read_although_the_store_was_lost() {
    let (mut duty, now) = start();
    let fault = StoreError::Unavailable("down".to_owned());
    duty.next(&facts(false, 5_000), now);
    duty.ended(StoredTable::Targets, Some(&fault), now);
    duty.ended(StoredTable::Orders, Some(&fault), now);
    let behind = StoreFacts {
        orders_behind_ms: ORDERS_BEHIND_MS,
        ..facts(false, 100)
    };
    let calls = duty.next(&behind, now.plus_ms(5_000));
    assert_eq!(reads(&calls, StoredTable::Orders), 1);
}

// Guards against a store that is called at full rate while it fails.
#[test]
fn failures_are_followed_by_growing_pauses() {
    let fault = StoreError::Unavailable("busy".to_owned());
    let (targets, orders) = play(&facts(true, 5_000), Some(&fault), 10_000);
    assert!(
        targets <= 18 && orders <= 18,
        "{targets} and {orders} reads"
    );
}
