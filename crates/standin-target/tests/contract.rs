//! Tests of a target without faults: admission, expiry, log, counters and load report.
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
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let headers = [("idempotency-key", "k-1"), (header::REQUEST_ID, "r-1")];
    let response = fixture.send("POST", "/orders/cast", &headers, "bell").await;
    assert_eq!(response.unwrap().status, StatusCode::OK);

    let log = fixture.get("/admin/executions").await.unwrap().body;
    let log: Vec<Execution> = serde_json::from_slice(&log).unwrap();
    assert_eq!(log, fixture.target.executions());
    assert_eq!(log.len(), 1);
    assert_eq!(log[0].key.as_deref(), Some("k-1"));
    assert_eq!(log[0].request_id.as_deref(), Some("r-1"));
    assert_eq!(log[0].outcome, RunOutcome::Ok);
    assert!(log[0].start_wall_ms > 0 && log[0].end_wall_ms >= log[0].start_wall_ms);
}

/// Guards against a load report that the balancer's parser cannot read.
#[tokio::test]
async fn responses_carry_a_load_report() {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let response = fixture.get("/orders/stock").await.unwrap();
    let report: LoadReport = response.header(header::LOAD).parse().unwrap();
    assert_eq!((report.in_flight, report.slots), (0, 5));
    assert_ne!(report.start_id.0, 0);
}

/// Guards against a streamed body that is shorter or longer than requested.
#[parameterized(
    empty = { 0 },
    one = { 1 },
    chunk = { 16_384 },
    odd = { 100_001 },
)]
#[test_macro(tokio::test)]
async fn bulk_streams_exactly_the_bytes_asked_for(bytes: usize) {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let response = fixture.get(&format!("/orders/bulk/{bytes}")).await.unwrap();
    assert_eq!(response.body.len(), bytes);
    assert_eq!(fixture.target.executions()[0].outcome, RunOutcome::Ok);
}

/// Guards against a target that starts a request after its deadline or not-after time.
#[parameterized(
    deadline = { header::DEADLINE_MS, "0" },
    not_after = { header::NOT_AFTER_MS, "1000" },
)]
#[test_macro(tokio::test)]
async fn expired_request_is_not_run(name: &str, value: &str) {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let response = fixture
        .send("POST", "/orders/cast", &[(name, value)], "")
        .await;
    let response = response.unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.header(header::NOT_RUN), "1");
    assert!(fixture.target.executions().is_empty());
    assert_eq!(fixture.target.counters().expired, 1);
}

/// Guards against a request that runs although it expired in the queue, and against a full queue
/// that keeps callers waiting.
#[parameterized(
    expires = { 1, CounterSnapshot { expired: 1, ..COUNTS } },
    shed = { 0, CounterSnapshot { shed: 1, ..COUNTS } },
)]
#[test_macro(tokio::test)]
async fn full_target_rejects_requests(queue_len: u32, expected: CounterSnapshot) {
    let fixture = Fixture::new(holding_config(1, queue_len)).await;
    let second = async {
        fixture.wait_until_ran(1).await;
        let headers = [(header::DEADLINE_MS, "20")];
        fixture.send("GET", "/orders/a", &headers, "").await
    };
    let rejected = tokio::select! {
        _ = fixture.get("/orders/hold") => panic!("the first request ended"),
        rejected = second => rejected.unwrap(),
    };
    assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rejected.header(header::NOT_RUN), "1");
    assert_eq!(fixture.target.counters(), expected);
}

/// Guards against a queue that loses a slot, so that waiting requests never start.
#[tokio::test]
async fn queued_requests_all_run() {
    let config = TargetConfig {
        slots: 2,
        queue_len: 20,
        ..TargetConfig::new("orders")
    };
    let fixture = Fixture::new(config).await;
    let responses = futures_util::future::join_all((0..20).map(|_| fixture.get("/orders/a"))).await;
    assert!(
        responses
            .iter()
            .all(|a| a.as_ref().unwrap().status == StatusCode::OK)
    );
    assert_eq!(fixture.target.counters().ran, 20);
}

/// Guards against a cold target that can serve full load, which would hide a balancer that sends
/// too much to cold targets.
#[tokio::test]
async fn cold_target_fails_above_its_capacity() {
    let config = TargetConfig {
        warm_ms: 3_600_000,
        ..holding_config(5, 5)
    };
    let fixture = Fixture::new(config).await;
    assert_eq!(
        fixture.get("/orders/a").await.unwrap().status,
        StatusCode::OK
    );
    let second = async {
        fixture.wait_until_ran(2).await;
        fixture.get("/orders/a").await
    };
    let failed = tokio::select! {
        _ = fixture.get("/orders/hold") => panic!("the first request ended"),
        failed = second => failed.unwrap(),
    };
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    let counters = fixture.target.counters();
    assert_eq!(
        (counters.cold_overloads, counters.max_in_flight_cold),
        (1, 2)
    );
}

/// Guards against a capacity that jumps or never reaches the number of slots.
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

/// Guards against service times that differ between two runs with the same seed.
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
