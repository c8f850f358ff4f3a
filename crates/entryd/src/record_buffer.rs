//! Keeps the newest records in memory and uploads them to the object store.

use heatherhinge_platform::{ObjectClient, ObjectStore};
use heatherhinge_proxy::Clock;
use heatherhinge_records::{
    Batch, QueueSink, Record, RecordQueue, RecordRing, Sampler, Subject, json_lines, record_queue,
};
use heatherhinge_types::Name;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::interval;

/// Time between two uploads.
const UPLOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Records that may be queued between two reads of the queue; a busy host writes a few thousand.
const QUEUE_LIMIT: usize = 16_384;

/// The newest records of this host, and the queue that feeds them.
#[derive(Debug)]
pub(crate) struct RecordBuffer {
    ring: Mutex<RecordRing>,
    queue: Mutex<RecordQueue>,
}

impl RecordBuffer {
    /// Creates a buffer of at most `limit` records and the sink that feeds it.
    pub(crate) fn new(host: Name, limit: usize) -> (Self, QueueSink) {
        let (sink, queue) = record_queue(QUEUE_LIMIT);
        let ring = RecordRing::new(host, Sampler::new(0), limit);
        (
            Self {
                ring: Mutex::new(ring),
                queue: Mutex::new(queue),
            },
            sink,
        )
    }

    /// Returns the records about a subject.
    pub(crate) fn find(&self, subject: &Subject) -> Vec<Record> {
        self.ring().find(subject).cloned().collect()
    }

    /// Uploads batches until the host stops.
    pub(crate) async fn upload(&self, objects: &ObjectClient, prefix: &str, clock: Clock) {
        let mut ticks = interval(UPLOAD_INTERVAL);
        loop {
            ticks.tick().await;
            self.flush(objects, prefix, clock).await;
        }
    }

    /// Uploads all records that are not yet uploaded, in batches, until one fails.
    pub(crate) async fn flush(&self, objects: &ObjectClient, prefix: &str, clock: Clock) {
        loop {
            let batch = self.ring().next_batch(clock.now().wall_ms);
            let Some(batch) = batch else { return };
            if !upload_batch(objects, prefix, &batch).await {
                // The next upload retries the same batch.
                return;
            }
            self.ring().confirm(batch.sequence);
        }
    }

    /// Moves the queued records into the ring and returns it.
    fn ring(&self) -> MutexGuard<'_, RecordRing> {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        self.queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain_into(&mut ring);
        ring
    }
}

async fn upload_batch(objects: &ObjectClient, prefix: &str, batch: &Batch) -> bool {
    let lines = match json_lines::encode(&batch.records) {
        Ok(lines) => lines,
        Err(error) => {
            tracing::error!(
                "records: encoding a batch failed, its records are not uploaded: {error}"
            );
            return true;
        }
    };
    let key = format!("{prefix}/{:010}.jsonl", batch.sequence);
    match objects.put(&key, lines.into()).await {
        Ok(()) => true,
        Err(error) => {
            tracing::debug!(
                "records: uploading a batch failed, retrying at the next upload: {error}"
            );
            false
        }
    }
}
