//! Availability zones as this host applies them.

use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::Name;
use std::collections::BTreeMap;

/// Phase of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// The zone takes new work.
    In,
    /// The zone takes no new work.
    Out,
    /// The zone is coming back: its targets count as cold until announced warm again.
    Returning,
}

/// One zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneEntry {
    /// Phase.
    pub phase: ZonePhase,
    /// The bundle that set the phase.
    pub since: BundleVersion,
}

/// Zones by name. A zone that is absent takes no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTable {
    /// Zones by name.
    pub zones: BTreeMap<Name, ZoneEntry>,
}

impl ZoneTable {
    /// Returns whether a zone may take new work.
    #[must_use]
    pub fn takes_work(&self, zone: &Name) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|entry| entry.phase != ZonePhase::Out)
    }
}
