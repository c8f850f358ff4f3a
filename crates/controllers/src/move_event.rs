//! Events and effects of the move controller, and the rows that it reads and writes.

use heatherhinge_blackboard::{Evidence, MoveState, MoveVerdict};
use heatherhinge_records::Record;
use heatherhinge_types::{Name, WallMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The row `move#<id>` in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRow {
    /// Name of the move.
    pub move_id: Name,
    /// Name of the service.
    pub service: Name,
    /// State of the move when the row was written.
    pub state: MoveState,
    /// Share of the new version, in thousandths of the requests.
    pub share_permille: u32,
    /// Increases with each write; the condition of the next write.
    pub step: u64,
    /// The host that wrote the row.
    pub writer: Name,
    /// Distinguishes the writes of a host, so that one whose response was lost is recognized.
    pub nonce: u64,
}

/// The row `report#<move>#<state>` in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Name of the move.
    pub move_id: Name,
    /// Name of the service.
    pub service: Name,
    /// The reported state.
    pub state: MoveState,
    /// When the report was sent, by the writer's wall clock.
    pub at_wall_ms: WallMs,
    /// The host that wrote the report.
    pub writer: Name,
    /// Why the state was reached, as text for operators.
    pub reason: Name,
}

/// The table service did not respond to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUnavailable;

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The store could not be reached or its response was lost: the write may have taken effect.
    Unknown,
}

/// Events of the move controller.
#[derive(Clone, Debug)]
pub enum MoveEvent {
    /// Time passed or another entry changed. Sent about every 250 ms.
    Tick,
    /// The response to [`MoveEffect::ReadRow`].
    RowRead {
        /// Name of the move.
        move_id: Name,
        /// The row, or `None` if there is none.
        row: Result<Option<MoveRow>, StoreUnavailable>,
    },
    /// The response to [`MoveEffect::WriteRow`].
    RowWritten {
        /// Name of the move.
        move_id: Name,
        /// The nonce of the written row.
        nonce: u64,
        /// Result of the write.
        outcome: WriteOutcome,
    },
    /// The response to [`MoveEffect::WriteReport`]. A conflict means that the report exists.
    ReportWritten {
        /// Name of the move.
        move_id: Name,
        /// The state that was reported.
        state: MoveState,
        /// Result of the write.
        outcome: WriteOutcome,
    },
    /// A peer notified this host, as the leader, that its own evidence is strong and that it
    /// stopped sending to the new version.
    HaltReported {
        /// Name of the move.
        move_id: Name,
        /// The peer.
        from: Name,
    },
}

/// Actions that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveEffect {
    /// Read the row of a move and send it back as [`MoveEvent::RowRead`].
    ReadRow {
        /// Name of the move.
        move_id: Name,
    },
    /// Write the row of a move if the stored step is the expected one, or if there is no row when
    /// `None` is expected. Send the result back as [`MoveEvent::RowWritten`].
    WriteRow {
        /// The row.
        row: MoveRow,
        /// The step that the stored row must have.
        expected_step: Option<u64>,
    },
    /// Write a report unless it exists. Send the result back as [`MoveEvent::ReportWritten`].
    WriteReport(MoveReport),
    /// Notify the leader of a move that this host stopped sending to the new version.
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
        /// Counts of this host by move, route and version.
        evidence: Vec<Evidence>,
        /// Verdicts of all moves, including those received from peers.
        verdicts: Vec<MoveVerdict>,
    },
    /// Store a decision record.
    Record(Box<Record>),
}
