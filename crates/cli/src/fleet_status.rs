//! What the entry hosts that answer say of themselves and of each other.

use crate::{CallError, EntryClient};
use futures_util::future::join_all;
use heatherhinge_records::admin::{HostSummary, StatusResponse};
use heatherhinge_types::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The answers of one round of asking.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetStatus {
    /// The answer of each address that was asked.
    pub(crate) asked: BTreeMap<SocketAddr, Result<StatusResponse, CallError>>,
}

/// One host, by its own answer or as others heard of it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The host.
    pub(crate) line: HostSummary,
    /// Its own answer, if it gave one.
    pub(crate) answer: Option<StatusResponse>,
}

impl FleetStatus {
    /// Asks the entries, and then the hosts that these name.
    pub(crate) async fn fetch(client: &EntryClient, entries: &[SocketAddr]) -> Self {
        let mut fleet = Self::default();
        fleet
            .ask_more(client, entries.iter().copied().collect())
            .await;
        let named = fleet.named_addrs();
        fleet.ask_more(client, named).await;
        fleet
    }

    async fn ask_more(&mut self, client: &EntryClient, addrs: BTreeSet<SocketAddr>) {
        let new = addrs.into_iter().filter(|a| !self.asked.contains_key(a));
        let calls = new.map(async |addr| (addr, client.status(addr).await));
        let answers = join_all(calls).await;
        self.asked.extend(answers);
    }

    /// Returns the answers of the hosts that gave one, with their addresses.
    pub(crate) fn answers(&self) -> impl Iterator<Item = (SocketAddr, &StatusResponse)> {
        let asked = self.asked.iter();
        asked.filter_map(|(addr, answer)| Some((*addr, answer.as_ref().ok()?)))
    }

    /// Returns the addresses that gave no answer, with the reasons.
    pub(crate) fn silent(&self) -> impl Iterator<Item = (SocketAddr, &CallError)> {
        let asked = self.asked.iter();
        asked.filter_map(|(addr, answer)| Some((*addr, answer.as_ref().err()?)))
    }

    /// Returns every address of an entry host that is known.
    pub(crate) fn addrs(&self) -> BTreeSet<SocketAddr> {
        let mut addrs = self.named_addrs();
        addrs.extend(self.asked.keys());
        addrs
    }

    fn named_addrs(&self) -> BTreeSet<SocketAddr> {
        let lines = self.answers().flat_map(|(_, answer)| &answer.hosts);
        lines.filter_map(|line| line.caller_addr).collect()
    }

    /// Returns the hosts by name. A host's own answer goes before what others heard, and of these
    /// the highest version counts, because versions never fall.
    pub(crate) fn members(&self) -> BTreeMap<Name, Member> {
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        for line in self.answers().flat_map(|(_, answer)| &answer.hosts) {
            let member = members.entry(line.host.clone()).or_insert_with(|| Member {
                line: line.clone(),
                answer: None,
            });
            if line.bundle_version > member.line.bundle_version {
                member.line = line.clone();
            }
        }
        for (addr, answer) in self.answers() {
            let line = HostSummary {
                host: answer.host.clone(),
                zone: answer.zone.clone(),
                caller_addr: Some(addr),
                live: true,
                bundle_version: answer.bundle_version,
                takes_callers: &*answer.phase == "serving",
            };
            let answer = Some(answer.clone());
            members.insert(line.host.clone(), Member { line, answer });
        }
        members
    }
}
