//! Collects the status of entry hosts, from their own responses and from those of their peers.

use crate::{CallError, EntryClient};
use futures_util::future::join_all;
use heatherhinge_records::admin::{HostSummary, StatusResponse};
use heatherhinge_types::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The responses of one poll of the hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetStatus {
    /// The response or failure of each address that was polled.
    pub(crate) responses: BTreeMap<SocketAddr, Result<StatusResponse, CallError>>,
}

/// One host, as reported by itself or by its peers.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Summary from its own response, or else from a peer's.
    pub(crate) summary: HostSummary,
    /// Its own response, if it sent one.
    pub(crate) response: Option<StatusResponse>,
}

impl FleetStatus {
    /// Fetches the status of the given hosts, and then of the hosts that their responses list.
    pub(crate) async fn fetch(client: &EntryClient, entries: &[SocketAddr]) -> Self {
        let mut fleet = Self::default();
        fleet
            .fetch_more(client, entries.iter().copied().collect())
            .await;
        let named = fleet.named_addrs();
        fleet.fetch_more(client, named).await;
        fleet
    }

    async fn fetch_more(&mut self, client: &EntryClient, addrs: BTreeSet<SocketAddr>) {
        let new = addrs
            .into_iter()
            .filter(|a| !self.responses.contains_key(a));
        let calls = new.map(async |addr| (addr, client.status(addr).await));
        let statuses = join_all(calls).await;
        self.responses.extend(statuses);
    }

    /// Returns the responses with the addresses of their hosts.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = (SocketAddr, &StatusResponse)> {
        let responses = self.responses.iter();
        responses.filter_map(|(addr, response)| Some((*addr, response.as_ref().ok()?)))
    }

    /// Returns the addresses whose call failed, with the reasons.
    pub(crate) fn failures(&self) -> impl Iterator<Item = (SocketAddr, &CallError)> {
        let responses = self.responses.iter();
        responses.filter_map(|(addr, response)| Some((*addr, response.as_ref().err()?)))
    }

    /// Returns the addresses of all known entry hosts.
    pub(crate) fn addrs(&self) -> BTreeSet<SocketAddr> {
        let mut addrs = self.named_addrs();
        addrs.extend(self.responses.keys());
        addrs
    }

    fn named_addrs(&self) -> BTreeSet<SocketAddr> {
        let lines = self.statuses().flat_map(|(_, response)| &response.hosts);
        lines.filter_map(|summary| summary.caller_addr).collect()
    }

    /// Returns the hosts by name. A host's own response takes precedence over those of its peers;
    /// among these the highest bundle version counts, because versions never decrease.
    pub(crate) fn members(&self) -> BTreeMap<Name, Member> {
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        for summary in self.statuses().flat_map(|(_, response)| &response.hosts) {
            let member = members
                .entry(summary.host.clone())
                .or_insert_with(|| Member {
                    summary: summary.clone(),
                    response: None,
                });
            if summary.bundle_version > member.summary.bundle_version {
                member.summary = summary.clone();
            }
        }
        for (addr, response) in self.statuses() {
            let summary = HostSummary {
                host: response.host.clone(),
                zone: response.zone.clone(),
                caller_addr: Some(addr),
                live: true,
                bundle_version: response.bundle_version,
                takes_callers: &*response.phase == "serving",
            };
            let response = Some(response.clone());
            members.insert(summary.host.clone(), Member { summary, response });
        }
        members
    }
}
