//! Keeps the newest records in memory and writes them to the object store.

use heatherhinge_platform::{ObjectClient, ObjectStore};
use heatherhinge_proxy::Clock;
use heatherhinge_records::{
    Batch, QueueSink, Record, RecordQueue, RecordRing, Sampler, Subject, json_lines, record_queue,
};
use heatherhinge_types::Name;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::interval;

/// Time between two batches.
const UPLOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Records that may wait for the keeper between two looks; a busy host makes a few thousand.
const QUEUE_LIMIT: usize = 16_384;

/// The records of this host.
#[derive(Debug)]
pub(crate) struct RecordBuffer {
    ring: Mutex<RecordRing>,
    queue: Mutex<RecordQueue>,
}

impl RecordBuffer {
    /// Makes the keeper and the sink that feeds it.
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

    /// Uploads what is in memory and not yet uploaded, one batch after another.
    pub(crate) async fn flush(&self, objects: &ObjectClient, prefix: &str, clock: Clock) {
        loop {
            let batch = self.ring().next_batch(clock.now().wall_ms);
            let Some(batch) = batch else { return };
            if !put(objects, prefix, &batch).await {
                // The same batch is handed out again at the next look.
                return;
            }
            self.ring().confirm(batch.sequence);
        }
    }

    /// Returns the ring with all records that have been handed in.
    fn ring(&self) -> MutexGuard<'_, RecordRing> {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        self.queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain_into(&mut ring);
        ring
    }
}

async fn put(objects: &ObjectClient, prefix: &str, batch: &Batch) -> bool {
    let lines = match json_lines::encode(&batch.records) {
        Ok(lines) => lines,
        Err(error) => {
            tracing::error!("records: a batch cannot be encoded: {error}");
            return true;
        }
    };
    let key = format!("{prefix}/{:010}.jsonl", batch.sequence);
    match objects.put(&key, lines.into()).await {
        Ok(()) => true,
        Err(error) => {
            tracing::debug!("records: a batch waits in memory: {error}");
            false
        }
    }
}
