//! Where records are handed in.

use crate::Record;

/// Takes records. It is called on the path of a request and must not block.
pub trait RecordSink: Send + Sync + 'static {
    /// Takes one record.
    fn record(&self, record: Record);
}

/// Drops every record, for tests and benches of other parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl RecordSink for NullSink {
    fn record(&self, _record: Record) {}
}
