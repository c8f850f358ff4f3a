//! Implements `status` and `bundle status`.

use crate::fleet_status::{FleetStatus, Member};
use crate::run::first_response;
use crate::table::{row, table};
use crate::{Context, EntryClient, Output};
use heatherhinge_records::admin::StatusResponse;
use serde_json::json;
use std::net::SocketAddr;

/// Returns the state of the fleet as seen by the first host that responds.
pub(crate) async fn status(context: &Context, entries: &[SocketAddr]) -> Output {
    let client = EntryClient::new(context.limits);
    match first_response(entries, |addr| client.status(addr)).await {
        Ok(response) => Output::ok(
            status_text(&response),
            serde_json::to_value(&response).unwrap_or_else(|_| json!({})),
        ),
        Err(output) => output,
    }
}

/// Returns which bundle each host has in force, from its own response if it sends one and else as
/// its peers report it.
pub(crate) async fn bundle_status(context: &Context, entries: &[SocketAddr]) -> Output {
    let client = EntryClient::new(context.limits);
    let fleet = FleetStatus::fetch(&client, entries).await;
    let members = fleet.members();
    if members.is_empty() {
        let reasons: Vec<String> = fleet
            .failures()
            .map(|(a, e)| format!("{a}: {e}."))
            .collect();
        return Output::unknown(&format!("No entry host responded. {}", reasons.join(" ")));
    }
    let mut rows = vec![row(&["HOST", "ZONE", "BUNDLE", "DIGEST", "STATE"])];
    rows.extend(members.values().map(bundle_row));
    let hosts: Vec<_> = members
        .values()
        .map(|member| {
            json!({
                "host": member.summary.host,
                "zone": member.summary.zone,
                "bundle_version": member.summary.bundle_version,
                "bundle_digest": member.response.as_ref().map(|response| &response.bundle_digest),
                "answered": member.response.is_some(),
            })
        })
        .collect();
    Output::ok(table(&rows), json!({ "hosts": hosts }))
}

fn bundle_row(member: &Member) -> Vec<String> {
    let (digest, state) = match &member.response {
        Some(response) => (
            short_digest(&response.bundle_digest),
            format!("{}, {}", response.phase, freshness(response)),
        ),
        None if member.summary.live => (
            "-".to_owned(),
            "no response, live according to its peers".to_owned(),
        ),
        None => (
            "-".to_owned(),
            "no response, not live according to its peers".to_owned(),
        ),
    };
    let version = member.summary.bundle_version.to_string();
    row(&[
        &member.summary.host,
        &member.summary.zone,
        &version,
        &digest,
        &state,
    ])
}

fn short_digest(digest: &str) -> String {
    if digest.is_empty() {
        return "-".to_owned();
    }
    digest.chars().take(12).collect()
}

const fn freshness(response: &StatusResponse) -> &'static str {
    if response.is_fresh {
        "fresh"
    } else {
        "not fresh"
    }
}

fn status_text(response: &StatusResponse) -> String {
    let mut text = format!(
        "Host {} in zone {}: {}, {}, bundle {} with digest {}.\nIt owns {} of 256 partitions. \
         Since its start it sent {} probes and {} retries and refused {} requests.\n",
        response.host,
        response.zone,
        response.phase,
        freshness(response),
        response.bundle_version,
        short_digest(&response.bundle_digest),
        response.partitions_owned,
        response.spend.probes,
        response.spend.retries,
        response.spend.refusals,
    );
    let mut hosts = vec![row(&["HOST", "ZONE", "LIVE", "TAKES CALLERS", "BUNDLE"])];
    for line in &response.hosts {
        hosts.push(row(&[
            &line.host,
            &line.zone,
            yes_no(line.live),
            yes_no(line.takes_callers),
            &line.bundle_version.to_string(),
        ]));
    }
    let mut zones = vec![row(&["ZONE", "PHASE"])];
    zones.extend(response.zones.iter().map(|z| row(&[&z.zone, &z.phase])));
    let mut moves = vec![row(&["SERVICE", "MOVE", "STATE", "SHARE"])];
    for line in &response.moves {
        let share = format!("{}.{}%", line.share_permille / 10, line.share_permille % 10);
        moves.push(row(&[
            &line.service,
            &line.id,
            move_state_text(line.state),
            &share,
        ]));
    }
    for rows in [hosts, zones, moves] {
        // A table without rows is left out.
        if rows.len() > 1 {
            text.push('\n');
            text.push_str(&table(&rows));
        }
    }
    text
}

const fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Returns the state of a move as text.
pub(crate) const fn move_state_text(state: heatherhinge_blackboard::MoveState) -> &'static str {
    use heatherhinge_blackboard::MoveState;
    match state {
        MoveState::Waiting => "waiting",
        MoveState::Canary => "canary",
        MoveState::Raising => "raising",
        MoveState::Late => "late",
        MoveState::Done => "done",
        MoveState::TakenBack => "taken back",
    }
}
