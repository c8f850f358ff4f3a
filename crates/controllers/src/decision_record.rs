//! Creates decision records with the versions of the state that they are based on.

use heatherhinge_blackboard::{Blackboard, SnapshotVersions};
use heatherhinge_records::{Record, RecordBasis, RecordEvent, Subject};
use heatherhinge_types::Now;

/// Returns the versions of all entries that routing depends on.
pub(crate) fn current_basis(board: &Blackboard) -> SnapshotVersions {
    SnapshotVersions {
        bundle: board.bundle_version(),
        owners: board.owners.read().version,
        warmth: board.warmth.read().version,
        moves: board.moves.read().version,
        zones: board.zones.read().version,
    }
}

/// Creates the record of a decision that a controller of this host makes at `now`.
pub(crate) fn decision_record(
    board: &Blackboard,
    now: Now,
    subject: Subject,
    event: RecordEvent,
) -> Box<Record> {
    Box::new(Record {
        at_wall_ms: now.wall_ms,
        host: board.host.clone(),
        subject,
        basis: RecordBasis::new(current_basis(board), board.quarantine.read().version),
        event,
    })
}
