//! Tests of bundle submit: refusals, lost responses, conflicts and the push to other hosts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{
    BUNDLE, FakeHost, OnSubmit, closed_addr, command, command_in, context, envelope, fresh_dir,
    redact,
};
use heatherhinge_cli::{Exit, Output};
use heatherhinge_types::{Code, Name};
use std::net::SocketAddr;
use yare::parameterized;

async fn submit(case: &str, entries: &[SocketAddr]) -> Output {
    let path = fresh_dir(case).join("envelope.json");
    std::fs::write(&path, envelope(BUNDLE).to_json().unwrap()).unwrap();
    let mut context = context();
    if case.contains("Hang") {
        // Only in this case a call runs into its timeout.
        context.limits.call_ms = 300;
    }
    command_in(
        &context,
        &["bundle", "submit", path.to_str().unwrap()],
        entries,
    )
    .await
}

fn block_on<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(test)
}

/// Guards against a wrong outcome of a submission: accepted, refused and unknown must be
/// distinguished whatever the first and the second host do.
#[parameterized(
    both_accept = { OnSubmit::Accept, OnSubmit::Accept, Exit::Ok, "in force on 2 of 2" },
    first_is_not_fresh = { OnSubmit::Refuse(Code::NotFresh), OnSubmit::Accept, Exit::Ok, "in force on 1 of 2" },
    first_leaves = { OnSubmit::Refuse(Code::Leaving), OnSubmit::Accept, Exit::Ok, "Bundle 7 was accepted.\n" },
    no_host_accepts = { OnSubmit::Refuse(Code::NotFresh), OnSubmit::Refuse(Code::NoBundle), Exit::Unknown, "The bundle was not submitted" },
    bad_signature = { OnSubmit::Refuse(Code::BundleBadSignature), OnSubmit::Accept, Exit::Refused, "Refused with code 2103" },
    revoked_key = { OnSubmit::Refuse(Code::BundleRevokedKey), OnSubmit::Accept, Exit::Refused, "Refused with code 2105" },
    problems = { OnSubmit::Refuse(Code::BundleMalformed), OnSubmit::Accept, Exit::Refused, "\nbundle:9: slots: 0 is not within 1 to 1024\nRequest id: r-1\n" },
    lost_race = { OnSubmit::Refuse(Code::BundleConflict), OnSubmit::Accept, Exit::Refused, "Refused with code 2102" },
    accepted_by_an_earlier_run = { OnSubmit::AcceptThenRefuse(Code::BundleVersion), OnSubmit::Accept, Exit::Ok, "Bundle 7 was accepted.\n" },
    response_lost_after_acceptance = { OnSubmit::AcceptThenUnreadable, OnSubmit::Accept, Exit::Ok, "The response was lost, but a host reports it in force." },
    outcome_unknown_then_shown = { OnSubmit::AcceptThenRefuse(Code::BundleOutcomeUnknown), OnSubmit::Accept, Exit::Ok, "The response was lost, but a host reports it in force." },
    store_down = { OnSubmit::Refuse(Code::StoreUnavailable), OnSubmit::Accept, Exit::Unknown, "It is unknown whether bundle 7 was accepted" },
    response_lost_and_not_shown = { OnSubmit::Unreadable, OnSubmit::Accept, Exit::Unknown, "It is unknown whether bundle 7 was accepted" },
    no_response_and_not_shown = { OnSubmit::Hang, OnSubmit::Accept, Exit::Unknown, "It is unknown whether bundle 7 was accepted" },
    second_never_has_it = { OnSubmit::Accept, OnSubmit::AcceptOnly, Exit::Ok, "in force on 1 of 2" },
)]
fn outcome_is_reported(first: OnSubmit, second: OnSubmit, exit: Exit, expected: &str) {
    block_on(async {
        let a = FakeHost::open("entry-a", "north", first).await;
        let b = FakeHost::open("entry-b", "south", second).await;
        let case = format!("submit-{first:?}-{second:?}");
        let output = submit(&case, &[a.addr, b.addr]).await;
        assert_eq!(output.exit, exit, "{}", output.text);
        assert!(output.text.contains(expected), "{}", output.text);
        if first != OnSubmit::Accept && exit != Exit::Ok && !expected.contains("not submitted") {
            let submissions = b.state.lock().unwrap().submissions;
            assert_eq!(
                submissions, 0,
                "a bundle that was refused or may have been accepted went to another host"
            );
        }
    });
}

/// Guards against another operator's bundle of the same version being taken for the submitted one
/// after a lost response, and against a later version being taken as proof of acceptance.
#[parameterized(
    same_version = { 7, Exit::Refused, "Refused with code 2102" },
    later_version = { 8, Exit::Unknown, "It is unknown whether bundle 7 was accepted" },
)]
fn lost_response_and_another_bundle(version: u64, exit: Exit, expected: &str) {
    block_on(async {
        let a = FakeHost::open("entry-a", "north", OnSubmit::Unreadable).await;
        a.edit(|state| {
            state.status.bundle_version = version;
            state.status.bundle_digest = Name::from("another");
        });
        let output = submit(&format!("submit-other-{version}"), &[a.addr]).await;
        assert_eq!(output.exit, exit);
        assert!(output.text.contains(expected), "{}", output.text);
    });
}

/// Guards against a bundle not being pushed to hosts that only the responses of others list, and
/// against sending it again to a host that has it.
#[test]
fn bundle_is_pushed_to_hosts_that_others_name() {
    block_on(async {
        let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
        let b = FakeHost::open("entry-b", "south", OnSubmit::Accept).await;
        let unreachable = FakeHost::open("entry-c", "south", OnSubmit::Accept).await;
        unreachable.edit(|state| state.status.hosts[0].caller_addr = Some(closed_addr()));
        a.add_peer(&b);
        a.add_peer(&unreachable);
        let output = submit("submit-push", &[closed_addr(), a.addr]).await;
        assert_eq!(b.state.lock().unwrap().submissions, 1);
        assert_eq!(
            a.state.lock().unwrap().submissions,
            1,
            "a host that has the bundle received it again"
        );
        insta::assert_snapshot!(output.text);
        let mut json = output.json;
        json["digest"] = "D".into();
        insta::assert_snapshot!(json);
    });
}

/// Guards against an invalid envelope being sent, and against a broken connection being taken as
/// proof that the host did not receive the bundle.
#[test]
fn bad_envelope_and_broken_connection() {
    block_on(async {
        let dir = fresh_dir("submit-bad");
        let path = dir.join("envelope.json");
        let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
        let mut output_text = String::new();
        for text in [
            "{}",
            &envelope("[bundle]\nversion = 0\n").to_json().unwrap(),
        ] {
            std::fs::write(&path, text).unwrap();
            let output = command(&["bundle", "submit", path.to_str().unwrap()], &[a.addr]).await;
            assert_eq!(output.exit, Exit::Refused);
            output_text.push_str(&output.text);
        }
        insta::assert_snapshot!(redact(&output_text, &[(dir.display().to_string(), "DIR")]));
        assert_eq!(a.state.lock().unwrap().submissions, 0);

        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                drop(connection);
            }
        });
        let output = submit("submit-broken", &[addr, a.addr]).await;
        assert_eq!(output.exit, Exit::Unknown);
        assert_eq!(a.state.lock().unwrap().submissions, 0);
    });
}
