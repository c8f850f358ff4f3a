//! Generates a synthetic bundle, list and records, which depend only on the size.

use crate::Size;
use ed25519_dalek::SigningKey;
use heatherhinge_blackboard::{HostRecord, OverheadCounts, RecordVersion, WarmTarget};
use heatherhinge_bundle::{Bundle, BundleVersion, Envelope};
use heatherhinge_controllers::ListedTarget;
use heatherhinge_types::{Name, Partition, StartId, WallMs};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Zones at the design size.
const ZONES: usize = 10;
/// Wall time at the start of each measurement.
pub const START_WALL_MS: WallMs = WallMs(1_800_000_000_000);

/// Returns the name of a zone by its number.
#[must_use]
pub fn zone(number: usize) -> Name {
    Name::from(format!("region-{}-zone-{}", number % 5, number % ZONES))
}

/// Returns the name of an entry host by its number.
#[must_use]
pub fn host_name(number: usize) -> Name {
    Name::from(format!("entry-{number:04}"))
}

/// Returns the address of the peer protocol of an entry host by its number.
#[must_use]
pub fn host_addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8_081))
}

fn target_addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (number / 250) as u8, (number % 250) as u8], 8_080))
}

fn service_name(number: usize) -> String {
    format!("service-{number:03}")
}

/// Returns the sections of one service and its two routes, the unit of one configuration change.
#[must_use]
pub fn service_section(number: usize, slots: u32) -> String {
    let name = service_name(number);
    let zones: Vec<_> = (0..ZONES).map(|n| zone(n).to_string()).collect();
    format!(
        "[service {name}]\nzones = {}\nversion = v1\nslots = {slots}\nconnections = 250\n\n\
         [route {name} change]\nprefix = /change\nmethods = POST\nurgency = 1\n\n\
         [route {name} all]\nprefix = /\n\n",
        zones.join(", ")
    )
}

/// Returns the text of a bundle; one service differs between even and odd versions.
#[must_use]
pub fn bundle_text(size: Size, version: u64) -> String {
    let mut text = format!("[bundle]\nversion = {version}\n\n");
    for number in 0..ZONES {
        // Writing to a string does not fail.
        writeln!(text, "[zone {}]\nstate = in\n", zone(number)).ok();
    }
    for number in 0..size.services {
        let slots = if number == 0 {
            4 + (version % 2) as u32
        } else {
            4
        };
        text.push_str(&service_section(number, slots));
    }
    text.push_str("[budget]\nprobes_per_s = 100\nlease_ms = 120000\n");
    text
}

/// Parses a bundle of the given size.
///
/// # Errors
///
/// Fails when the synthetic text is not a bundle.
pub fn bundle(size: Size, version: u64) -> eyre::Result<Bundle> {
    Bundle::parse_accepted(&Name::new("sizing"), &bundle_text(size, version)).map_err(|problems| {
        eyre::eyre!(
            "sizing: the synthetic bundle has {} problems",
            problems.len()
        )
    })
}

/// Signs the bundle of the given size.
#[must_use]
pub fn envelope(size: Size, version: u64) -> Envelope {
    let key = SigningKey::from_bytes(&[7; 32]);
    Envelope::sign(bundle_text(size, version), Name::new("ops-1"), &key)
}

/// Returns the list of targets; `changed` of them have another address, as after a replacement.
#[must_use]
pub fn targets(size: Size, changed: usize) -> Vec<ListedTarget> {
    (0..size.targets)
        .map(|number| ListedTarget {
            service: Name::from(service_name(number % size.services)),
            addr: target_addr(if number < changed {
                size.targets + number
            } else {
                number
            }),
            zone: zone(number),
            version: Name::new("v1"),
            is_leaving: false,
        })
        .collect()
}

/// Returns the platform's list as JSON, in the `http_sd` format of Prometheus.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn list_json(size: Size) -> serde_json::Result<Vec<u8>> {
    let mut groups = Vec::with_capacity(size.targets + size.hosts);
    for target in targets(size, 0) {
        groups.push(serde_json::json!({
            "targets": [target.addr.to_string()],
            "labels": { "role": "target", "service": target.service.as_str(),
                "state": "live", "version": "v1", "zone": target.zone.as_str() },
        }));
    }
    for number in 0..size.hosts {
        let addr = host_addr(number).to_string();
        groups.push(serde_json::json!({
            "targets": [addr],
            "labels": { "host": host_name(number).as_str(), "peer_addr": addr, "role": "entry",
                "state": "live", "zone": zone(number).as_str() },
        }));
    }
    serde_json::to_vec(&groups)
}

/// Returns the warm targets by partition; the owner of a partition announces its targets.
#[must_use]
pub fn warm_by_partition(size: Size) -> BTreeMap<Partition, Vec<WarmTarget>> {
    let mut warm: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (number, target) in targets(size, 0).into_iter().enumerate() {
        let id = Name::from(target.addr.to_string());
        warm.entry(Partition::of_name(&id))
            .or_default()
            .push(WarmTarget {
                target: id,
                // Start ids of real targets are random numbers of 64 bits.
                start_id: StartId((number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
                zone_since: BundleVersion(0),
            });
    }
    warm
}

/// Returns the record of a host without announcements.
#[must_use]
pub fn record(number: usize) -> HostRecord {
    HostRecord {
        host: host_name(number),
        version: RecordVersion::default(),
        zone: zone(number),
        caller_addr: SocketAddr::new(host_addr(number).ip(), 8_080),
        peer_addr: host_addr(number),
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
