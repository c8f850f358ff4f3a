//! Tests which targets the policy `Weighted` selects.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_blackboard::{InFlight, TargetCell};
use heatherhinge_policy::{PickView, Picker, Weighted};
use heatherhinge_types::{LoadReport, MonoNs, Name, StartId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use yare::parameterized;

const NOW_NS: MonoNs = MonoNs(100_000_000_000);
const LATENCY_NS: u64 = 10_000_000;

fn ago(ms: u64) -> MonoNs {
    MonoNs(NOW_NS.0 - ms * 1_000_000)
}

/// Creates targets that had a success 100 ms ago and report that they are idle.
fn cells(count: u16) -> Vec<Arc<TargetCell>> {
    let cell = |port| {
        let addr = ([127, 0, 0, 1], port).into();
        let cell = TargetCell::new(addr, Name::from("north"), Name::from("v1"));
        cell.record_report(report(0), ago(100));
        cell.record_success(LATENCY_NS, ago(100));
        Arc::new(cell)
    };
    (1..=count).map(cell).collect()
}

fn report(in_flight: u32) -> LoadReport {
    LoadReport {
        in_flight,
        slots: 5,
        start_id: StartId(1),
        uptime_ms: 60_000,
        is_leaving: false,
    }
}

/// Counts how often each target is selected in 500 decisions; no request is sent.
fn selections(cells: &[Arc<TargetCell>]) -> Vec<u32> {
    let view = PickView {
        now_ns: NOW_NS,
        limit: 6,
        avoid: None,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut counts = vec![0; cells.len()];
    for _ in 0..500 {
        if let Some(index) = Weighted.pick(cells, &view, &mut rng) {
            counts[index] += 1;
        }
    }
    counts
}

fn begin(cell: &Arc<TargetCell>, count: u32) -> Vec<InFlight> {
    (0..count).map(|_| cell.try_begin(9).unwrap()).collect()
}

/// Guards against failing targets whose latency has decayed to zero and makes the healthy ones look
/// slow. In an outage of half the targets, 84% of the requests failed after 6 s because of it.
#[parameterized(
    at_once = { 0 },
    after_seconds = { 8_000 },
    after_a_minute = { 60_000 },
)]
fn failing_half_gets_no_requests(failing_for_ms: u64) {
    let cells = cells(10);
    for cell in &cells[4..] {
        cell.record_success(LATENCY_NS, ago(failing_for_ms));
        for _ in 0..5 {
            cell.record_report(report(0), ago(50));
            cell.record_failure(ago(50));
        }
    }
    assert_eq!(selections(&cells)[4..].iter().sum::<u32>(), 0);
}

/// Guards against a slow target that still gets its share, and against avoiding a target for the
/// normal spread of service times.
#[parameterized(
    normal = { LATENCY_NS * 2, true },
    slow = { LATENCY_NS * 10, false },
)]
fn slow_target_is_avoided(latency_ns: u64, is_used: bool) {
    let cells = cells(5);
    cells[0].record_success(latency_ns, ago(100));
    // The oldest response breaks ties, so this target would be selected among equal costs.
    cells[0].record_report(report(0), ago(200));
    assert_eq!(selections(&cells)[0] > 0, is_used);
}

/// Guards against a target that attracts requests by reporting that it is idle.
#[test]
fn low_report_attracts_no_requests() {
    let cells = cells(5);
    for cell in &cells[1..] {
        cell.record_report(report(2), ago(1));
    }
    cells[0].record_report(report(0), NOW_NS);
    assert_eq!(selections(&cells)[0], 0);
}

/// Guards against a target that gets requests although it has no capacity.
#[parameterized(
    own = { 6, 0, 0 },
    others = { 0, 6, 0 },
    both = { 3, 6, 3 },
)]
fn full_target_gets_no_requests(own: u32, reported: u32, own_at_report: u32) {
    let cells = cells(1);
    let mut guards = begin(&cells[0], own_at_report);
    cells[0].record_report(report(reported), NOW_NS);
    guards.extend(begin(&cells[0], own - own_at_report));
    assert_eq!(selections(&cells), [0]);
}

/// Guards against a host that sends to a busy target while another is idle.
#[test]
fn own_requests_in_flight_decide() {
    let cells = cells(3);
    let _guards = [begin(&cells[0], 2), begin(&cells[1], 1)];
    assert_eq!(selections(&cells), [0, 0, 500]);
}

/// Guards against targets of a large service that are never examined.
#[test]
fn every_target_of_a_large_service_can_be_selected() {
    let cells = cells(100);
    let view = PickView {
        now_ns: NOW_NS,
        limit: 6,
        avoid: None,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    // The requests stay in flight, so that a target is not chosen again at once.
    let mut guards = Vec::new();
    for _ in 0..300 {
        let index = Weighted.pick(&cells, &view, &mut rng).unwrap();
        guards.push(cells[index].try_begin(6).unwrap());
    }
    assert!(cells.iter().all(|cell| cell.own_in_flight() > 0));
}
