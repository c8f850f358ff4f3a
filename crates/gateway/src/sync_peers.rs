//! Chooses the hosts to exchange states with, and records up to which change each has sent them.

use crate::store_call_scheduler::store_readers;
use heatherhinge_steering::{ChangeCursor, FAILURE_TIMEOUT_MS, FleetView, HostState, Membership};
use heatherhinge_types::{MonoNs, Name};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Percentage of exchanges with readers that prefer one in the own zone. Traffic between zones
/// costs money, but a host must not depend on a single reader that may be cut off from the store.
const NEAR_READER_PERCENT: u32 = 75;
/// Live hosts for each round skipped between two exchanges with a neighbour. These exchanges spread
/// updates past failed readers; in a large fleet each carries more of them.
const HOSTS_PER_NEIGHBOUR_ROUND: usize = 40;

/// State kept between exchanges.
#[derive(Debug, Default)]
pub(crate) struct SyncPeers {
    markers: BTreeMap<SocketAddr, ChangeCursor>,
    /// Hosts that did not respond, and when.
    unresponsive: BTreeMap<SocketAddr, MonoNs>,
    rounds: u64,
}

impl SyncPeers {
    /// Returns the last change that a host has sent to this one; `None` if it must send everything.
    pub(crate) fn marker(&self, addr: SocketAddr) -> Option<ChangeCursor> {
        self.markers.get(&addr).copied()
    }

    /// Records that all changes of a host up to this one were received.
    pub(crate) fn record_cursor(&mut self, addr: SocketAddr, marker: ChangeCursor) {
        self.markers.insert(addr, marker);
        self.unresponsive.remove(&addr);
    }

    /// Makes the next exchange request everything, because a heartbeat came from a host that this
    /// one has forgotten.
    pub(crate) fn forget_cursor(&mut self, addr: SocketAddr) {
        self.markers.remove(&addr);
    }

    /// Records that a host has not responded to an exchange that began at `asked`, and logs the first
    /// one in a row.
    pub(crate) fn record_timeout(
        &mut self,
        addr: SocketAddr,
        asked: MonoNs,
        wanted_orders: bool,
        now: MonoNs,
    ) {
        if self.unresponsive.insert(addr, now).is_none() {
            let took_ms = now.ms_since(asked);
            tracing::info!(%addr, wanted_orders, took_ms, "fleet: a host does not respond");
        }
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
        self.unresponsive
            .retain(|_, since| now.ms_since(*since) < FAILURE_TIMEOUT_MS);
        let pause = 1 + fleet.live.len() / HOSTS_PER_NEIGHBOUR_ROUND;
        let has_neighbour = self.rounds.is_multiple_of(pause as u64);
        // The first exchange may ask for orders, and readers have the newest.
        let mut partners = Vec::new();
        partners.extend(self.choose_reader(fleet, own, zone, rng));
        if has_neighbour {
            partners.extend(membership.neighbour(now, rng));
        }
        partners.extend(membership.reconnect_addr(now, rng));
        partners.dedup();
        partners
    }

    /// Returns the reader to exchange with; `None` if no other reader responds. Readers choose the
    /// first of them, which has the newest replicas.
    fn choose_reader<R: Rng>(
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
            .filter(|reader| !self.unresponsive.contains_key(&reader.peer_addr))
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
