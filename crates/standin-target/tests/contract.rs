//! What a healthy target answers: admission, expiry, log, counters and load report.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed unwrap fails the test"
)]

mod common;

use common::{Fixture, holding_config};
use heatherhinge_standin_target::{
    CounterSnapshot, Execution, RunOutcome, ServiceTime, TargetConfig,
};
use heatherhinge_types::{LoadReport, header};
use http::StatusCode;
use yare::parameterized;

const COUNTS: CounterSnapshot = CounterSnapshot {
    received: 2,
    ran: 1,
    shed: 0,
    expired: 0,
    failed: 0,
    probes: 0,
    restarts: 0,
    max_in_flight_cold: 0,
    cold_overloads: 0,
};

/// Guards against an execution that is logged under another request, or not at all.
#[tokio::test]
async fn post_runs_once_and_is_logged_with_its_key() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let headers = [("idempotency-key", "k-1"), (header::REQUEST_ID, "r-1")];
    let answer = bench.send("POST", "/orders/cast", &headers, "bell").await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);

    let log = bench.get("/admin/executions").await.unwrap().body;
    let log: Vec<Execution> = serde_json::from_slice(&log).unwrap();
    assert_eq!(log, bench.target.executions());
    assert_eq!(log.len(), 1);
    assert_eq!(log[0].key.as_deref(), Some("k-1"));
    assert_eq!(log[0].request_id.as_deref(), Some("r-1"));
    assert_eq!(log[0].outcome, RunOutcome::Ok);
    assert!(log[0].start_wall_ms > 0 && log[0].end_wall_ms >= log[0].start_wall_ms);
}

/// Guards against a load report that the balancer's parser cannot read.
#[tokio::test]
async fn answers_carry_a_load_report() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let answer = bench.get("/orders/stock").await.unwrap();
    let report: LoadReport = answer.header(header::LOAD).parse().unwrap();
    assert_eq!((report.in_flight, report.slots), (0, 5));
    assert_ne!(report.start_id.0, 0);
}

/// Guards against a stream that is shorter or longer than was asked for.
#[parameterized(
    empty = { 0 },
    one = { 1 },
    chunk = { 16_384 },
    odd = { 100_001 },
)]
#[test_macro(tokio::test)]
async fn bulk_streams_exactly_the_bytes_asked_for(bytes: usize) {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let answer = bench.get(&format!("/orders/bulk/{bytes}")).await.unwrap();
    assert_eq!(answer.body.len(), bytes);
    assert_eq!(bench.target.executions()[0].outcome, RunOutcome::Ok);
}

/// Guards against a target that starts work whose time has passed.
#[parameterized(
    deadline = { header::DEADLINE_MS, "0" },
    not_after = { header::NOT_AFTER_MS, "1000" },
)]
#[test_macro(tokio::test)]
async fn expired_request_is_not_run(name: &str, value: &str) {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let answer = bench
        .send("POST", "/orders/cast", &[(name, value)], "")
        .await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header(header::NOT_RUN), "1");
    assert!(bench.target.executions().is_empty());
    assert_eq!(bench.target.counters().expired, 1);
}

/// Guards against a request that expires in the queue and still runs, and against a full queue
/// that keeps callers waiting.
#[parameterized(
    expires = { 1, CounterSnapshot { expired: 1, ..COUNTS } },
    shed = { 0, CounterSnapshot { shed: 1, ..COUNTS } },
)]
#[test_macro(tokio::test)]
async fn full_target_refuses(queue_len: u32, expected: CounterSnapshot) {
    let bench = Fixture::new(holding_config(1, queue_len)).await;
    let second = async {
        bench.wait_until_ran(1).await;
        let headers = [(header::DEADLINE_MS, "20")];
        bench.send("GET", "/orders/a", &headers, "").await
    };
    let refused = tokio::select! {
        _ = bench.get("/orders/hold") => panic!("the first request ended"),
        refused = second => refused.unwrap(),
    };
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header(header::NOT_RUN), "1");
    assert_eq!(bench.target.counters(), expected);
}

/// Guards against a queue that loses a slot, so that waiting requests never start.
#[tokio::test]
async fn queued_requests_run_in_turn() {
    let config = TargetConfig {
        slots: 2,
        queue_len: 20,
        ..TargetConfig::new("orders")
    };
    let bench = Fixture::new(config).await;
    let answers = futures_util::future::join_all((0..20).map(|_| bench.get("/orders/a"))).await;
    assert!(
        answers
            .iter()
            .all(|a| a.as_ref().unwrap().status == StatusCode::OK)
    );
    assert_eq!(bench.target.counters().ran, 20);
}

/// Guards against a cold target that bears full load, which would hide a balancer's mistake.
#[tokio::test]
async fn cold_target_fails_above_its_capacity() {
    let config = TargetConfig {
        warm_ms: 3_600_000,
        ..holding_config(5, 5)
    };
    let bench = Fixture::new(config).await;
    assert_eq!(bench.get("/orders/a").await.unwrap().status, StatusCode::OK);
    let second = async {
        bench.wait_until_ran(2).await;
        bench.get("/orders/a").await
    };
    let failed = tokio::select! {
        _ = bench.get("/orders/hold") => panic!("the first request ended"),
        failed = second => failed.unwrap(),
    };
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    let counters = bench.target.counters();
    assert_eq!(
        (counters.cold_overloads, counters.max_in_flight_cold),
        (1, 2)
    );
}

/// Guards against a capacity that jumps or never reaches the slots.
#[parameterized(
    start = { 0, 1 },
    half = { 500, 3 },
    almost = { 999, 4 },
    warm = { 1_000, 5 },
)]
fn cold_capacity_grows_with_uptime(uptime_ms: u64, capacity: u32) {
    let config = TargetConfig {
        warm_ms: 1_000,
        ..TargetConfig::new("orders")
    };
    assert_eq!(config.capacity(uptime_ms), capacity);
}

/// Guards against service times that differ between runs of one seed.
#[test]
fn service_times_follow_the_seed() {
    use rand::SeedableRng;
    let draw = |seed| {
        let mut rng = rand_pcg::Pcg64::seed_from_u64(seed);
        let time: ServiceTime = "1000+500".parse().unwrap();
        (0..100).map(|_| time.draw_us(&mut rng)).collect::<Vec<_>>()
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    assert!(draw(7).iter().all(|us| *us >= 1_000));
}
