//! Requests that wait for a target of a service.

use arc_swap::ArcSwap;
use heatherhinge_policy::{Admission, Ticket, WaitQueue};
use heatherhinge_types::{MonoNs, Name, Urgency};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The wait queue of one service. Its lock is held for a push or a pop only, and requests come
/// here only when no target has room.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    waiting: Mutex<WaitQueue<Arc<Notify>>>,
    count: AtomicUsize,
    /// Notified when a request of this service has ended on this host.
    pub(crate) ended: Arc<Notify>,
}

/// A place in a wait queue, given up when dropped.
#[derive(Debug)]
pub(crate) struct Place<'a> {
    queue: &'a ServiceQueue,
    ticket: Ticket,
    displaced: Arc<Notify>,
}

impl ServiceQueue {
    /// Takes a place, or `None` when the queue is full of requests as urgent as this one.
    pub(crate) fn enter(
        &self,
        urgency: Urgency,
        deadline_ns: MonoNs,
        limit: usize,
    ) -> Option<Place<'_>> {
        let displaced = Arc::new(Notify::new());
        let mut waiting = self.lock();
        let admission = waiting.push(urgency, deadline_ns, limit, Arc::clone(&displaced));
        self.count.store(waiting.len(), Ordering::Release);
        drop(waiting);
        match admission {
            Admission::Queued(ticket) => Some(Place {
                queue: self,
                ticket,
                displaced,
            }),
            Admission::Displaced(ticket, other) => {
                other.notify_one();
                Some(Place {
                    queue: self,
                    ticket,
                    displaced,
                })
            }
            Admission::Full => None,
        }
    }

    /// Returns whether a new request would have to wait behind another.
    pub(crate) fn has_waiter_before(&self, urgency: Urgency) -> bool {
        // The count spares the lock while nothing waits, which is the usual case.
        self.count.load(Ordering::Acquire) > 0 && self.lock().has_waiter_before(urgency)
    }

    fn lock(&self) -> MutexGuard<'_, WaitQueue<Arc<Notify>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Returns whether the request is the next to get a target.
    pub(crate) fn is_first(&self) -> bool {
        self.queue.lock().is_first(&self.ticket)
    }

    /// Returns whether a more urgent request has taken this place.
    pub(crate) fn is_displaced(&self) -> bool {
        !self.queue.lock().contains(&self.ticket)
    }

    /// Waits until the place is lost or becomes the first.
    pub(crate) async fn changed(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut waiting = self.queue.lock();
        waiting.remove(&self.ticket);
        self.queue.count.store(waiting.len(), Ordering::Release);
        if let Some(first) = waiting.first() {
            first.notify_one();
        }
    }
}

/// The wait queues of all services. Finding one takes no lock; the map is replaced when a service is
/// first used.
#[derive(Debug, Default)]
pub(crate) struct Queues(ArcSwap<BTreeMap<Name, Arc<ServiceQueue>>>);

impl Queues {
    /// Returns the queue of a service.
    pub(crate) fn of(&self, service: &Name) -> Arc<ServiceQueue> {
        if let Some(queue) = self.0.load().get(service) {
            return Arc::clone(queue);
        }
        let queue = Arc::new(ServiceQueue::default());
        self.0.rcu(|queues| {
            let mut queues = BTreeMap::clone(queues);
            queues
                .entry(service.clone())
                .or_insert_with(|| Arc::clone(&queue));
            queues
        });
        // Another thread may have been first; its queue is then the one in the map.
        self.0.load().get(service).map_or(queue, Arc::clone)
    }
}
