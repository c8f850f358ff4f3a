//! Tests of load over HTTP against stand-in targets.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use axum::Json;
use axum::Router;
use axum::routing::get;
use heatherhinge_load::profile::Profile;
use heatherhinge_load::run::{
    AddressList, Destination, Direct, HttpClient, ResponseHead, RunLimits, RunReport, SendOutcome,
    compare, run_load,
};
use heatherhinge_standin_target::{Faults, Target, TargetConfig};
use heatherhinge_types::Name;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use yare::parameterized;

const LIMITS: RunLimits = RunLimits {
    duration: Duration::from_secs(5),
    max_requests: 60,
    max_in_flight: 60,
};

fn profile(method: &str, path: &str, more: &str) -> Profile {
    let text = format!(
        "[profile]\nname = test\n[route a]\nmethod = {method}\npath = {path}\nrate_per_s = 2000\n{more}"
    );
    Profile::parse(&Name::new("test.ini"), &text).unwrap()
}

async fn target(faults: Faults) -> Target {
    let config = TargetConfig {
        queue_len: 1_000,
        ..TargetConfig::new("orders")
    };
    let target = Target::bind(config).await.unwrap();
    target.set_faults(faults);
    target
}

async fn run(profile: &Profile, target: &Target, limits: RunLimits) -> RunReport {
    let reports = run_load(profile, Direct(target.addr()), (1, 1.0), limits, 1).await;
    reports.unwrap().remove(0)
}

/// Guards against responses that are counted under the wrong outcome or not at all.
#[parameterized(
    good = { Faults::default(), "/orders/a", 60, "by_status", "200" },
    failed = { Faults { fail_fast: true, ..Faults::default() }, "/orders/a", 0, "by_status", "500" },
    cut = { Faults { truncate_answer: true, ..Faults::default() }, "/orders/bulk/9999", 0, "by_error", "broke" },
    late = { Faults { late_answer_ms: 600_000, ..Faults::default() }, "/orders/a", 0, "by_error", "timed out" },
)]
#[test_macro(tokio::test)]
async fn outcomes_are_counted(faults: Faults, path: &str, good: u64, group: &str, name: &str) {
    let target = target(faults).await;
    let deadline = if name == "timed out" { 300 } else { 600_000 };
    let profile = profile("GET", path, &format!("deadline_ms = {deadline}\n"));
    let report = run(&profile, &target, LIMITS).await;
    assert_eq!((report.due, report.finished, report.good), (60, 60, good));
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(json[group][name], 60, "{json}");
    assert_eq!(report.bad_permille(), (60 - good) * 1_000 / 60);
}

/// Guards against a resend under another key, and against resends of requests without a key.
#[parameterized(
    keyed = { 1_000, 3 },
    without_key = { 0, 1 },
)]
#[test_macro(tokio::test)]
async fn unknown_outcome_is_resent_with_the_same_key(keyed_permille: u32, attempts: usize) {
    let target = target(Faults {
        truncate_answer: true,
        ..Faults::default()
    })
    .await;
    let more = format!("non_idempotent_permille = {keyed_permille}\nresends = 2\n");
    let limits = RunLimits {
        max_requests: 1,
        ..LIMITS
    };
    let report = run(&profile("POST", "/orders/cast", &more), &target, limits).await;
    assert_eq!(report.unknown, 1);
    let keys: Vec<_> = target.executions().into_iter().map(|e| e.key).collect();
    assert_eq!(keys.len(), attempts);
    assert!(keys.iter().all(|key| *key == keys[0]));
    assert_eq!(keys[0].is_some(), keyed_permille > 0);
}

/// Guards against unbounded requests in flight when targets do not respond.
#[tokio::test]
async fn requests_in_flight_are_bounded() {
    let target = target(Faults {
        late_answer_ms: 600_000,
        ..Faults::default()
    })
    .await;
    let limits = RunLimits {
        max_in_flight: 10,
        ..LIMITS
    };
    let profile = profile("GET", "/orders/a", "deadline_ms = 2000\n");
    let report = run(&profile, &target, limits).await;
    assert_eq!((report.due, report.finished, report.not_sent), (60, 10, 50));
}

/// Guards against a comparison whose sides get different shares of the schedule.
#[tokio::test]
async fn comparison_alternates() {
    let (near, far) = (
        target(Faults::default()).await,
        target(Faults::default()).await,
    );
    let profile = profile("GET", "/orders/a", "");
    let result = compare(&profile, Direct(near.addr()), far.addr(), (1, 1.0), LIMITS).await;
    let result = result.unwrap();
    assert_eq!((result.through.good, result.direct.good), (30, 30));
    assert_eq!((near.counters().ran, far.counters().ran), (30, 30));
    let table = result.to_markdown();
    assert!(
        table.lines().any(|line| line.starts_with("| all | 30 |")),
        "{table}"
    );
}

/// Guards against load that is not spread over the hosts, or that stays on hosts that are no longer
/// listed.
#[tokio::test]
async fn addresses_are_fetched_again_after_keep_ms() {
    let fetches = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&fetches);
    let response = move || {
        let ports = match counter.fetch_add(1, Ordering::SeqCst) {
            0 => vec![1001, 1002],
            _ => vec![1003],
        };
        let host =
            |port| json!({ "host": "e1", "addr": format!("127.0.0.1:{port}"), "key_tags": [1] });
        let hosts: Vec<_> = ports.into_iter().map(host).collect();
        async move { Json(json!({ "hosts": hosts, "keep_ms": 1 })) }
    };
    let routes = Router::new().route("/heatherhinge/v1/addresses", get(response));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = tokio::spawn(async move { axum::serve(listener, routes).await });
    let list = AddressList::spawn(HttpClient::default(), vec![addr], None)
        .await
        .unwrap();
    let port = |number| list.address(number).as_ref().map(SocketAddr::port);
    if fetches.load(Ordering::SeqCst) == 1 {
        assert_eq!((port(0), port(1)), (Some(1001), Some(1002)));
    }
    while port(0) != Some(1003) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.abort();
}

/// Guards against a run that sends nothing and reports no error when no entry host returns
/// addresses.
#[tokio::test]
async fn no_entry_host_is_an_error() {
    let target = target(Faults::default()).await;
    let list = AddressList::spawn(HttpClient::default(), vec![target.addr()], None).await;
    assert!(list.is_err());
}

/// Guards against a resend of a request that is known not to have run, or the reverse.
#[parameterized(
    good = { 200, None, false, false },
    failed = { 500, None, false, true },
    refused_not_run = { 503, Some("no"), false, false },
    refused_outcome_unknown = { 502, Some("unknown"), false, true },
    refused_did_run = { 409, Some("yes"), false, false },
    target_shed = { 503, None, true, false },
)]
fn outcome_is_unknown(status: u16, ran: Option<&str>, is_not_run: bool, expected: bool) {
    let head = ResponseHead {
        status,
        ran: ran.map(str::to_owned),
        is_not_run,
        ..ResponseHead::default()
    };
    assert_eq!(SendOutcome::Answered(head).is_unknown(), expected);
}
