//! Tests the counts of a target with several threads, and the detection of restarts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_blackboard::TargetCell;
use heatherhinge_types::{LoadReport, MonoNs, Name, StartId};
use std::sync::Arc;
use std::thread;

fn cell() -> Arc<TargetCell> {
    let addr = "127.0.0.1:9".parse().unwrap();
    Arc::new(TargetCell::new(addr, Name::from("north"), Name::from("v1")))
}

/// Guards against concurrent decisions that together exceed the limit.
#[test]
fn limit_holds_for_concurrent_decisions() {
    let cell = cell();
    let taken: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    (0..100)
                        .filter_map(|_| cell.try_begin(5))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap())
            .collect()
    });
    assert_eq!(taken.len(), 5);
    drop(taken);
    assert_eq!(cell.own_in_flight(), 0);
}

/// Guards against a restart of a target that is missed or reported twice.
#[test]
fn new_start_id_is_reported_once() {
    let cell = cell();
    let report = |id| LoadReport {
        in_flight: 0,
        slots: 5,
        start_id: StartId(id),
        uptime_ms: 1,
        is_leaving: false,
    };
    assert_eq!(cell.record_report(report(7), MonoNs(1)), None);
    assert_eq!(cell.record_report(report(7), MonoNs(2)), None);
    assert_eq!(cell.record_report(report(8), MonoNs(3)), Some(StartId(7)));
    assert_eq!(cell.record_report(report(8), MonoNs(4)), None);
}
