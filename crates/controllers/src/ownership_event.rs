//! Defines the events and effects of the ownership controller.

use crate::{OwnershipRows, RowWrite};
use heatherhinge_claims::TenureId;
use heatherhinge_records::Record;
use heatherhinge_types::{Name, Partition, WallMs};
use std::net::SocketAddr;

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionResult {
    /// It took effect.
    Applied,
    /// A condition did not hold, or another transaction was in progress; nothing took effect.
    Conflict,
    /// It may have taken effect, or may still do so.
    Unknown,
    /// The store was not reached; nothing took effect.
    Unavailable,
}

/// Input of the ownership controller.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The result of [`OwnershipEffect::Read`].
    RowsRead {
        /// Number in the effect.
        id: u64,
        /// All rows, as of one moment.
        rows: OwnershipRows,
    },
    /// The rows could not be read.
    ReadFailed {
        /// Number in the effect.
        id: u64,
    },
    /// A transaction ended. Every [`OwnershipEffect::Write`] is followed by one such event, at the
    /// latest when the daemon's own time limit for writes has passed.
    Written {
        /// Number in the effect.
        id: u64,
        /// Its outcome.
        result: TransactionResult,
    },
    /// Another host handed claims, or a part of them, over to this host.
    ClaimsReceived {
        /// Partition of the claims.
        partition: Partition,
        /// The tenure of the previous owner that the claims belong to.
        giver: TenureId,
    },
    /// The claims in [`OwnershipEffect::HandOverClaims`] were sent, or could not be sent.
    ClaimsHandedOver,
    /// A reader found the entry out of date, for example because the host that it names responded
    /// that it is not the owner.
    StaleOwnerReported,
    /// Periodic tick, expected several times a second.
    Tick,
    /// The host stops and releases its partitions.
    StopRequested,
}

/// One partition that this host hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// Partition that changes its owner.
    pub partition: Partition,
    /// The tenure of this host that ends.
    pub giver: TenureId,
    /// Whether the tenure had adopted the claims of the previous one.
    pub has_earlier_claims: bool,
    /// The host that is expected to be the next owner, with the address of its peer protocol, or
    /// `None` if no other host is live. The claims are closed in either case.
    pub to: Option<(Name, SocketAddr)>,
}

/// Work for the daemon to carry out, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEffect {
    /// Read all rows of ownership with strong consistency.
    Read {
        /// Number that the outcome must carry.
        id: u64,
    },
    /// Write rows in one transaction of at most 25 parts.
    Write {
        /// Number that the outcome must carry.
        id: u64,
        /// Writes and checks, of which all or none take effect.
        rows: Vec<RowWrite>,
    },
    /// Close the claims of all these partitions, send them to the next owners, and report
    /// [`OwnershipEvent::ClaimsHandedOver`] once. The lease is ended only after that report, so
    /// the next owner starts later than the last grant.
    HandOverClaims(Vec<HandOver>),
    /// Adopt claims that were handed over into the tenure that started at `from_wall_ms`.
    AdoptClaims {
        /// Partition of the claims.
        partition: Partition,
        /// The tenure of the previous owner that the claims belong to.
        giver: TenureId,
        /// Start of this host's tenure.
        from_wall_ms: WallMs,
    },
    /// Write a decision record.
    Record(Box<Record>),
    /// The partitions are released; the host may exit.
    Stopped,
}
