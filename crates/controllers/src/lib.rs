//! Controllers that keep the blackboard of a host up to date, off the path of a request.
//!
//! Each controller owns the writer of one entry, reads the others, and is stepped with an event
//! and the time. It does no input or output: [`Controller::step`] returns what the daemon has to
//! do next. See `docs/design.md`, sections 4 and 5.

mod controller;
mod crash_counts;
mod drain;
mod drain_machine;
mod move_event;
mod move_evidence;
mod move_machine;
mod move_test;
mod moves;
mod quarantine;
mod quarantine_event;
mod recording;
mod service_move;
mod target_warmup;
mod targets;
mod tenures;
mod warm_announcements;
mod warmup;
mod warmup_event;
mod zone_machine;
mod zones;

pub use controller::Controller;
pub use drain::{DrainController, DrainEffect, DrainEvent, DrainLimits};
pub use move_event::{MoveEffect, MoveEvent, MoveReport, MoveRow, StoreUnavailable, WriteOutcome};
pub use move_test::{Counts, Judgement, Measure, MoveTest, Stratum, Window};
pub use moves::MoveController;
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
