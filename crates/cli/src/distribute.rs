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

/// Pushes the bundle and waits until every host that is known has it in force, or time is up.
pub(crate) async fn distribute(
    context: &Context,
    client: &EntryClient,
    entries: &[SocketAddr],
    wanted: &SubmittedBundle,
    was_lost: bool,
) -> Output {
    let end = Instant::now() + Duration::from_millis(context.limits.in_force_ms);
    let fleet = FleetStatus::fetch(client, entries).await;
    push(client, &fleet, wanted).await;
    let mut hosts = BTreeMap::new();
    loop {
        let fleet = FleetStatus::fetch(client, entries).await;
        hosts.extend(in_force(&fleet, wanted));
        if hosts.values().all(|host| host.is_in_force) || Instant::now() >= end {
            return report(&hosts, wanted, was_lost);
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
    has_answered: bool,
}

/// Offers the envelope to the hosts that do not have it yet. Their answers do not matter: a host
/// takes a bundle that is accepted from the store or from a peer as well.
async fn push(client: &EntryClient, fleet: &FleetStatus, wanted: &SubmittedBundle) {
    let has_it = |addr: &SocketAddr| {
        let answer = fleet
            .asked
            .get(addr)
            .and_then(|answer| answer.as_ref().ok());
        answer.is_some_and(|answer| wanted.is_in_force(answer))
    };
    let addrs = fleet.addrs().into_iter().filter(|addr| !has_it(addr));
    join_all(addrs.map(|addr| client.submit(addr, wanted.json.clone()))).await;
}

fn in_force(fleet: &FleetStatus, wanted: &SubmittedBundle) -> BTreeMap<Name, HostState> {
    let members = fleet.members().into_iter();
    members
        .map(|(name, member)| {
            let is_in_force = match &member.answer {
                Some(answer) => wanted.is_in_force(answer),
                None => member.line.bundle_version >= wanted.version,
            };
            let state = HostState {
                zone: member.line.zone,
                version: member.line.bundle_version,
                is_in_force,
                has_answered: member.answer.is_some(),
            };
            (name, state)
        })
        .collect()
}

fn report(hosts: &BTreeMap<Name, HostState>, wanted: &SubmittedBundle, was_lost: bool) -> Output {
    let count = hosts.values().filter(|host| host.is_in_force).count();
    let lost = if was_lost {
        " The answer was lost, but a host shows it in force."
    } else {
        ""
    };
    let mut rows = vec![row(&["HOST", "ZONE", "BUNDLE", "IN FORCE"])];
    for (name, host) in hosts {
        let state = match (host.is_in_force, host.has_answered) {
            (true, true) => "yes",
            (true, false) => "yes, by its peers",
            (false, true) => "not yet",
            (false, false) => "no answer",
        };
        rows.push(row(&[name, &host.zone, &host.version.to_string(), state]));
    }
    let text = format!(
        "Bundle {} was accepted.{lost}\nIt is in force on {count} of {} entry hosts that are \
         known:\n\n{}",
        wanted.version,
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
                "answered": host.has_answered,
            })
        })
        .collect();
    Output::ok(
        text,
        json!({ "version": wanted.version, "digest": wanted.digest, "hosts": hosts }),
    )
}
