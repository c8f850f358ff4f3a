//! Every fault that can be switched, and that it ends when it is switched off.
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

const GONE: u16 = 0;

async fn status(bench: &Fixture, path: &str, body: &str) -> u16 {
    let answer = bench.send("POST", path, &[], body).await;
    answer.map_or(GONE, |answer| answer.status.as_u16())
}

/// Guards against a fault that does not show, or that stays after it was switched off over HTTP.
#[parameterized(
    none = { r#"{}"#, "/orders/a", 200 },
    fail_fast = { r#"{"fail_fast": true}"#, "/orders/a", 500 },
    poison = { r#"{"poison": "bad bell", "crash_down_ms": 0}"#, "/orders/a", GONE },
    other_poison = { r#"{"poison": "good bell"}"#, "/orders/a", 200 },
    truncated = { r#"{"truncate_answer": true}"#, "/orders/a", GONE },
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
async fn fault_shows_and_ends(faults: &str, path: &str, expected: u16) {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let json = [("content-type", "application/json")];
    let set = bench.send("POST", "/admin/faults", &json, faults).await;
    assert_eq!(set.unwrap().status.as_u16(), 200);
    assert_eq!(status(&bench, path, "a bad bell").await, expected);

    bench.faults(|_| {});
    wait_until_back(&bench).await;
    assert_eq!(status(&bench, path, "a bad bell").await, 200);
}

async fn wait_until_back(bench: &Fixture) {
    for _ in 0..500 {
        if bench.get("/health").await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the target did not come back");
}

/// Guards against a misspelt fault that is taken for no fault.
#[tokio::test]
async fn unknown_fault_is_refused() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let json = [("content-type", "application/json")];
    let body = r#"{"fail_fats": true}"#;
    let answer = bench.send("POST", "/admin/faults", &json, body).await;
    assert_eq!(answer.unwrap().status.as_u16(), 422);
}

/// Guards against a crash that leaves other requests running, loses the log, or keeps the start id.
#[tokio::test]
async fn poison_crashes_the_target_and_it_returns_cold() {
    let config = TargetConfig {
        warm_ms: 3_600_000,
        ..holding_config(5, 5)
    };
    let bench = Fixture::new(config).await;
    bench.faults(|faults| faults.poison = Some("poison".to_owned()));
    let (bystander, poison) = tokio::join!(status(&bench, "/orders/hold", ""), async {
        bench.wait_until_ran(1).await;
        status(&bench, "/orders/b", "poison").await
    });
    assert_eq!((bystander, poison), (GONE, GONE));
    wait_until_back(&bench).await;
    assert_eq!(status(&bench, "/orders/c", "").await, 200);
    let log = bench.target.executions();
    let outcomes: Vec<_> = log.iter().map(|e| e.outcome).collect();
    use RunOutcome::{Crashed, Ok};
    assert_eq!(outcomes, [Crashed, Crashed, Ok]);
    assert_ne!(log[0].start_id, log[2].start_id);
    assert_eq!(bench.target.counters().restarts, 1);
}

/// Guards against a cold restart that shows by a broken connection when it must not.
#[tokio::test]
async fn restart_can_keep_connections() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    let start = |answer: &common::Answer| {
        let report: LoadReport = answer.header(header::LOAD).parse().unwrap();
        report.start_id
    };
    let before = start(&bench.get("/orders/a").await.unwrap());
    bench.faults(|faults| {
        faults.restart = Some(Restart {
            down_ms: 0,
            keep_connections: true,
        });
    });
    let after = start(&bench.get("/orders/a").await.unwrap());
    assert_ne!(before, after);
}

/// Guards against load reports that stay right under a fault.
#[parameterized(
    lie = { LoadReportFault::Lie { in_flight: 77 }, Some(77) },
    lag = { LoadReportFault::Lag { lag_ms: 3_600_000 }, Some(0) },
    absent = { LoadReportFault::Absent, None },
)]
#[test_macro(tokio::test)]
async fn load_report_fault_shows(fault: LoadReportFault, in_flight: Option<u32>) {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    bench.faults(|faults| faults.load_report = fault);
    let answer = bench.get("/orders/a").await.unwrap();
    let report: Option<LoadReport> = answer.header(header::LOAD).parse().ok();
    assert_eq!(report.map(|report| report.in_flight), in_flight);
}

/// Guards against health answers that are right while they should mislead, and uncounted probes.
#[parameterized(
    right = { HealthFault::None, 503 },
    lie = { HealthFault::Lie { ok: true }, 200 },
    lag = { HealthFault::Lag { lag_ms: 3_600_000 }, 200 },
)]
#[test_macro(tokio::test)]
async fn health_fault_shows(fault: HealthFault, expected: u16) {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    bench.faults(|faults| {
        faults.fail_fast = true;
        faults.health = fault;
    });
    let answer = bench.get("/health").await.unwrap();
    assert_eq!(answer.status.as_u16(), expected);
    assert_eq!(bench.target.counters().probes, 1);
}

/// Guards against a leaving target that does not say so on its answers.
#[tokio::test]
async fn leaving_shows_on_answers() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    bench.faults(|faults| faults.leaving = true);
    let answer = bench.get("/orders/a").await.unwrap();
    let load = answer.header(header::LOAD);
    assert!(load.ends_with(";leaving=1"), "{load}");
    assert!(load.parse::<LoadReport>().is_ok());
    let health = bench.get("/health").await.unwrap();
    assert_eq!(health.body, r#"{"state":"leaving"}"#);
}

/// Guards against a close that the answer announces, which a client would respect.
#[tokio::test]
async fn close_after_answer_is_not_announced() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    bench.faults(|faults| faults.close_after_answer = true);
    let answer = bench.get("/orders/a").await.unwrap();
    assert_eq!(answer.header("connection"), "");
}

/// Guards against a version that is bad above a load and fails below it too.
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

/// Guards against a truncated download that ends as if it were whole.
#[tokio::test]
async fn truncated_download_breaks() {
    let bench = Fixture::new(TargetConfig::new("orders")).await;
    bench.faults(|faults| faults.truncate_answer = true);
    assert!(bench.get("/orders/bulk/100000").await.is_err());
    assert_eq!(bench.target.executions()[0].outcome, RunOutcome::Cut);
}
