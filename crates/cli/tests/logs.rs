//! Tests of explanations from log files.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{command, fresh_dir, redact};
use heatherhinge_cli::Exit;

const LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/host.log");

/// Guards against an explanation that leaves out a target, the cause, whether the request ran, or
/// the state changes of the host just before.
#[tokio::test]
async fn a_request_is_explained_from_a_log() {
    let mut session = String::new();
    for id in ["feed0001", "feed0002"] {
        let output = command(&["explain", "log", id, LOG], &[]).await;
        assert_eq!(output.exit, Exit::Ok);
        session.push_str(&format!(
            "$ heatherhinge explain log {id} LOG\n{}\n",
            output.text
        ));
    }
    insta::assert_snapshot!(redact(&session, &[(LOG.to_owned(), "LOG")]));
}

/// Guards against an empty explanation of a request that no host has logged, and against a missing
/// file being treated as one without the request.
#[tokio::test]
async fn missing_requests_and_files_are_errors() {
    let output = command(&["explain", "log", "feed0009", LOG], &[]).await;
    assert_eq!(output.exit, Exit::Refused);
    let missing = fresh_dir("logs").join("none.log");
    let output = command(
        &["explain", "log", "feed0001", missing.to_str().unwrap()],
        &[],
    )
    .await;
    assert_eq!(output.exit, Exit::Usage);
}
