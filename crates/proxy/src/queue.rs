//! Queues requests that wait for a target of a service.

use arc_swap::ArcSwap;
use heatherhinge_policy::{Admission, Ticket, WaitQueue};
use heatherhinge_types::{MonoNs, Name, Urgency};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The wait queue of one service. Its lock is held only for single queue operations, and requests
/// are queued only when no target has capacity.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    waiting: Mutex<WaitQueue<Arc<Notify>>>,
    count: AtomicUsize,
    /// Notified when a request of this service ends on this host.
    pub(crate) request_ended: Arc<Notify>,
}

/// A place in a wait queue; dropping it leaves the queue.
#[derive(Debug)]
pub(crate) struct Place<'a> {
    queue: &'a ServiceQueue,
    ticket: Ticket,
    notify: Arc<Notify>,
}

impl ServiceQueue {
    /// Adds a request, displacing a less urgent one if the queue is full. Returns `None` when it is
    /// full of requests at least as urgent.
    pub(crate) fn enter(
        &self,
        urgency: Urgency,
        deadline_ns: MonoNs,
        limit: usize,
    ) -> Option<Place<'_>> {
        let notify = Arc::new(Notify::new());
        let mut waiting = self.lock();
        let admission = waiting.push(urgency, deadline_ns, limit, Arc::clone(&notify));
        self.count.store(waiting.len(), Ordering::Release);
        drop(waiting);
        match admission {
            Admission::Queued(ticket) => Some(Place {
                queue: self,
                ticket,
                notify,
            }),
            Admission::Displaced(ticket, other) => {
                other.notify_one();
                Some(Place {
                    queue: self,
                    ticket,
                    notify,
                })
            }
            Admission::Full => None,
        }
    }

    /// Returns whether a new request of this urgency would have to wait behind another.
    pub(crate) fn has_waiter_before(&self, urgency: Urgency) -> bool {
        // The count avoids the lock while the queue is empty, which is the usual case.
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

    /// Returns whether a more urgent request has displaced this one.
    pub(crate) fn is_displaced(&self) -> bool {
        !self.queue.lock().contains(&self.ticket)
    }

    /// Waits until the place is lost or moves to the front.
    pub(crate) async fn changed(&self) {
        self.notify.notified().await;
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

/// The wait queues of all services. Look-up takes no lock; the map is replaced when a service is
/// first used.
#[derive(Debug, Default)]
pub(crate) struct Queues(ArcSwap<BTreeMap<Name, Arc<ServiceQueue>>>);

impl Queues {
    /// Returns the queue of a service, creating it on first use.
    pub(crate) fn get(&self, service: &Name) -> Arc<ServiceQueue> {
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
        // If another thread was first, the map holds its queue.
        self.0.load().get(service).map_or(queue, Arc::clone)
    }
}
