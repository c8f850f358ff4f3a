//! What the move controller is told and what it asks for.

use heatherhinge_blackboard::{Evidence, MoveState, MoveVerdict};
use heatherhinge_records::Record;
use heatherhinge_types::{Name, WallMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The row `move#<id>` of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRow {
    /// Name of the move.
    pub move_id: Name,
    /// Name of the service.
    pub service: Name,
    /// State.
    pub state: MoveState,
    /// Share of the new version, in thousandths.
    pub share_permille: u32,
    /// Rises with each write.
    pub step: u64,
    /// The host that wrote the row.
    pub writer: Name,
    /// Tells the writes of a host apart, so that one whose answer was lost is recognized.
    pub nonce: u64,
}

/// The row `report#<move>#<state>` of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Name of the move.
    pub move_id: Name,
    /// Name of the service.
    pub service: Name,
    /// The state that is reported.
    pub state: MoveState,
    /// When it was decided or learned, by the writer's wall clock.
    pub at_wall_ms: WallMs,
    /// The host that wrote the report.
    pub writer: Name,
    /// Why the state was reached, for people.
    pub reason: Name,
}

/// The table service did not answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUnavailable;

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The condition did not hold.
    Conflict,
    /// The store could not be reached or its answer was lost: the write may have taken effect.
    Unknown,
}

/// What the move controller is told.
#[derive(Clone, Debug)]
pub enum MoveEvent {
    /// Time passed or another entry changed; about every 250 ms.
    Tick,
    /// The answer to [`MoveEffect::ReadRow`].
    RowRead {
        /// Name of the move.
        move_id: Name,
        /// The row, or `None` if there is none.
        row: Result<Option<MoveRow>, StoreUnavailable>,
    },
    /// The answer to [`MoveEffect::WriteRow`].
    RowWritten {
        /// Name of the move.
        move_id: Name,
        /// The nonce of the row.
        nonce: u64,
        /// How the write ended.
        outcome: WriteOutcome,
    },
    /// The answer to [`MoveEffect::WriteReport`]. A conflict means that the report exists.
    ReportWritten {
        /// Name of the move.
        move_id: Name,
        /// The state that was reported.
        state: MoveState,
        /// How the write ended.
        outcome: WriteOutcome,
    },
    /// A peer tells this host, as the leader, that its own evidence is strong and that it has
    /// stopped sending to the new version.
    HaltReported {
        /// Name of the move.
        move_id: Name,
        /// The peer.
        from: Name,
    },
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveEffect {
    /// Read the row of a move and feed it back.
    ReadRow {
        /// Name of the move.
        move_id: Name,
    },
    /// Write the row of a move if the stored step is the expected one, or if there is no row when
    /// `None` is expected; feed back how it ended.
    WriteRow {
        /// The row.
        row: MoveRow,
        /// The step that the stored row must have.
        expected_step: Option<u64>,
    },
    /// Write a report if it does not exist and feed back how it ended.
    WriteReport(MoveReport),
    /// Tell the leader of a move that this host has stopped sending to the new version.
    NotifyLeader {
        /// Name of the leader.
        leader: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// Name of the move.
        move_id: Name,
    },
    /// Replace evidence and verdicts in this host's record.
    Publish {
        /// Counts of this host.
        evidence: Vec<Evidence>,
        /// Verdicts, those heard from others included.
        verdicts: Vec<MoveVerdict>,
    },
    /// Keep a decision record.
    Record(Box<Record>),
}
