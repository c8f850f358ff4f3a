//! Defines the messages in which hosts exchange their records; `docs/design.md`, section 13.
//!
//! A host sends a digest of the records and heartbeats that it has; the peer responds with the
//! entries that differ and the records that are newer. Heartbeats travel in the digest, so the
//! record of a live host is not sent again while it does not change.

use crate::{HostRecord, RecordVersion};
use heatherhinge_types::Name;
use serde::{Deserialize, Serialize};

/// The version of the record and the last heartbeat that a host has of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Name of the host.
    pub host: Name,
    /// Version of the record; 0 if the host has none.
    pub version: RecordVersion,
    /// Last known heartbeat of the host in the run that the version names: half seconds by its
    /// monotonic clock, counted from 1; 0 for none. A reader that has compared its clock with the
    /// host's derives the age of the heartbeat from it.
    pub beat: u64,
}

/// Asks a peer for the records of which it has newer versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Name of the requesting host.
    pub from: Name,
    /// Digest of the requesting host.
    pub digest: Vec<DigestEntry>,
    /// Records that the peer is known to lack.
    pub records: Vec<HostRecord>,
}

/// Response to an [`ExchangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// The responding host's own entry and the entries that differ from the digest of the request:
    /// newer heartbeats, other versions, and version 0 for a host unknown to the responder. Equal
    /// entries are left out, which saves about half of them.
    pub digest: Vec<DigestEntry>,
    /// The responding host's own record first, then those newer than the digest of the request.
    pub records: Vec<HostRecord>,
}
