//! Tests the share of a new version with several threads, and the estimate of the 95th percentile.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_blackboard::{MoveCounters, RouteCounters};
use heatherhinge_types::Name;
use std::sync::atomic::Ordering;
use std::thread;
use yare::parameterized;

/// Guards against concurrent decisions that together send more than the share to the new version.
#[parameterized(
    none = { 0, 0 },
    two_percent = { 20, 160 },
    quarter = { 250, 2_000 },
    all = { 1_000, 8_000 },
)]
fn share_holds_for_concurrent_decisions(share_permille: u32, expected: u64) {
    let route = RouteCounters::default();
    let taken: usize = thread::scope(|scope| {
        let take = || {
            (0..1_000)
                .filter(|_| route.try_count_new(share_permille))
                .count()
        };
        let workers: Vec<_> = (0..8).map(|_| scope.spawn(take)).collect();
        workers
            .into_iter()
            .map(|worker| worker.join().unwrap())
            .sum()
    });
    assert_eq!(taken as u64, expected);
    assert_eq!(route.taken(), (8_000, expected));
}

/// Guards against a share that is exceeded after any request, also by the first ones.
#[test]
fn share_holds_after_each_request() {
    let route = RouteCounters::default();
    for total in 1..=500_u64 {
        let _ = route.try_count_new(30);
        assert_eq!(route.taken(), (total, total * 30 / 1_000));
    }
    route.uncount_new();
    assert!(
        route.try_count_new(30),
        "a request that was uncounted frees its share for the next one"
    );
}

/// Guards against a raised share that sends all requests to the new version until it catches up.
#[test]
fn new_step_resets_the_share() {
    let name = Name::from("read");
    let counters = MoveCounters::new(Name::from("move"), [name.clone()]);
    let route = &counters.routes[&name];
    counters.begin_step(1);
    for _ in 0..1_000 {
        let _ = route.try_count_new(20);
    }
    counters.begin_step(1);
    assert_eq!(route.taken(), (1_000, 20));
    counters.begin_step(2);
    let taken = (0..100).filter(|_| route.try_count_new(100)).count();
    assert_eq!(taken, 10);
}

/// Guards against a threshold for slow responses that is not near the old version's 95th
/// percentile, and against responses of cold targets that count as slow.
#[test]
fn slow_means_slower_than_old_p95() {
    let route = RouteCounters::default();
    for index in 0..20_000_u64 {
        route.count_good(false, 1_000_000 + index * 7_919 % 1_000 * 1_000, false);
        route.count_good(true, 3_000_000, true);
    }
    let p95_ns = route.old_p95_ns();
    assert!((1_900_000..2_000_000).contains(&p95_ns), "{p95_ns}");
    let slow = route.old.slow.load(Ordering::Relaxed);
    assert!((800..1_200).contains(&slow), "{slow}");
    assert_eq!(route.new.slow.load(Ordering::Relaxed), 0);
}
