//! Decides which hosts this one exchanges states with, and remembers what they have told.

use crate::store_call_scheduler::store_readers;
use heatherhinge_steering::{ChangeCursor, FAILURE_TIMEOUT_MS, FleetView, HostState, Membership};
use heatherhinge_types::{MonoNs, Name};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Exchanges with a reader of the own zone, if there is one, in percent. Bytes between zones are
/// dear, and a reader that is cut off from the store must not be the only one that is asked.
const NEAR_READER_PERCENT: u32 = 75;
/// Live hosts for each round that passes between two exchanges with a neighbour. These carry news
/// past readers that have failed; in a large fleet each brings more.
const HOSTS_PER_NEIGHBOUR_ROUND: usize = 40;

/// What is remembered of exchanges.
#[derive(Debug, Default)]
pub(crate) struct SyncPeers {
    markers: BTreeMap<SocketAddr, ChangeCursor>,
    /// Hosts that did not answer, and when.
    silent: BTreeMap<SocketAddr, MonoNs>,
    rounds: u64,
}

impl SyncPeers {
    /// Returns up to which change a host has told this one.
    pub(crate) fn marker(&self, addr: SocketAddr) -> Option<ChangeCursor> {
        self.markers.get(&addr).copied()
    }

    /// Takes in that everything up to a change was taken in.
    pub(crate) fn record_cursor(&mut self, addr: SocketAddr, marker: ChangeCursor) {
        self.markers.insert(addr, marker);
        self.silent.remove(&addr);
    }

    /// Asks for everything next time, because a beat came of a host that was forgotten here.
    pub(crate) fn forget_cursor(&mut self, addr: SocketAddr) {
        self.markers.remove(&addr);
    }

    /// Takes in that a host has not answered.
    pub(crate) fn record_timeout(&mut self, addr: SocketAddr, now: MonoNs) {
        self.silent.insert(addr, now);
    }

    /// Returns the hosts to exchange states with now.
    pub(crate) fn partners<R: Rng>(
        &mut self,
        membership: &Membership,
        fleet: &FleetView,
        (own, zone): (&Name, &Name),
        now: MonoNs,
        rng: &mut R,
    ) -> Vec<SocketAddr> {
        self.rounds += 1;
        self.silent
            .retain(|_, since| now.ms_since(*since) < FAILURE_TIMEOUT_MS);
        let pause = 1 + fleet.live.len() / HOSTS_PER_NEIGHBOUR_ROUND;
        let has_neighbour = self.rounds.is_multiple_of(pause as u64);
        let mut partners = Vec::new();
        if has_neighbour {
            partners.extend(membership.neighbour(now, rng));
        }
        partners.extend(self.reader_to_ask(fleet, own, zone, rng));
        partners.extend(membership.reconnect_addr(now, rng));
        partners.dedup();
        partners
    }

    /// Returns the reader of the store to ask, if there is another one that answers. Readers ask
    /// the first of them, which has the newest copies.
    fn reader_to_ask<R: Rng>(
        &self,
        fleet: &FleetView,
        own: &Name,
        zone: &Name,
        rng: &mut R,
    ) -> Option<SocketAddr> {
        let readers = store_readers(fleet);
        let is_reader = readers.iter().any(|reader| reader.host == *own);
        let open: Vec<&HostState> = readers
            .into_iter()
            .filter(|reader| reader.host != *own)
            .filter(|reader| !self.silent.contains_key(&reader.peer_addr))
            .collect();
        let first = open.first()?;
        if is_reader {
            return Some(first.peer_addr);
        }
        let near = open.iter().find(|reader| reader.zone == *zone);
        let chosen = near.filter(|_| rng.random_range(0..100) < NEAR_READER_PERCENT);
        let chosen = chosen.unwrap_or_else(|| &open[rng.random_range(0..open.len())]);
        Some(chosen.peer_addr)
    }
}

#[cfg(test)]
#[path = "../tests/unit/sync_peers.rs"]
mod tests;
