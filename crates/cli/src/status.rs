//! The state of the fleet, and the bundle that each host has in force.

use crate::fleet_status::{FleetStatus, Member};
use crate::run::first_answer;
use crate::table::{row, table};
use crate::{Context, EntryClient, Output};
use heatherhinge_records::admin::StatusResponse;
use serde_json::json;
use std::net::SocketAddr;

/// Tells the state of the fleet as the first host that answers sees it.
pub(crate) async fn status(context: &Context, entries: &[SocketAddr]) -> Output {
    let client = EntryClient::new(context.limits);
    match first_answer(entries, |addr| client.status(addr)).await {
        Ok(answer) => Output::ok(
            status_text(&answer),
            serde_json::to_value(&answer).unwrap_or_else(|_| json!({})),
        ),
        Err(output) => output,
    }
}

/// Tells which bundle each host has in force, by its own answer where it gives one.
pub(crate) async fn bundle_status(context: &Context, entries: &[SocketAddr]) -> Output {
    let client = EntryClient::new(context.limits);
    let fleet = FleetStatus::fetch(&client, entries).await;
    let members = fleet.members();
    if members.is_empty() {
        let reasons: Vec<String> = fleet.silent().map(|(a, e)| format!("{a}: {e}.")).collect();
        return Output::unknown(&format!("No entry host answered. {}", reasons.join(" ")));
    }
    let mut rows = vec![row(&["HOST", "ZONE", "BUNDLE", "DIGEST", "STATE"])];
    rows.extend(members.values().map(bundle_row));
    let hosts: Vec<_> = members
        .values()
        .map(|member| {
            json!({
                "host": member.line.host,
                "zone": member.line.zone,
                "bundle_version": member.line.bundle_version,
                "bundle_digest": member.answer.as_ref().map(|answer| &answer.bundle_digest),
                "answered": member.answer.is_some(),
            })
        })
        .collect();
    Output::ok(table(&rows), json!({ "hosts": hosts }))
}

fn bundle_row(member: &Member) -> Vec<String> {
    let (digest, state) = match &member.answer {
        Some(answer) => (
            short_digest(&answer.bundle_digest),
            format!("{}, {}", answer.phase, freshness(answer)),
        ),
        None if member.line.live => ("-".to_owned(), "no answer, heard by its peers".to_owned()),
        None => (
            "-".to_owned(),
            "no answer, not heard by its peers".to_owned(),
        ),
    };
    let version = member.line.bundle_version.to_string();
    row(&[
        &member.line.host,
        &member.line.zone,
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

const fn freshness(answer: &StatusResponse) -> &'static str {
    if answer.is_fresh {
        "fresh"
    } else {
        "not fresh"
    }
}

fn status_text(answer: &StatusResponse) -> String {
    let mut text = format!(
        "Host {} in zone {}: {}, {}, bundle {} with digest {}.\nIt owns {} of 256 partitions. \
         Since its start it sent {} probes and {} retries and refused {} requests.\n",
        answer.host,
        answer.zone,
        answer.phase,
        freshness(answer),
        answer.bundle_version,
        short_digest(&answer.bundle_digest),
        answer.partitions_owned,
        answer.spend.probes,
        answer.spend.retries,
        answer.spend.refusals,
    );
    let mut hosts = vec![row(&["HOST", "ZONE", "LIVE", "TAKES CALLERS", "BUNDLE"])];
    for line in &answer.hosts {
        hosts.push(row(&[
            &line.host,
            &line.zone,
            yes_no(line.live),
            yes_no(line.takes_callers),
            &line.bundle_version.to_string(),
        ]));
    }
    let mut zones = vec![row(&["ZONE", "PHASE"])];
    zones.extend(answer.zones.iter().map(|z| row(&[&z.zone, &z.phase])));
    let mut moves = vec![row(&["SERVICE", "MOVE", "STATE", "SHARE"])];
    for line in &answer.moves {
        let share = format!("{}.{}%", line.share_permille / 10, line.share_permille % 10);
        moves.push(row(&[
            &line.service,
            &line.id,
            state_word(line.state),
            &share,
        ]));
    }
    for rows in [hosts, zones, moves] {
        // A heading without rows says nothing.
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

/// Returns the words for the state of a move.
pub(crate) const fn state_word(state: heatherhinge_blackboard::MoveState) -> &'static str {
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
