//! The daemon of an entry host.
//!
//! [`EntryHost::spawn`] wires the data path, the controllers, the clients of the platform and the
//! protocol between hosts around one blackboard. Nothing here decides: decisions are in the crates
//! `policy`, `claims` and `controllers`, and this crate carries them out. See `docs/design.md`,
//! sections 3 to 5.

mod admin;
mod bundle_store;
mod claim_desk;
mod conductor;
mod draft;
mod event;
mod host;
mod io;
mod move_store;
mod observe;
mod owner_link;
mod ownership_store;
mod peer_handler;
mod prober;
mod record_keeper;
mod reports;
mod tasks;

pub use host::{EntryHost, EntryHostHandle};
