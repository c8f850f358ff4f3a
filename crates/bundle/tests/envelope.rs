//! Tests signatures of bundles and malformed input.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use heatherhinge_bundle::{Bundle, ENVELOPE_LIMIT_BYTES, Envelope, KeyTextError, TrustedKeys};
use heatherhinge_types::{Code, Name, WallMs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;
use yare::parameterized;

const GOOD: &str = include_str!("data/good.ini");

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn trusted(id: &str) -> TrustedKeys {
    let public = STANDARD.encode(key().verifying_key().as_bytes());
    let mut keys = TrustedKeys::default();
    keys.add_base64(Name::new(id), &public).unwrap();
    keys
}

fn signed(id: &str) -> Envelope {
    Envelope::sign(GOOD.to_owned(), Name::new(id), &key())
}

/// Guards against a bundle signed with a wrong, old or unknown key being accepted.
#[parameterized(
    good = { "ops-2", GOOD, "", Ok(()) },
    other_text = { "ops-2", "[bundle]\nversion = 8\n", "", Err(Code::BundleBadSignature) },
    unknown = { "ops-9", GOOD, "", Err(Code::BundleUnknownKey) },
    revoked = { "ops-2", GOOD, "ops-2", Err(Code::BundleRevokedKey) },
    revoked_and_unknown = { "ops-1", GOOD, "ops-1", Err(Code::BundleRevokedKey) },
)]
fn signature_is_checked(id: &str, text: &str, revoked: &str, expected: Result<(), Code>) {
    let mut envelope = signed(id);
    envelope.text = text.to_owned();
    let revoked = BTreeSet::from([Name::new(revoked)]);
    let result = envelope.verify(&trusted("ops-2"), &revoked);
    assert_eq!(result.map(|_| ()), expected);
}

/// Guards against a submitted bundle passing without one of the checks: signature, text, version,
/// and keys that revoke themselves or are no longer listed as revoked.
#[parameterized(
    next = { "ops-2", "version = 7", "version = 8", None },
    same_version = { "ops-2", "", "", Some((Code::BundleVersion, "")) },
    skipped_version = { "ops-2", "version = 7", "version = 9", Some((Code::BundleVersion, "")) },
    malformed = { "ops-2", "slots = 5", "slots = 0", Some((Code::BundleMalformed, "bundle:12: slots: 0 is not within 1 to 1024")) },
    old_key = { "ops-1", "version = 7", "version = 8", Some((Code::BundleRevokedKey, "")) },
    revokes_itself = { "ops-2", "version = 7", "version = 8\n[signing]\nrevoked = ops-1, ops-2", Some((Code::BundleRevokedKey, "")) },
    trusts_again = { "ops-2", "revoked = ops-1", "revoked = ops-3", Some((Code::BundleMalformed, "bundle:47: revoked: revoked keys of the bundle in force must stay listed: ops-1")) },
    drops_revocations = { "ops-2", "[signing]\nrevoked = ops-1\n", "", Some((Code::BundleMalformed, "bundle:0: [signing]: revoked keys of the bundle in force must stay listed: ops-1")) },
)]
fn submitted_bundle_is_checked(id: &str, from: &str, to: &str, expected: Option<(Code, &str)>) {
    let in_force = Bundle::parse_accepted(&Name::from("bundle"), GOOD).unwrap();
    let mut text = GOOD.replacen(from, to, usize::from(!from.is_empty()));
    if to.contains("[signing]") {
        text = text.replace("[signing]\nrevoked = ops-1\n", "");
    }
    let envelope = Envelope::sign(text, Name::new(id), &key());
    let opened = envelope.open_submitted(&trusted(id), Some(&in_force), WallMs(0));
    let found = opened.err().map(|rejection| {
        let first = rejection.problems.first().map(ToString::to_string);
        (rejection.code, first.unwrap_or_default())
    });
    assert_eq!(found, expected.map(|(code, text)| (code, text.to_owned())));
}

/// Guards against the first bundle being refused, and against a host refusing a bundle that is
/// already accepted but not the successor of the one in force.
#[test]
fn first_and_accepted_bundles_are_opened() {
    let envelope = signed("ops-2");
    let first = envelope.open_submitted(&trusted("ops-2"), None, WallMs(0));
    let accepted = envelope.open_accepted(&trusted("ops-2"), &BTreeSet::new());
    assert!(first.is_ok() && first == accepted);
}

/// Guards against the signature of another key being accepted under a trusted id.
#[test]
fn signature_of_another_key_is_refused() {
    let other = SigningKey::from_bytes(&[8; 32]);
    let envelope = Envelope::sign(GOOD.to_owned(), Name::from("ops-2"), &other);
    let result = envelope.verify(&trusted("ops-2"), &BTreeSet::new());
    assert_eq!(result, Err(Code::BundleBadSignature));
}

/// Guards against JSON encoding that changes the signed text.
#[test]
fn json_keeps_every_byte() {
    let text = "[bundle]\r\n; \u{e9}\t\"\n".to_owned();
    let envelope = Envelope::sign(text, Name::from("ops-2"), &key());
    let json = envelope.to_json().unwrap();
    let read = Envelope::from_json(json.as_bytes()).unwrap();
    assert_eq!(read, envelope);
    assert!(read.verify(&trusted("ops-2"), &BTreeSet::new()).is_ok());
    assert_eq!(read.digest(), envelope.digest());
    assert_ne!(read.digest(), signed("ops-2").digest());
}

/// Guards against a malformed envelope being reported with another code than 2106
/// (`BundleBadEnvelope`).
#[parameterized(
    empty = { "" },
    not_json = { "[bundle]" },
    no_signature = { r#"{"text":"","key_id":"a"}"# },
    short_signature = { r#"{"text":"","key_id":"a","signature":"AAAA"}"# },
    not_base64 = { r#"{"text":"","key_id":"a","signature":"%"}"# },
    unknown_field = { r#"{"text":"","key_id":"a","signature":"","more":1}"# },
)]
fn bad_envelope_is_refused(json: &str) {
    let result = Envelope::from_json(json.as_bytes());
    assert_eq!(result, Err(Code::BundleBadEnvelope));
}

/// Guards against an envelope that is too large for a row of the table service.
#[test]
fn large_envelope_is_refused() {
    let text = "x".repeat(ENVELOPE_LIMIT_BYTES);
    let envelope = Envelope::sign(text, Name::from("ops-2"), &key());
    assert_eq!(envelope.to_json(), Err(Code::BundleBadEnvelope));
    let bytes = serde_json::to_vec(&envelope).unwrap();
    assert_eq!(Envelope::from_json(&bytes), Err(Code::BundleBadEnvelope));
}

/// Guards against trusting a key that verifies forged signatures, or none at all.
#[parameterized(
    not_base64 = { "!", KeyTextError::NotBase64 },
    short = { "AAAA", KeyTextError::NotBase64 },
    weak = { "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", KeyTextError::InvalidKey },
    no_point = { "AgAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", KeyTextError::InvalidKey },
)]
fn unusable_key_is_refused(text: &str, expected: KeyTextError) {
    let result = TrustedKeys::default().add_base64(Name::from("a"), text);
    assert_eq!(result, Err(expected));
}

fn config() -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x68_68),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on any input: bytes of a good bundle are replaced, lines repeated,
    /// and the text is truncated. A bundle that passes the check must pass it when parsed again.
    #[test]
    fn mutated_bundle_never_panics(
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        line in any::<prop::sample::Index>(),
        cut in any::<prop::sample::Index>(),
        is_cut in any::<bool>(),
    ) {
        let mut bytes = GOOD.as_bytes().to_vec();
        let lines: Vec<&str> = GOOD.lines().collect();
        bytes.extend_from_slice(line.get(&lines).as_bytes());
        for (place, byte) in edits {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        if is_cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        let text = String::from_utf8_lossy(&bytes);
        let file = Name::from("b.ini");
        match Bundle::parse(&file, &text, WallMs(0)) {
            Ok(bundle) => prop_assert_eq!(Bundle::parse_accepted(&file, &text), Ok(bundle)),
            Err(problems) => prop_assert!(!problems.is_empty()),
        }
    }

    /// Guards against a panic, or an acceptance, when bytes of a signed envelope are changed.
    #[test]
    fn mutated_envelope_is_never_verified(
        place in any::<prop::sample::Index>(),
        flip in 1_u8..=255,
    ) {
        let good = signed("ops-2");
        let mut bytes = good.to_json().unwrap().into_bytes();
        let place = place.index(bytes.len());
        bytes[place] ^= flip;
        if let Ok(envelope) = Envelope::from_json(&bytes) {
            let is_verified = envelope.verify(&trusted("ops-2"), &BTreeSet::new()).is_ok();
            prop_assert!(!is_verified || envelope == good);
        }
    }
}
