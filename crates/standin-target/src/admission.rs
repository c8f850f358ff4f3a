//! Slots and queue of one run of the target.

use std::collections::VecDeque;
use tokio::sync::oneshot;

/// What happens to a request that arrives.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It starts at once.
    Start,
    /// It waits until the receiver yields.
    Wait(oneshot::Receiver<()>),
    /// The queue is full.
    Shed,
}

/// Slots and queue. A restart replaces the whole value.
#[derive(Debug)]
pub(crate) struct Slots {
    /// The life of the target that the slots belong to.
    pub(crate) generation: u64,
    running: u32,
    waiting: VecDeque<oneshot::Sender<()>>,
}

impl Slots {
    /// Makes the empty slots of one life of the target.
    pub(crate) fn new(generation: u64) -> Self {
        Self {
            generation,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the requests that run.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// Returns the requests that run or wait.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Decides on a request that arrives.
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

    /// Gives a slot to the next waiting request, or frees it.
    pub(crate) fn release(&mut self) {
        while let Some(waiter) = self.waiting.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        self.running = self.running.saturating_sub(1);
    }
}
