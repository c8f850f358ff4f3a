//! Holds the state of one target and decides how requests run, independent of HTTP.

use crate::admission::{Admission, Slots};
use crate::history::{History, State};
use crate::{
    BadEffect, Counters, Execution, ExecutionLog, Faults, HealthFault, LoadReportFault, Restart,
    RunOutcome, TargetConfig,
};
use heatherhinge_types::{LoadReport, StartId};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Factor on the service time of a request that exceeds the capacity of a cold target.
const COLD_OVERLOAD_FACTOR: u64 = 10;

/// Which generation of the target's sockets is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListenerState {
    /// Number of crashes so far; connections of an earlier generation are closed.
    pub(crate) generation: u64,
    /// Time after the crash until the target listens again, in milliseconds.
    pub(crate) down_ms: u64,
}

/// One request to run.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Log entry; `start_id` and `start_wall_ms` are set when the request starts.
    pub(crate) execution: Execution,
    /// Deadline of the request, by which it must have started.
    pub(crate) start_by: Option<Instant>,
    /// Wall time in Unix milliseconds after which the request must not start.
    pub(crate) not_after_wall_ms: Option<u64>,
    /// Whether the body contains the text of the poison fault that was set on arrival.
    pub(crate) is_poison: bool,
}

/// Why a request did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The queue is full.
    Shed,
    /// The deadline or the not-after time passed before the request started.
    Expired,
    /// The target crashed while the request waited.
    TargetCrashed,
}

/// How a request will run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunPlan {
    /// Service time, with the factors of faults and overload applied.
    pub(crate) duration: Duration,
    /// Whether the request ends with status 500.
    pub(crate) fails: bool,
}

#[derive(Debug)]
struct Inner {
    slots: Slots,
    start_id: u64,
    started: Instant,
    faults: Arc<Faults>,
    faults_set: Instant,
    rng: Pcg64,
    history: History,
}

/// The state of one target, which outlives its restarts.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) config: TargetConfig,
    pub(crate) counters: Counters,
    pub(crate) log: ExecutionLog,
    pub(crate) listener_state: watch::Sender<ListenerState>,
    inner: Mutex<Inner>,
}

/// Returns the wall time in Unix milliseconds.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Worker {
    /// Creates a target that starts now. The port makes start ids of different targets distinct.
    pub(crate) fn new(config: TargetConfig, port: u16) -> Arc<Self> {
        let now = Instant::now();
        let listener_state = ListenerState {
            generation: 0,
            down_ms: 0,
        };
        Arc::new(Self {
            inner: Mutex::new(Inner {
                slots: Slots::new(0),
                start_id: (u64::from(port) << 32) | 1,
                started: now,
                faults: Arc::new(Faults::default()),
                faults_set: now,
                rng: Pcg64::seed_from_u64(config.seed),
                history: History::default(),
            }),
            config,
            counters: Counters::default(),
            log: ExecutionLog::default(),
            listener_state: watch::Sender::new(listener_state),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current faults.
    pub(crate) fn faults(&self) -> Arc<Faults> {
        Arc::clone(&self.inner().faults)
    }

    /// Replaces the faults and restarts the target if they ask for it.
    pub(crate) fn set_faults(&self, mut faults: Faults) {
        let restart = faults.restart.take();
        {
            let mut inner = self.inner();
            inner.faults = Arc::new(faults);
            inner.faults_set = Instant::now();
            self.record_state(&mut inner);
        }
        if let Some(restart) = restart {
            self.restart(restart);
        }
    }

    /// Restarts the target cold with a new start id; unless connections are kept, closes them and
    /// logs the running requests as crashed.
    pub(crate) fn restart(&self, restart: Restart) {
        let mut inner = self.inner();
        inner.start_id += 1;
        inner.started = Instant::now() + Duration::from_millis(restart.down_ms);
        Counters::add(&self.counters.restarts);
        if restart.keep_connections {
            return;
        }
        let generation = inner.slots.generation + 1;
        inner.slots = Slots::new(generation);
        self.log.crash_running(wall_ms());
        self.listener_state.send_replace(ListenerState {
            generation,
            down_ms: restart.down_ms,
        });
    }

    /// Waits for a slot and starts the request, or rejects it.
    pub(crate) async fn start(self: &Arc<Self>, mut job: Job) -> Result<Permit, Rejection> {
        let (admission, generation) = self.admit();
        match admission {
            Admission::Start => {}
            Admission::Shed => {
                Counters::add(&self.counters.shed);
                return Err(Rejection::Shed);
            }
            Admission::Wait(mut receiver) => {
                let limit = wait_deadline(&job);
                match tokio::time::timeout_at(limit.into(), &mut receiver).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Err(Rejection::TargetCrashed),
                    Err(_) => {
                        // The slot may have been granted just as the wait timed out.
                        receiver.close();
                        if receiver.try_recv().is_ok() {
                            self.release(generation);
                        }
                        return Err(self.expired());
                    }
                }
            }
        }
        if is_expired(&job) {
            self.release(generation);
            return Err(self.expired());
        }
        Counters::add(&self.counters.ran);
        job.execution.start_id = self.inner().start_id;
        job.execution.start_wall_ms = wall_ms();
        Ok(Permit {
            worker: Arc::clone(self),
            generation,
            log_index: self.log.start(job.execution),
            outcome: RunOutcome::Cut,
        })
    }

    fn admit(&self) -> (Admission, u64) {
        let mut inner = self.inner();
        let admission = inner.slots.admit(self.config.slots, self.config.queue_len);
        let in_flight = u64::from(inner.slots.in_flight());
        if inner.uptime_ms() < self.config.warm_ms {
            self.counters
                .max_in_flight_cold
                .fetch_max(in_flight, Ordering::Relaxed);
        }
        self.record_state(&mut inner);
        (admission, inner.slots.generation)
    }

    fn expired(&self) -> Rejection {
        Counters::add(&self.counters.expired);
        Rejection::Expired
    }

    fn release(&self, generation: u64) {
        let mut inner = self.inner();
        if inner.slots.generation == generation {
            inner.slots.release();
            self.record_state(&mut inner);
        }
    }

    fn record_state(&self, inner: &mut Inner) {
        let state = inner.state();
        inner.history.push(Instant::now(), state);
    }

    /// Decides the service time and result of a request on `path` that has just started.
    pub(crate) fn plan(&self, path: &str) -> RunPlan {
        let mut inner = self.inner();
        let faults = Arc::clone(&inner.faults);
        let mut us = self.config.service_time_of(path).draw_us(&mut inner.rng);
        us = us.saturating_mul(faults.slow_permille) / 1_000;
        let mut fails = false;
        let set_for_ms = ms(inner.faults_set.elapsed());
        let running = inner.slots.running();
        match faults
            .bad_version
            .as_ref()
            .and_then(|bad| bad.effect_on(path, running, set_for_ms))
        {
            Some(BadEffect::Fail) => fails = true,
            Some(BadEffect::Slow { permille }) => us = us.saturating_mul(permille) / 1_000,
            None => {}
        }
        if running > self.config.capacity(inner.uptime_ms()) {
            Counters::add(&self.counters.cold_overloads);
            us = us.saturating_mul(COLD_OVERLOAD_FACTOR);
            fails = true;
        }
        RunPlan {
            duration: Duration::from_micros(us),
            fails,
        }
    }

    /// Returns the load report for a response, with the faults applied; `None` if it is left out.
    pub(crate) fn load_report(&self) -> Option<LoadReport> {
        let inner = self.inner();
        let in_flight = match inner.faults.load_report {
            LoadReportFault::None => inner.slots.in_flight(),
            LoadReportFault::Absent => return None,
            LoadReportFault::Lie { in_flight } => in_flight,
            LoadReportFault::Lag { lag_ms } => inner.state_before(lag_ms).in_flight,
        };
        Some(LoadReport {
            in_flight,
            slots: self.config.slots,
            start_id: StartId(inner.start_id),
            uptime_ms: inner.uptime_ms(),
            is_leaving: inner.faults.leaving,
        })
    }

    /// Returns whether `/health` returns 200, with the faults applied.
    pub(crate) fn health(&self) -> bool {
        let inner = self.inner();
        match inner.faults.health {
            HealthFault::None => inner.state().is_ok,
            HealthFault::Lie { ok } => ok,
            HealthFault::Lag { lag_ms } => inner.state_before(lag_ms).is_ok,
        }
    }

    /// Returns the time since the last start, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.inner().uptime_ms()
    }
}

impl Inner {
    fn uptime_ms(&self) -> u64 {
        ms(Instant::now().saturating_duration_since(self.started))
    }

    fn state(&self) -> State {
        State {
            in_flight: self.slots.in_flight(),
            is_ok: !self.faults.fail_fast,
        }
    }

    fn state_before(&self, lag_ms: u64) -> State {
        self.history
            .at(Instant::now().checked_sub(Duration::from_millis(lag_ms)))
    }
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns when a waiting request expires. Without a limit that is after one hour, which no test
/// reaches.
fn wait_deadline(job: &Job) -> Instant {
    let now = Instant::now();
    let by_wall = job
        .not_after_wall_ms
        .map(|limit| now + Duration::from_millis((limit + 1).saturating_sub(wall_ms())));
    let limits = [job.start_by, by_wall];
    limits
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(now + Duration::from_secs(3_600))
}

fn is_expired(job: &Job) -> bool {
    job.start_by.is_some_and(|limit| Instant::now() >= limit)
        || job.not_after_wall_ms.is_some_and(|limit| wall_ms() > limit)
}

/// The slot of a running request. Dropping it frees the slot and ends the log entry.
#[derive(Debug)]
pub(crate) struct Permit {
    worker: Arc<Worker>,
    generation: u64,
    log_index: usize,
    outcome: RunOutcome,
}

impl Permit {
    /// Ends the execution with an outcome.
    pub(crate) fn finish(mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }

    /// Returns whether the target has not crashed since the request started.
    pub(crate) fn is_alive(&self) -> bool {
        self.worker.inner().slots.generation == self.generation
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.outcome == RunOutcome::Failed {
            Counters::add(&self.worker.counters.failed);
        }
        self.worker.log.end(self.log_index, self.outcome, wall_ms());
        self.worker.release(self.generation);
    }
}
