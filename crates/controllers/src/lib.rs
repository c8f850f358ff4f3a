//! Controllers that keep the blackboard of a host up to date, off the request path.
//!
//! Each controller owns the writer of one entry, reads the other entries and is driven by events.
//! It does no I/O: [`Controller::step`] returns the effects that the daemon carries out. See
//! `docs/design.md`, sections 4 and 5.

mod address_book;
mod adoption;
mod bundle;
mod bundle_event;
mod canary_analysis;
mod controller;
mod crash_counts;
mod decision_record;
mod drain;
mod drain_machine;
mod freshness;
mod heartbeat_clock;
mod host_lease;
mod membership;
mod membership_event;
mod move_event;
mod move_evidence;
mod move_machine;
mod moves;
mod ownership;
mod ownership_event;
mod ownership_rows;
mod pause;
mod peer_state;
mod quarantine;
mod quarantine_event;
mod rendezvous;
mod rotation;
mod service_move;
mod takeover;
mod target_warmup;
mod targets;
mod tenures;
mod warm_announcements;
mod warmup;
mod warmup_event;
mod zone_machine;
mod zones;

pub use address_book::{ADDRESS_TTL_MS, AddressBook, AddressResponse, HostAddress};
pub use bundle::BundleController;
pub use bundle_event::{
    BundleEffect, BundleEvent, BundleSource, CurrentBundleRow, PeerBundleStatus,
};
pub use canary_analysis::{CanaryAnalysis, Counts, Judgement, Measure, Stratum, Window};
pub use controller::Controller;
pub use drain::{DrainController, DrainEffect, DrainEvent, DrainLimits};
pub use host_lease::HostIdentity;
pub use membership::{MembershipController, MembershipSettings};
pub use membership_event::{ExchangeTicket, ListedHost, MembershipEffect, MembershipEvent};
pub use move_event::{MoveEffect, MoveEvent, MoveReport, MoveRow, StoreUnavailable, WriteOutcome};
pub use moves::MoveController;
pub use ownership::{OWNERSHIP_READ_INTERVAL_MS, OwnershipController};
pub use ownership_event::{HandOver, OwnershipEffect, OwnershipEvent, TransactionResult};
pub use ownership_rows::{
    HostCondition, HostRow, OwnershipRows, PartitionCondition, PartitionRow, RowWrite,
};
pub use quarantine::QuarantineController;
pub use quarantine_event::{
    CrashReport, CrashReportId, CrashReportOutcome, QuarantineEffect, QuarantineEvent,
};
pub use target_warmup::ResponseKind;
pub use targets::{ListedTarget, TargetController, TargetEvent};
pub use tenures::Tenures;
pub use warmup::WarmupController;
pub use warmup_event::{ColdReport, WarmupEffect, WarmupEvent, may_change_warmth};
pub use zones::{ZoneController, ZoneEffect, ZoneEvent};
