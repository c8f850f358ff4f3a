//! Tests of the commands that only read: status, report and explain.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{FakeHost, OnSubmit, closed_addr, command, redact};
use heatherhinge_blackboard::MoveState;
use heatherhinge_cli::Exit;
use heatherhinge_records::admin::{ExplainResponse, MoveReport, ReportResponse};
use heatherhinge_records::{Record, RecordBasis, RecordEvent, Subject};
use heatherhinge_types::{Code, WallMs};
use yare::parameterized;

const START_WALL_MS: u64 = 1_801_375_200_000;

/// Guards against a host that does not respond being shown as current or left out.
#[tokio::test]
async fn bundle_status_lists_every_host() {
    let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
    let b = FakeHost::open("entry-b", "south", OnSubmit::Accept).await;
    let unreachable = FakeHost::open("entry-c", "south", OnSubmit::Accept).await;
    b.edit(|state| {
        state.status.is_fresh = false;
        state.status.bundle_version = 0;
        state.status.bundle_digest = "".into();
    });
    unreachable.edit(|state| {
        state.status.hosts[0].caller_addr = Some(closed_addr());
        state.status.hosts[0].live = false;
    });
    a.add_peer(&b);
    a.add_peer(&unreachable);
    let output = command(&["bundle", "status"], &[a.addr]).await;
    assert_eq!(output.exit, Exit::Ok);
    insta::assert_snapshot!(output.text);
}

/// Guards against a status that leaves out hosts, zones, moves or overhead counts.
#[tokio::test]
async fn status_comes_from_the_first_host_that_responds() {
    let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
    let output = command(&["status"], &[closed_addr(), a.addr]).await;
    assert_eq!(output.exit, Exit::Ok);
    insta::assert_snapshot!(output.text);
}

/// Guards against a rolled-back move being reported as done, and against reports out of time order.
#[tokio::test]
async fn report_counts_outcomes() {
    let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
    let report = |service: &str, state, at_ms| MoveReport {
        service: service.into(),
        move_id: format!("{service}-1").into(),
        state,
        at_wall_ms: WallMs(START_WALL_MS + at_ms),
        evidence: "300 good and 2 failed answers".to_owned(),
    };
    let moves = vec![
        report("patterns", MoveState::TakenBack, 60_000),
        report("orders", MoveState::Done, 0),
        report("booking", MoveState::Late, 90_000),
    ];
    a.edit(|state| state.report = ReportResponse { moves });
    let output = command(&["report"], &[a.addr]).await;
    assert_eq!(output.exit, Exit::Ok);
    insta::assert_snapshot!(output.text);
}

fn record(host: &str, at_ms: u64, event: RecordEvent) -> Record {
    Record {
        at_wall_ms: WallMs(START_WALL_MS + at_ms),
        host: host.into(),
        subject: Subject::Request("r-7".into()),
        basis: RecordBasis {
            bundle: 6,
            ..RecordBasis::default()
        },
        event,
    }
}

/// Guards against an explanation that leaves out the records of a host, or does not name a host
/// that did not respond.
#[tokio::test]
async fn explanation_joins_the_records_of_all_hosts() {
    let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
    let b = FakeHost::open("entry-b", "south", OnSubmit::Accept).await;
    let unreachable = closed_addr();
    let response = |record| {
        Ok(ExplainResponse {
            records: vec![record],
        })
    };
    let refused = record("entry-a", 9, RecordEvent::Refused { code: 1504 });
    let good = RecordEvent::Answered {
        status: 200,
        attempts: 1,
        total_us: 900,
        added_us: 300,
    };
    a.edit(|state| state.explain = response(refused));
    b.edit(|state| state.explain = response(record("entry-b", 3, good)));
    a.add_peer(&b);
    let output = command(&["explain", "request", "r-7"], &[a.addr, unreachable]).await;
    assert_eq!(output.exit, Exit::Ok);
    assert_eq!(b.state.lock().unwrap().explain_paths, ["request/r-7"]);
    insta::assert_snapshot!(redact(&output.text, &[(unreachable.to_string(), "GONE")]));
}

/// Guards against reporting that no record exists while a host that may have one did not respond.
#[parameterized(
    none_found = { Some(Code::RecordNotFound), false, Exit::Refused, "Refused with code 2501" },
    none_found_but_one_unreachable = { Some(Code::RecordNotFound), true, Exit::Unknown, "No record was found.\nHost at " },
    store_is_unavailable = { Some(Code::StoreUnavailable), false, Exit::Unknown, "No entry host responded." },
    no_host_responds = { None, true, Exit::Unknown, "No entry host responded." },
)]
fn missing_records_are_reported(
    code: Option<Code>,
    has_unreachable: bool,
    exit: Exit,
    expected: &str,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
        let mut entries = Vec::new();
        if let Some(code) = code {
            a.edit(|state| state.explain = Err(code));
            entries.push(a.addr);
        }
        if has_unreachable {
            entries.push(closed_addr());
        }
        let output = command(&["explain", "move", "orders-7"], &entries).await;
        assert_eq!(output.exit, exit, "{}", output.text);
        assert!(output.text.starts_with(expected), "{}", output.text);
    });
}

/// Guards against a command without a reachable entry host hanging or reporting an empty fleet.
#[tokio::test]
async fn entry_host_is_needed() {
    for args in [
        &["status"][..],
        &["report"],
        &["bundle", "status"],
        &["explain", "move", "m"],
    ] {
        assert_eq!(command(args, &[]).await.exit, Exit::Usage);
        assert_eq!(command(args, &[closed_addr()]).await.exit, Exit::Unknown);
    }
}
