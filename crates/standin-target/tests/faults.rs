//! Tests that each fault takes effect when it is set and ends when it is cleared.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed unwrap fails the test"
)]

mod common;

use common::{Fixture, holding_config};
use heatherhinge_standin_target::{
    BadEffect, BadVersion, BadWhen, HealthFault, LoadReportFault, Restart, RunOutcome, TargetConfig,
};
use heatherhinge_types::{LoadReport, header};
use std::time::Duration;
use yare::parameterized;

const NO_RESPONSE: u16 = 0;

async fn status(fixture: &Fixture, path: &str, body: &str) -> u16 {
    let response = fixture.send("POST", path, &[], body).await;
    response.map_or(NO_RESPONSE, |response| response.status.as_u16())
}

/// Guards against a fault that has no effect when set over HTTP, or that stays after it was cleared.
#[parameterized(
    none = { r#"{}"#, "/orders/a", 200 },
    fail_fast = { r#"{"fail_fast": true}"#, "/orders/a", 500 },
    poison = { r#"{"poison": "bad bell", "crash_down_ms": 0}"#, "/orders/a", NO_RESPONSE },
    other_poison = { r#"{"poison": "good bell"}"#, "/orders/a", 200 },
    truncated = { r#"{"truncate_answer": true}"#, "/orders/a", NO_RESPONSE },
    slow = { r#"{"slow_permille": 3000}"#, "/orders/a", 200 },
    late = { r#"{"late_answer_ms": 20}"#, "/orders/a", 200 },
    bad_at_once = { r#"{"bad_version": {"effect": "fail", "when": "at_once"}}"#, "/orders/a", 500 },
    bad_later = { r#"{"bad_version": {"effect": "fail", "when": {"after": {"after_ms": 3600000}}}}"#, "/orders/a", 200 },
    bad_load = { r#"{"bad_version": {"effect": "fail", "when": {"above_load": {"in_flight": 1}}}}"#, "/orders/a", 200 },
    bad_route = { r#"{"bad_version": {"effect": "fail", "when": {"on_route": {"prefix": "/orders/b"}}}}"#, "/orders/b", 500 },
    other_route = { r#"{"bad_version": {"effect": "fail", "when": {"on_route": {"prefix": "/orders/b"}}}}"#, "/orders/a", 200 },
    bad_slow = { r#"{"bad_version": {"effect": {"slow": {"permille": 2000}}, "when": "at_once"}}"#, "/orders/a", 200 },
)]
#[test_macro(tokio::test)]
async fn fault_takes_effect_and_ends(faults: &str, path: &str, expected: u16) {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let json = [("content-type", "application/json")];
    let set = fixture.send("POST", "/admin/faults", &json, faults).await;
    assert_eq!(set.unwrap().status.as_u16(), 200);
    assert_eq!(status(&fixture, path, "a bad bell").await, expected);

    fixture.faults(|_| {});
    wait_until_listening(&fixture).await;
    assert_eq!(status(&fixture, path, "a bad bell").await, 200);
}

async fn wait_until_listening(fixture: &Fixture) {
    for _ in 0..500 {
        if fixture.get("/health").await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the target did not listen again within 5 s");
}

/// Guards against a misspelt fault that is silently ignored.
#[tokio::test]
async fn unknown_fault_is_rejected() {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let json = [("content-type", "application/json")];
    let body = r#"{"fail_fats": true}"#;
    let response = fixture.send("POST", "/admin/faults", &json, body).await;
    assert_eq!(response.unwrap().status.as_u16(), 422);
}

/// Guards against a crash that leaves other requests running, loses the log, or keeps the start id.
#[tokio::test]
async fn poison_crashes_the_target_and_it_restarts_cold() {
    let config = TargetConfig {
        warm_ms: 3_600_000,
        ..holding_config(5, 5)
    };
    let fixture = Fixture::new(config).await;
    fixture.faults(|faults| faults.poison = Some("poison".to_owned()));
    let (other_request, poison) = tokio::join!(status(&fixture, "/orders/hold", ""), async {
        fixture.wait_until_ran(1).await;
        status(&fixture, "/orders/b", "poison").await
    });
    assert_eq!((other_request, poison), (NO_RESPONSE, NO_RESPONSE));
    wait_until_listening(&fixture).await;
    assert_eq!(status(&fixture, "/orders/c", "").await, 200);
    let log = fixture.target.executions();
    let outcomes: Vec<_> = log.iter().map(|e| e.outcome).collect();
    use RunOutcome::{Crashed, Ok};
    assert_eq!(outcomes, [Crashed, Crashed, Ok]);
    assert_ne!(log[0].start_id, log[2].start_id);
    assert_eq!(fixture.target.counters().restarts, 1);
}

/// Guards against a restart that closes connections although it should keep them.
#[tokio::test]
async fn restart_can_keep_connections() {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    let start = |response: &common::Response| {
        let report: LoadReport = response.header(header::LOAD).parse().unwrap();
        report.start_id
    };
    let before = start(&fixture.get("/orders/a").await.unwrap());
    fixture.faults(|faults| {
        faults.restart = Some(Restart {
            down_ms: 0,
            keep_connections: true,
        });
    });
    let after = start(&fixture.get("/orders/a").await.unwrap());
    assert_ne!(before, after);
}

/// Guards against load reports that stay correct under a fault.
#[parameterized(
    lie = { LoadReportFault::Lie { in_flight: 77 }, Some(77) },
    lag = { LoadReportFault::Lag { lag_ms: 3_600_000 }, Some(0) },
    absent = { LoadReportFault::Absent, None },
)]
#[test_macro(tokio::test)]
async fn load_report_fault_takes_effect(fault: LoadReportFault, in_flight: Option<u32>) {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    fixture.faults(|faults| faults.load_report = fault);
    let response = fixture.get("/orders/a").await.unwrap();
    let report: Option<LoadReport> = response.header(header::LOAD).parse().ok();
    assert_eq!(report.map(|report| report.in_flight), in_flight);
}

/// Guards against health responses that stay correct under a fault, and against uncounted probes.
#[parameterized(
    right = { HealthFault::None, 503 },
    lie = { HealthFault::Lie { ok: true }, 200 },
    lag = { HealthFault::Lag { lag_ms: 3_600_000 }, 200 },
)]
#[test_macro(tokio::test)]
async fn health_fault_takes_effect(fault: HealthFault, expected: u16) {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    fixture.faults(|faults| {
        faults.fail_fast = true;
        faults.health = fault;
    });
    let response = fixture.get("/health").await.unwrap();
    assert_eq!(response.status.as_u16(), expected);
    assert_eq!(fixture.target.counters().probes, 1);
}

/// Guards against a leaving target whose load reports and health responses do not show it.
#[tokio::test]
async fn leaving_is_reported_in_responses() {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    fixture.faults(|faults| faults.leaving = true);
    let response = fixture.get("/orders/a").await.unwrap();
    let load = response.header(header::LOAD);
    assert!(load.ends_with(";leaving=1"), "{load}");
    assert!(load.parse::<LoadReport>().is_ok());
    let health = fixture.get("/health").await.unwrap();
    assert_eq!(health.body, r#"{"state":"leaving"}"#);
}

/// Guards against a response that announces the close, which a client would respect.
#[tokio::test]
async fn close_after_answer_is_not_announced() {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    fixture.faults(|faults| faults.close_after_answer = true);
    let response = fixture.get("/orders/a").await.unwrap();
    assert_eq!(response.header("connection"), "");
}

/// Guards against a version that is bad above a load and also fails at that load.
#[parameterized(
    at_limit = { 3, None },
    above = { 4, Some(BadEffect::Fail) },
)]
fn bad_above_load(in_flight: u32, expected: Option<BadEffect>) {
    let bad = BadVersion {
        effect: BadEffect::Fail,
        when: BadWhen::AboveLoad { in_flight: 3 },
    };
    assert_eq!(bad.effect_on("/a", in_flight, 0), expected);
}

/// Guards against a truncated download that ends as if it were complete.
#[tokio::test]
async fn truncated_download_ends_with_an_error() {
    let fixture = Fixture::new(TargetConfig::new("orders")).await;
    fixture.faults(|faults| faults.truncate_answer = true);
    assert!(fixture.get("/orders/bulk/100000").await.is_err());
    assert_eq!(fixture.target.executions()[0].outcome, RunOutcome::Cut);
}
