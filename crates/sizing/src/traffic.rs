//! Counts the messages and store calls of one host.

use serde::Serialize;

/// Messages of one host to and from its peers, and its calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Messages sent to peers, including responses.
    pub peer_messages_out: u64,
    /// Bytes sent to peers.
    pub peer_bytes_out: u64,
    /// Bytes received from peers.
    pub peer_bytes_in: u64,
    /// Bytes of whole records within the bytes sent and received.
    pub record_bytes: u64,
    /// Scans of the ownership rows.
    pub owner_reads: u64,
    /// Bytes of the responses to these scans.
    pub owner_read_bytes: u64,
    /// Transactions on the ownership rows.
    pub owner_writes: u64,
}
