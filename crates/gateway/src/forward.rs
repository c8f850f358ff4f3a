//! Handles requests of callers: reads them, sends them to targets, retries and hedges.

use crate::attempt::{AttemptResult, OutgoingRequest};
use crate::call::{Call, check_head, deadline_ms, digest, find_route, read_body};
use crate::events::{EventSender, GatewayEvent};
use crate::in_flight::InFlight;
use crate::move_observation::MoveObservation;
use crate::placement::{Placer, SelectionMode};
use crate::progress::{Decision, Progress, end_at_deadline};
use crate::refusal::{refusal, retry_after_ms};
use crate::request_log::RequestLog;
use crate::response_body::ResponseBody;
use crate::sent_log::SentLog;
use crate::{WireHeaders, connection::Connection};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{
    AttemptOutcome, LineKind, RetryBudget, RouteStat, SteeringBoard, Target, USUAL_SLOWNESS_PERCENT,
};
use heatherhinge_types::{Code, MonoNs};
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// An idempotent request is hedged when its response takes longer than this percentage of the
/// route's usual response time.
const HEDGE_DELAY_PERCENT: u64 = 170;
/// Shortest time before a request is hedged, in milliseconds.
const MIN_HEDGE_DELAY_MS: u64 = 25;
/// Delay between a broken connection and the check whether the target crashed, in milliseconds.
const CRASH_CHECK_DELAY_MS: u64 = 30;
/// Time after a response within which an extra response to the same request may still arrive on its
/// connection and be taken for that of the next request, in milliseconds.
const LATE_RESPONSE_WINDOW_MS: u64 = 1_500;

/// Time over which callers come back once a target is no longer busy, in milliseconds.
const RETURN_SPREAD_MS: u64 = 200;

/// A request that was not answered by a target.
struct Rejection {
    code: Code,
    /// Time for which no target of the service wants a request, in milliseconds, if that is known.
    held_off_ms: Option<u64>,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self {
            code,
            held_off_ms: None,
        }
    }
}

/// The data path of a host.
#[derive(Debug)]
pub struct Forwarder {
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) placer: Placer,
    pub(crate) headers: WireHeaders,
    pub(crate) clock: Clock,
    pub(crate) events: EventSender,
    pub(crate) seed: u64,
    pub(crate) sequence: AtomicU64,
    /// Time from which a stopping host rejects new requests, in nanoseconds of the clock; `u64::MAX`
    /// while the host is not stopping.
    pub(crate) closes_at_ns: AtomicU64,
}

/// Counts a request as in flight until its response is ready to be forwarded.
struct RequestInFlight<'a>(&'a SteeringBoard);

impl Drop for RequestInFlight<'_> {
    fn drop(&mut self) {
        self.0.counts.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Forwarder {
    /// Handles one request of a caller. Failures become responses too, so this returns no error.
    pub async fn forward(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let counts = &self.board.counts;
        counts.requests.fetch_add(1, Ordering::Relaxed);
        counts.in_flight.fetch_add(1, Ordering::AcqRel);
        let _guard = RequestInFlight(&self.board);
        let id = request.headers().get(&self.headers.request_id).cloned();
        let arrived = self.clock.mono_ns();
        let allowed_ms = deadline_ms(request.headers(), &self.headers).unwrap_or(0);
        match self.accept(request, arrived).await {
            Ok(response) => response,
            Err(Rejection { code, held_off_ms }) => {
                let spent_ms = self.clock.mono_ns().ms_since(arrived);
                let left_ms = allowed_ms.saturating_sub(spent_ms);
                let after_ms = held_off_ms.or_else(|| retry_after_ms(code, left_ms));
                refusal(code, &self.headers.request_id, id.as_ref(), after_ms)
            }
        }
    }

    async fn accept(
        &self,
        request: Request<Incoming>,
        arrived: MonoNs,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let (head, body) = request.into_parts();
        let id = head.headers.get(&self.headers.request_id).cloned();
        let read = self.read(head, body, arrived).await;
        let call = read.map_err(|code| {
            self.log_rejected(id.as_ref(), code);
            Rejection::from(code)
        })?;
        let mut request_log = RequestLog::new(&call, &self.board);
        let result = self.run(&call, &mut request_log).await;
        request_log.finish(&self.board, &result, self.clock.mono_ns());
        match &result {
            Ok(_) => &self.board.counts.delivered,
            Err(code) if code.ran() == heatherhinge_types::Ran::No => &self.board.counts.refused,
            Err(_) => &self.board.counts.failed,
        }
        .fetch_add(1, Ordering::Relaxed);
        result.map_err(|code| Rejection {
            code,
            held_off_ms: self.held_off_ms(&call, code),
        })
    }

    /// Returns when callers may come back if the request was not run because all targets of its
    /// service are busy for a time, in milliseconds. Callers are told different times, so that they
    /// do not all come back at once.
    fn held_off_ms(&self, call: &Call, code: Code) -> Option<u64> {
        if code.ran() != heatherhinge_types::Ran::No {
            return None;
        }
        let targets = self.board.targets.read();
        let pool = targets.value.pools.get(&call.service)?;
        let held_off_ms = pool.current.held_off_ms(|_| false, self.clock.mono_ns())?;
        let spread_ms = self.sequence.fetch_add(1, Ordering::Relaxed) % RETURN_SPREAD_MS;
        (held_off_ms < u64::MAX).then(|| held_off_ms + spread_ms)
    }

    fn log_rejected(&self, id: Option<&HeaderValue>, code: Code) {
        self.board.counts.refused.fetch_add(1, Ordering::Relaxed);
        if !self
            .board
            .log
            .take(LineKind::Abnormal, self.clock.mono_ns())
        {
            return;
        }
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        tracing::info!(
            request_id = id,
            code = code.number(),
            routes_version = self.board.routes.read().value.version,
            "request: rejected before it was forwarded: {}",
            code.text()
        );
    }

    async fn read(
        &self,
        head: http::request::Parts,
        body: Incoming,
        arrived: MonoNs,
    ) -> Result<Call, Code> {
        check_head(&head)?;
        let table = self.board.routes.read_owned();
        let route = find_route(&head, &table.value)?;
        let deadline_ms = deadline_ms(&head.headers, &self.headers)?;
        let allowed_ms = route
            .timeout_ms
            .map_or(deadline_ms, |timeout_ms| timeout_ms.min(deadline_ms));
        let body_bytes = table.value.limits.body_bytes;
        let body = read_body(body, body_bytes, Duration::from_millis(allowed_ms)).await?;
        // A response before the end of the body could be lost with the connection.
        if self.clock.mono_ns().0 >= self.closes_at_ns.load(Ordering::Acquire) {
            return Err(Code::Leaving);
        }
        let stats = self.board.route_stats.read_owned();
        let stat = stats.value.get(&route.name);
        let destination = match stat {
            Some(stat) => stat.split.next(&route.destinations),
            None => route.destinations.first(),
        };
        let service = destination.ok_or(Code::NoTarget)?.service.clone();
        let no_id = HeaderValue::from_static("");
        Ok(Call {
            id: head
                .headers
                .get(&self.headers.request_id)
                .cloned()
                .unwrap_or(no_id),
            digest: digest(&head, &body),
            head,
            body,
            service,
            usual_us: stat.and_then(|stat| stat.usual_us()),
            arrived,
            deadline: arrived.plus_ms(deadline_ms),
            effective_deadline: arrived.plus_ms(allowed_ms),
            route,
            routes_version: table.value.version,
        })
    }

    async fn run(
        &self,
        call: &Call,
        request_log: &mut RequestLog<'_>,
    ) -> Result<Response<ResponseBody>, Code> {
        let now = self.clock.mono_ns();
        if self.board.quarantined.read().value.contains(&call.digest) {
            return Err(Code::HeldBack);
        }
        self.board.probes.begin_request();
        if let Some(budget) = self.board.budgets.read().value.get(&call.service) {
            budget.count_request(now);
        }
        let stat = self.route_stat(call);
        let mut progress = Progress::default();
        let sent = SentLog::default();
        let mut attempts = FuturesUnordered::new();
        attempts.push(self.attempt(call, SelectionMode::Best, false, &sent));
        let effective_deadline =
            tokio::time::sleep(Duration::from_nanos(call.effective_deadline.ns_since(now)));
        tokio::pin!(effective_deadline);
        let hedge = sleep_until(hedge_at(stat.as_deref()));
        tokio::pin!(hedge);
        let mut may_hedge = call.route.kind.is_idempotent() && call.route.max_attempts > 1;
        loop {
            let attempted = tokio::select! {
                Some(attempted) = attempts.next() => attempted,
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    let started = progress.started(attempts.len());
                    let may_send = started < call.route.max_attempts;
                    if may_send && !sent.is_empty() && self.has_retry_budget(call) {
                        request_log.record_hedge();
                        attempts.push(self.attempt(call, SelectionMode::GoodOnly, true, &sent));
                    }
                    continue;
                }
                () = &mut effective_deadline => {
                    let is_sent = !sent.is_empty();
                    request_log.record_unanswered(&sent, &progress.ended);
                    return end_at_deadline(&mut progress, is_sent);
                }
            };
            self.record_outcome(call, &attempted, stat.as_deref());
            request_log.record_attempt(&attempted);
            if let Some(id) = attempted.target_id() {
                progress.ended.push(id.clone());
            }
            let pending = attempts.len();
            match progress.next(call, attempted, pending) {
                Decision::Deliver(response) => return Ok(*response),
                Decision::Await => {}
                Decision::End(code) => return progress.fallback.take().ok_or(code),
                Decision::Retry {
                    draws_on_budget,
                    error_code,
                } => {
                    if draws_on_budget && !self.has_retry_budget(call) {
                        return progress.fallback.take().ok_or(error_code);
                    }
                    attempts.push(self.attempt(call, SelectionMode::Best, draws_on_budget, &sent));
                }
            }
        }
    }

    fn route_stat(&self, call: &Call) -> Option<Arc<RouteStat>> {
        let stats = self.board.route_stats.read();
        stats.value.get(&call.route.name).map(Arc::clone)
    }

    /// Returns whether the retry budget has room for another send. The send is charged to the
    /// budget only once a target has been found.
    fn has_retry_budget(&self, call: &Call) -> bool {
        let sharers = self.board.fleet.read().value.budget_sharers();
        self.with_budget(call, |budget| {
            budget.has_room(self.clock.mono_ns(), sharers)
        })
    }

    fn take_retry(&self, call: &Call) -> bool {
        let sharers = self.board.fleet.read().value.budget_sharers();
        let taken = self.with_budget(call, |budget| {
            budget.take_retry(self.clock.mono_ns(), sharers)
        });
        if taken {
            self.board.counts.retries.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }

    fn with_budget(&self, call: &Call, check: impl FnOnce(&RetryBudget) -> bool) -> bool {
        let budgets = self.board.budgets.read();
        budgets
            .value
            .get(&call.service)
            .is_some_and(|budget| check(budget))
    }

    fn attempt<'a>(
        &'a self,
        call: &'a Call,
        selection_mode: SelectionMode,
        draws_on_budget: bool,
        sent: &'a SentLog,
    ) -> impl Future<Output = AttemptResult> + 'a {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed.wrapping_add(number));
        async move {
            let began = self.clock.mono_ns();
            let placed = self
                .placer
                .place(call, sent, selection_mode, &mut rng)
                .await;
            let took_ms = self.clock.mono_ns().ms_since(began);
            self.board.placement_ms.count(took_ms);
            let mut placed = match placed {
                Ok(placed) => placed,
                Err(code) => return AttemptResult::without_target(code.text()),
            };
            let target = Arc::clone(&placed.probed.target);
            let load = placed.probed.load;
            let Some((connection, connection_pool)) = placed.probed.take() else {
                return AttemptResult::without_target("the probed connection is gone");
            };
            let (side, tracker) = (placed.side, placed.tracker.take());
            let connection = match self.connection_for(call, &target, connection).await {
                Ok(connection) => connection,
                Err(cause) => return AttemptResult::without_target(cause),
            };
            if target.wants_nothing(self.clock.mono_ns()) {
                return AttemptResult::never_sent("the target asked for no requests meanwhile");
            }
            if draws_on_budget && !self.take_retry(call) {
                return AttemptResult::without_target("the retry budget is exhausted");
            }
            self.board.counts.sends.fetch_add(1, Ordering::Relaxed);
            let in_flight =
                InFlight::begin(Arc::clone(&target), tracker.clone(), side, sent.is_empty());
            sent.push(target.id().clone(), load);
            let started = self.clock.mono_ns();
            let route = Arc::clone(&call.route);
            let observation = MoveObservation::begin(tracker, route, side, load, self.clock);
            let outgoing = OutgoingRequest {
                board: &self.board,
                call,
                headers: &self.headers,
                target: &target,
                now: started,
                clock: self.clock,
            };
            let (end, response, cause) = outgoing
                .exchange(connection, connection_pool, in_flight)
                .await;
            let took_us = self.clock.mono_ns().ns_since(started) / 1_000;
            observation.finish(end);
            AttemptResult {
                end,
                response,
                target: Some(target),
                load: Some(load),
                took_us,
                cause,
            }
        }
    }

    /// Returns the connection to send a request on. An at-most-once request gets a new one if a
    /// late response to an earlier request could still arrive on this one and be taken for its own.
    async fn connection_for(
        &self,
        call: &Call,
        target: &Target,
        connection: Connection,
    ) -> Result<Connection, &'static str> {
        let recent = Duration::from_millis(LATE_RESPONSE_WINDOW_MS);
        let may_get_late_response = connection
            .served_at
            .is_some_and(|served| served.elapsed() < recent);
        if call.route.kind.is_idempotent() || !may_get_late_response {
            return Ok(connection);
        }
        drop(connection);
        crate::connection_pools::ConnectionPools::open(target, &self.board.counts)
            .await
            .map_err(|_| "opening a new connection failed")
    }

    /// Records what an attempt shows about its target and route.
    fn record_outcome(&self, call: &Call, attempted: &AttemptResult, stat: Option<&RouteStat>) {
        let Some(target) = &attempted.target else {
            return;
        };
        match attempted.end {
            AttemptOutcome::Answered => {
                let now = self.clock.mono_ns();
                self.board.served.record(call.digest, now);
                target.cell.record_success();
                let slowness = attempted.load.map_or(0, |load| load.slowness_percent);
                if let Some(stat) = stat.filter(|_| slowness == USUAL_SLOWNESS_PERCENT) {
                    stat.count(attempted.took_us);
                }
            }
            AttemptOutcome::Failed | AttemptOutcome::Unconfirmed => {
                let now = self.clock.mono_ns();
                self.board.served.record(call.digest, now);
                target.cell.record_failure(now);
            }
            AttemptOutcome::Broke => {
                target.cell.record_failure(self.clock.mono_ns());
                self.check_crash(call, target);
            }
            AttemptOutcome::NotRun => {
                let now = self.clock.mono_ns();
                // A target that has asked for a pause is as good as any other after it.
                if target.cell.held_off_ms(now) == 0 {
                    target.cell.record_failure(now);
                }
            }
            AttemptOutcome::NoTarget | AttemptOutcome::NeverSent => {}
        }
    }

    /// Checks whether a target that closed the connection has crashed, and if so reports the
    /// request. A target that is unreachable has not: its port refuses connections.
    fn check_crash(&self, call: &Call, target: &Arc<Target>) {
        let (events, digest, addr) = (self.events.clone(), call.digest, target.entry.addr);
        let (id, target_key) = (call.id_text().to_owned(), target.start_key());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(CRASH_CHECK_DELAY_MS)).await;
            let Err(error) = Connection::open(addr).await else {
                return;
            };
            let is_refused = matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            );
            if is_refused {
                tracing::info!(
                    request_id = id,
                    digest = format_args!("{digest:016x}"),
                    %addr,
                    "gateway: a target crashed at a request"
                );
                events.send(GatewayEvent::Crashed { digest, target_key });
            }
        });
    }
}

fn hedge_at(stat: Option<&RouteStat>) -> Instant {
    let usual_us = stat
        .and_then(RouteStat::usual_us)
        .unwrap_or(u64::MAX / 1_000);
    let after_ms = (usual_us.saturating_mul(HEDGE_DELAY_PERCENT) / 100_000).max(MIN_HEDGE_DELAY_MS);
    // An hour stands for "never".
    Instant::now() + Duration::from_millis(after_ms.min(3_600_000))
}
