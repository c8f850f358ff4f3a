//! Messages of one host.

use serde::Serialize;

/// What one host exchanged with others and with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Messages sent to peers, answers included.
    pub peer_messages_out: u64,
    /// Bytes sent to peers.
    pub peer_bytes_out: u64,
    /// Bytes received from peers.
    pub peer_bytes_in: u64,
    /// Of both, the bytes of whole records.
    pub record_bytes: u64,
    /// Scans of the rows of ownership.
    pub owner_reads: u64,
    /// Bytes of these scans' answers.
    pub owner_read_bytes: u64,
    /// Transactions on the rows of ownership.
    pub owner_writes: u64,
}
