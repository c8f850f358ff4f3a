//! Parses and checks entries of the host list in Prometheus' `http_sd` format.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One group of the list: addresses with the same labels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// Addresses, each in the form `ip:port`.
    pub targets: Vec<String>,
    /// Labels by name.
    pub labels: BTreeMap<String, String>,
}

/// One registration whose labels were checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// Address that callers of an entry host connect to, or that a target listens on.
    pub addr: SocketAddr,
    /// Labels by name, as registered.
    pub labels: BTreeMap<String, String>,
    /// Whether the registration removes the entry from the list.
    pub is_gone: bool,
}

impl ListEntry {
    /// Parses a group into one entry per address. The label `role` is `entry` (with `host` and
    /// `peer_addr`) or `target` (with `service` and `version`), `zone` is required, and `state` is
    /// `live`, `leaving` or `gone`; with `gone`, the other labels are optional.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid label or address.
    pub fn parse_group(group: &TargetGroup) -> Result<Vec<Self>, String> {
        let label = |name: &str| group.labels.get(name).map(String::as_str);
        let is_gone = match label("state") {
            Some("gone") => true,
            Some("live" | "leaving") => false,
            _ => return Err("The label state must be live, leaving or gone.".to_owned()),
        };
        if !is_gone {
            check_labels(&group.labels)?;
        }
        group
            .targets
            .iter()
            .map(|target| {
                let addr = parse_addr(target)?;
                Ok(Self {
                    addr,
                    labels: group.labels.clone(),
                    is_gone,
                })
            })
            .collect()
    }

    /// Returns the entry as a group with one address.
    #[must_use]
    pub fn to_group(&self) -> TargetGroup {
        TargetGroup {
            targets: vec![self.addr.to_string()],
            labels: self.labels.clone(),
        }
    }
}

fn check_labels(labels: &BTreeMap<String, String>) -> Result<(), String> {
    let required: &[&str] = match labels.get("role").map(String::as_str) {
        Some("entry") => &["zone", "host", "peer_addr"],
        Some("target") => &["zone", "service", "version"],
        _ => return Err("The label role must be entry or target.".to_owned()),
    };
    if let Some(name) = required
        .iter()
        .find(|name| labels.get(**name).is_none_or(String::is_empty))
    {
        return Err(format!("The label {name} is required for this role."));
    }
    labels
        .get("peer_addr")
        .map_or(Ok(()), |addr| parse_addr(addr).map(drop))
}

fn parse_addr(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("The address {text} does not have the form ip:port."))
}
