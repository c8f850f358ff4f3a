//! Which calls a host makes to the store, and how often.

use super::*;

const LEAVE_MS: u64 = 2_000;

fn facts(is_reader: bool, targets_age_ms: u64) -> StoreFacts {
    StoreFacts {
        reader_rank: is_reader.then_some(0),
        orders_behind_ms: 0,
        is_alone: false,
        epoch: 0,
        orders_version: StoreVersion::without_epoch(5),
        targets_version: StoreVersion::without_epoch(5),
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

/// Runs a host whose calls all end at once with the same result; returns its reads of the targets
/// and of the orders.
fn simulate(facts: &StoreFacts, error: Option<&StoreError>, duration_ms: u64) -> (usize, usize) {
    let (mut scheduler, start) = start();
    let (mut targets, mut orders) = (0, 0);
    for ms in (0..duration_ms).step_by(10) {
        let now = start.plus_ms(ms);
        for call in scheduler.next(facts, now) {
            if let StoreCall::Read { table, .. } = call {
                match table {
                    StoredTable::Targets => targets += 1,
                    StoredTable::Orders => orders += 1,
                }
                scheduler.record_end(table, error, now);
            }
        }
    }
    (targets, orders)
}

// Guards against a follower that calls the store although other hosts keep its replicas fresh.
#[test]
fn a_follower_with_fresh_replicas_makes_no_call() {
    assert_eq!(simulate(&facts(false, 300), None, 10_000), (0, 0));
}

// Guards against readers that all read at the same moment: their replicas are equally old, and five
// readers made 5.2 calls per second where one call was enough.
#[test]
fn the_other_readers_read_later_than_the_first_one() {
    let backup = |targets_age_ms| StoreFacts {
        reader_rank: Some(1),
        ..facts(true, targets_age_ms)
    };
    let (mut scheduler, now) = start();
    let age_ms = LEAVE_MS * 45 / 100;
    assert_eq!(
        reads(&scheduler.next(&backup(age_ms), now), StoredTable::Targets),
        0
    );
    assert_eq!(
        reads(
            &scheduler.next(&facts(true, age_ms), now),
            StoredTable::Targets
        ),
        1
    );
    let (mut scheduler, now) = start();
    let age_ms = LEAVE_MS * 55 / 100;
    assert_eq!(
        reads(&scheduler.next(&backup(age_ms), now), StoredTable::Targets),
        1
    );
}

// Guards against a follower with stale replicas that keeps waiting for other hosts.
#[test]
fn a_follower_reads_when_its_replica_is_old() {
    let (mut scheduler, now) = start();
    let calls = scheduler.next(&facts(false, LEAVE_MS * 7 / 10), now);
    assert_eq!(reads(&calls, StoredTable::Targets), 1);
    assert_eq!(reads(&calls, StoredTable::Orders), 1);
}

// Guards against a fleet that waits for its few readers after all hosts have lost power, and
// against one whose hosts all make the readers' calls at that moment.
#[test]
fn a_restarted_host_reads_only_what_it_lacks() {
    let now = MonoNs::from_ms(10_000);
    let startup_delays = StartupDelays {
        initial_read_delay_ms: 80,
        regular_calls_delay_ms: 1_500,
    };
    let mut scheduler = StoreCallScheduler::new(now, startup_delays, LEAVE_MS);
    let empty = StoreFacts {
        is_alone: true,
        orders_version: StoreVersion::NONE,
        targets_version: StoreVersion::NONE,
        ..facts(true, u64::MAX)
    };
    assert_eq!(scheduler.next(&empty, now.plus_ms(60)), []);
    let calls = scheduler.next(&empty, now.plus_ms(120));
    assert_eq!(reads(&calls, StoredTable::Targets), 1);
    assert_eq!(reads(&calls, StoredTable::Orders), 1);
    // All hosts may have lost what became of versions.
    assert!(calls.contains(&StoreCall::ReadVerdicts));
    assert_eq!(calls.len(), 3);
    scheduler.record_end(StoredTable::Targets, None, now.plus_ms(150));
    scheduler.record_end(StoredTable::Orders, None, now.plus_ms(150));
    let full = StoreFacts {
        is_alone: true,
        ..facts(true, 900)
    };
    assert_eq!(scheduler.next(&full, now.plus_ms(1_000)), []);
    assert!(
        scheduler
            .next(&full, now.plus_ms(1_500))
            .contains(&StoreCall::Register)
    );
}

// Guards against hundreds of calls while reads return nothing newer: one run made 8,232 calls when
// the store dropped its history for 12 s.
#[test]
fn reads_that_return_nothing_newer_are_not_repeated_at_once() {
    let (targets, orders) = simulate(&facts(false, 5_000), None, 10_000);
    assert!(
        targets <= 21 && orders <= 21,
        "{targets} and {orders} reads"
    );
    let lost = StoreError::HistoryLost;
    let (targets, _) = simulate(&facts(true, 5_000), Some(&lost), 10_000);
    assert!(targets <= 23, "{targets} reads");
}

// Guards against a pause after the first loss of the history.
#[test]
fn a_lost_history_is_followed_by_a_whole_read_at_once() {
    let (mut scheduler, now) = start();
    scheduler.next(&facts(true, 1_000), now);
    scheduler.record_end(StoredTable::Orders, Some(&StoreError::HistoryLost), now);
    let calls = scheduler.next(&facts(true, 0), now);
    let is_whole =
        |call: &StoreCall| matches!(call, StoreCall::Read { after, .. } if after.is_none());
    assert!(calls.iter().any(is_whole), "{calls:?}");
}

// Guards against hosts that keep old orders although another host has newer ones.
#[test]
fn newer_orders_of_another_host_are_read_from_the_store() {
    let (mut scheduler, now) = start();
    let behind = StoreFacts {
        orders_behind_ms: ORDERS_BEHIND_MS,
        ..facts(false, 100)
    };
    assert_eq!(reads(&scheduler.next(&behind, now), StoredTable::Orders), 1);
}

// Guards against a large fleet that keeps calling an unavailable store: each call costs money, and
// followers get updates from the readers once the store is back.
#[test]
fn a_follower_seldom_calls_an_unavailable_store() {
    let error = StoreError::Unavailable("down".to_owned());
    let (targets, orders) = simulate(&facts(false, 5_000), Some(&error), 8_000);
    assert!(targets + orders <= 9, "{targets} and {orders} reads");
    let empty = StoreFacts {
        targets_version: StoreVersion::NONE,
        ..facts(false, u64::MAX)
    };
    let (targets, _) = simulate(&empty, Some(&error), 8_000);
    assert!(targets >= 10, "{targets} reads of a host without a replica");
}

// Guards against a host that once found the store unavailable, has relied on other hosts since, and
// does not read newer orders that these could not send.
#[test]
fn newer_orders_are_read_although_the_store_was_unavailable() {
    let (mut scheduler, now) = start();
    let error = StoreError::Unavailable("down".to_owned());
    scheduler.next(&facts(false, 5_000), now);
    scheduler.record_end(StoredTable::Targets, Some(&error), now);
    scheduler.record_end(StoredTable::Orders, Some(&error), now);
    let behind = StoreFacts {
        orders_behind_ms: ORDERS_BEHIND_MS,
        ..facts(false, 100)
    };
    let calls = scheduler.next(&behind, now.plus_ms(5_000));
    assert_eq!(reads(&calls, StoredTable::Orders), 1);
}

// Guards against a failing store that is called at the full rate.
#[test]
fn failures_are_followed_by_growing_pauses() {
    let error = StoreError::Unavailable("busy".to_owned());
    let (targets, orders) = simulate(&facts(true, 5_000), Some(&error), 10_000);
    assert!(
        targets <= 18 && orders <= 18,
        "{targets} and {orders} reads"
    );
}

// Guards against a return of the store, or an answer from before it, that is reported as an outage, and
// against a table of an earlier epoch whose changes are asked for.
#[test]
fn returns_are_no_outages() {
    let (mut scheduler, now) = start();
    for error in [
        StoreError::EpochChanged,
        StoreError::EpochInvalid("1 after 2".to_owned()),
    ] {
        let change = scheduler.record_end(StoredTable::Orders, Some(&error), now);
        assert_eq!(change, StoreChange::None);
    }
    let returned = StoreFacts {
        epoch: 2,
        orders_version: StoreVersion::new(1, 5).unwrap(),
        targets_version: StoreVersion::new(2, 5).unwrap(),
        ..facts(true, 1_000)
    };
    let calls = scheduler.next(&returned, now.plus_ms(5_000));
    let whole =
        |call: &&StoreCall| matches!(call, StoreCall::Read { after, .. } if after.is_none());
    let whole: Vec<_> = calls.iter().filter(whole).collect();
    assert_eq!(reads(&calls, StoredTable::Targets), 1);
    assert!(
        matches!(
            whole[..],
            [StoreCall::Read {
                table: StoredTable::Orders,
                ..
            }]
        ),
        "{calls:?}"
    );
}
