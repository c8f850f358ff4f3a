//! The protocol between entry hosts: a `tarpc` service over TCP.
//!
//! [`PeerServer`] answers other hosts with a [`PeerHandler`]; [`PeerClient`] asks them and is the
//! implementation of [`PeerCalls`] that the daemon uses. Messages are encoded here and nowhere else,
//! so the decision crates know nothing of the wire. A frame is at most [`MAX_FRAME_BYTES`] long.
//! A message that cannot be read ends its connection and is logged with code 2401.

mod client;
mod codec;
mod connection;
mod error;
mod handler;
mod message;
mod peers;
mod server;
mod service;

pub use client::PeerClient;
pub use codec::MAX_FRAME_BYTES;
pub use error::PeerError;
pub use handler::PeerHandler;
pub use message::{CrashReportResponse, PeerColdReport, PeerCrashReport};
pub use peers::PeerCalls;
pub use server::{PeerServer, PeerServerHandle};
