//! Pushes an accepted bundle to every known entry host and reports where it is in force.

use crate::fleet_status::FleetStatus;
use crate::submit::SubmittedBundle;
use crate::table::{row, table};
use crate::{Context, EntryClient, Output};
use futures_util::future::join_all;
use heatherhinge_types::Name;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pushes the bundle and waits until every known host has it in force, at most `in_force_ms`.
pub(crate) async fn distribute(
    context: &Context,
    client: &EntryClient,
    entries: &[SocketAddr],
    submitted: &SubmittedBundle,
    is_response_lost: bool,
) -> Output {
    let end = Instant::now() + Duration::from_millis(context.limits.in_force_ms);
    let fleet = FleetStatus::fetch(client, entries).await;
    push(client, &fleet, submitted).await;
    let mut hosts = BTreeMap::new();
    loop {
        let fleet = FleetStatus::fetch(client, entries).await;
        hosts.extend(in_force(&fleet, submitted));
        if hosts.values().all(|host| host.is_in_force) || Instant::now() >= end {
            return report(&hosts, submitted, is_response_lost);
        }
        sleep(Duration::from_millis(context.limits.poll_interval_ms)).await;
    }
}

/// A host and whether it has the bundle or a later one in force.
#[derive(Clone, Debug)]
struct HostState {
    zone: Name,
    version: u64,
    is_in_force: bool,
    has_responded: bool,
}

/// Sends the envelope to the hosts that do not have it yet. Their responses are ignored, because a
/// host also gets an accepted bundle from the store or from a peer.
async fn push(client: &EntryClient, fleet: &FleetStatus, submitted: &SubmittedBundle) {
    let has_bundle = |addr: &SocketAddr| {
        let response = fleet
            .responses
            .get(addr)
            .and_then(|response| response.as_ref().ok());
        response.is_some_and(|response| submitted.is_in_force(response))
    };
    let addrs = fleet.addrs().into_iter().filter(|addr| !has_bundle(addr));
    join_all(addrs.map(|addr| client.submit(addr, submitted.json.clone()))).await;
}

fn in_force(fleet: &FleetStatus, submitted: &SubmittedBundle) -> BTreeMap<Name, HostState> {
    let members = fleet.members().into_iter();
    members
        .map(|(name, member)| {
            let is_in_force = match &member.response {
                Some(response) => submitted.is_in_force(response),
                None => member.summary.bundle_version >= submitted.version,
            };
            let state = HostState {
                zone: member.summary.zone,
                version: member.summary.bundle_version,
                is_in_force,
                has_responded: member.response.is_some(),
            };
            (name, state)
        })
        .collect()
}

fn report(
    hosts: &BTreeMap<Name, HostState>,
    submitted: &SubmittedBundle,
    is_response_lost: bool,
) -> Output {
    let count = hosts.values().filter(|host| host.is_in_force).count();
    let lost = if is_response_lost {
        " The response was lost, but a host reports it in force."
    } else {
        ""
    };
    let mut rows = vec![row(&["HOST", "ZONE", "BUNDLE", "IN FORCE"])];
    for (name, host) in hosts {
        let state = match (host.is_in_force, host.has_responded) {
            (true, true) => "yes",
            (true, false) => "yes, reported by peers",
            (false, true) => "not yet",
            (false, false) => "no response",
        };
        rows.push(row(&[name, &host.zone, &host.version.to_string(), state]));
    }
    let text = format!(
        "Bundle {} was accepted.{lost}\nIt is in force on {count} of {} known entry hosts:\n\n{}",
        submitted.version,
        hosts.len(),
        table(&rows)
    );
    let hosts: Vec<_> = hosts
        .iter()
        .map(|(name, host)| {
            json!({
                "host": name,
                "zone": host.zone,
                "bundle_version": host.version,
                "in_force": host.is_in_force,
                "answered": host.has_responded,
            })
        })
        .collect();
    Output::ok(
        text,
        json!({ "version": submitted.version, "digest": submitted.digest, "hosts": hosts }),
    )
}
