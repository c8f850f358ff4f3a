//! Implements `bundle check` and `bundle sign`.

use crate::bundle_file::{file_name, read_text};
use crate::{Context, EntryClient, Output, key};
use heatherhinge_bundle::{Bundle, Envelope, ZoneState};
use heatherhinge_ini::Problem;
use heatherhinge_types::{Code, Name};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;

/// Checks the text of a bundle, also against the bundle in force if entry hosts are given.
pub(crate) async fn check(context: &Context, file: &Path, entries: &[SocketAddr]) -> Output {
    let text = match read_text(file) {
        Ok(text) => text,
        Err(output) => return output,
    };
    let name = file_name(file);
    let checked = if entries.is_empty() {
        Bundle::parse(&name, &text, context.now_wall_ms)
    } else {
        match in_force(context, entries).await {
            Ok(Some(in_force)) => check_successor(context, &name, &text, &in_force),
            Ok(None) => Bundle::parse(&name, &text, context.now_wall_ms),
            Err(output) => return output,
        }
    };
    match checked {
        Ok(bundle) => Output::ok(
            format!("{}\n", summary(&bundle)),
            json!({ "version": bundle.version }),
        ),
        Err(problems) => Output::refused(Code::BundleMalformed, &problems),
    }
}

/// Signs the text of a bundle and writes the envelope.
pub(crate) fn sign(file: &Path, key: &Path, out: &Path) -> Output {
    match try_sign(file, key, out) {
        Ok(output) | Err(output) => output,
    }
}

fn try_sign(file: &Path, key: &Path, out: &Path) -> Result<Output, Output> {
    let text = read_text(file)?;
    let key = key::read(key)?;
    // End times are checked by `check` and by the hosts, because a bundle may contain a move that
    // is under way.
    let bundle = Bundle::parse_accepted(&file_name(file), &text)
        .map_err(|problems| Output::refused(Code::BundleMalformed, &problems))?;
    if bundle.revoked_keys.contains(&key.id) {
        return Err(Output::refused(Code::BundleRevokedKey, &[]));
    }
    let envelope = Envelope::sign(text, key.id, &key.key);
    let json = envelope
        .to_json()
        .map_err(|code| Output::refused(code, &[]))?;
    std::fs::write(out, json).map_err(|error| {
        Output::usage(&format!(
            "The file {} cannot be written: {error}.",
            out.display()
        ))
    })?;
    Ok(Output::ok(
        format!(
            "Signed bundle {} with key {} into {}.\n",
            bundle.version.0,
            envelope.key_id,
            out.display()
        ),
        json!({
            "version": bundle.version,
            "key_id": envelope.key_id,
            "digest": envelope.digest().to_string(),
            "file": out,
        }),
    ))
}

/// Fetches the bundle in force from the first host that responds; `None` before the first bundle.
async fn in_force(context: &Context, entries: &[SocketAddr]) -> Result<Option<Bundle>, Output> {
    let client = EntryClient::new(context.limits);
    for addr in entries {
        match client.bundle(*addr).await {
            Ok(envelope) => {
                let name = Name::from(format!("bundle in force at {addr}"));
                return Bundle::parse_accepted(&name, &envelope.text)
                    .map(Some)
                    .map_err(|problems| Output::refused(Code::BundleMalformed, &problems));
            }
            Err(crate::CallError::Refused(r)) if r.code == Code::NoBundle.number() => {
                return Ok(None);
            }
            Err(_) => {}
        }
    }
    Err(Output::unknown(
        "No entry host returned the bundle in force, so the text was not checked against it.",
    ))
}

fn check_successor(
    context: &Context,
    name: &Name,
    text: &str,
    in_force: &Bundle,
) -> Result<Bundle, Vec<Problem>> {
    let bundle = Bundle::parse_successor(name, text, context.now_wall_ms, in_force)?;
    let next = in_force.version.0.saturating_add(1);
    if bundle.version.0 == next {
        Ok(bundle)
    } else {
        Err(vec![Problem {
            file: name.clone(),
            line: 0,
            field: Name::new("version"),
            message: format!(
                "{} is not the next version: {} is in force, so this one must be {next}",
                bundle.version.0, in_force.version.0
            ),
        }])
    }
}

fn summary(bundle: &Bundle) -> String {
    let out = bundle
        .zones
        .values()
        .filter(|zone| zone.state == ZoneState::Out);
    let services = bundle.services.values();
    format!(
        "Bundle {} passes. Zones: {}, of them out: {}; services: {}; routes: {}; moves: {}.",
        bundle.version.0,
        bundle.zones.len(),
        out.count(),
        bundle.services.len(),
        services.clone().map(|s| s.routes.len()).sum::<usize>(),
        services.filter(|s| s.version_move.is_some()).count(),
    )
}
