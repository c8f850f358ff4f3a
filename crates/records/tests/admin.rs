//! Tests the JSON of the admin endpoints, which hosts and command lines of several releases share.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_blackboard::{MoveState, OverheadCounts};
use heatherhinge_records::admin::{
    Accepted, BundleAccepted, ErrorBody, HostSummary, MoveReport, MoveSummary, ReportResponse,
    StatusResponse, ZoneSummary,
};
use heatherhinge_types::{Code, WallMs};

fn status() -> StatusResponse {
    StatusResponse {
        host: "entry-a".into(),
        zone: "north".into(),
        phase: "serving".into(),
        is_fresh: true,
        bundle_version: 7,
        bundle_digest: "00112233445566778899aabbccddeeff".into(),
        hosts: vec![HostSummary {
            host: "entry-a".into(),
            zone: "north".into(),
            caller_addr: "127.0.0.1:8080".parse().ok(),
            live: true,
            bundle_version: 7,
            takes_callers: true,
        }],
        moves: vec![MoveSummary {
            service: "orders".into(),
            id: "orders-7".into(),
            state: MoveState::TakenBack,
            share_permille: 0,
        }],
        zones: vec![ZoneSummary {
            zone: "south".into(),
            phase: "out".into(),
        }],
        partitions_owned: 128,
        spend: OverheadCounts {
            probes: 10,
            retries: 2,
            refusals: 3,
        },
    }
}

/// Guards against a renamed member, which a command line or host of another release cannot read.
#[test]
fn json_of_every_response() {
    let accepted = BundleAccepted {
        outcome: Accepted::Accepted,
        version: 7,
    };
    let mut refusal = ErrorBody::new(Code::BundleMalformed, Some("r-1".into()));
    refusal.problems = vec!["bundle:2: version: 'x' is not a whole number".to_owned()];
    let report = ReportResponse {
        moves: vec![MoveReport {
            service: "orders".into(),
            move_id: "orders-7".into(),
            state: MoveState::Done,
            at_wall_ms: WallMs(1_801_375_200_000),
            evidence: "300 good answers".to_owned(),
        }],
    };
    let texts = [
        serde_json::to_string_pretty(&accepted).unwrap(),
        serde_json::to_string_pretty(&refusal).unwrap(),
        serde_json::to_string_pretty(&status()).unwrap(),
        serde_json::to_string_pretty(&report).unwrap(),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against a parse error on a response with unknown members or without an optional one.
#[test]
fn unknown_and_missing_members_are_accepted() {
    let mut json = serde_json::to_value(status()).unwrap();
    json["new_member"] = 1.into();
    json["hosts"][0]
        .as_object_mut()
        .unwrap()
        .remove("caller_addr");
    let read: StatusResponse = serde_json::from_value(json).unwrap();
    assert_eq!(read.hosts[0].caller_addr, None);
    let refusal = r#"{"code":2102,"ran":"no","message":"m"}"#;
    let refusal: ErrorBody = serde_json::from_str(refusal).unwrap();
    assert_eq!((refusal.code, refusal.request_id), (2102, None));
}
