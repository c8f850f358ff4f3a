//! Defines the deployments of the simulation, the conditions of a run and its bundles.

use super::fixtures::{self, at};
use heatherhinge_bundle::{Bundle, VersionMove, ZoneState};
use heatherhinge_types::Name;
use std::sync::Arc;

/// Largest share of an unproven version, in thousandths.
pub const CAP_PERMILLE: u32 = 20;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Every response fails.
    Broken,
    /// One response in five fails.
    Fails,
    /// Responses take twice as long.
    Slow,
    /// One response in five fails, from the 90th second on.
    FailsLater,
    /// Three responses in ten fail once more than 30% of the calls go to the new version.
    UnderLoad,
    /// Three responses in ten fail on the last route.
    OneRoute,
}

/// Size of a deployment and the conditions of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Entry hosts.
    pub hosts: usize,
    /// Availability zones.
    pub zones: usize,
    /// Targets of each version.
    pub targets: usize,
    /// Calls per second over all hosts.
    pub calls_per_s: f64,
    /// Routes with their share of the calls.
    pub routes: Vec<(&'static str, f64)>,
    /// Fault of the new version.
    pub fault: Fault,
    /// Whether neighbouring workloads disturb zones and targets.
    pub is_noisy: bool,
    /// Start and end of the store outage, in milliseconds.
    pub store_down_ms: (u64, u64),
    /// Share of writes whose response is lost, in thousandths.
    pub lost_responses_permille: u32,
    /// When the leader is paused for 40 s, in milliseconds; `None` for no pause.
    pub leader_paused_ms: Option<u64>,
    /// Length of the move in milliseconds.
    pub move_ms: u64,
    /// Responses of the new version that a step needs.
    pub min_samples: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Setup {
    /// The orders service of Vatuwaqa Bronze & Chime Works.
    pub fn vatuwaqa(fault: Fault, is_noisy: bool, seed: u64) -> Self {
        Self {
            hosts: 16,
            zones: 3,
            targets: 25,
            calls_per_s: 400.0,
            routes: vec![("stock", 0.6), ("sheets", 0.25), ("casting", 0.15)],
            fault,
            is_noisy,
            store_down_ms: (0, 0),
            lost_responses_permille: 0,
            leader_paused_ms: None,
            move_ms: 600_000,
            min_samples: 300,
            seed,
        }
    }

    /// The patterns service of Vatuwaqa: few targets and calls, and an hour for the move.
    pub fn patterns(fault: Fault, is_noisy: bool, seed: u64) -> Self {
        Self {
            targets: 5,
            calls_per_s: 40.0,
            routes: vec![("find", 0.7), ("download", 0.3)],
            move_ms: 3_600_000,
            min_samples: 100,
            ..Self::vatuwaqa(fault, is_noisy, seed)
        }
    }

    /// The booking service of Kozhikode Koop Rentals.
    pub fn kozhikode(fault: Fault, is_noisy: bool, seed: u64) -> Self {
        Self {
            hosts: 19,
            zones: 4,
            targets: 30,
            calls_per_s: 500.0,
            routes: vec![("availability", 0.7), ("history", 0.2), ("booking", 0.1)],
            ..Self::vatuwaqa(fault, is_noisy, seed)
        }
    }

    /// The fieldkit service of Kozhikode: few targets and calls, and an hour for the move.
    pub fn fieldkit(fault: Fault, is_noisy: bool, seed: u64) -> Self {
        Self {
            targets: 10,
            calls_per_s: 80.0,
            routes: vec![("manuals", 0.6), ("photos", 0.4)],
            move_ms: 3_600_000,
            min_samples: 100,
            ..Self::kozhikode(fault, is_noisy, seed)
        }
    }
}

/// Returns the name of a zone.
pub fn zone(index: usize) -> Name {
    Name::from(format!("zone{index}"))
}

/// Returns a bundle with a move of this name, or without a move.
pub fn bundle(setup: &Setup, version: u64, move_id: Option<&str>) -> Arc<Bundle> {
    let version_move = move_id.map(|id| VersionMove {
        id: Name::from(id),
        from: Name::from("v1"),
        to: Name::from("v2"),
        end_wall_ms: at(setup.move_ms).wall_ms,
        cap_permille: CAP_PERMILLE,
        min_samples: setup.min_samples,
    });
    let zones: Vec<_> = (0..setup.zones)
        .map(|index| (zone(index), ZoneState::In))
        .collect();
    let routes: Vec<_> = setup.routes.iter().map(|(name, _)| *name).collect();
    fixtures::bundle(version, &zones, &routes, version_move)
}
