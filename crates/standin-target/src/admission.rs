//! Admits requests to the slots and the queue of a target.

use std::collections::VecDeque;
use tokio::sync::oneshot;

/// The decision on a request that arrives.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The request starts at once.
    Start,
    /// The request waits until the receiver yields.
    Wait(oneshot::Receiver<()>),
    /// The request is rejected because the queue is full.
    Shed,
}

/// The slots and the queue. A restart that closes the connections replaces them.
#[derive(Debug)]
pub(crate) struct Slots {
    /// Number of crashes before these slots were created.
    pub(crate) generation: u64,
    running: u32,
    waiting: VecDeque<oneshot::Sender<()>>,
}

impl Slots {
    /// Creates free slots and an empty queue.
    pub(crate) fn new(generation: u64) -> Self {
        Self {
            generation,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the number of requests that run.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that run or wait.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Admits a request that arrives, or sheds it.
    pub(crate) fn admit(&mut self, slots: u32, queue_len: u32) -> Admission {
        self.waiting.retain(|waiter| !waiter.is_closed());
        if self.running < slots {
            self.running += 1;
            Admission::Start
        } else if self.waiting.len() < queue_len as usize {
            let (sender, receiver) = oneshot::channel();
            self.waiting.push_back(sender);
            Admission::Wait(receiver)
        } else {
            Admission::Shed
        }
    }

    /// Passes a slot to the next waiting request, or frees it if none waits.
    pub(crate) fn release(&mut self) {
        while let Some(waiter) = self.waiting.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        self.running = self.running.saturating_sub(1);
    }
}
