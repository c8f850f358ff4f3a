//! The daemon of an entry host.
//!
//! [`EntryHost::spawn`] wires the data path, the controllers, the clients of the platform and the
//! protocol between hosts around one blackboard. Nothing here decides: decisions are in the crates
//! `policy`, `claims` and `controllers`, and this crate carries them out. See `docs/design.md`,
//! sections 3 to 5.

mod admin;
mod bundle_store;
mod control_loop;
mod event;
mod host;
mod host_record;
mod io;
mod local_claims;
mod move_store;
mod observe;
mod owner_client;
mod ownership_store;
mod peer_handler;
mod pending_crash_reports;
mod prober;
mod record_buffer;
mod tasks;

pub use host::{EntryHost, EntryHostHandle};
