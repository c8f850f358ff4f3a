//! Queues requests that wait for a target, by urgency and deadline.

use heatherhinge_types::{MonoNs, Urgency};
use std::collections::BTreeMap;

/// Position of a waiting request: by urgency, then deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    urgency: Urgency,
    deadline_ns: MonoNs,
    arrival: u64,
}

/// Whether a request was queued.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// The request waits.
    Queued(Ticket),
    /// The request waits in place of a less urgent one, which must be refused.
    Displaced(Ticket, T),
    /// The queue is full of requests that are at least as urgent.
    Full,
}

/// A bounded queue in order of urgency and deadline.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Ticket, T>,
    arrivals: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Queues a request if fewer than `limit` wait, or if a less urgent one can be displaced.
    pub fn push(
        &mut self,
        urgency: Urgency,
        deadline_ns: MonoNs,
        limit: usize,
        waiter: T,
    ) -> Admission<T> {
        let ticket = Ticket {
            urgency,
            deadline_ns,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        if self.waiting.len() < limit {
            self.waiting.insert(ticket, waiter);
            return Admission::Queued(ticket);
        }
        match self.waiting.last_key_value() {
            Some((last, _)) if last.urgency > urgency => {
                let displaced = self.waiting.pop_last();
                self.waiting.insert(ticket, waiter);
                match displaced {
                    Some((_, other)) => Admission::Displaced(ticket, other),
                    None => Admission::Queued(ticket),
                }
            }
            _ => Admission::Full,
        }
    }

    /// Returns whether the request is the next to get a target.
    #[must_use]
    pub fn is_first(&self, ticket: &Ticket) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(first, _)| first == ticket)
    }

    /// Returns whether the request still waits; a displaced one no longer does.
    #[must_use]
    pub fn contains(&self, ticket: &Ticket) -> bool {
        self.waiting.contains_key(ticket)
    }

    /// Returns whether a new request of this urgency would have to wait behind another.
    #[must_use]
    pub fn has_waiter_before(&self, urgency: Urgency) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(first, _)| first.urgency <= urgency)
    }

    /// Returns the first waiting request.
    #[must_use]
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Removes a request that got a target or stopped waiting.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        self.waiting.remove(ticket)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
