//! Builds requests for, and responses to, exchanges between hosts from snapshots.

use crate::events::{EventSender, GatewayEvent};
use crate::fleet_service::{ORDERS_NOT_WANTED, SyncRequest, SyncResponse};
use crate::packed_update::PackedUpdate;
use heatherhinge_blackboard::{Reader, Writer, entry};
use heatherhinge_steering::{ChangeCursor, GossipDigest, Membership, Replica};
use heatherhinge_types::MonoNs;
use std::sync::Arc;

/// By how much a replica of the registrations must be fresher than the other host's to be sent, in
/// milliseconds.
const MIN_FRESHNESS_GAIN_MS: u64 = 100;

/// Entries that exchanges between hosts read. The control loop writes all of them.
#[derive(Debug)]
pub(crate) struct FleetBoard {
    pub(crate) membership: Reader<Membership>,
    pub(crate) orders: Reader<Replica>,
    pub(crate) targets: Reader<Replica>,
    events: EventSender,
}

/// Writers of the entries of a [`FleetBoard`].
#[derive(Debug)]
pub(crate) struct FleetWriters {
    pub(crate) membership: Writer<Membership>,
    pub(crate) orders: Writer<Replica>,
    pub(crate) targets: Writer<Replica>,
}

impl FleetBoard {
    pub(crate) fn new(membership: Membership, events: EventSender) -> (Arc<Self>, FleetWriters) {
        let (membership, membership_writer) = entry(membership);
        let (orders, orders_writer) = entry(Replica::following_rewrites());
        let (targets, targets_writer) = entry(Replica::default());
        let board = Arc::new(Self {
            membership,
            orders,
            targets,
            events,
        });
        let writers = FleetWriters {
            membership: membership_writer,
            orders: orders_writer,
            targets: targets_writer,
        };
        (board, writers)
    }

    /// Returns the request for an exchange; `marker` is the last change that the other host sent.
    pub(crate) fn request(
        &self,
        own: heatherhinge_steering::HostState,
        marker: Option<ChangeCursor>,
        wants_orders: bool,
        now: MonoNs,
    ) -> SyncRequest {
        let (orders, targets) = (self.orders.read(), self.targets.read());
        SyncRequest {
            own,
            told: match marker {
                Some(marker) => GossipDigest::Since(marker),
                None => GossipDigest::States(self.membership.read().value.known_states(now)),
            },
            orders_version: orders.value.version(),
            orders_changed: if wants_orders {
                orders.value.changed_version()
            } else {
                ORDERS_NOT_WANTED
            },
            orders_told: orders.value.changed_version(),
            targets_version: targets.value.version(),
            targets_age_ms: targets.value.age_ms(now),
        }
    }

    /// Returns the response to an exchange, and passes the state in the request to the control
    /// loop.
    pub(crate) fn response(&self, request: SyncRequest, now: MonoNs) -> SyncResponse {
        let membership = self.membership.read();
        let (states, beats) = membership.value.delta_for(&request.told, now);
        let marker = membership.value.marker();
        let orders = self.orders.read();
        let orders = (orders.value.changed_version() > request.orders_changed)
            .then(|| orders.value.update_since(request.orders_version, now));
        let targets = self.targets.read();
        let own_version = targets.value.version();
        let is_later_epoch = own_version.epoch() > request.targets_version.epoch();
        let is_fresher = own_version >= request.targets_version
            && targets
                .value
                .age_ms(now)
                .saturating_add(MIN_FRESHNESS_GAIN_MS)
                < request.targets_age_ms;
        let targets = (is_later_epoch || is_fresher)
            .then(|| targets.value.update_since(request.targets_version, now));
        self.events.send(GatewayEvent::SyncReceived {
            state: Box::new(request.own),
            orders_told: request.orders_told,
        });
        SyncResponse {
            marker,
            states,
            beats,
            orders: orders.map(PackedUpdate::pack),
            targets: targets.map(PackedUpdate::pack),
        }
    }
}
