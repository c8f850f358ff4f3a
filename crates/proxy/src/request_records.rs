//! The records of one request, kept together until it is known whether they are kept at all.

use heatherhinge_blackboard::SnapshotVersions;
use heatherhinge_records::{Record, RecordBasis, RecordEvent, RecordSink, Sampler, Subject};
use heatherhinge_types::{Name, WallMs};

/// The decisions about one request so far.
#[derive(Debug)]
pub(crate) struct RequestRecords {
    request_id: Name,
    host: Name,
    records: Vec<Record>,
    is_plain: bool,
}

impl RequestRecords {
    pub(crate) fn new(request_id: Name, host: Name) -> Self {
        Self {
            request_id,
            host,
            records: Vec::new(),
            is_plain: true,
        }
    }

    /// Adds a decision that belongs to a plain success.
    pub(crate) fn add(&mut self, at_wall_ms: WallMs, basis: SnapshotVersions, event: RecordEvent) {
        self.records.push(Record {
            at_wall_ms,
            host: self.host.clone(),
            subject: Subject::Request(self.request_id.clone()),
            basis: RecordBasis::new(basis, 0),
            event,
        });
    }

    /// Adds a decision that is always kept, and with it the whole story.
    pub(crate) fn add_kept(
        &mut self,
        at_wall_ms: WallMs,
        basis: SnapshotVersions,
        event: RecordEvent,
    ) {
        self.is_plain = false;
        self.add(at_wall_ms, basis, event);
    }

    /// Hands the records in, or drops them if the request was a plain success that is not sampled.
    pub(crate) fn finish<S: RecordSink>(self, sink: &S) {
        // The same sampler on all hosts, so that all of them keep the same requests.
        let is_sampled = Sampler::new(0).keeps(&self.request_id);
        if self.is_plain && !is_sampled {
            return;
        }
        for record in self.records {
            sink.record(record);
        }
    }
}
