//! Bounded queue from the threads that make decisions to the thread that owns the ring.

use crate::{Record, RecordRing, RecordSink};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// A sink that never blocks: when the queue is full, the record is dropped and counted.
#[derive(Clone, Debug)]
pub struct QueueSink {
    sender: SyncSender<Record>,
    lost: Arc<AtomicU64>,
}

/// The receiving end of the queue, for the owner of the ring.
#[derive(Debug)]
pub struct RecordQueue {
    receiver: Receiver<Record>,
    lost: Arc<AtomicU64>,
}

/// Returns both ends of a queue for at most `capacity` records, and at least one.
#[must_use]
pub fn record_queue(capacity: usize) -> (QueueSink, RecordQueue) {
    let (sender, receiver) = sync_channel(capacity.max(1));
    let lost = Arc::new(AtomicU64::new(0));
    let sink = QueueSink {
        sender,
        lost: Arc::clone(&lost),
    };
    (sink, RecordQueue { receiver, lost })
}

impl RecordSink for QueueSink {
    fn record(&self, record: Record) {
        if self.sender.try_send(record).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl RecordQueue {
    /// Moves the queued records and the count of dropped ones into the ring, without blocking.
    /// Returns the number of records moved.
    pub fn drain_into(&self, ring: &mut RecordRing) -> usize {
        let mut moved = 0;
        for record in self.receiver.try_iter() {
            ring.push(record);
            moved += 1;
        }
        ring.count_lost(self.lost.swap(0, Ordering::Relaxed));
        moved
    }
}
