//! Decision records: what a host decided, when, and on which versions of the shared state.
//!
//! Every decision about a request, a move, a zone, a bundle or a host is a [`Record`]. Records are
//! passed to a [`RecordSink`]; a [`QueueSink`] moves them off the path of a request, and a
//! [`RecordRing`] keeps the newest ones and returns batches for the object store. [`explain`]
//! formats records of several hosts as text. The encoding is separate, in [`json_lines`]. See
//! `docs/design.md`, section 16.

pub mod admin;
mod batch;
mod digest_text;
mod explain;
pub mod json_lines;
mod queue;
mod record;
mod ring;
mod sampler;
mod sentence;
mod sink;

pub use batch::{BATCH_LIMIT_RECORDS, Batch};
pub use explain::explain;
pub use queue::{QueueSink, RecordQueue, record_queue};
pub use record::{Record, RecordBasis, RecordEvent, Subject};
pub use ring::RecordRing;
pub use sampler::Sampler;
pub use sink::{NullSink, RecordSink};
