//! Runs one process of an entry host: its blackboard, ownership controller and claims table.

use crate::Rules;
use heatherhinge_blackboard::{
    Blackboard, HostEntry, HostRecord, HostTable, OverheadCounts, RecordVersion, Writer, Writers,
};
use heatherhinge_bundle::{Budget, Bundle, BundleVersion};
use heatherhinge_claims::{
    AttemptId, ClaimLimits, ClaimRequest, ClaimResponse, ClaimTable, Settlement, Tenure,
};
use heatherhinge_controllers::{
    Controller, HandOver, HostIdentity, OwnershipController, OwnershipEffect, OwnershipEvent,
};
use heatherhinge_types::{CLOCK_ERROR_MS, IdempotencyKey, Name, Now, Partition, WallMs};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A process of an entry host. A restart makes a new one.
#[derive(Debug)]
pub(crate) struct Process {
    /// Number of the process, unique in the simulation.
    pub(crate) run: u64,
    pub(crate) name: Name,
    pub(crate) is_leaving: bool,
    pub(crate) claims: ClaimTable,
    board: Arc<Blackboard>,
    hosts: Writer<HostTable>,
    live: Vec<usize>,
    controller: OwnershipController,
    rules: Rules,
    /// The attempt that each claim was last granted to, for runs without [`Rules::attempt_id`].
    granted: BTreeMap<IdempotencyKey, (Name, AttemptId)>,
}

impl Process {
    pub(crate) fn new(index: usize, run: u64, lease_ms: u64, rules: Rules, now: Now) -> Self {
        let name = host_name(index);
        let (board, writers) = Blackboard::new(name.clone(), Name::from("north"));
        let Writers {
            owners,
            hosts,
            mut bundle,
            ..
        } = writers;
        bundle.publish(Some(Arc::new(bundle_with(lease_ms))));
        let identity = HostIdentity {
            host: name.clone(),
            peer_addr: peer_addr(index),
            start_wall_ms: now.wall_ms,
        };
        let limits = ClaimLimits {
            max_claims: 1_000_000,
            max_stored_bytes: 1 << 30,
        };
        Self {
            run,
            name,
            is_leaving: false,
            claims: ClaimTable::new(limits),
            board,
            hosts,
            live: Vec::new(),
            controller: OwnershipController::new(owners, identity, now),
            rules,
            granted: BTreeMap::new(),
        }
    }

    /// Publishes which other hosts are live.
    pub(crate) fn set_live(&mut self, live: &[usize]) {
        if self.live == live {
            return;
        }
        self.live = live.to_vec();
        let entries = live.iter().map(|index| {
            let entry = HostEntry {
                record: Arc::new(host_record(*index)),
                last_heard_ns: Default::default(),
                is_live: true,
            };
            (host_name(*index), entry)
        });
        self.hosts.publish(HostTable {
            hosts: entries.collect(),
        });
    }

    pub(crate) fn step(&mut self, event: OwnershipEvent, now: Now) -> Vec<OwnershipEffect> {
        self.is_leaving |= matches!(event, OwnershipEvent::StopRequested);
        self.controller.step(&self.board, event, now)
    }

    /// Returns the owner of a key according to this process.
    pub(crate) fn owner(&self, key: IdempotencyKey) -> Option<Name> {
        let owners = self.board.owners.read();
        owners
            .value
            .owner(key.partition())
            .map(|owner| owner.host.clone())
    }

    /// Decides on a claim; [`ClaimResponse::NotOwner`] if this process does not own the partition.
    pub(crate) fn claim(&mut self, request: &ClaimRequest, now: Now) -> ClaimResponse {
        let Some(tenure) = self.tenure(request.key.partition(), now) else {
            return ClaimResponse::NotOwner;
        };
        let response = self.claims.claim(request, &tenure, now);
        if matches!(response, ClaimResponse::Granted { .. }) {
            let holder = (request.sender.clone(), request.attempt);
            self.granted.insert(request.key, holder);
        }
        response
    }

    pub(crate) fn settle(&mut self, mut settlement: Settlement, now: Now) {
        if !self.rules.attempt_id
            && let Some((sender, attempt)) = self.granted.get(&settlement.key)
        {
            settlement.sender = sender.clone();
            settlement.attempt = *attempt;
        }
        self.claims.settle(settlement, now);
    }

    fn tenure(&self, partition: Partition, now: Now) -> Option<Tenure> {
        let owners = self.board.owners.read();
        let owner = owners.value.owner(partition)?;
        let margin_ms = 2 * CLOCK_ERROR_MS;
        let from_wall_ms = match (self.rules.tenure, self.rules.clock_margin) {
            (false, _) => WallMs(0),
            (true, false) => owner.from_wall_ms.minus_ms(margin_ms),
            (true, true) => owner.from_wall_ms,
        };
        owners
            .value
            .holds(&self.name, partition, now)
            .then_some(Tenure {
                lease_until_wall_ms: owners.value.own_lease_until_wall_ms,
                lease_until_ns: owners.value.own_lease_until_ns,
                from_wall_ms,
                has_earlier_claims: owner.has_earlier_claims,
            })
    }

    /// Closes the claims of a partition and returns them for its new owner.
    pub(crate) fn hand_over(
        &mut self,
        hand_over: &HandOver,
    ) -> heatherhinge_claims::HandedPartition {
        let giver = hand_over.giver.clone();
        self.claims
            .hand_over(hand_over.partition, giver, hand_over.has_earlier_claims)
    }
}

pub(crate) fn host_name(index: usize) -> Name {
    Name::from(format!("host{index}"))
}

fn peer_addr(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn bundle_with(lease_ms: u64) -> Bundle {
    Bundle {
        version: BundleVersion(1),
        zones: BTreeMap::new(),
        services: BTreeMap::new(),
        budget: Budget {
            probes_per_s: 0,
            retry_permille: 100,
            lease_ms,
        },
        revoked_keys: BTreeSet::new(),
    }
}

fn host_record(index: usize) -> HostRecord {
    HostRecord {
        host: host_name(index),
        version: RecordVersion::default(),
        zone: Name::from("north"),
        caller_addr: peer_addr(index),
        peer_addr: peer_addr(index),
        takes_callers: true,
        bundle_version: BundleVersion(1),
        store_age_ms: 0,
        lease_epoch: 0,
        lease_until_wall_ms: WallMs(0),
        warm: Vec::new(),
        evidence: Vec::new(),
        verdicts: Vec::new(),
        quarantine: Vec::new(),
        spend: OverheadCounts::default(),
    }
}
