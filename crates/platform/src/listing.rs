//! Decodes the entries of the host list.

use heatherhinge_types::Name;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An entry host in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListing {
    /// Name of the host, from the label `host`.
    pub host: Name,
    /// Zone of the host.
    pub zone: Name,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address of the peer protocol.
    pub peer_addr: SocketAddr,
    /// Whether the host has the state `leaving` rather than `live`.
    pub is_leaving: bool,
}

/// A target in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetListing {
    /// Name of the service.
    pub service: Name,
    /// Zone of the target.
    pub zone: Name,
    /// Version that the target runs.
    pub version: Name,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Whether the target has the state `leaving` rather than `live`.
    pub is_leaving: bool,
}

/// The host list as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entry hosts.
    pub entries: Vec<EntryListing>,
    /// Targets.
    pub targets: Vec<TargetListing>,
    /// Number of addresses that could not be decoded or have invalid labels; they are left out, so
    /// that one wrong label does not hide all other hosts.
    pub skipped: usize,
}

/// One group in the list's JSON form.
#[derive(Debug, Deserialize)]
pub(crate) struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

impl Listing {
    /// Decodes the groups of the list and counts the addresses that it skips.
    pub(crate) fn from_groups(groups: &[Group]) -> Self {
        let mut listing = Self::default();
        for group in groups {
            for target in &group.targets {
                if listing.add(target, &group.labels).is_none() {
                    listing.skipped += 1;
                }
            }
        }
        listing
    }

    fn add(&mut self, addr: &str, labels: &BTreeMap<String, String>) -> Option<()> {
        let label = |name: &str| labels.get(name).map(String::as_str);
        let addr: SocketAddr = addr.parse().ok()?;
        let zone = Name::from(label("zone")?);
        let is_leaving = match label("state")? {
            "live" => false,
            "leaving" => true,
            _ => return None,
        };
        match label("role")? {
            "entry" => self.entries.push(EntryListing {
                host: Name::from(label("host")?),
                zone,
                caller_addr: addr,
                peer_addr: label("peer_addr")?.parse().ok()?,
                is_leaving,
            }),
            "target" => self.targets.push(TargetListing {
                service: Name::from(label("service")?),
                zone,
                version: Name::from(label("version")?),
                addr,
                is_leaving,
            }),
            _ => return None,
        }
        Some(())
    }
}
