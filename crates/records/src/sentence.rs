//! Formats each kind of event as a sentence.

use crate::explain::pluralize;
use crate::{RecordBasis, RecordEvent, Subject};
use heatherhinge_blackboard::MoveState;
use heatherhinge_bundle::format_wall_time_ms;
use heatherhinge_types::{Code, Ran};

/// Returns the kind of a subject, and its name if it has one.
pub(crate) fn subject_text(subject: &Subject) -> String {
    match subject {
        Subject::Request(id) => format!("request {id}"),
        Subject::Move(id) => format!("move {id}"),
        Subject::Zone(name) => format!("zone {name}"),
        Subject::Target(name) => format!("target {name}"),
        Subject::Bundle => "the bundle".to_owned(),
        Subject::Host => "the host".to_owned(),
    }
}

/// Returns the versions that a decision was based on, as a list.
pub(crate) fn basis_text(basis: RecordBasis) -> String {
    if basis == RecordBasis::default() {
        return "no shared state".to_owned();
    }
    let RecordBasis {
        bundle,
        owners,
        warmth,
        moves,
        zones,
        quarantine,
    } = basis;
    format!(
        "bundle {bundle}, owners {owners}, warmth {warmth}, moves {moves}, zones {zones}, \
         quarantine {quarantine}"
    )
}

/// Returns a sentence that says what was decided.
pub(crate) fn event_text(event: &RecordEvent) -> String {
    match event {
        RecordEvent::Chosen { .. }
        | RecordEvent::Waited { .. }
        | RecordEvent::Answered { .. }
        | RecordEvent::Refused { .. }
        | RecordEvent::Retried { .. }
        | RecordEvent::Claimed { .. }
        | RecordEvent::Relayed { .. }
        | RecordEvent::Replayed { .. } => request_text(event),
        RecordEvent::ColdSeen { .. }
        | RecordEvent::AllowanceSet { .. }
        | RecordEvent::WarmAnnounced { .. }
        | RecordEvent::Quarantined { .. } => target_text(event),
        RecordEvent::MoveStep { .. } => move_text(event),
        RecordEvent::ZoneOut
        | RecordEvent::ZoneBack
        | RecordEvent::BundleInForce { .. }
        | RecordEvent::BundleAccepted { .. }
        | RecordEvent::BundleRefused { .. }
        | RecordEvent::HostPhase { .. }
        | RecordEvent::Ownership { .. }
        | RecordEvent::RecordsLost { .. } => host_text(event),
    }
}

fn request_text(event: &RecordEvent) -> String {
    match event {
        RecordEvent::Chosen { .. } => chosen_text(event),
        RecordEvent::Waited {
            service,
            waited_ms,
            urgency,
        } => format!(
            "The request waited {waited_ms} ms for a target of service {service}, at urgency \
             {urgency} (0 is served first)."
        ),
        RecordEvent::Answered {
            status,
            attempts,
            total_us,
            added_us,
        } => format!(
            "The response had HTTP status {status}, after {} and {total_us} µs, of which \
             heatherhinge added {added_us} µs.",
            pluralize(usize::try_from(*attempts).unwrap_or(usize::MAX), "attempt")
        ),
        RecordEvent::Refused { code } => format!("The request was refused: {}", code_text(*code)),
        RecordEvent::Retried {
            target,
            code,
            backoff_ms,
        } => format!(
            "The attempt at target {target} failed and is retried after {backoff_ms} ms: {}",
            code_text(*code)
        ),
        RecordEvent::Claimed {
            partition,
            owner,
            not_after_wall_ms,
        } => format!(
            "Host {owner}, the owner of partition {partition}, granted the claim for the \
             idempotency key; the request must not start after {}.",
            format_wall_time_ms(*not_after_wall_ms)
        ),
        RecordEvent::Relayed { service, owner } => format!(
            "No target of service {service} was warm, and other hosts own the targets that are \
             not, so the request was relayed to host {owner}."
        ),
        RecordEvent::Replayed { partition, owner } => format!(
            "A request with this idempotency key had already run, so the response stored by host \
             {owner}, the owner of partition {partition}, was returned; nothing ran again."
        ),
        _ => String::new(),
    }
}

fn chosen_text(event: &RecordEvent) -> String {
    let RecordEvent::Chosen {
        service,
        route,
        target,
        zone,
        version,
        attempt,
        is_cold,
        own_in_flight,
        reported_in_flight,
        candidates,
    } = event
    else {
        return String::new();
    };
    let warmth = if *is_cold {
        "a cold target within its allowance"
    } else {
        "a warm target"
    };
    format!(
        "Attempt {attempt} on route {route} of service {service} was sent to target {target} in \
         zone {zone}, version {version}, {warmth}, one of {}. Requests in flight to it: \
         {own_in_flight} from this host, {reported_in_flight} from all hosts in its last report.",
        pluralize(
            usize::try_from(*candidates).unwrap_or(usize::MAX),
            "candidate"
        )
    )
}

fn target_text(event: &RecordEvent) -> String {
    match event {
        RecordEvent::ColdSeen { start_id, reason } => format!(
            "The target was marked cold in its run {}; reason: {reason}.",
            start_id.0
        ),
        RecordEvent::AllowanceSet { allowance } => {
            format!("The target may now have {allowance} requests in flight at once.")
        }
        RecordEvent::WarmAnnounced { start_id } => {
            format!("The target was announced warm in its run {}.", start_id.0)
        }
        RecordEvent::Quarantined {
            digest,
            until_wall_ms,
            crashed,
        } => {
            let targets: Vec<&str> = crashed.iter().map(|name| name.as_str()).collect();
            format!(
                "Requests with digest {digest} are quarantined until {}, because they crashed {}: \
                 {}.",
                format_wall_time_ms(*until_wall_ms),
                pluralize(crashed.len(), "target"),
                targets.join(", ")
            )
        }
        _ => String::new(),
    }
}

fn move_text(event: &RecordEvent) -> String {
    let RecordEvent::MoveStep {
        service,
        state,
        share_permille,
        step,
        reason,
        new_good,
        new_failed,
        old_good,
        old_failed,
    } = event
    else {
        return String::new();
    };
    let outcome = match state {
        MoveState::Waiting => "waits, and the new version gets no traffic yet",
        MoveState::Canary => "is in its canary stage, and the new version gets at most the cap",
        MoveState::Raising => "raises the share of the new version",
        MoveState::Late => {
            "is late: it could not be evaluated by its end time, and the share does not change"
        }
        MoveState::Done => "is done, and the new version has all traffic",
        MoveState::TakenBack => "was rolled back, and the new version gets no traffic",
    };
    format!(
        "Decision {step}: the move of service {service} {outcome}. The share on each route is at \
         most {}.{}%; reason: {reason}. The new version had {new_good} good and {new_failed} \
         failed responses, the old one {old_good} good and {old_failed} failed.",
        share_permille / 10,
        share_permille % 10
    )
}

fn host_text(event: &RecordEvent) -> String {
    match event {
        RecordEvent::ZoneOut => "The zone was taken out and gets no new work.".to_owned(),
        RecordEvent::ZoneBack => {
            "The zone is returning; its targets count as cold until announced warm.".to_owned()
        }
        RecordEvent::BundleInForce { version, digest } => {
            format!("Bundle {version} with digest {digest} came into force on this host.")
        }
        RecordEvent::BundleAccepted {
            version,
            digest,
            key_id,
        } => format!(
            "Bundle {version} with digest {digest}, signed with key {key_id}, was accepted."
        ),
        RecordEvent::BundleRefused { code, key_id } => format!(
            "A bundle signed with key {key_id} was refused: {}",
            code_text(*code)
        ),
        RecordEvent::HostPhase { phase } => format!("The host's phase is now {phase}."),
        RecordEvent::Ownership {
            taken,
            released,
            epoch,
        } => format!(
            "The host acquired {taken} and released {released} partitions, under epoch {epoch} of \
             its lease."
        ),
        RecordEvent::RecordsLost { count } => {
            format!(
                "{count} decision records were dropped before they were uploaded, because the \
                 memory for records was full."
            )
        }
        _ => String::new(),
    }
}

/// Returns the number and text of a result code, and whether the request ran.
fn code_text(number: u16) -> String {
    let Some(code) = Code::from_number(number) else {
        return format!("code {number}, which is unknown to this release.");
    };
    let ran = match code.ran() {
        Ran::No => "it did not run",
        Ran::Unknown => "it may have run",
        Ran::Yes => "it ran",
    };
    format!("code {number}, {ran}. {}", code.text())
}
