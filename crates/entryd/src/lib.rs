//! The daemon of an entry host.
//!
//! [`EntryHost::spawn`] connects the data path, the controllers, the platform clients and the peer
//! protocol to one blackboard. This crate makes no decisions: it executes those of the crates
//! `policy`, `claims` and `controllers`. See `docs/design.md`, sections 3 to 5.

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
