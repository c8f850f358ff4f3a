//! Decision records: what a host decided, when, and on which versions of what.
//!
//! Every decision about a request, a move, a zone, a bundle or a host is a [`Record`]. Parts hand
//! records to a [`RecordSink`]; where they go from there is decided by the daemon. See
//! `docs/design.md`, section 16.

pub mod admin;
mod record;
mod sink;

pub use record::{Record, RecordBasis, RecordEvent, Subject};
pub use sink::{NullSink, RecordSink};
