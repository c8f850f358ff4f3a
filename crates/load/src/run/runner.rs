//! Sends the requests of a schedule and collects their outcomes.

use super::{
    Arrival, Collector, Destination, FinishedRequest, HttpClient, RunReport, Schedule, SendOutcome,
};
use crate::profile::Profile;
use heatherhinge_types::{IdempotencyKey, WallMs};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Semaphore, mpsc};

/// Pause before a resend with the same key.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Bounds of a run. They hold whatever the responses are.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// Length of the schedule.
    pub duration: Duration,
    /// Most requests that become due.
    pub max_requests: u64,
    /// Most requests in flight; more are counted as not sent.
    pub max_in_flight: usize,
}

/// State shared by all requests of a run.
struct RunContext<D> {
    profile: Profile,
    destination: D,
    client: HttpClient,
    started: Instant,
}

/// Sends the schedule of a profile and returns a report for each group.
///
/// Requests are assigned to `groups` groups in turn, so that each side of an alternating
/// destination gets its own report.
///
/// # Errors
///
/// Returns an error if the histograms cannot be made or the sending task fails.
pub async fn run_load<D: Destination>(
    profile: &Profile,
    destination: D,
    (seed, rate_factor): (u64, f64),
    limits: RunLimits,
    groups: usize,
) -> eyre::Result<Vec<RunReport>> {
    let mut collectors = vec![Collector::new(profile.routes.len())?; groups];
    let schedule = Schedule::new(profile, seed, rate_factor);
    let context = Arc::new(RunContext {
        profile: profile.clone(),
        destination,
        client: HttpClient::default(),
        started: Instant::now(),
    });
    let started = context.started;
    let (due_sender, due) = mpsc::unbounded_channel();
    let (finished_sender, mut finished) = mpsc::unbounded_channel();
    std::thread::spawn(move || emit_arrivals(schedule, started, limits, &due_sender));
    let sender = tokio::spawn(send_due(context, due, finished_sender, limits, groups));
    while let Some(finished_request) = finished.recv().await {
        collectors[group_of(finished_request.number, groups)].add(&finished_request);
    }
    let counts = sender.await?;
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let report = |(collector, due): (&Collector, u64)| RunReport {
        elapsed_ms,
        ..RunReport::new(profile, seed, collector, due)
    };
    Ok(collectors.iter().zip(counts).map(report).collect())
}

/// Sends requests as they become due, and returns how many were due in each group.
async fn send_due<D: Destination>(
    context: Arc<RunContext<D>>,
    mut due: mpsc::UnboundedReceiver<Arrival>,
    finished: mpsc::UnboundedSender<FinishedRequest>,
    limits: RunLimits,
    groups: usize,
) -> Vec<u64> {
    let permits = Arc::new(Semaphore::new(limits.max_in_flight));
    let mut counts = vec![0_u64; groups];
    while let Some(arrival) = due.recv().await {
        counts[group_of(arrival.number, groups)] += 1;
        // Without a permit the request counts as due but not sent.
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            let (context, finished) = (Arc::clone(&context), finished.clone());
            tokio::spawn(async move {
                let finished_request = send_one(&context, arrival).await;
                // Cannot fail: the receiver is open until the last sender is dropped.
                let _ = finished.send(finished_request);
                drop(permit);
            });
        }
    }
    counts
}

fn group_of(number: u64, groups: usize) -> usize {
    usize::try_from(number % groups.max(1) as u64).unwrap_or(0)
}

/// Emits arrivals to the sending task when they are due. Runs on its own thread, because the
/// runtime's timer has a resolution of 1 ms, which is more than the latencies to be measured.
fn emit_arrivals(
    schedule: Schedule,
    started: Instant,
    limits: RunLimits,
    due: &mpsc::UnboundedSender<Arrival>,
) {
    let count = usize::try_from(limits.max_requests).unwrap_or(usize::MAX);
    for arrival in schedule.take(count) {
        let at = Duration::from_nanos(arrival.at_ns);
        if at > limits.duration {
            return;
        }
        std::thread::sleep((started + at).saturating_duration_since(Instant::now()));
        if due.send(arrival).is_err() {
            return;
        }
    }
}

async fn send_one<D: Destination>(context: &RunContext<D>, arrival: Arrival) -> FinishedRequest {
    let route = &context.profile.routes[arrival.route];
    let intended = context.started + Duration::from_nanos(arrival.at_ns);
    let deadline = intended + Duration::from_millis(route.deadline_ms);
    let key = arrival
        .key_random
        .map(|random| IdempotencyKey::new(wall_ms(), random));
    let mut resends = 0;
    let outcome = loop {
        let time_left = deadline.saturating_duration_since(Instant::now());
        // A resend goes to the next host, which must get the response of the first attempt from the
        // owner.
        let host = context
            .destination
            .address(arrival.number + u64::from(resends) * RESEND_STEP);
        let outcome = match host {
            Some(host) => context.client.send(host, route, key, time_left).await,
            None => SendOutcome::Unreachable,
        };
        let may_resend = key.is_some() && outcome.is_unknown() && resends < route.resends;
        if !may_resend || Instant::now() + RESEND_PAUSE >= deadline {
            break outcome;
        }
        resends += 1;
        tokio::time::sleep(RESEND_PAUSE).await;
    };
    FinishedRequest {
        number: arrival.number,
        route: arrival.route,
        latency_us: u64::try_from(intended.elapsed().as_micros()).unwrap_or(u64::MAX),
        resends,
        outcome,
    }
}

/// Added to the request number for each resend; even, so that resends stay on the same side of an
/// alternating destination.
const RESEND_STEP: u64 = 2;

fn wall_ms() -> WallMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
