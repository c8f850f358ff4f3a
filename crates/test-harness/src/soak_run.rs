//! Injects the random faults of a soak and ends them.

use crate::deployment::Deployment;
use crate::fault_proxy::FaultProxyMode;
use crate::store::{LostRow, StoreMode};
use crate::target::TargetMode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;

/// Time after a fault for which invariants with a time bound are not checked. The users' pages allow
/// 3 s for a host and 5 s for the store; a process that is paused or killed adds its own time.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time within which a planned stop must end: the grace period and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Time after which the registration of a crashed target is removed: three missed heartbeats.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// `Retry-After` headers of busy targets, some of which no host understands.
const RETRY_AFTER: [&str; 8] = [
    "0",
    "0.3",
    "1",
    "2.5",
    "-1",
    "soon",
    "1e300",
    "Sat, 05 Dec 2026",
];
/// Longest time after a return of the store until a lost row is written again, in milliseconds.
const MAX_REWRITE_MS: u64 = 2_000;
/// Rate limits that targets name, in requests per second.
const RATE_LIMITS_PER_S: [f64; 4] = [0.5, 1.0, 3.0, 10.0];

/// When a fault ends, and how.
pub(crate) type Undo = (tokio::time::Instant, UndoKind);

/// How a fault is ended. The number is the index of the target or host.
#[derive(Clone, Copy, Debug)]
pub(crate) enum UndoKind {
    Target(usize),
    RateLimit(usize),
    Notice(usize),
    TargetProxy(usize),
    Store,
    StoreProxy,
    Continue(usize),
    Start(usize),
}

/// A deployment under random faults.
pub(crate) struct SoakRun {
    pub(crate) deployment: Deployment,
    /// Number of kinds of faults that are drawn from.
    pub(crate) fault_kinds: u32,
    /// Whether targets also name rate limits.
    pub(crate) has_rate_limits: bool,
    pub(crate) rng: Pcg64Mcg,
    /// Ends of the faults in effect.
    pub(crate) pending: Vec<Undo>,
    /// Descriptions of the injected faults, in order.
    pub(crate) faults: Vec<String>,
}

impl SoakRun {
    fn record(&mut self, fault: String) {
        self.faults.push(fault);
    }

    fn schedule_undo(&mut self, undo: UndoKind, ms: std::ops::Range<u64>) {
        let duration = Duration::from_millis(self.rng.random_range(ms));
        let at = tokio::time::Instant::now() + duration;
        self.deployment
            .checker
            .suspend_timing_checks(duration + RECOVERY_TIME);
        self.pending.push((at, undo));
    }

    /// Draws a fault and starts it.
    pub(crate) async fn inject_fault(&mut self) -> eyre::Result<()> {
        match self.rng.random_range(0..self.fault_kinds) {
            0 | 1 => self.inject_target_fault(),
            2 | 3 => self.inject_target_proxy_fault(),
            4 => self.crash_target().await?,
            5 | 6 => self.drain_target().await?,
            7 => self.inject_store_fault(),
            8 => self.inject_store_proxy_fault(),
            9 => self.stop_host().await,
            10 => self.kill_host(),
            11 => self.pause_host(),
            12 => {
                self.record("configuration: rewritten with the next version".to_owned());
                self.deployment.write_config();
            }
            14 => self.kill_all_hosts(),
            15 => self.edit_settings()?,
            16 => self.silence_store(),
            17 => self.silence_target(),
            18 => self.crash_and_refuse().await?,
            20 | 21 => self.start_leaving(),
            22 | 23 => self.set_busy(),
            24 | 25 => self.inject_response_fault(),
            26 | 27 => self.return_store(),
            19 => {
                let name = format!("new-{}", self.faults.len());
                self.record(format!("configuration: route {name} added"));
                self.deployment.add_route(&name);
            }
            _ => self.reload_host(),
        }
        Ok(())
    }

    fn pick_target(&mut self) -> usize {
        self.rng.random_range(0..self.deployment.targets.len())
    }

    fn pick_host(&mut self) -> usize {
        self.rng.random_range(0..self.deployment.hosts.hosts.len())
    }

    /// Lets a target name a rate limit for a time. Limits begin, end and change while others last.
    fn limit_target(&mut self) {
        let index = self.pick_target();
        let per_s = RATE_LIMITS_PER_S[self.rng.random_range(0..RATE_LIMITS_PER_S.len())];
        self.record(format!("target {index}: names a limit of {per_s} a second"));
        self.deployment.targets[index]
            .target
            .set_rate_limit(Some(per_s));
        let duration = Duration::from_millis(self.rng.random_range(2_000..9_000));
        let at = tokio::time::Instant::now() + duration;
        self.pending.push((at, UndoKind::RateLimit(index)));
    }

    fn inject_target_fault(&mut self) {
        if self.has_rate_limits && self.rng.random_range(0..2) == 0 {
            return self.limit_target();
        }
        let index = self.pick_target();
        let mode = [
            TargetMode::LoseAnswers,
            TargetMode::CutAnswers,
            TargetMode::Fail,
            TargetMode::Hang,
            TargetMode::Shed,
            TargetMode::Slow(8),
            TargetMode::LieIll,
        ][self.rng.random_range(0..7)];
        self.record(format!("target {index}: {mode:?}"));
        self.deployment.targets[index].target.set_mode(mode);
        let at = tokio::time::Instant::now() + Duration::from_secs(3);
        self.pending.push((at, UndoKind::Target(index)));
    }

    /// Lets a target refuse what it has run, or leave responses unfinished.
    fn inject_response_fault(&mut self) {
        let index = self.pick_target();
        let mode = [
            TargetMode::RefuseAfterRun(503),
            TargetMode::RefuseAfterRun(429),
            TargetMode::RefuseAfterRun(408),
            TargetMode::RefuseAfterRun(421),
            TargetMode::RefuseAfterRun(600),
            TargetMode::Stall,
        ][self.rng.random_range(0..6)];
        self.record(format!("target {index}: {mode:?}"));
        self.deployment.targets[index].target.set_mode(mode);
        let at = tokio::time::Instant::now() + Duration::from_secs(3);
        self.pending.push((at, UndoKind::Target(index)));
    }

    fn inject_target_proxy_fault(&mut self) {
        let index = self.pick_target();
        let proxy = Arc::clone(&self.deployment.targets[index].proxy);
        if self.rng.random_range(0..3) == 0 {
            self.record(format!("proxy of target {index}: reset"));
            proxy.reset();
            return;
        }
        let mode = [
            FaultProxyMode::Delay(60),
            FaultProxyMode::MuteForward,
            FaultProxyMode::MuteBack,
        ][self.rng.random_range(0..3)];
        self.record(format!("proxy of target {index}: {mode:?}"));
        proxy.set_mode(mode);
        self.schedule_undo(UndoKind::TargetProxy(index), 300..2_500);
    }

    async fn crash_target(&mut self) -> eyre::Result<()> {
        let index = self.pick_target();
        let proxied = self.deployment.targets.swap_remove(index);
        let id = proxied.target.spec().id.clone();
        self.record(format!("target {id}: crashed and replaced"));
        proxied.target.crash();
        // The registration is removed as if it had expired after three missed heartbeats.
        self.deployment.store.remove("servers", &id);
        self.deployment.add_target("v1").await
    }

    /// Crashes a target whose registration stays, so that hosts find its port closed.
    async fn crash_and_refuse(&mut self) -> eyre::Result<()> {
        let index = self.pick_target();
        let id = self.deployment.crash_target(index);
        self.record(format!(
            "target {id}: crashed, its port refuses connections"
        ));
        let store = Arc::clone(&self.deployment.store);
        tokio::spawn(async move {
            tokio::time::sleep(REGISTRATION_TIMEOUT).await;
            store.remove("servers", &id);
        });
        self.deployment.add_target("v1").await
    }

    /// Lets a target say that it leaves until it starts again under its id.
    fn start_leaving(&mut self) {
        let index = self.pick_target();
        self.record(format!("target {index}: says that it leaves"));
        self.deployment.targets[index].target.start_leaving();
        self.schedule_notice_end(index, 2_500..5_000);
    }

    fn set_busy(&mut self) {
        let index = self.pick_target();
        let retry_after = RETRY_AFTER[self.rng.random_range(0..RETRY_AFTER.len())];
        self.record(format!("target {index}: busy, Retry-After: {retry_after}"));
        self.deployment.targets[index]
            .target
            .set_busy(Some(retry_after));
        self.schedule_notice_end(index, 500..2_000);
    }

    fn schedule_notice_end(&mut self, index: usize, ms: std::ops::Range<u64>) {
        let duration = Duration::from_millis(self.rng.random_range(ms));
        let at = tokio::time::Instant::now() + duration;
        self.pending.push((at, UndoKind::Notice(index)));
    }

    fn silence_store(&mut self) {
        self.record("store proxy: open connections silenced".to_owned());
        self.deployment.store_proxy.silence();
        self.deployment.checker.suspend_timing_checks(RECOVERY_TIME);
    }

    fn silence_target(&mut self) {
        let index = self.pick_target();
        self.record(format!(
            "proxy of target {index}: open connections silenced"
        ));
        self.deployment.targets[index].proxy.silence();
    }

    async fn drain_target(&mut self) -> eyre::Result<()> {
        let index = self.pick_target();
        let proxied = self.deployment.targets.swap_remove(index);
        self.record(format!(
            "target {}: draining and replaced",
            proxied.target.spec().id
        ));
        proxied.target.start_draining(&self.deployment.store);
        self.deployment.add_target("v1").await
    }

    fn inject_store_fault(&mut self) {
        if self.rng.random_range(0..4) == 0 {
            self.record("store: change history deleted".to_owned());
            self.deployment.store.forget_history();
            return;
        }
        let mode = [
            StoreMode::Refuse,
            StoreMode::Silent,
            StoreMode::Slow(250),
            StoreMode::LoseAnswers,
        ][self.rng.random_range(0..4)];
        self.record(format!("store: {mode:?}"));
        self.deployment.store.set_mode(mode);
        self.schedule_undo(UndoKind::Store, 500..4_000);
    }

    /// Lets the store be away and return from an older copy. Operator and targets write again what is
    /// lost, each row in its own time.
    fn return_store(&mut self) {
        let away = Duration::from_millis(self.rng.random_range(100..2_000));
        let age = Duration::from_millis(self.rng.random_range(500..6_000));
        self.record(format!(
            "store: away for {} ms, returns from a copy {} ms old",
            away.as_millis(),
            age.as_millis()
        ));
        self.deployment
            .checker
            .suspend_timing_checks(away + RECOVERY_TIME);
        let store = Arc::clone(&self.deployment.store);
        let seed = self.rng.random();
        tokio::spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            store.set_mode(StoreMode::Refuse);
            tokio::time::sleep(away).await;
            let lost = store.return_from_copy(away + age);
            store.set_mode(StoreMode::Serve);
            for row in lost.into_iter().filter(LostRow::is_foreign) {
                let (store, delay_ms) = (Arc::clone(&store), rng.random_range(0..MAX_REWRITE_MS));
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    store.write_again(&row);
                });
            }
        });
    }

    fn inject_store_proxy_fault(&mut self) {
        let proxy = Arc::clone(&self.deployment.store_proxy);
        let mode = [
            FaultProxyMode::Delay(150),
            FaultProxyMode::MuteForward,
            FaultProxyMode::MuteBack,
        ][self.rng.random_range(0..3)];
        self.record(format!("store proxy: {mode:?}"));
        proxy.set_mode(mode);
        if self.rng.random_range(0..2) == 0 {
            proxy.reset();
        }
        self.schedule_undo(UndoKind::StoreProxy, 300..3_000);
    }

    async fn stop_host(&mut self) {
        let index = self.pick_host();
        if !self.deployment.hosts.hosts[index].is_running() {
            return;
        }
        let number = self.deployment.hosts.hosts[index].number;
        let is_ready = self.deployment.is_ready(number).await;
        self.record(format!("host {index}: SIGTERM, ready: {is_ready}"));
        self.deployment.hosts.hosts[index].signal(Signal::TERM);
        // A paused host handles the signal only after it continues.
        let is_paused = |(_, kind): &Undo| matches!(kind, UndoKind::Continue(of) if *of == index);
        if self.pending.iter().any(is_paused) {
            self.record(format!("host {index}: continued"));
            self.deployment.hosts.hosts[index].signal(Signal::CONT);
            self.pending.retain(|undo| !is_paused(undo));
        }
        let exit = self.deployment.hosts.hosts[index].wait(STOP_TIMEOUT).await;
        // The signal kills a process that has not set up its signal handlers yet. Such a process
        // has accepted no request.
        let is_expected = if is_ready {
            exit == Some(true)
        } else {
            exit.is_some()
        };
        if !is_expected {
            self.deployment.checker.record_violation(
                "a planned stop ends within its grace period",
                format!("host {index}: {exit:?}"),
            );
        }
        self.schedule_undo(UndoKind::Start(index), 100..1_500);
    }

    fn kill_host(&mut self) {
        let index = self.pick_host();
        self.record(format!("host {index}: SIGKILL"));
        self.deployment.hosts.hosts[index].kill();
        self.schedule_undo(UndoKind::Start(index), 100..2_500);
    }

    fn pause_host(&mut self) {
        let index = self.pick_host();
        self.record(format!("host {index}: paused"));
        self.deployment.hosts.hosts[index].signal(Signal::STOP);
        self.schedule_undo(UndoKind::Continue(index), 300..3_000);
    }

    fn reload_host(&mut self) {
        let index = self.pick_host();
        self.record(format!("host {index}: SIGHUP"));
        self.deployment.hosts.hosts[index].signal(Signal::HUP);
    }

    fn kill_all_hosts(&mut self) {
        self.record("all hosts: SIGKILL".to_owned());
        for index in 0..self.deployment.hosts.hosts.len() {
            self.deployment.hosts.hosts[index].kill();
            self.schedule_undo(UndoKind::Start(index), 300..900);
        }
    }

    fn edit_settings(&mut self) -> eyre::Result<()> {
        let index = self.pick_host();
        let (from, to) = [
            ("budget_extra=58", "budget_extra=40"),
            ("budget_extra=40", "budget_extra=58"),
            ("drain=2000ms", "drain=1800ms"),
            ("drain=1800ms", "drain=2000ms"),
        ][self.rng.random_range(0..4)];
        self.record(format!("host {index}: setting {from} changed to {to}"));
        self.deployment.hosts.hosts[index].edit_settings(from, to)?;
        Ok(())
    }

    /// Ends the faults that are due, or all of them.
    pub(crate) fn end_faults(&mut self, all: bool) -> eyre::Result<()> {
        let now = tokio::time::Instant::now();
        let (due, remaining): (Vec<Undo>, Vec<Undo>) = self
            .pending
            .drain(..)
            .partition(|(at, _)| all || *at <= now);
        self.pending = remaining;
        for (_, kind) in due {
            self.end_fault(kind)?;
        }
        if all {
            // Replacing a target moves another to its index, so all targets are reset here.
            for proxied in &self.deployment.targets {
                proxied.target.set_mode(TargetMode::Serve);
                proxied.target.set_rate_limit(None);
                proxied.target.set_busy(None);
                proxied.target.restart();
                proxied.proxy.set_mode(FaultProxyMode::Pass);
            }
            (0..self.deployment.hosts.hosts.len())
                .try_for_each(|i| self.deployment.hosts.start(i))?;
        }
        Ok(())
    }

    fn end_fault(&mut self, kind: UndoKind) -> eyre::Result<()> {
        match kind {
            UndoKind::Target(index) => {
                if let Some(proxied) = self.deployment.targets.get(index) {
                    proxied.target.set_mode(TargetMode::Serve);
                }
            }
            UndoKind::RateLimit(index) => {
                if let Some(proxied) = self.deployment.targets.get(index) {
                    proxied.target.set_rate_limit(None);
                }
            }
            UndoKind::Notice(index) => {
                if let Some(proxied) = self.deployment.targets.get(index) {
                    proxied.target.set_busy(None);
                    proxied.target.restart();
                }
            }
            UndoKind::TargetProxy(index) => {
                if let Some(proxied) = self.deployment.targets.get(index) {
                    proxied.proxy.set_mode(FaultProxyMode::Pass);
                }
            }
            UndoKind::Store => self.deployment.store.set_mode(StoreMode::Serve),
            UndoKind::StoreProxy => self.deployment.store_proxy.set_mode(FaultProxyMode::Pass),
            UndoKind::Continue(index) => {
                self.deployment.hosts.hosts[index].signal(Signal::CONT);
            }
            UndoKind::Start(index) => self.deployment.hosts.start(index)?,
        }
        Ok(())
    }
}
