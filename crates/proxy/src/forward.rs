//! Processes a request from its arrival to its response.

use crate::attempt::target_client;
use crate::delivery::{buffer_small, stream};
use crate::dispatcher::Dispatcher;
use crate::headers::Trace;
use crate::refusal::{RequestError, error_response};
use crate::relay::{Relay, RelayHost};
use crate::request::RequestBody;
use crate::request_context::{RequestContext, TargetResponse};
use crate::request_records::RequestRecords;
use crate::response_body::{ActiveRequest, BodyTimes};
use crate::sender::Sender;
use crate::stored_response::replay;
use crate::{Clock, Limits, Observer, PartitionOwners, ResponseBody, StreamedResponseBody};
use heatherhinge_blackboard::{Blackboard, HostPhase};
use heatherhinge_claims::{AttemptId, ClaimRequest, ClaimResponse, Outcome, Settlement};
use heatherhinge_policy::{
    AttemptOutcome, NextStep, Picker, RequestHead, RequestPlan, RetryBudget, after_attempt, plan,
};
use heatherhinge_records::{RecordEvent, RecordSink};
use heatherhinge_types::{Code, IdempotencyKey, Name, Now, Ran, header};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::sleep;
use tracing::Instrument;

/// The parts that the data path of a host is built from.
#[derive(Debug)]
pub struct ProxyParts<P, Q, S, O> {
    /// The host's shared state.
    pub board: Arc<Blackboard>,
    /// Policy for choosing a target.
    pub picker: P,
    /// Calls the owners of partitions.
    pub partition_owners: Arc<Q>,
    /// Receives decision records.
    pub records: S,
    /// Receives observations of targets.
    pub observer: O,
    /// Clock for deadlines, leases and records.
    pub clock: Clock,
    /// Limits on sizes, times and connections.
    pub limits: Limits,
    /// Seed of the random choices.
    pub seed: u64,
    /// Wall time of the host's start in milliseconds, which distinguishes its runs in claims.
    pub incarnation: u64,
}

/// The data path of a host.
#[derive(Debug)]
pub struct Proxy<P, Q, S, O> {
    board: Arc<Blackboard>,
    dispatcher: Dispatcher<P>,
    relay: Relay,
    sender: Sender<Q, O>,
    partition_owners: Arc<Q>,
    records: S,
    clock: Clock,
    limits: Limits,
    seed: u64,
    incarnation: u64,
    requests: AtomicU64,
}

impl<P, Q, S, O> Proxy<P, Q, S, O>
where
    P: Picker,
    Q: PartitionOwners,
    S: RecordSink,
    O: Observer,
{
    /// Builds the data path.
    #[must_use]
    pub fn new(parts: ProxyParts<P, Q, S, O>) -> Self {
        let ProxyParts {
            board,
            picker,
            partition_owners,
            records,
            observer,
            clock,
            limits,
            ..
        } = parts;
        let dispatcher = Dispatcher::new(Arc::clone(&board), picker, clock);
        let client = target_client(&limits);
        let relay = Relay::new(Arc::clone(&board), client.clone(), clock);
        let sender = Sender::new(
            Arc::clone(&board),
            Arc::clone(&partition_owners),
            observer,
            clock,
            client,
        );
        Self {
            board,
            dispatcher,
            relay,
            sender,
            partition_owners,
            records,
            clock,
            limits,
            seed: parts.seed,
            incarnation: parts.incarnation,
            requests: AtomicU64::new(0),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Processes one request of a caller and returns the response.
    pub async fn forward(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        self.board.counters.requests.fetch_add(1, Ordering::Relaxed);
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed.wrapping_add(number));
        let claim_attempt = AttemptId {
            incarnation: self.incarnation,
            sequence: number,
        };
        let active = ActiveRequest::begin(&self.board);
        let (head, body) = request.into_parts();
        let trace = Trace::from_headers(&head.headers, &mut rng);
        let id = trace.request_id.clone();
        let span = tracing::debug_span!("hop", request_id = %id, path = head.uri.path());
        let result = self
            .process(head, body, trace, claim_attempt, rng)
            .instrument(span)
            .await;
        let mut response = result.unwrap_or_else(|error| error_response(error, &id));
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(header::REQUEST_ID, value);
        }
        response.body_mut().hold(active);
        response
    }

    async fn process(
        self: Arc<Self>,
        head: Parts,
        body: Incoming,
        trace: Trace,
        claim_attempt: AttemptId,
        rng: Pcg64Mcg,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let now = self.clock.now();
        let basis = self.board.routing.read().value.basis;
        let mut request_records =
            RequestRecords::new(trace.request_id.clone(), self.board.host.clone());
        let (plan, body) = match self.plan_and_read(&head, body, now).await {
            Ok(read) => read,
            Err(code) => {
                request_records.add_kept(
                    now.wall_ms,
                    basis,
                    RecordEvent::Refused {
                        code: code.number(),
                    },
                );
                request_records.finish(&self.records);
                return Err(RequestError::before_claim(code, &head.headers));
            }
        };
        let mut context = RequestContext {
            digest: body.digest(&head),
            head,
            body,
            plan,
            basis,
            trace,
            request_records,
            arrived_ns: now.mono_ns,
            target_ns: 0,
            attempts: 0,
            not_after_wall_ms: None,
            rng,
        };
        if let Some(host) = self.relay.host_for(&mut context) {
            return self.relay_request(context, &host).await;
        }
        let Some(key) = context.plan.key else {
            return Ok(self.run(context).await?);
        };
        // A claimed request continues after its caller has disconnected, so that a retry gets its
        // response.
        let task = tokio::spawn(
            self.run_claimed(key, claim_attempt, context)
                .in_current_span(),
        );
        Ok(task.await.unwrap_or(Err(Code::TargetBroke))?)
    }

    async fn plan_and_read(
        &self,
        head: &Parts,
        body: Incoming,
        now: Now,
    ) -> Result<(RequestPlan, RequestBody), Code> {
        let plan = self.plan(head, now)?;
        let body = RequestBody::read(body, plan.route.body_limit_bytes, &self.limits).await?;
        Ok((plan, body))
    }

    fn plan(&self, head: &Parts, now: Now) -> Result<RequestPlan, Code> {
        let status = &self.board.counters.status;
        match status.phase() {
            HostPhase::Starting => return Err(Code::NoBundle),
            HostPhase::Draining => return Err(Code::Leaving),
            HostPhase::Serving | HostPhase::Leaving => {}
        }
        if !status.is_fresh(now.mono_ns) {
            return Err(Code::NotFresh);
        }
        let request_head = RequestHead {
            method: &head.method,
            path: head.uri.path(),
            headers: &head.headers,
        };
        plan(&request_head, &self.board.routing.read().value, now.mono_ns)
    }

    /// Relays a request to another entry host, which requests the claim if one is needed.
    async fn relay_request(
        &self,
        mut context: RequestContext,
        host: &RelayHost,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let result = self.relay.forward(&mut context, host).await;
        let result = result.map_err(|code| {
            (
                code,
                RequestError::before_claim(code, &context.head.headers),
            )
        });
        let status = result.as_ref().map(|response| response.status().as_u16());
        let times = self.body_times(&context);
        self.finish_records(context, status.map_err(|(code, _)| *code));
        result
            .map(|response| response.map(|body| StreamedResponseBody::relayed(body, times).into()))
            .map_err(|(_, error)| error)
    }

    /// Runs a request that needs no claim and streams its response.
    async fn run(&self, mut context: RequestContext) -> Result<Response<ResponseBody>, Code> {
        let result = self.run_attempts(&mut context).await;
        let times = self.body_times(&context);
        self.finish_records(context, status_of(&result));
        result.map(|target_response| stream(target_response, times))
    }

    /// Runs a request with a key under a claim.
    async fn run_claimed(
        self: Arc<Self>,
        key: IdempotencyKey,
        attempt: AttemptId,
        mut context: RequestContext,
    ) -> Result<Response<ResponseBody>, Code> {
        let sender = self.board.host.clone();
        let request = ClaimRequest {
            key,
            digest: context.digest,
            sender: sender.clone(),
            attempt,
        };
        self.board
            .counters
            .claims_sent
            .fetch_add(1, Ordering::Relaxed);
        let claim_response = self.partition_owners.claim(request).await;
        match self.apply_claim_response(key, &mut context, claim_response) {
            Ok(None) => {}
            Ok(Some(replayed)) => {
                self.finish_records(context, Ok(replayed.status().as_u16()));
                return Ok(replayed);
            }
            Err(code) => {
                self.finish_records(context, Err(code));
                return Err(code);
            }
        }
        let digest = context.digest;
        let result = self.run_attempts(&mut context).await;
        let times = self.body_times(&context);
        self.finish_records(context, status_of(&result));
        let (outcome, response) = match result {
            Ok(target_response) => buffer_small(target_response, times).await,
            Err(code) if code.ran() == Ran::No => (Outcome::NotRun, Err(code)),
            Err(code) => (Outcome::Unknown, Err(code)),
        };
        self.partition_owners
            .settle(Settlement {
                key,
                digest,
                sender,
                attempt,
                outcome,
            })
            .await;
        response
    }

    /// Applies the owner's response to a claim. Returns `None` if the request may run, or the
    /// response to replay.
    fn apply_claim_response(
        &self,
        key: IdempotencyKey,
        context: &mut RequestContext,
        claim_response: Result<ClaimResponse, Code>,
    ) -> Result<Option<Response<ResponseBody>>, Code> {
        let partition = key.partition();
        let owner = self.owner_name(key);
        let now_wall_ms = self.clock.now().wall_ms;
        match claim_response? {
            ClaimResponse::Granted { not_after_wall_ms } => {
                context.not_after_wall_ms = Some(not_after_wall_ms);
                let event = RecordEvent::Claimed {
                    partition,
                    owner,
                    not_after_wall_ms,
                };
                context
                    .request_records
                    .add(now_wall_ms, context.basis, event);
                Ok(None)
            }
            ClaimResponse::Completed(stored) => {
                let event = RecordEvent::Replayed { partition, owner };
                context
                    .request_records
                    .add_kept(now_wall_ms, context.basis, event);
                replay(stored).map(Some).ok_or(Code::KeyCompleted)
            }
            ClaimResponse::Refused { code } => {
                Err(Code::from_number(code).unwrap_or(Code::PeerMalformed))
            }
            ClaimResponse::NotOwner => Err(Code::NoOwner),
        }
    }

    fn owner_name(&self, key: IdempotencyKey) -> Name {
        let owners = self.board.owners.read();
        let owner = owners.value.owner(key.partition());
        owner.map_or_else(|| Name::from("unknown"), |owner| owner.host.clone())
    }

    /// Tries targets until one responds or the request fails. The error reports "not run" only if
    /// no attempt ran, not only the last one.
    async fn run_attempts(&self, context: &mut RequestContext) -> Result<TargetResponse, Code> {
        let mut may_have_run = None;
        let result = self.retry_loop(context, &mut may_have_run).await;
        result.map_err(|code| match may_have_run {
            Some(earlier) if code.ran() == Ran::No => earlier,
            _ => code,
        })
    }

    async fn retry_loop(
        &self,
        context: &mut RequestContext,
        may_have_run: &mut Option<Code>,
    ) -> Result<TargetResponse, Code> {
        let mut avoid: Option<Name> = None;
        loop {
            context.attempts += 1;
            let acquired = self.dispatcher.acquire(context, avoid.as_ref()).await?;
            let result = self.sender.attempt(context, &acquired).await?;
            match self.next_step(context, result.outcome) {
                NextStep::Deliver => {
                    let response = result.response.ok_or(Code::BadAnswer)?;
                    return Ok(TargetResponse { response, acquired });
                }
                NextStep::Refuse(code) => return Err(code),
                NextStep::Retry { backoff_us } => {
                    let target = acquired.chosen.in_flight.target().id.clone();
                    let code = result.outcome.code().unwrap_or(Code::BadAnswer);
                    if !result.outcome.is_not_run() {
                        *may_have_run = Some(code);
                    }
                    let event = RecordEvent::Retried {
                        target: target.clone(),
                        code: code.number(),
                        backoff_ms: backoff_us / 1_000,
                    };
                    context.request_records.add_kept(
                        self.clock.now().wall_ms,
                        context.basis,
                        event,
                    );
                    drop((result, acquired));
                    sleep(Duration::from_micros(backoff_us)).await;
                    avoid = Some(target);
                }
            }
        }
    }

    fn next_step(&self, context: &mut RequestContext, outcome: AttemptOutcome) -> NextStep {
        let bundle = self.board.bundle.read();
        let permille = bundle
            .value
            .as_ref()
            .map_or(0, |bundle| bundle.budget.retry_permille);
        let budget = RetryBudget::new(&context.plan.targets.counters, permille);
        if outcome.code().is_none() && !outcome.is_failure() {
            budget.deposit();
        }
        let now_ns = self.clock.mono_ns();
        let can_replay = context.body.can_replay();
        let attempt = context.attempts;
        after_attempt(
            &context.plan,
            outcome,
            attempt,
            can_replay,
            &budget,
            now_ns,
            &mut context.rng,
        )
    }

    fn body_times(&self, context: &RequestContext) -> BodyTimes {
        let left_ns = context.plan.deadline_ns.ns_since(self.clock.mono_ns());
        BodyTimes {
            idle: self.limits.idle(),
            left: Duration::from_nanos(left_ns),
        }
    }

    fn finish_records(&self, mut context: RequestContext, result: Result<u16, Code>) {
        let now = self.clock.now();
        let total_ns = now.mono_ns.ns_since(context.arrived_ns);
        match result {
            Ok(status) => {
                let event = RecordEvent::Answered {
                    status,
                    attempts: context.attempts,
                    total_us: total_ns / 1_000,
                    added_us: total_ns.saturating_sub(context.target_ns) / 1_000,
                };
                if status >= 500 {
                    context
                        .request_records
                        .add_kept(now.wall_ms, context.basis, event);
                } else {
                    context
                        .request_records
                        .add(now.wall_ms, context.basis, event);
                }
            }
            Err(code) => {
                context
                    .plan
                    .targets
                    .counters
                    .refusals
                    .fetch_add(1, Ordering::Relaxed);
                let event = RecordEvent::Refused {
                    code: code.number(),
                };
                context
                    .request_records
                    .add_kept(now.wall_ms, context.basis, event);
            }
        }
        context.request_records.finish(&self.records);
    }
}

fn status_of(result: &Result<TargetResponse, Code>) -> Result<u16, Code> {
    match result {
        Ok(target_response) => Ok(target_response.response.status().as_u16()),
        Err(code) => Err(*code),
    }
}
