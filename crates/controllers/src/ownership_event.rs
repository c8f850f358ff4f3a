//! What the ownership controller is told and what it asks for.

use crate::{OwnershipRows, RowWrite};
use heatherhinge_claims::TenureId;
use heatherhinge_records::Record;
use heatherhinge_types::{Name, Partition, WallMs};
use std::net::SocketAddr;

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionResult {
    /// It took effect.
    Applied,
    /// A condition did not hold, or another transaction was under way; nothing took effect.
    Conflict,
    /// It may have taken effect, or may still do so.
    Unknown,
    /// The store was not reached; nothing took effect.
    Unavailable,
}

/// What the ownership controller is told.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The rows that [`OwnershipEffect::Read`] asked for.
    RowsRead {
        /// Number of the read.
        id: u64,
        /// The rows.
        rows: OwnershipRows,
    },
    /// The rows could not be read.
    ReadFailed {
        /// Number of the read.
        id: u64,
    },
    /// A transaction ended. Every [`OwnershipEffect::Write`] is followed by one such event, at the
    /// latest when the daemon's own time limit for writes has passed.
    Written {
        /// Number of the write.
        id: u64,
        /// How it ended.
        result: TransactionResult,
    },
    /// Another host handed claims, or a part of them, over to this host.
    ClaimsReceived {
        /// The partition.
        partition: Partition,
        /// The tenure that the claims are of.
        giver: TenureId,
    },
    /// The claims named by [`OwnershipEffect::HandOverClaims`] were sent, or could not be.
    ClaimsHandedOver,
    /// A reader found the entry out of date, for example when an owner answered that it is none.
    StaleOwnerReported,
    /// Time passed. Expected several times a second.
    Tick,
    /// The host stops; it gives up its partitions.
    StopRequested,
}

/// One partition that this host gives up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// The partition.
    pub partition: Partition,
    /// The tenure of this host that ends.
    pub giver: TenureId,
    /// Whether the tenure had adopted the claims of the one before.
    pub has_earlier_claims: bool,
    /// The host that is expected to be the next owner, with the address of its peer protocol, or
    /// `None` if no other host is live. The claims are closed in either case.
    pub to: Option<(Name, SocketAddr)>,
}

/// What the daemon has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEffect {
    /// Read all rows of ownership, strongly consistent.
    Read {
        /// Number of the read.
        id: u64,
    },
    /// Write rows in one transaction of at most 25 parts.
    Write {
        /// Number of the write.
        id: u64,
        /// The parts.
        rows: Vec<RowWrite>,
    },
    /// Close the claims of all these partitions, send them to the next owners, and report
    /// [`OwnershipEvent::ClaimsHandedOver`] once. The lease is ended only after that report, so
    /// the next owner starts later than the last grant.
    HandOverClaims(Vec<HandOver>),
    /// Adopt claims that were handed over into the tenure that started at `from_wall_ms`.
    AdoptClaims {
        /// The partition.
        partition: Partition,
        /// The tenure that the claims are of.
        giver: TenureId,
        /// Start of this host's tenure.
        from_wall_ms: WallMs,
    },
    /// Keep a decision record.
    Record(Box<Record>),
    /// The partitions are given up; the host may exit.
    Stopped,
}
