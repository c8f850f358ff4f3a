//! Sends attempts to targets and takes in what they show.

use crate::attempt::{AttemptResult, TargetClient, attempt_request, send};
use crate::headers::AttemptHeaders;
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
    peers: Arc<Q>,
    observer: O,
    clock: Clock,
}

impl<Q: PartitionOwners, O: Observer> Sender<Q, O> {
    pub(crate) fn new(
        board: Arc<Blackboard>,
        peers: Arc<Q>,
        observer: O,
        clock: Clock,
        client: TargetClient,
    ) -> Self {
        Self {
            board,
            client,
            peers,
            observer,
            clock,
        }
    }

    /// Sends one attempt, waits for the head of the answer and takes in what it shows.
    ///
    /// # Errors
    ///
    /// A code that says "not run": nothing has been sent.
    pub(crate) async fn attempt(
        &self,
        call: &mut RequestContext,
        held: &AcquiredTarget,
    ) -> Result<AttemptResult, Code> {
        self.check_quarantine(call)?;
        self.record_choice(call, held);
        let result = self.send(call, held).await?;
        self.learn(call, held, &result).await;
        Ok(result)
    }

    fn check_quarantine(&self, call: &RequestContext) -> Result<(), Code> {
        let now_wall_ms = self.clock.now().wall_ms;
        if self
            .board
            .quarantine
            .read()
            .value
            .is_quarantined(call.digest, now_wall_ms)
        {
            return Err(Code::Quarantined);
        }
        Ok(())
    }

    async fn send(
        &self,
        call: &mut RequestContext,
        held: &AcquiredTarget,
    ) -> Result<AttemptResult, Code> {
        let target = held.chosen.in_flight.target();
        let left_ns = call.plan.deadline_ns.ns_since(self.clock.mono_ns());
        if left_ns == 0 {
            return Err(Code::DeadlineTooShort);
        }
        let headers = AttemptHeaders {
            deadline_ms: (left_ns / 1_000_000).max(1),
            not_after_wall_ms: call.not_after_wall_ms.map(|not_after| not_after.0),
            attempt: call.attempts.max(call.plan.caller_attempt),
        };
        let body = call.body.for_attempt().ok_or(Code::BrokenRequestBody)?;
        let request = attempt_request(
            &call.head,
            body,
            target.addr,
            &call.trace,
            headers,
            &mut call.rng,
        )
        .map_err(|_| Code::BadRequestHead)?;
        // The last step before sending: a host that was paused must not use a claim whose lease
        // has ended meanwhile.
        let sent = self.clock.now();
        if call
            .not_after_wall_ms
            .is_some_and(|not_after| sent.wall_ms >= not_after)
        {
            return Ok(AttemptResult::nothing(AttemptOutcome::LeaseEnded));
        }
        let mut result = send(&self.client, request, Duration::from_nanos(left_ns)).await;
        result.latency_ns = self.clock.mono_ns().ns_since(sent.mono_ns);
        call.target_ns += result.latency_ns;
        Ok(result)
    }

    fn record_choice(&self, call: &mut RequestContext, held: &AcquiredTarget) {
        let now = self.clock.now();
        let target = held.chosen.in_flight.target();
        let sample = target.sample(now.mono_ns);
        let event = RecordEvent::Chosen {
            service: call.plan.targets.service.name.clone(),
            route: call.plan.route.name.clone(),
            target: target.id.clone(),
            zone: target.zone.clone(),
            version: held.chosen.version.clone(),
            attempt: call.attempts,
            is_cold: held.chosen.is_cold,
            own_in_flight: sample.own_in_flight,
            reported_in_flight: sample.reported_in_flight,
            candidates: u32::try_from(held.chosen.candidates).unwrap_or(u32::MAX),
        };
        call.request_records.add(now.wall_ms, call.basis, event);
    }

    async fn learn(&self, call: &RequestContext, held: &AcquiredTarget, result: &AttemptResult) {
        let target = held.chosen.in_flight.target();
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
            self.learn_failure(call, held, result, now_ns).await;
        } else if matches!(result.outcome, AttemptOutcome::Answered { .. }) {
            self.learn_success(call, held, result, now_ns).await;
        }
    }

    async fn learn_success(
        &self,
        call: &RequestContext,
        held: &AcquiredTarget,
        result: &AttemptResult,
        now: MonoNs,
    ) {
        let target = held.chosen.in_flight.target();
        target.record_success(result.latency_ns, now);
        let service_time_ns = &call.plan.targets.counters.service_time_ns;
        let old = service_time_ns.load(Ordering::Relaxed);
        service_time_ns.store(old - old / 16 + result.latency_ns / 16, Ordering::Relaxed);
        if held.chosen.is_cold {
            self.observe(
                target,
                ObservationKind::ColdAnswer {
                    latency_ns: result.latency_ns,
                },
            );
        }
        if let Some(route) = move_route(call) {
            let (is_new, is_cold) = (held.chosen.is_new_version, held.chosen.is_cold);
            route.count_good(is_new, result.latency_ns, is_cold);
        }
        if self
            .board
            .quarantine
            .read()
            .value
            .suspects
            .contains(&call.digest)
        {
            self.peers.report_success(call.digest).await;
        }
    }

    async fn learn_failure(
        &self,
        call: &RequestContext,
        held: &AcquiredTarget,
        result: &AttemptResult,
        now: MonoNs,
    ) {
        let target = held.chosen.in_flight.target();
        target.record_failure(now);
        // A shed request says that the target is full, not that its version is bad.
        if result.outcome != AttemptOutcome::Shed
            && let Some(route) = move_route(call)
        {
            route.count_failed(held.chosen.is_new_version);
        }
        if held.chosen.is_cold {
            self.observe(target, ObservationKind::ColdFailure);
        }
        match result.outcome {
            AttemptOutcome::Unreachable => self.observe(target, ObservationKind::Unreachable),
            AttemptOutcome::Broke => {
                self.observe(
                    target,
                    ObservationKind::Broke {
                        digest: call.digest,
                    },
                );
                // The owner must count the crash before a retry or a resend can reach a target.
                self.peers.report_crash(call.digest, target).await;
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

fn move_route(call: &RequestContext) -> Option<&RouteCounters> {
    call.plan
        .targets
        .move_counters
        .as_ref()?
        .routes
        .get(&call.plan.route.name)
}
