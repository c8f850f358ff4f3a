//! Implements the protocol between entry hosts: a `tarpc` service over TCP.
//!
//! [`PeerServer`] passes calls of other hosts to a [`PeerHandler`]; [`PeerClient`] calls them and
//! is the implementation of [`PeerCalls`] that the daemon uses. Messages are encoded only here, so
//! the decision crates do not depend on the encoding. A frame is at most [`MAX_FRAME_BYTES`] long.
//! A message that cannot be decoded closes its connection and is logged with code 2401.

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
