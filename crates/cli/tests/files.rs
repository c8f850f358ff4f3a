//! Tests of the commands on files: key new, bundle check and bundle sign.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{BUNDLE, FakeHost, OnSubmit, command, envelope, fresh_dir, redact};
use heatherhinge_bundle::{Envelope, TrustedKeys};
use heatherhinge_cli::Exit;
use heatherhinge_types::Name;
use std::collections::BTreeSet;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// Guards against an envelope made by key new, bundle check and bundle sign that hosts refuse, and
/// against a key file that others can read or that overwrites another one.
#[tokio::test]
async fn key_to_envelope() {
    let dir = fresh_dir("files-session");
    let [key, bundle, out] = ["ops.key", "bundle.ini", "envelope.json"].map(|name| dir.join(name));
    std::fs::write(&bundle, BUNDLE).unwrap();
    let mut session = String::new();
    let commands: [&[&str]; 5] = [
        &["key", "new", "--out", text(&key), "--id", "ops-2"],
        &["key", "new", "--out", text(&key)],
        &["bundle", "check", text(&bundle)],
        &[
            "bundle",
            "sign",
            text(&bundle),
            "--key",
            text(&key),
            "--out",
            text(&out),
        ],
        &[
            "bundle",
            "sign",
            text(&bundle),
            "--key",
            text(&bundle),
            "--out",
            text(&out),
        ],
    ];
    for args in commands {
        let output = command(args, &[]).await;
        session.push_str(&format!(
            "$ heatherhinge {}\n{}",
            args.join(" "),
            output.text
        ));
        session.push_str(&format!("exit {}\n\n", output.exit as u8));
    }
    insta::assert_snapshot!(redact(&session, &[(dir.display().to_string(), "DIR")]));
    let mode = std::fs::metadata(&key).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let signed = Envelope::from_json(&std::fs::read(&out).unwrap()).unwrap();
    let key_file = std::fs::read_to_string(&key).unwrap();
    let public = key_file.lines().last().unwrap().replace("public = ", "");
    let mut trusted = TrustedKeys::default();
    trusted.add_base64(Name::from("ops-2"), &public).unwrap();
    assert_eq!(signed.verify(&trusted, &BTreeSet::new()), Ok(BUNDLE));
}

/// Guards against a broken bundle, or one that revokes its own signing key, being signed.
#[tokio::test]
async fn bad_bundle_is_not_signed() {
    let dir = fresh_dir("files-bad");
    let [key, bundle, out] = ["ops.key", "bundle.ini", "envelope.json"].map(|name| dir.join(name));
    command(&["key", "new", "--out", text(&key), "--id", "ops-1"], &[]).await;
    let cases = [
        (BUNDLE.to_owned(), "Refused with code 2105"),
        (
            BUNDLE.replace("slots = 5", "slots = 0"),
            "slots: 0 is not within 1 to 1024",
        ),
    ];
    for (content, expected) in cases {
        std::fs::write(&bundle, content).unwrap();
        let args = [
            "bundle",
            "sign",
            text(&bundle),
            "--key",
            text(&key),
            "--out",
            text(&out),
        ];
        let output = command(&args, &[]).await;
        assert_eq!(output.exit, Exit::Refused);
        assert!(output.text.contains(expected), "{}", output.text);
        assert!(!out.exists());
    }
    let missing = dir.join("missing.ini");
    let output = command(&["bundle", "check", text(&missing)], &[]).await;
    assert_eq!(output.exit, Exit::Usage);
}

/// Guards against bundle check passing a bundle that hosts refuse because of its version, or
/// refusing one because of a move that is under way.
#[tokio::test]
async fn check_uses_the_bundle_in_force() {
    let dir = fresh_dir("files-in-force");
    let bundle = dir.join("bundle.ini");
    let late = BUNDLE.replace("2027-01-31T06:00:00Z", "2027-01-31T05:00:01Z");
    let a = FakeHost::open("entry-a", "north", OnSubmit::Accept).await;
    std::fs::write(&bundle, &late).unwrap();
    let check = ["bundle", "check", text(&bundle)];
    assert_eq!(command(&check, &[]).await.exit, Exit::Refused);
    let without_any = command(&check, &[a.addr]).await;
    assert!(
        without_any.text.contains("cannot finish in time"),
        "{}",
        without_any.text
    );
    a.edit(|state| state.in_force = Some(envelope(&late.replace("version = 7", "version = 6"))));
    assert_eq!(command(&check, &[a.addr]).await.exit, Exit::Ok);
    a.edit(|state| state.in_force = Some(envelope(&late)));
    let same_version = command(&check, &[a.addr]).await;
    assert_eq!(same_version.exit, Exit::Refused);
    assert!(
        same_version
            .text
            .contains("7 is in force, so this one must be 8")
    );
}
