//! Exchanges states and tables with other hosts.

use super::ControlLoop;
use crate::announcement::LocalStatus;
use crate::events::UpdateSource;
use crate::fleet_service::SyncResponse;
use crate::packed_update::PackedUpdate;
use crate::{Platform, StoredTable};
use heatherhinge_steering::{ForwardedState, PastMove};
use heatherhinge_types::{Code, MonoNs};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

impl<P: Platform> ControlLoop<P> {
    pub(super) fn handle_sync_response(
        &mut self,
        addr: SocketAddr,
        asked: MonoNs,
        response: SyncResponse,
    ) {
        let now = self.now();
        self.sync_peers.record_cursor(addr, response.marker);
        // Past moves come before the tables, so that no target of a rolled-back version is used.
        let past_moves = |told: &ForwardedState| told.state.past_moves.clone();
        let told: Vec<PastMove> = response.states.iter().flat_map(past_moves).collect();
        if self.moves.learn(&told, now) {
            self.publish_targets();
        }
        for forwarded in response.states {
            let (name, age_ms) = (forwarded.state.host.clone(), forwarded.age_ms);
            if self.membership.apply_forwarded(forwarded, asked, now) {
                tracing::debug!(host = %name, age_ms, "fleet: received a new state of a host");
            }
        }
        for beat in response.beats {
            if !self.membership.apply_heartbeat(beat, asked) {
                self.sync_peers.forget_cursor(addr);
            }
        }
        let updates = [
            (StoredTable::Orders, response.orders),
            (StoredTable::Targets, response.targets),
        ];
        for (table, update) in updates {
            match update.map(PackedUpdate::unpack) {
                Some(Ok(update)) => self.apply(table, &update, UpdateSource::Host(addr)),
                Some(Err(error)) => {
                    tracing::warn!(
                        %addr,
                        code = Code::PeerMalformed.number(),
                        "fleet: dropped an update: {error}"
                    );
                }
                None => {}
            }
        }
        self.check_ready(now);
    }

    pub(super) fn sync(&mut self, now: MonoNs) {
        let status = LocalStatus {
            stage: self.parts.board.stage(),
            is_settled: self.membership.is_settled(now),
            moves: self.moves.states(now),
            past_moves: self.moves.past_moves().list(),
            crashes: self.crashes.tallies(now),
            served: self.crashes.served(),
            requests: self.parts.board.counts.requests.load(Ordering::Relaxed),
        };
        let own = self.announcement.next(&self.parts.settings, status, now);
        self.membership.set_own(own, now);
        self.membership.remove_expired(now);
        let fleet = self.membership.view(now);
        let before = self.parts.board.fleet.read_owned();
        let has_changed = !before.value.has_same_hosts(&fleet);
        if has_changed {
            tracing::info!(
                live = fleet.live.len(),
                ready = fleet.ready().count(),
                known = fleet.known,
                "fleet: the set of live hosts changed"
            );
        }
        let targets = u64::try_from(self.targets.len()).unwrap_or(u64::MAX);
        let per_target_s = self.parts.settings.probes_per_s;
        let probes = &self.parts.board.probes;
        probes.set_rates(per_target_s, targets, fleet.requests_per_s());
        self.parts.writers.fleet.publish(fleet);
        self.parts
            .fleet_writers
            .membership
            .publish(self.membership.clone());
        self.publish_quarantined();
        if has_changed {
            self.publish_targets();
        }
        let fleet = self.parts.board.fleet.read_owned();
        let settings = &self.parts.settings;
        let own = (&settings.host, &settings.zone);
        let (membership, rng) = (&self.membership, &mut self.rng);
        let partners = self
            .sync_peers
            .partners(membership, &fleet.value, own, now, rng);
        for addr in partners {
            self.sync_with(addr);
        }
    }

    /// Requests newer orders from a host that has them, unless such a request is already under way.
    pub(super) fn fetch_newer_orders(&mut self) {
        if let Some(addr) = self.orders_catch_up.next() {
            self.sync_with(addr);
        }
    }

    /// Starts an exchange with a host.
    pub(super) fn sync_with(&mut self, addr: SocketAddr) {
        let Some(own) = self.announcement.last_announced() else {
            return;
        };
        let wants_orders = self
            .orders_catch_up
            .begin(!self.orders.replica().version().is_none());
        let board = &self.parts.fleet_board;
        let now = self.now();
        let marker = self.sync_peers.marker(addr);
        let request = board.request(own.clone(), marker, wants_orders, now);
        self.parts.io.sync(addr, request, now);
    }
}
