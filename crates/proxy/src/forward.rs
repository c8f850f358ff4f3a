//! A request from its arrival to its answer.

use crate::attempt::target_client;
use crate::dispatcher::Dispatcher;
use crate::headers::Trace;
use crate::refusal::{Refused, refusal};
use crate::relay::{Relay, RelayHost};
use crate::request::RequestBody;
use crate::request_context::{Answered, RequestContext};
use crate::request_records::RequestRecords;
use crate::response_body::ActiveRequest;
use crate::sender::Sender;
use crate::stored_response::{STORED_BODY_MAX_BYTES, replay, stored_response};
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
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::Instrument;

/// What the data path of a host is made of.
#[derive(Debug)]
pub struct ProxyParts<P, Q, S, O> {
    /// State of the host.
    pub board: Arc<Blackboard>,
    /// Policy for choosing a target.
    pub picker: P,
    /// Owners of partitions.
    pub peers: Arc<Q>,
    /// Takes decision records.
    pub records: S,
    /// Takes observations of targets.
    pub observer: O,
    /// Clocks.
    pub clock: Clock,
    /// Limits.
    pub limits: Limits,
    /// Seed of the random choices.
    pub seed: u64,
    /// Wall time of the host's start in milliseconds, which tells its runs apart in claims.
    pub incarnation: u64,
}

/// The data path of a host.
#[derive(Debug)]
pub struct Proxy<P, Q, S, O> {
    board: Arc<Blackboard>,
    dispatcher: Dispatcher<P>,
    relay: Relay,
    sender: Sender<Q, O>,
    peers: Arc<Q>,
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
    /// Makes the data path.
    #[must_use]
    pub fn new(parts: ProxyParts<P, Q, S, O>) -> Self {
        let ProxyParts {
            board,
            picker,
            peers,
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
            Arc::clone(&peers),
            observer,
            clock,
            client,
        );
        Self {
            board,
            dispatcher,
            relay,
            sender,
            peers,
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

    /// Answers one request of a caller.
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
        let trace = Trace::of(&head.headers, &mut rng);
        let id = trace.request_id.clone();
        let span = tracing::debug_span!("hop", request_id = %id, path = head.uri.path());
        let answer = self
            .accept(head, body, trace, claim_attempt, rng)
            .instrument(span)
            .await;
        let mut response = answer.unwrap_or_else(|refused| refusal(refused, &id));
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(header::REQUEST_ID, value);
        }
        response.body_mut().hold(active);
        response
    }

    async fn accept(
        self: Arc<Self>,
        head: Parts,
        body: Incoming,
        trace: Trace,
        claim_attempt: AttemptId,
        rng: Pcg64Mcg,
    ) -> Result<Response<ResponseBody>, Refused> {
        let now = self.clock.now();
        let basis = self.board.routing.read().value.basis;
        let mut request_records =
            RequestRecords::new(trace.request_id.clone(), self.board.host.clone());
        let (plan, body) = match self.read(&head, body, now).await {
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
                return Err(Refused::before_claim(code, &head.headers));
            }
        };
        let mut call = RequestContext {
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
        if let Some(host) = self.relay.host_for(&mut call) {
            return self.run_elsewhere(call, &host).await;
        }
        let Some(key) = call.plan.key else {
            return Ok(self.run(call).await?);
        };
        // A claimed request goes on when its caller has left, so that a resend finds its answer.
        let task = tokio::spawn(self.run_claimed(key, claim_attempt, call).in_current_span());
        Ok(task.await.unwrap_or(Err(Code::TargetBroke))?)
    }

    async fn read(
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
        let facts = RequestHead {
            method: &head.method,
            path: head.uri.path(),
            headers: &head.headers,
        };
        plan(&facts, &self.board.routing.read().value, now.mono_ns)
    }

    /// Passes a request to another entry host, which takes the claim if one is needed.
    async fn run_elsewhere(
        &self,
        mut call: RequestContext,
        host: &RelayHost,
    ) -> Result<Response<ResponseBody>, Refused> {
        let result = self.relay.pass(&mut call, host).await;
        let result = result.map_err(|code| (code, Refused::before_claim(code, &call.head.headers)));
        let status = result.as_ref().map(|response| response.status().as_u16());
        self.close_story(call, status.map_err(|(code, _)| *code));
        let idle = self.limits.idle();
        result
            .map(|response| response.map(|body| StreamedResponseBody::passed_on(body, idle).into()))
            .map_err(|(_, refused)| refused)
    }

    /// Runs a request that needs no claim and passes its answer on.
    async fn run(&self, mut call: RequestContext) -> Result<Response<ResponseBody>, Code> {
        let result = self.attempts(&mut call).await;
        self.close_story(call, status_of(&result));
        result.map(|answered| self.stream(answered))
    }

    /// Runs a request with a key under a claim.
    async fn run_claimed(
        self: Arc<Self>,
        key: IdempotencyKey,
        attempt: AttemptId,
        mut call: RequestContext,
    ) -> Result<Response<ResponseBody>, Code> {
        let sender = self.board.host.clone();
        let request = ClaimRequest {
            key,
            digest: call.digest,
            sender: sender.clone(),
            attempt,
        };
        self.board
            .counters
            .claims_sent
            .fetch_add(1, Ordering::Relaxed);
        let answer = self.peers.claim(request).await;
        match self.take_claim(key, &mut call, answer) {
            Ok(None) => {}
            Ok(Some(replayed)) => {
                self.close_story(call, Ok(replayed.status().as_u16()));
                return Ok(replayed);
            }
            Err(code) => {
                self.close_story(call, Err(code));
                return Err(code);
            }
        }
        let digest = call.digest;
        let result = self.attempts(&mut call).await;
        self.close_story(call, status_of(&result));
        let (outcome, response) = match result {
            Ok(answered) => self.collect(answered).await,
            Err(code) if code.ran() == Ran::No => (Outcome::NotRun, Err(code)),
            Err(code) => (Outcome::Unknown, Err(code)),
        };
        self.peers
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

    /// Takes the owner's answer: `None` means that the request may run.
    fn take_claim(
        &self,
        key: IdempotencyKey,
        call: &mut RequestContext,
        answer: Result<ClaimResponse, Code>,
    ) -> Result<Option<Response<ResponseBody>>, Code> {
        let partition = key.partition();
        let owner = self.owner_name(key);
        let now_wall_ms = self.clock.now().wall_ms;
        match answer? {
            ClaimResponse::Granted { not_after_wall_ms } => {
                call.not_after_wall_ms = Some(not_after_wall_ms);
                let event = RecordEvent::Claimed {
                    partition,
                    owner,
                    not_after_wall_ms,
                };
                call.request_records.add(now_wall_ms, call.basis, event);
                Ok(None)
            }
            ClaimResponse::Completed(stored) => {
                let event = RecordEvent::Replayed { partition, owner };
                call.request_records
                    .add_kept(now_wall_ms, call.basis, event);
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

    /// Tries targets until one answers or the request is refused. A refusal says "not run" only if
    /// that is true of every attempt, not of the last one alone.
    async fn attempts(&self, call: &mut RequestContext) -> Result<Answered, Code> {
        let mut may_have_run = None;
        let result = self.attempts_in_turn(call, &mut may_have_run).await;
        result.map_err(|code| match may_have_run {
            Some(earlier) if code.ran() == Ran::No => earlier,
            _ => code,
        })
    }

    async fn attempts_in_turn(
        &self,
        call: &mut RequestContext,
        may_have_run: &mut Option<Code>,
    ) -> Result<Answered, Code> {
        let mut avoid: Option<Name> = None;
        loop {
            call.attempts += 1;
            let held = self.dispatcher.acquire(call, avoid.as_ref()).await?;
            let result = self.sender.attempt(call, &held).await?;
            match self.next(call, result.outcome) {
                NextStep::Deliver => {
                    let response = result.response.ok_or(Code::BadAnswer)?;
                    return Ok(Answered { response, held });
                }
                NextStep::Refuse(code) => return Err(code),
                NextStep::Retry { backoff_us } => {
                    let target = held.chosen.in_flight.target().id.clone();
                    let code = result.outcome.code().unwrap_or(Code::BadAnswer);
                    if !result.outcome.is_not_run() {
                        *may_have_run = Some(code);
                    }
                    let event = RecordEvent::Retried {
                        target: target.clone(),
                        code: code.number(),
                        backoff_ms: backoff_us / 1_000,
                    };
                    call.request_records
                        .add_kept(self.clock.now().wall_ms, call.basis, event);
                    drop((result, held));
                    sleep(Duration::from_micros(backoff_us)).await;
                    avoid = Some(target);
                }
            }
        }
    }

    fn next(&self, call: &mut RequestContext, outcome: AttemptOutcome) -> NextStep {
        let bundle = self.board.bundle.read();
        let permille = bundle
            .value
            .as_ref()
            .map_or(0, |bundle| bundle.budget.retry_permille);
        let budget = RetryBudget::new(&call.plan.targets.counters, permille);
        if outcome.code().is_none() && !outcome.is_failure() {
            budget.deposit();
        }
        let now_ns = self.clock.mono_ns();
        let can_replay = call.body.can_replay();
        let attempt = call.attempts;
        after_attempt(
            &call.plan,
            outcome,
            attempt,
            can_replay,
            &budget,
            now_ns,
            &mut call.rng,
        )
    }

    fn stream(&self, answered: Answered) -> Response<ResponseBody> {
        let Answered { response, held } = answered;
        let idle = self.limits.idle();
        response.map(|incoming| {
            let body = StreamedResponseBody::new(incoming, idle, held.chosen.in_flight, held.wake);
            ResponseBody::from(body)
        })
    }

    /// Keeps a small answer whole, so that the owner of the key can repeat it.
    async fn collect(&self, answered: Answered) -> (Outcome, Result<Response<ResponseBody>, Code>) {
        let size = answered.response.body().size_hint().exact();
        if size.is_none_or(|bytes| bytes > STORED_BODY_MAX_BYTES) {
            return (Outcome::Completed(None), Ok(self.stream(answered)));
        }
        let (head, body) = answered.response.into_parts();
        let collected = timeout(self.limits.idle(), body.collect()).await;
        drop(answered.held);
        match collected {
            Ok(Ok(body)) => {
                let body = body.to_bytes();
                let stored = stored_response(&head, &body);
                let response = Response::from_parts(head, ResponseBody::full(body));
                (Outcome::Completed(Some(stored)), Ok(response))
            }
            _ => (Outcome::Completed(None), Err(Code::TargetBroke)),
        }
    }

    fn close_story(&self, mut call: RequestContext, result: Result<u16, Code>) {
        let now = self.clock.now();
        let total_ns = now.mono_ns.ns_since(call.arrived_ns);
        match result {
            Ok(status) => {
                let event = RecordEvent::Answered {
                    status,
                    attempts: call.attempts,
                    total_us: total_ns / 1_000,
                    added_us: total_ns.saturating_sub(call.target_ns) / 1_000,
                };
                if status >= 500 {
                    call.request_records
                        .add_kept(now.wall_ms, call.basis, event);
                } else {
                    call.request_records.add(now.wall_ms, call.basis, event);
                }
            }
            Err(code) => {
                call.plan
                    .targets
                    .counters
                    .refusals
                    .fetch_add(1, Ordering::Relaxed);
                let event = RecordEvent::Refused {
                    code: code.number(),
                };
                call.request_records
                    .add_kept(now.wall_ms, call.basis, event);
            }
        }
        call.request_records.finish(&self.records);
    }
}

fn status_of(result: &Result<Answered, Code>) -> Result<u16, Code> {
    match result {
        Ok(answered) => Ok(answered.response.status().as_u16()),
        Err(code) => Err(*code),
    }
}
