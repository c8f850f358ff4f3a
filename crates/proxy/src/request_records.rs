//! Collects the decision records of one request and writes or drops them together at its end.

use heatherhinge_blackboard::SnapshotVersions;
use heatherhinge_records::{Record, RecordBasis, RecordEvent, RecordSink, Sampler, Subject};
use heatherhinge_types::{Name, WallMs};

/// The decisions about one request so far.
#[derive(Debug)]
pub(crate) struct RequestRecords {
    request_id: Name,
    host: Name,
    records: Vec<Record>,
    is_routine: bool,
}

impl RequestRecords {
    pub(crate) fn new(request_id: Name, host: Name) -> Self {
        Self {
            request_id,
            host,
            records: Vec::new(),
            is_routine: true,
        }
    }

    /// Adds a decision that is part of a routine success, which is recorded only if sampled.
    pub(crate) fn add(&mut self, at_wall_ms: WallMs, basis: SnapshotVersions, event: RecordEvent) {
        self.records.push(Record {
            at_wall_ms,
            host: self.host.clone(),
            subject: Subject::Request(self.request_id.clone()),
            basis: RecordBasis::new(basis, 0),
            event,
        });
    }

    /// Adds a decision that is always recorded, together with all others of the request.
    pub(crate) fn add_kept(
        &mut self,
        at_wall_ms: WallMs,
        basis: SnapshotVersions,
        event: RecordEvent,
    ) {
        self.is_routine = false;
        self.add(at_wall_ms, basis, event);
    }

    /// Sends the records to the sink, or drops them if the request was a routine success that is
    /// not sampled.
    pub(crate) fn finish<S: RecordSink>(self, sink: &S) {
        // All hosts use the same sampler, so they keep records of the same requests.
        let is_sampled = Sampler::new(0).keeps(&self.request_id);
        if self.is_routine && !is_sampled {
            return;
        }
        for record in self.records {
            sink.record(record);
        }
    }
}
