//! Controllers that keep the blackboard of a host up to date, off the path of a request.
//!
//! Each controller owns the writer of one entry, reads the others, and is stepped with an event
//! and the time. It does no input or output: [`Controller::step`] returns what the daemon has to
//! do next. See `docs/design.md`, sections 4 and 5.

mod adoption;
mod controller;
mod host_lease;
mod ownership;
mod ownership_event;
mod ownership_rows;
mod recording;
mod rendezvous;
mod takeover;
mod target_warmup;
mod targets;
mod tenures;
mod warm_announcements;
mod warmup;
mod warmup_event;

pub use controller::Controller;
pub use host_lease::HostIdentity;
pub use ownership::{OwnershipController, READ_INTERVAL_MS};
pub use ownership_event::{HandOver, OwnershipEffect, OwnershipEvent, WriteResult};
pub use ownership_rows::{
    HostCondition, HostRow, OwnershipRows, PartitionCondition, PartitionRow, RowWrite,
};
pub use target_warmup::AnswerKind;
pub use targets::{ListedTarget, TargetController, TargetEvent};
pub use tenures::Tenures;
pub use warmup::WarmupController;
pub use warmup_event::{ColdReport, WarmupEffect, WarmupEvent, is_news};
