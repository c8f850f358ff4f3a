//! Finds a target for a request, now or after a wait.

use crate::Clock;
use crate::queue::{Queues, ServiceQueue};
use crate::request_context::{AcquiredTarget, RequestContext};
use crate::response_body::WakeOnDrop;
use heatherhinge_blackboard::Blackboard;
use heatherhinge_policy::{Choice, Chosen, Picker, choose};
use heatherhinge_records::RecordEvent;
use heatherhinge_types::{Code, MonoNs, Name};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// A waiting request looks again after this time even if no request of this host has ended,
/// because requests of other hosts may have.
const RECHECK: Duration = Duration::from_millis(2);

/// Finds targets for requests.
#[derive(Debug)]
pub(crate) struct Dispatcher<P> {
    board: Arc<Blackboard>,
    picker: P,
    clock: Clock,
    queues: Queues,
}

impl<P: Picker> Dispatcher<P> {
    pub(crate) fn new(board: Arc<Blackboard>, picker: P, clock: Clock) -> Self {
        Self {
            board,
            picker,
            clock,
            queues: Queues::default(),
        }
    }

    /// Gets a target for a request, waiting in the order of urgency and deadline if none has room.
    pub(crate) async fn acquire(
        &self,
        call: &mut RequestContext,
        avoid: Option<&Name>,
    ) -> Result<AcquiredTarget, Code> {
        let queue = self.queues.of(&call.plan.targets.service.name);
        if !queue.has_waiter_before(call.plan.urgency)
            && let Some(chosen) = self.choose(call, avoid)?
        {
            return Ok(held(chosen, &queue));
        }
        let chosen = self.wait(call, avoid, &queue).await?;
        Ok(held(chosen, &queue))
    }

    async fn wait(
        &self,
        call: &mut RequestContext,
        avoid: Option<&Name>,
        queue: &ServiceQueue,
    ) -> Result<Chosen, Code> {
        let service = Arc::clone(&call.plan.targets.service);
        let began_ns = self.clock.mono_ns();
        let give_up_ns = give_up_ns(call, began_ns, service.queue_ms);
        let limit = usize::try_from(service.queue_len).unwrap_or(usize::MAX);
        let place = queue
            .enter(call.plan.urgency, call.plan.deadline_ns, limit)
            .ok_or(Code::QueueFull)?;
        loop {
            let now_ns = self.clock.mono_ns();
            if place.is_displaced() {
                return Err(Code::QueueFull);
            }
            if now_ns >= give_up_ns {
                return Err(Code::DeadlineTooShort);
            }
            let is_first = place.is_first();
            if is_first && let Some(chosen) = self.choose(call, avoid)? {
                let event = RecordEvent::Waited {
                    service: service.name.clone(),
                    waited_ms: now_ns.ms_since(began_ns),
                    urgency: call.plan.urgency.level(),
                };
                call.request_records
                    .add(self.clock.now().wall_ms, call.basis, event);
                return Ok(chosen);
            }
            let left = Duration::from_nanos(give_up_ns.ns_since(now_ns));
            tokio::select! {
                () = place.changed() => {}
                () = queue.ended.notified(), if is_first => {}
                () = sleep(if is_first { RECHECK.min(left) } else { left }) => {}
            }
        }
    }

    /// Chooses from the snapshot in force, which may be newer than the one the plan was made from.
    fn choose(
        &self,
        call: &mut RequestContext,
        avoid: Option<&Name>,
    ) -> Result<Option<Chosen>, Code> {
        let snapshot = self.board.routing.read();
        let service = &call.plan.targets.service.name;
        let targets = snapshot
            .value
            .services
            .get(service)
            .ok_or(Code::UnknownService)?;
        if !Arc::ptr_eq(targets, &call.plan.targets) {
            call.plan.targets = Arc::clone(targets);
        }
        call.basis = snapshot.value.basis;
        drop(snapshot);
        let now_ns = self.clock.mono_ns();
        match choose(&mut call.plan, avoid, &self.picker, now_ns, &mut call.rng) {
            Choice::Send(chosen) => Ok(Some(chosen)),
            Choice::Wait => Ok(None),
            Choice::Refuse(code) => Err(code),
        }
    }
}

/// Returns when a waiting request is refused: when its target could no longer answer in time.
fn give_up_ns(call: &RequestContext, now_ns: MonoNs, queue_ms: u64) -> MonoNs {
    let counters = &call.plan.targets.counters;
    let service_time_ns = counters
        .service_time_ns
        .load(std::sync::atomic::Ordering::Relaxed);
    let latest_ns = MonoNs(call.plan.deadline_ns.0.saturating_sub(service_time_ns));
    latest_ns.min(now_ns.plus_ms(queue_ms))
}

fn held(chosen: Chosen, queue: &ServiceQueue) -> AcquiredTarget {
    AcquiredTarget {
        chosen,
        wake: WakeOnDrop(Arc::clone(&queue.ended)),
    }
}
