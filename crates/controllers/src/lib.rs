//! Controllers that keep the blackboard of a host up to date, off the path of a request.
//!
//! Each controller owns the writer of one entry, reads the others, and is stepped with an event
//! and the time. It does no input or output: [`Controller::step`] returns what the daemon has to
//! do next. See `docs/design.md`, sections 4 and 5.

mod address_book;
mod beat_clock;
mod bundle_event;
mod bundle_spread;
mod controller;
mod freshness;
mod membership;
mod membership_event;
mod pause;
mod peer_state;
mod rotation;
mod targets;

pub use address_book::{ADDRESS_KEEP_MS, AddressAnswer, AddressBook, HostAddress};
pub use bundle_event::{BundleEffect, BundleEvent, BundleSource, CurrentRow, PeerContact};
pub use bundle_spread::BundleController;
pub use controller::Controller;
pub use membership::{MembershipController, MembershipSettings};
pub use membership_event::{ExchangeTicket, ListedHost, MembershipEffect, MembershipEvent};
pub use targets::{ListedTarget, TargetController, TargetEvent};
