//! One entry host of the synthetic fleet: its blackboard, and the membership and ownership
//! controllers.

use crate::{Traffic, synthetic};
use heatherhinge_blackboard::{Blackboard, HostRecord, WarmTarget, Writers};
use heatherhinge_bundle::Bundle;
use heatherhinge_controllers::{
    Controller, HostIdentity, ListedHost, MembershipController, MembershipEffect, MembershipEvent,
    MembershipSettings, OwnershipController, OwnershipEffect, OwnershipEvent,
};
use heatherhinge_types::{Now, Partition};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Writers of the blackboard entries that the local controllers publish.
pub(crate) struct LocalWriters {
    pub(crate) warmth: heatherhinge_blackboard::Writer<heatherhinge_blackboard::WarmthTable>,
    pub(crate) moves: heatherhinge_blackboard::Writer<heatherhinge_blackboard::MoveTable>,
    pub(crate) zones: heatherhinge_blackboard::Writer<heatherhinge_blackboard::ZoneTable>,
    pub(crate) quarantine:
        heatherhinge_blackboard::Writer<heatherhinge_blackboard::QuarantineTable>,
    pub(crate) routing: heatherhinge_blackboard::Writer<heatherhinge_blackboard::RoutingSnapshot>,
    pub(crate) bundle: heatherhinge_blackboard::Writer<Option<Arc<Bundle>>>,
}

/// One host of the fleet.
pub(crate) struct FleetHost {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) membership: MembershipController,
    pub(crate) ownership: OwnershipController,
    pub(crate) local_writers: Option<LocalWriters>,
    pub(crate) traffic: Traffic,
    record: HostRecord,
    sent_record: Option<HostRecord>,
}

impl FleetHost {
    /// Makes a host that has a bundle in force and has read the whole fleet from the list.
    pub(crate) fn new(number: usize, bundle: Arc<Bundle>, listed: &[ListedHost], now: Now) -> Self {
        let (board, writers) =
            Blackboard::new(synthetic::host_name(number), synthetic::zone(number));
        let Writers {
            bundle: mut bundle_writer,
            hosts,
            owners,
            warmth,
            moves,
            zones,
            quarantine,
            routing,
        } = writers;
        bundle_writer.publish(Some(bundle));
        let settings = MembershipSettings {
            incarnation: now.wall_ms.0,
            seed_peers: Vec::new(),
            seed: number as u64 + 1,
        };
        let identity = HostIdentity {
            host: board.host.clone(),
            peer_addr: synthetic::host_addr(number),
            start_wall_ms: now.wall_ms,
        };
        let mut membership = MembershipController::new(hosts, settings);
        membership.step(&board, MembershipEvent::Listed(listed.to_vec()), now);
        Self {
            membership,
            ownership: OwnershipController::new(owners, identity, now),
            local_writers: Some(LocalWriters {
                warmth,
                moves,
                zones,
                quarantine,
                routing,
                bundle: bundle_writer,
            }),
            traffic: Traffic::default(),
            record: synthetic::record(number),
            sent_record: None,
            board,
        }
    }

    /// Updates the host's own record, as the daemon does before each tick. Returns the event for the
    /// change, or `None` if nothing changed.
    pub(crate) fn update_record(
        &mut self,
        warm: &BTreeMap<Partition, Vec<WarmTarget>>,
        refusals: u64,
    ) -> Option<MembershipEvent> {
        let owners = self.board.owners.read();
        let owned = warm.iter().filter(|(partition, _)| {
            let owner = owners.value.owner(**partition);
            owner.is_some_and(|owner| owner.host == self.board.host)
        });
        self.record.warm = owned.flat_map(|(_, warm)| warm.iter().cloned()).collect();
        self.record.lease_epoch = owners.value.epoch(&self.board.host);
        self.record.lease_until_wall_ms = owners.value.own_lease_until_wall_ms;
        self.record.spend.refusals = refusals;
        if self.sent_record.as_ref() == Some(&self.record) {
            return None;
        }
        self.sent_record = Some(self.record.clone());
        Some(MembershipEvent::OwnRecordChanged(Box::new(
            self.record.clone(),
        )))
    }

    pub(crate) fn step_membership(
        &mut self,
        event: MembershipEvent,
        now: Now,
    ) -> Vec<MembershipEffect> {
        self.membership.step(&self.board, event, now)
    }

    pub(crate) fn step_ownership(
        &mut self,
        event: OwnershipEvent,
        now: Now,
    ) -> Vec<OwnershipEffect> {
        self.ownership.step(&self.board, event, now)
    }
}
