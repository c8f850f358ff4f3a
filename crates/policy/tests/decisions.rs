//! Tests planning, retries, the wait queue and target selection.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_blackboard::{ColdTarget, VersionPool};
use heatherhinge_blackboard::{RoutingSnapshot, ServiceCounters, ServiceTargets, TargetCell};
use heatherhinge_bundle::{Route, RouteClass, Service};
use heatherhinge_policy::{
    Admission, AttemptOutcome, Choice, NextStep, RequestHead, RequestPlan, RetryBudget, WaitQueue,
    Weighted, after_attempt, choose, plan,
};
use heatherhinge_types::{Code, LoadReport, MonoNs, Name, StartId, Urgency};
use http::{HeaderMap, Method};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use yare::parameterized;

const NOW_NS: MonoNs = MonoNs(1_000_000_000);

fn route(name: &str, prefix: &str, class: RouteClass) -> Arc<Route> {
    Arc::new(Route {
        name: Name::from(name),
        prefix: prefix.to_owned(),
        methods: BTreeSet::new(),
        idempotent: None,
        class,
        urgency: Urgency::DEFAULT,
        body_limit_bytes: 1_024,
        deadline_ms: 1_000,
    })
}

fn cells(count: u16) -> Vec<Arc<TargetCell>> {
    let cell = |port| {
        let addr = ([127, 0, 0, 1], port).into();
        Arc::new(TargetCell::new(addr, Name::from("north"), Name::from("v1")))
    };
    (1..=count).map(cell).collect()
}

fn snapshot(warm: Vec<Arc<TargetCell>>, cold: Vec<ColdTarget>) -> RoutingSnapshot {
    let service = Service {
        name: Name::from("orders"),
        zones: BTreeSet::from([Name::from("north")]),
        version: Name::from("v1"),
        slots: 2,
        connections: 200,
        warm_ms: 1_000,
        queue_ms: 500,
        queue_len: 10,
        routes: vec![
            route("sheets", "/sheets", RouteClass::Bulk),
            route("rest", "/", RouteClass::Interactive),
        ],
        version_move: None,
    };
    let pool = VersionPool {
        version: Name::from("v1"),
        share_permille: 1_000,
        warm,
        cold,
        remote_partitions: BTreeSet::new(),
    };
    let targets = ServiceTargets {
        service: Arc::new(service),
        counters: Arc::new(ServiceCounters::default()),
        pools: vec![pool],
        move_counters: None,
    };
    let services = [(Name::from("orders"), Arc::new(targets))].into();
    RoutingSnapshot {
        services,
        ..RoutingSnapshot::default()
    }
}

fn plan_of(
    method: &Method,
    path: &str,
    headers: &[(&'static str, &str)],
    snapshot: &RoutingSnapshot,
) -> Result<RequestPlan, Code> {
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| (http::HeaderName::from_static(name), value.parse().unwrap()))
        .collect();
    plan(
        &RequestHead {
            method,
            path,
            headers: &headers,
        },
        snapshot,
        NOW_NS,
    )
}

/// Guards against a bad request head that is accepted or refused with the wrong code.
#[parameterized(
    no_service = { Method::GET, "/nothing/x", &[], Code::UnknownService },
    deadline_words = { Method::GET, "/orders/x", &[("heatherhinge-deadline-ms", "soon")], Code::BadDeadline },
    deadline_zero = { Method::GET, "/orders/x", &[("heatherhinge-deadline-ms", "0")], Code::BadDeadline },
    deadline_huge = { Method::GET, "/orders/x", &[("heatherhinge-deadline-ms", "99999999999")], Code::BadDeadline },
    key_words = { Method::POST, "/orders/x", &[("idempotency-key", "one")], Code::BadKey },
    key_twice = { Method::POST, "/orders/x", &[
        ("idempotency-key", "018f3c5e-7a00-7000-8000-000000000001"),
        ("idempotency-key", "018f3c5e-7a00-7000-8000-000000000002"),
    ], Code::BadKey },
)]
fn bad_head_is_refused(method: Method, path: &str, headers: &[(&'static str, &str)], code: Code) {
    let snapshot = snapshot(cells(1), Vec::new());
    assert_eq!(
        plan_of(&method, path, headers, &snapshot).map(|_| ()),
        Err(code)
    );
}

/// Guards against retries that run a request twice or multiply across layers.
#[parameterized(
    get_broke = { Method::GET, &[], AttemptOutcome::Broke, 1, true, true },
    get_500 = { Method::GET, &[], AttemptOutcome::Answered { status: 500, is_already_retried: false }, 1, true, true },
    get_404 = { Method::GET, &[], AttemptOutcome::Answered { status: 404, is_already_retried: false }, 1, true, false },
    get_retried_below = { Method::GET, &[], AttemptOutcome::Answered { status: 503, is_already_retried: true }, 1, true, false },
    get_caller_retries = { Method::GET, &[("heatherhinge-attempt", "2")], AttemptOutcome::Broke, 1, true, false },
    get_third = { Method::GET, &[], AttemptOutcome::Broke, 3, true, false },
    get_streamed = { Method::GET, &[], AttemptOutcome::Broke, 1, false, false },
    get_deadline = { Method::GET, &[], AttemptOutcome::DeadlinePassed, 1, true, false },
    post_broke = { Method::POST, &[], AttemptOutcome::Broke, 1, true, false },
    post_500 = { Method::POST, &[], AttemptOutcome::Answered { status: 500, is_already_retried: false }, 1, true, false },
    post_bad_answer = { Method::POST, &[], AttemptOutcome::BadAnswer, 1, true, false },
    post_shed = { Method::POST, &[], AttemptOutcome::Shed, 1, true, true },
    post_unreachable = { Method::POST, &[], AttemptOutcome::Unreachable, 1, true, true },
    post_lease = { Method::POST, &[], AttemptOutcome::LeaseEnded, 1, true, false },
)]
fn only_safe_failures_are_retried(
    method: Method,
    headers: &[(&'static str, &str)],
    outcome: AttemptOutcome,
    attempt: u32,
    can_replay: bool,
    expected: bool,
) {
    let snapshot = snapshot(cells(2), Vec::new());
    let plan = plan_of(&method, "/orders/x", headers, &snapshot).unwrap();
    plan.targets
        .counters
        .retry_credit_permille
        .store(2_000, Ordering::Relaxed);
    let budget = RetryBudget::new(&plan.targets.counters, 100);
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    let next = after_attempt(&plan, outcome, attempt, can_replay, &budget, NOW_NS, rng);
    assert_eq!(matches!(next, NextStep::Retry { .. }), expected, "{next:?}");
}

/// Guards against an outage in which every request is retried: retries stay a share of successes.
#[test]
fn retries_stay_within_the_budget() {
    let counters = ServiceCounters::default();
    counters.retry_credit_permille.store(0, Ordering::Relaxed);
    let budget = RetryBudget::new(&counters, 100);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw()) + u32::from(budget.withdraw());
    }
    assert_eq!(retries, 100);
    assert!(!budget.withdraw());
}

/// Guards against bulk requests displacing urgent ones, and against an unbounded queue.
#[test]
fn wait_queue_is_bounded_and_ordered() {
    let mut queue = WaitQueue::default();
    let level = |n| Urgency::new(n).unwrap();
    let Admission::Queued(bulk) = queue.push(level(7), MonoNs(5), 2, "bulk") else {
        panic!()
    };
    let Admission::Queued(late) = queue.push(level(3), MonoNs(9), 2, "late") else {
        panic!()
    };
    assert!(queue.is_first(&late));
    let Admission::Displaced(soon, "bulk") = queue.push(level(3), MonoNs(4), 2, "soon") else {
        panic!()
    };
    assert!(queue.is_first(&soon) && !queue.contains(&bulk));
    assert_eq!(queue.push(level(3), MonoNs(1), 2, "third"), Admission::Full);
    assert_eq!(queue.remove(&soon), Some("soon"));
    assert_eq!(queue.first(), Some(&"late"));
}

/// Guards against a host that has more requests in flight at a target than its slots, its short
/// queue or its allowance admit.
#[parameterized(
    one_warm = { 1, 0, "/orders/x", 3 },
    two_warm = { 2, 0, "/orders/x", 6 },
    bulk_gets_half = { 2, 0, "/orders/sheets/1", 2 },
    one_cold = { 0, 1, "/orders/x", 1 },
    none = { 0, 0, "/orders/x", 0 },
)]
fn in_flight_limits_are_enforced(warm: u16, cold: u16, path: &str, expected: usize) {
    let cold = cells(cold)
        .into_iter()
        .map(|cell| ColdTarget { cell, allowance: 1 })
        .collect();
    let snapshot = snapshot(cells(warm), cold);
    let mut plan = plan_of(&Method::GET, path, &[], &snapshot).unwrap();
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    let mut sent = Vec::new();
    for _ in 0..200 {
        if let Choice::Send(chosen) = choose(&mut plan, None, &Weighted, NOW_NS, rng) {
            sent.push(chosen);
        }
    }
    assert_eq!(sent.len(), expected);
}

/// Guards against a target that fails fast, and so looks idle, taking most of the requests.
#[test]
fn failing_target_is_avoided() {
    let warm = cells(4);
    for cell in &warm[1..] {
        cell.record_success(5_000_000, NOW_NS);
    }
    let snapshot = snapshot(warm.clone(), Vec::new());
    let mut plan = plan_of(&Method::GET, "/orders/x", &[], &snapshot).unwrap();
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    for _ in 0..1_000 {
        let Choice::Send(chosen) = choose(&mut plan, None, &Weighted, NOW_NS, rng) else {
            panic!()
        };
        let cell = chosen.in_flight.target();
        let report = LoadReport {
            in_flight: 0,
            slots: 2,
            start_id: StartId(1),
            uptime_ms: 60_000,
            is_leaving: false,
        };
        cell.record_report(report, NOW_NS);
        if cell.id == warm[0].id {
            cell.record_failure(NOW_NS)
        }
    }
    assert!(
        warm[0].sent() < 50,
        "{} of 1000 requests went to the failing target",
        warm[0].sent()
    );
}

/// Guards against cold targets that never become warm because a service has only urgent requests.
#[test]
fn urgent_requests_warm_cold_targets_too() {
    let cold = vec![ColdTarget {
        cell: cells(3)[2].clone(),
        allowance: 1,
    }];
    let snapshot = snapshot(cells(2), cold);
    let headers = [("priority", "u=0")];
    let mut plan = plan_of(&Method::GET, "/orders/x", &headers, &snapshot).unwrap();
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    let mut to_cold = 0;
    for _ in 0..3_200 {
        let Choice::Send(chosen) = choose(&mut plan, None, &Weighted, NOW_NS, rng) else {
            panic!()
        };
        to_cold += u32::from(chosen.is_cold);
    }
    assert!(
        (50..200).contains(&to_cold),
        "{to_cold} of 3,200 requests went to the cold target"
    );
}
