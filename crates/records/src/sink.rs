//! The interface through which records are submitted.

use crate::Record;

/// Accepts records. It is called on the path of a request and must not block.
pub trait RecordSink: Send + Sync + 'static {
    /// Accepts one record; the sink may drop it rather than block.
    fn record(&self, record: Record);
}

/// Drops every record; for tests and benches of other crates.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl RecordSink for NullSink {
    fn record(&self, _record: Record) {}
}
