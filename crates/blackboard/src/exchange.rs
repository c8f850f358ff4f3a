//! Messages by which hosts exchange their records; `docs/design.md`, section 13.
//!
//! A host sends a digest of what it knows; the peer answers with what differs from it and with the
//! records that are newer. Heartbeats travel in the digest, so a host that lives but has nothing
//! new to say does not send its record again.

use crate::{HostRecord, RecordVersion};
use heatherhinge_types::Name;
use serde::{Deserialize, Serialize};

/// What a host knows of one host: which record it holds and the last heartbeat it heard of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Name of the host.
    pub host: Name,
    /// Version of the record held.
    pub version: RecordVersion,
    /// The host's last heartbeat that is known: half seconds by its monotonic clock, counted from
    /// 1, in the run that the version names; 0 for none. It tells its age to those who have
    /// compared their clock with the host's.
    pub beat: u64,
}

/// Asks a peer for the records that it holds newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Name of the asking host.
    pub from: Name,
    /// What the asking host knows.
    pub digest: Vec<DigestEntry>,
    /// Records that the peer is known to lack.
    pub records: Vec<HostRecord>,
}

/// Answers an [`ExchangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// The answering host's own entry, and where its knowledge differs from the digest of the
    /// request: newer heartbeats, other versions, and version 0 for a host that it does not know.
    /// What is left out is the same, which saves about half of the entries.
    pub digest: Vec<DigestEntry>,
    /// The answering host's own record first, then those newer than the digest of the request.
    pub records: Vec<HostRecord>,
}
