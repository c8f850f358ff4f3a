//! Submits a bundle and determines whether it was accepted.

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

/// A bundle to be submitted.
#[derive(Clone, Debug)]
pub(crate) struct SubmittedBundle {
    /// The envelope as JSON.
    pub(crate) json: Bytes,
    /// Version of the bundle.
    pub(crate) version: u64,
    /// Digest of the envelope, in the form that hosts report.
    pub(crate) digest: String,
}

impl SubmittedBundle {
    /// Returns whether a host has the bundle, or a later one, in force.
    ///
    /// A later version proves this only if the bundle is known to be accepted.
    pub(crate) fn is_in_force(&self, response: &StatusResponse) -> bool {
        response.bundle_version > self.version || self.is_same_bundle(response)
    }

    fn is_same_bundle(&self, response: &StatusResponse) -> bool {
        response.bundle_version == self.version && *response.bundle_digest == self.digest
    }
}

/// Outcome of a submission.
enum SubmitOutcome {
    /// The bundle was accepted.
    Accepted,
    /// The bundle was refused and will not come into force.
    Refused(ErrorBody),
    /// No host received the bundle. The text gives the reason for each host.
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
    let submitted = match prepare(&envelope, bundle.version.0) {
        Ok(submitted) => submitted,
        Err(output) => return output,
    };
    let client = EntryClient::new(context.limits);
    let (outcome, is_response_lost) = match submit_to_first(&client, entries, &submitted).await {
        SubmitOutcome::Unknown => (
            poll_outcome(context, &client, entries, &submitted).await,
            true,
        ),
        SubmitOutcome::Refused(refusal) => {
            (recheck(&client, entries, &submitted, refusal).await, false)
        }
        outcome => (outcome, false),
    };
    match outcome {
        SubmitOutcome::Accepted => {
            distribute(context, &client, entries, &submitted, is_response_lost).await
        }
        SubmitOutcome::Refused(refusal) => Output::from_refusal(&refusal),
        SubmitOutcome::NotSent(reasons) => Output::unknown(&format!(
            "The bundle was not submitted: no entry host accepted it. {reasons}"
        )),
        SubmitOutcome::Unknown => Output::unknown(&format!(
            "It is unknown whether bundle {} was accepted: the response was lost and no host has \
             reported it in force. Submit the same file again; it cannot be accepted twice.",
            submitted.version
        )),
    }
}

fn prepare(envelope: &Envelope, version: u64) -> Result<SubmittedBundle, Output> {
    let json = envelope
        .to_json()
        .map_err(|code| Output::refused(code, &[]))?;
    Ok(SubmittedBundle {
        json: Bytes::from(json),
        version,
        digest: envelope.digest().to_string(),
    })
}

/// Submits the bundle to the entry hosts in order, stopping at the first that may have accepted it.
async fn submit_to_first(
    client: &EntryClient,
    entries: &[SocketAddr],
    submitted: &SubmittedBundle,
) -> SubmitOutcome {
    let mut reasons = Vec::new();
    for addr in entries {
        match client.submit(*addr, submitted.json.clone()).await {
            Ok(_) => return SubmitOutcome::Accepted,
            Err(error) if error.may_have_run() => return SubmitOutcome::Unknown,
            Err(error) if error.is_host_specific() => reasons.push(format!("{addr}: {error}.")),
            Err(CallError::Refused(refusal)) => return SubmitOutcome::Refused(refusal),
            Err(error) => reasons.push(format!("{addr}: {error}.")),
        }
    }
    SubmitOutcome::NotSent(reasons.join(" "))
}

/// Polls the hosts until one shows whether the bundle was accepted, at most `in_force_ms`.
async fn poll_outcome(
    context: &Context,
    client: &EntryClient,
    entries: &[SocketAddr],
    submitted: &SubmittedBundle,
) -> SubmitOutcome {
    let end = Instant::now() + Duration::from_millis(context.limits.in_force_ms);
    loop {
        let fleet = FleetStatus::fetch(client, entries).await;
        if let Some(outcome) = outcome_from_statuses(&fleet, submitted) {
            return outcome;
        }
        if Instant::now() >= end {
            return SubmitOutcome::Unknown;
        }
        sleep(Duration::from_millis(context.limits.poll_interval_ms)).await;
    }
}

/// Returns the outcome if a host's status proves it. A version is accepted only once, so another
/// bundle of the same version in force proves the refusal. A later version proves nothing: it may
/// follow this bundle or another one.
fn outcome_from_statuses(
    fleet: &FleetStatus,
    submitted: &SubmittedBundle,
) -> Option<SubmitOutcome> {
    let mut same_version = fleet
        .statuses()
        .map(|(_, response)| response)
        .filter(|response| response.bundle_version == submitted.version);
    let response = same_version.next()?;
    if submitted.is_same_bundle(response) {
        Some(SubmitOutcome::Accepted)
    } else {
        Some(SubmitOutcome::Refused(ErrorBody::new(
            Code::BundleConflict,
            None,
        )))
    }
}

/// Checks the hosts once if a bundle is refused because of its version: an earlier run of this
/// command whose response was lost may have had it accepted.
async fn recheck(
    client: &EntryClient,
    entries: &[SocketAddr],
    submitted: &SubmittedBundle,
    refusal: ErrorBody,
) -> SubmitOutcome {
    let versions = [Code::BundleConflict, Code::BundleVersion];
    if versions.iter().any(|code| code.number() == refusal.code) {
        let fleet = FleetStatus::fetch(client, entries).await;
        if let Some(SubmitOutcome::Accepted) = outcome_from_statuses(&fleet, submitted) {
            return SubmitOutcome::Accepted;
        }
    }
    SubmitOutcome::Refused(refusal)
}
