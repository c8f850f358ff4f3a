//! Submits a bundle and finds out what became of it.

use crate::bundle_file::read_envelope;
use crate::distribute::distribute;
use crate::fleet_status::FleetStatus;
use crate::{CallError, Context, EntryClient, Output};
use bytes::Bytes;
use heatherhinge_bundle::Envelope;
use heatherhinge_records::admin::{ErrorBody, StatusResponse};
use heatherhinge_types::Code;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The bundle that is submitted.
#[derive(Clone, Debug)]
pub(crate) struct SubmittedBundle {
    /// The envelope as JSON.
    pub(crate) json: Bytes,
    /// Version of the bundle.
    pub(crate) version: u64,
    /// Digest of the envelope, as hosts state it.
    pub(crate) digest: String,
}

impl SubmittedBundle {
    /// Returns whether a host has the bundle, or a later one, in force.
    ///
    /// A later version counts only once the bundle is known to be accepted.
    pub(crate) fn is_in_force(&self, answer: &StatusResponse) -> bool {
        answer.bundle_version > self.version || self.is_this(answer)
    }

    fn is_this(&self, answer: &StatusResponse) -> bool {
        answer.bundle_version == self.version && *answer.bundle_digest == self.digest
    }
}

/// What became of the bundle.
enum Fate {
    /// The bundle was accepted.
    Accepted,
    /// The bundle was refused and will not come into force.
    Refused(ErrorBody),
    /// No host saw the bundle.
    NotSent(String),
    /// A host may have accepted the bundle.
    Unknown,
}

/// Submits an envelope, and pushes it to all known entry hosts once it is accepted.
pub(crate) async fn submit(context: &Context, path: &Path, entries: &[SocketAddr]) -> Output {
    let (envelope, bundle) = match read_envelope(path) {
        Ok(read) => read,
        Err(output) => return output,
    };
    let wanted = match wanted(&envelope, bundle.version.0) {
        Ok(wanted) => wanted,
        Err(output) => return output,
    };
    let client = EntryClient::new(context.limits);
    let (fate, was_lost) = match offer(&client, entries, &wanted).await {
        Fate::Unknown => (settle(context, &client, entries, &wanted).await, true),
        Fate::Refused(refusal) => (recheck(&client, entries, &wanted, refusal).await, false),
        fate => (fate, false),
    };
    match fate {
        Fate::Accepted => distribute(context, &client, entries, &wanted, was_lost).await,
        Fate::Refused(refusal) => Output::from_refusal(&refusal),
        Fate::NotSent(reasons) => Output::unknown(&format!(
            "The bundle was not submitted: no entry host took it. {reasons}"
        )),
        Fate::Unknown => Output::unknown(&format!(
            "It is unknown whether bundle {} was accepted: the answer was lost and no host has \
             shown it in force. Submit the same file again; it cannot be accepted twice.",
            wanted.version
        )),
    }
}

fn wanted(envelope: &Envelope, version: u64) -> Result<SubmittedBundle, Output> {
    let json = envelope
        .to_json()
        .map_err(|code| Output::refused(code, &[]))?;
    Ok(SubmittedBundle {
        json: Bytes::from(json),
        version,
        digest: envelope.digest().to_string(),
    })
}

/// Offers the bundle to one entry host after the other, as long as none of them can have taken it.
async fn offer(client: &EntryClient, entries: &[SocketAddr], wanted: &SubmittedBundle) -> Fate {
    let mut reasons = Vec::new();
    for addr in entries {
        match client.submit(*addr, wanted.json.clone()).await {
            Ok(_) => return Fate::Accepted,
            Err(error) if error.may_have_run() => return Fate::Unknown,
            Err(error) if error.is_host_specific() => reasons.push(format!("{addr}: {error}.")),
            Err(CallError::Refused(refusal)) => return Fate::Refused(refusal),
            Err(error) => reasons.push(format!("{addr}: {error}.")),
        }
    }
    Fate::NotSent(reasons.join(" "))
}

/// Asks the hosts until one shows whether the bundle was accepted, or time is up.
async fn settle(
    context: &Context,
    client: &EntryClient,
    entries: &[SocketAddr],
    wanted: &SubmittedBundle,
) -> Fate {
    let end = Instant::now() + Duration::from_millis(context.limits.in_force_ms);
    loop {
        let fleet = FleetStatus::fetch(client, entries).await;
        if let Some(fate) = fate_shown_by(&fleet, wanted) {
            return fate;
        }
        if Instant::now() >= end {
            return Fate::Unknown;
        }
        sleep(Duration::from_millis(context.limits.poll_interval_ms)).await;
    }
}

/// A version is accepted once only, so another bundle of the same version proves the loss. A later
/// version proves nothing: it may follow this bundle or another one.
fn fate_shown_by(fleet: &FleetStatus, wanted: &SubmittedBundle) -> Option<Fate> {
    let mut same_version = fleet
        .answers()
        .map(|(_, answer)| answer)
        .filter(|answer| answer.bundle_version == wanted.version);
    let answer = same_version.next()?;
    if wanted.is_this(answer) {
        Some(Fate::Accepted)
    } else {
        Some(Fate::Refused(ErrorBody::new(Code::BundleConflict, None)))
    }
}

/// Looks once at the hosts when a bundle is refused because of its version: it may have been
/// accepted by an earlier run of this command whose answer was lost.
async fn recheck(
    client: &EntryClient,
    entries: &[SocketAddr],
    wanted: &SubmittedBundle,
    refusal: ErrorBody,
) -> Fate {
    let versions = [Code::BundleConflict, Code::BundleVersion];
    if versions.iter().any(|code| code.number() == refusal.code) {
        let fleet = FleetStatus::fetch(client, entries).await;
        if let Some(Fate::Accepted) = fate_shown_by(&fleet, wanted) {
            return Fate::Accepted;
        }
    }
    Fate::Refused(refusal)
}
