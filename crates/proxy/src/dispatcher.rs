//! Acquires a target for a request, queueing the request if no target has capacity.

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

/// Longest time between two checks by the first request in a queue: requests of other hosts may
/// have ended without a notification here.
const RECHECK: Duration = Duration::from_millis(2);

/// Acquires targets for requests.
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

    /// Acquires a target, waiting in order of urgency and deadline if none has capacity.
    pub(crate) async fn acquire(
        &self,
        context: &mut RequestContext,
        avoid: Option<&Name>,
    ) -> Result<AcquiredTarget, Code> {
        let queue = self.queues.get(&context.plan.targets.service.name);
        if !queue.has_waiter_before(context.plan.urgency)
            && let Some(chosen) = self.choose(context, avoid)?
        {
            return Ok(acquired(chosen, &queue));
        }
        let chosen = self.wait(context, avoid, &queue).await?;
        Ok(acquired(chosen, &queue))
    }

    async fn wait(
        &self,
        context: &mut RequestContext,
        avoid: Option<&Name>,
        queue: &ServiceQueue,
    ) -> Result<Chosen, Code> {
        let service = Arc::clone(&context.plan.targets.service);
        let began_ns = self.clock.mono_ns();
        let give_up_ns = give_up_ns(context, began_ns, service.queue_ms);
        let limit = usize::try_from(service.queue_len).unwrap_or(usize::MAX);
        let place = queue
            .enter(context.plan.urgency, context.plan.deadline_ns, limit)
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
            if is_first && let Some(chosen) = self.choose(context, avoid)? {
                let event = RecordEvent::Waited {
                    service: service.name.clone(),
                    waited_ms: now_ns.ms_since(began_ns),
                    urgency: context.plan.urgency.level(),
                };
                context
                    .request_records
                    .add(self.clock.now().wall_ms, context.basis, event);
                return Ok(chosen);
            }
            let remaining = Duration::from_nanos(give_up_ns.ns_since(now_ns));
            tokio::select! {
                () = place.changed() => {}
                () = queue.request_ended.notified(), if is_first => {}
                () = sleep(if is_first { RECHECK.min(remaining) } else { remaining }) => {}
            }
        }
    }

    /// Chooses from the current snapshot, which may be newer than the one the plan was made from.
    /// Returns `None` if the request has to wait.
    fn choose(
        &self,
        context: &mut RequestContext,
        avoid: Option<&Name>,
    ) -> Result<Option<Chosen>, Code> {
        let snapshot = self.board.routing.read();
        let service = &context.plan.targets.service.name;
        let targets = snapshot
            .value
            .services
            .get(service)
            .ok_or(Code::UnknownService)?;
        if !Arc::ptr_eq(targets, &context.plan.targets) {
            context.plan.targets = Arc::clone(targets);
        }
        context.basis = snapshot.value.basis;
        drop(snapshot);
        let now_ns = self.clock.mono_ns();
        match choose(
            &mut context.plan,
            avoid,
            &self.picker,
            now_ns,
            &mut context.rng,
        ) {
            Choice::Send(chosen) => Ok(Some(chosen)),
            Choice::Wait => Ok(None),
            Choice::Refuse(code) => Err(code),
        }
    }
}

/// Returns when a waiting request is rejected: the time after which a target could no longer
/// respond before the deadline, or the end of the service's queue time if that is earlier.
fn give_up_ns(context: &RequestContext, now_ns: MonoNs, queue_ms: u64) -> MonoNs {
    let counters = &context.plan.targets.counters;
    let service_time_ns = counters
        .service_time_ns
        .load(std::sync::atomic::Ordering::Relaxed);
    let latest_ns = MonoNs(context.plan.deadline_ns.0.saturating_sub(service_time_ns));
    latest_ns.min(now_ns.plus_ms(queue_ms))
}

fn acquired(chosen: Chosen, queue: &ServiceQueue) -> AcquiredTarget {
    AcquiredTarget {
        chosen,
        wake: WakeOnDrop(Arc::clone(&queue.request_ended)),
    }
}
