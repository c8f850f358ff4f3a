//! Controllers that keep the blackboard of a host up to date, off the path of a request.
//!
//! Each controller owns the writer of one entry, reads the others, and is stepped with an event
//! and the time. It does no input or output: [`Controller::step`] returns what the daemon has to
//! do next. See `docs/design.md`, sections 4 and 5.

mod address_book;
mod adoption;
mod beat_clock;
mod bundle_event;
mod bundle_spread;
mod controller;
mod crash_counts;
mod drain;
mod drain_machine;
mod freshness;
mod host_lease;
mod membership;
mod membership_event;
mod move_event;
mod move_evidence;
mod move_machine;
mod move_test;
mod moves;
mod ownership;
mod ownership_event;
mod ownership_rows;
mod pause;
mod peer_state;
mod quarantine;
mod quarantine_event;
mod recording;
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

pub use address_book::{ADDRESS_KEEP_MS, AddressAnswer, AddressBook, HostAddress};
pub use bundle_event::{BundleEffect, BundleEvent, BundleSource, CurrentRow, PeerContact};
pub use bundle_spread::BundleController;
pub use controller::Controller;
pub use drain::{DrainController, DrainEffect, DrainEvent, DrainLimits};
pub use host_lease::HostIdentity;
pub use membership::{MembershipController, MembershipSettings};
pub use membership_event::{ExchangeTicket, ListedHost, MembershipEffect, MembershipEvent};
pub use move_event::{MoveEffect, MoveEvent, MoveReport, MoveRow, StoreUnavailable, WriteOutcome};
pub use move_test::{Counts, Judgement, Measure, MoveTest, Stratum, Window};
pub use moves::MoveController;
pub use ownership::{OwnershipController, READ_INTERVAL_MS};
pub use ownership_event::{HandOver, OwnershipEffect, OwnershipEvent, WriteResult};
pub use ownership_rows::{
    HostCondition, HostRow, OwnershipRows, PartitionCondition, PartitionRow, RowWrite,
};
pub use quarantine::QuarantineController;
pub use quarantine_event::{
    CrashReport, QuarantineEffect, QuarantineEvent, ReportId, ReportOutcome,
};
pub use target_warmup::AnswerKind;
pub use targets::{ListedTarget, TargetController, TargetEvent};
pub use tenures::Tenures;
pub use warmup::WarmupController;
pub use warmup_event::{ColdReport, WarmupEffect, WarmupEvent, is_news};
pub use zones::{ZoneController, ZoneEffect, ZoneEvent};
