//! Holds the shared state of one entry host.
//!
//! The parts of a host exchange state only through the blackboard. Each entry has exactly one
//! writer: [`Blackboard::new`] returns one [`Writer`] per entry, and a writer cannot be cloned.
//! Readers take a snapshot by read-copy-update, so the request path takes no lock. The list of
//! entries, writers and readers is in `docs/design.md`, section 5.

mod board;
mod counters;
mod entry;
mod exchange;
mod host_record;
mod host_table;
mod move_counters;
mod move_table;
mod owner_table;
mod quarantine_table;
mod routing;
mod target_cell;
mod warmth_table;
mod zone_table;

pub use board::{Blackboard, Writers};
pub use counters::{Counters, HostPhase, HostStatus, ServiceCounters};
pub use entry::{Reader, Snapshot, Versioned, Writer, entry};
pub use exchange::{DigestEntry, ExchangeRequest, ExchangeResponse};
pub use host_record::{
    Evidence, HostRecord, MoveVerdict, OverheadCounts, Quarantine, RecordVersion, WarmTarget,
};
pub use host_table::{HostEntry, HostTable};
pub use move_counters::{MoveCounters, RouteCounters, VersionCounters};
pub use move_table::{MoveEntry, MoveState, MoveTable};
pub use owner_table::{Owner, OwnerTable};
pub use quarantine_table::QuarantineTable;
pub use routing::{ColdTarget, RoutingSnapshot, ServiceTargets, SnapshotVersions, VersionPool};
pub use target_cell::{InFlight, TargetCell, TargetSample};
pub use warmth_table::{Warmth, WarmthTable};
pub use zone_table::{ZoneEntry, ZonePhase, ZoneTable};
