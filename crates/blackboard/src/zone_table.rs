//! Lists the phases of availability zones as this host applies them.

use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::Name;
use std::collections::BTreeMap;

/// Phase of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// The zone gets new requests.
    In,
    /// The zone gets no new requests.
    Out,
    /// The zone is returning: its targets count as cold until they are announced as warm again.
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

/// Zones by name. A zone that is absent gets no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTable {
    /// Zones by name.
    pub zones: BTreeMap<Name, ZoneEntry>,
}

impl ZoneTable {
    /// Returns whether a zone may get new requests.
    #[must_use]
    pub fn accepts_requests(&self, zone: &Name) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|entry| entry.phase != ZonePhase::Out)
    }
}
