//! Sends attempts to targets and reports the results to counters, observer and partition owners.

use crate::attempt::{AttemptResult, TargetClient, attempt_request, send};
use crate::headers::{AttemptHeaders, strip_refusal_headers};
use crate::request_context::{AcquiredTarget, RequestContext};
use crate::{Clock, Observation, ObservationKind, Observer, PartitionOwners};
use heatherhinge_blackboard::{Blackboard, RouteCounters, TargetCell};
use heatherhinge_policy::AttemptOutcome;
use heatherhinge_records::RecordEvent;
use heatherhinge_types::{Code, MonoNs};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Sends attempts.
#[derive(Debug)]
pub(crate) struct Sender<Q, O> {
    board: Arc<Blackboard>,
    client: TargetClient,
    partition_owners: Arc<Q>,
    observer: O,
    clock: Clock,
}

impl<Q: PartitionOwners, O: Observer> Sender<Q, O> {
    pub(crate) fn new(
        board: Arc<Blackboard>,
        partition_owners: Arc<Q>,
        observer: O,
        clock: Clock,
        client: TargetClient,
    ) -> Self {
        Self {
            board,
            client,
            partition_owners,
            observer,
            clock,
        }
    }

    /// Sends one attempt, waits for the response head and reports the result.
    ///
    /// # Errors
    ///
    /// A code with [`Ran::No`](heatherhinge_types::Ran::No): nothing has been sent.
    pub(crate) async fn attempt(
        &self,
        context: &mut RequestContext,
        acquired: &AcquiredTarget,
    ) -> Result<AttemptResult, Code> {
        self.check_quarantine(context)?;
        self.record_choice(context, acquired);
        let result = self.send(context, acquired).await?;
        self.observe_result(context, acquired, &result).await;
        Ok(result)
    }

    fn check_quarantine(&self, context: &RequestContext) -> Result<(), Code> {
        let now_wall_ms = self.clock.now().wall_ms;
        if self
            .board
            .quarantine
            .read()
            .value
            .is_quarantined(context.digest, now_wall_ms)
        {
            return Err(Code::Quarantined);
        }
        Ok(())
    }

    async fn send(
        &self,
        context: &mut RequestContext,
        acquired: &AcquiredTarget,
    ) -> Result<AttemptResult, Code> {
        let target = acquired.chosen.in_flight.target();
        let remaining_ns = context.plan.deadline_ns.ns_since(self.clock.mono_ns());
        if remaining_ns == 0 {
            return Err(Code::DeadlineTooShort);
        }
        let headers = AttemptHeaders {
            deadline_ms: (remaining_ns / 1_000_000).max(1),
            not_after_wall_ms: context.not_after_wall_ms.map(|not_after| not_after.0),
            attempt: context.attempts.max(context.plan.caller_attempt),
        };
        let body = context.body.for_attempt().ok_or(Code::BrokenRequestBody)?;
        let request = attempt_request(
            &context.head,
            body,
            target.addr,
            &context.trace,
            headers,
            &mut context.rng,
        )
        .map_err(|_| Code::BadRequestHead)?;
        // Checked last before sending: the lease of a claim may have ended while the host was
        // paused.
        let sent = self.clock.now();
        if context
            .not_after_wall_ms
            .is_some_and(|not_after| sent.wall_ms >= not_after)
        {
            return Ok(AttemptResult::no_response(AttemptOutcome::LeaseEnded));
        }
        let mut result = send(&self.client, request, Duration::from_nanos(remaining_ns)).await;
        if let Some(response) = &mut result.response {
            strip_refusal_headers(response.headers_mut());
        }
        result.latency_ns = self.clock.mono_ns().ns_since(sent.mono_ns);
        context.target_ns += result.latency_ns;
        Ok(result)
    }

    fn record_choice(&self, context: &mut RequestContext, acquired: &AcquiredTarget) {
        let now = self.clock.now();
        let target = acquired.chosen.in_flight.target();
        let sample = target.sample(now.mono_ns);
        let event = RecordEvent::Chosen {
            service: context.plan.targets.service.name.clone(),
            route: context.plan.route.name.clone(),
            target: target.id.clone(),
            zone: target.zone.clone(),
            version: acquired.chosen.version.clone(),
            attempt: context.attempts,
            is_cold: acquired.chosen.is_cold,
            own_in_flight: sample.own_in_flight,
            reported_in_flight: sample.reported_in_flight,
            candidates: u32::try_from(acquired.chosen.candidates).unwrap_or(u32::MAX),
        };
        context
            .request_records
            .add(now.wall_ms, context.basis, event);
    }

    async fn observe_result(
        &self,
        context: &RequestContext,
        acquired: &AcquiredTarget,
        result: &AttemptResult,
    ) {
        let target = acquired.chosen.in_flight.target();
        let now_ns = self.clock.mono_ns();
        let restarted = result
            .report
            .and_then(|report| target.record_answer(report, now_ns));
        if result.report.is_some_and(|report| report.is_leaving) {
            self.observe(target, ObservationKind::Leaving);
        }
        if restarted.is_some() {
            self.observe(target, ObservationKind::Restarted);
        }
        if result.outcome.is_failure() {
            self.observe_failure(context, acquired, result, now_ns)
                .await;
        } else if matches!(result.outcome, AttemptOutcome::Answered { .. }) {
            self.observe_success(context, acquired, result, now_ns)
                .await;
        }
    }

    async fn observe_success(
        &self,
        context: &RequestContext,
        acquired: &AcquiredTarget,
        result: &AttemptResult,
        now: MonoNs,
    ) {
        let target = acquired.chosen.in_flight.target();
        target.record_success(result.latency_ns, now);
        let service_time_ns = &context.plan.targets.counters.service_time_ns;
        let old = service_time_ns.load(Ordering::Relaxed);
        service_time_ns.store(old - old / 16 + result.latency_ns / 16, Ordering::Relaxed);
        if acquired.chosen.is_cold {
            self.observe(
                target,
                ObservationKind::ColdResponse {
                    latency_ns: result.latency_ns,
                },
            );
        }
        if let Some(route) = move_route(context) {
            let (is_new, is_cold) = (acquired.chosen.is_new_version, acquired.chosen.is_cold);
            route.count_good(is_new, result.latency_ns, is_cold);
        }
        if self
            .board
            .quarantine
            .read()
            .value
            .suspects
            .contains(&context.digest)
        {
            self.partition_owners.report_success(context.digest).await;
        }
    }

    async fn observe_failure(
        &self,
        context: &RequestContext,
        acquired: &AcquiredTarget,
        result: &AttemptResult,
        now: MonoNs,
    ) {
        let target = acquired.chosen.in_flight.target();
        target.record_failure(now);
        // A shed request means that the target is full, not that its version is bad.
        if result.outcome != AttemptOutcome::Shed
            && let Some(route) = move_route(context)
        {
            route.count_failed(acquired.chosen.is_new_version);
        }
        if acquired.chosen.is_cold {
            self.observe(target, ObservationKind::ColdFailure);
        }
        match result.outcome {
            AttemptOutcome::Unreachable => self.observe(target, ObservationKind::Unreachable),
            AttemptOutcome::Broke => {
                self.observe(
                    target,
                    ObservationKind::Broke {
                        digest: context.digest,
                    },
                );
                // The owner must count the crash before a retry by this host or the caller can
                // reach another target.
                self.partition_owners
                    .report_crash(context.digest, target)
                    .await;
            }
            _ => {}
        }
    }

    fn observe(&self, target: &Arc<TargetCell>, kind: ObservationKind) {
        self.observer.observe(Observation {
            target: Arc::clone(target),
            kind,
        });
    }
}

fn move_route(context: &RequestContext) -> Option<&RouteCounters> {
    context
        .plan
        .targets
        .move_counters
        .as_ref()?
        .routes
        .get(&context.plan.route.name)
}
