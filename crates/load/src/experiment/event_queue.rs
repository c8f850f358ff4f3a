//! A queue of events in the order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of events. Events at the same time are popped in the order in which they were pushed.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(u64, u64, E)>>,
    next_number: u64,
}

impl<E: Ord> EventQueue<E> {
    /// Makes an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_number: 0,
        }
    }

    /// Adds an event at a virtual time in nanoseconds.
    pub(crate) fn push(&mut self, at_ns: u64, event: E) {
        self.heap.push(Reverse((at_ns, self.next_number, event)));
        self.next_number += 1;
    }

    /// Removes and returns the next event with its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, E)> {
        self.heap
            .pop()
            .map(|Reverse((at_ns, _, event))| (at_ns, event))
    }
}
