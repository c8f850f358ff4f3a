//! A randomized soak: faults drawn from a seed, in series and overlapping.

use crate::deployment::{Deployment, DeploymentConfig};
use crate::fault_proxy::FaultProxyMode;
use crate::invariant_checker::Violation;
use crate::store::StoreMode;
use crate::target::TargetMode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time after a fault for which promises with a time bound are not checked. The users' pages allow
/// 3 s for a host and 5 s for the store; a process that is paused or killed adds its own time.
const RECOVERY: Duration = Duration::from_secs(8);
/// Longest time for a planned stop, the grace period and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Shortest and longest time between two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..1_200;
/// Callers and the pause between their requests.
const CALLERS: u64 = 12;
const CALLER_PAUSE: Duration = Duration::from_millis(25);
/// Share of the requests, in percent, that must be answered well in spite of the faults.
const MIN_GOOD_PERCENT: u64 = 25;

/// Kinds of faults that seeds below [`ALL_KINDS_FROM`] draw from. Seeds that have failed are kept as
/// cases, and their faults must stay as they were.
const FIRST_KINDS: u32 = 14;
/// Kinds of faults that later seeds draw from: hosts that are all killed at once, and changed
/// settings, are added.
const ALL_KINDS: u32 = 16;
/// First seed that draws from all kinds.
const ALL_KINDS_FROM: u64 = 1_000;

/// How a soak ended.
#[derive(Debug)]
pub struct SoakReport {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Good answers.
    pub good: u64,
    /// Refusals and failures.
    pub failed: u64,
    /// The faults that were played, in order.
    pub faults: Vec<String>,
}

/// A fault that ends after some time.
type Undo = (tokio::time::Instant, UndoKind);

#[derive(Clone, Copy, Debug)]
enum UndoKind {
    Target(usize),
    TargetLink(usize),
    Store,
    StoreLink,
    Continue(usize),
    Start(usize),
}

/// Plays one seed for a time and returns what was seen.
///
/// # Errors
///
/// Fails when the deployment cannot be started, or when a host does not come back.
pub async fn soak(
    program: &Path,
    dir: &Path,
    plan: DeploymentConfig,
    seed: u64,
    lasts: Duration,
) -> eyre::Result<SoakReport> {
    let mut player = Player {
        deployment: Deployment::start(program, dir, plan).await?,
        kinds: if seed < ALL_KINDS_FROM {
            FIRST_KINDS
        } else {
            ALL_KINDS
        },
        rng: Pcg64Mcg::seed_from_u64(seed),
        undo: Vec::new(),
        faults: Vec::new(),
    };
    let stop = Arc::new(AtomicBool::new(false));
    let callers = player.deployment.callers();
    let stopped = Arc::clone(&stop);
    let calling =
        tokio::spawn(async move { callers.run(CALLERS, CALLER_PAUSE, seed, stopped).await });
    let until = tokio::time::Instant::now() + lasts;
    while tokio::time::Instant::now() < until {
        player.fault().await?;
        let gap = Duration::from_millis(player.rng.random_range(GAP_MS));
        player.deployment.run_for(gap).await;
        player.undo(false)?;
    }
    player.undo(true)?;
    player.deployment.wait_ready().await?;
    let calm = Duration::from_secs(2);
    player.deployment.run_for(calm).await;
    stop.store(true, Ordering::Release);
    // A caller that panicked shows as missing requests.
    calling.await.ok();
    let checker = Arc::clone(&player.deployment.checker);
    let (good, failed) = checker.counts();
    if good * 100 < (good + failed) * MIN_GOOD_PERCENT {
        checker.violation(
            "callers are served",
            format!("{good} good, {failed} failed"),
        );
    }
    Ok(SoakReport {
        violations: checker.finish(),
        good,
        failed,
        faults: player.faults,
    })
}

struct Player {
    deployment: Deployment,
    /// Kinds of faults that are drawn.
    kinds: u32,
    rng: Pcg64Mcg,
    undo: Vec<Undo>,
    faults: Vec<String>,
}

impl Player {
    fn note(&mut self, fault: String) {
        self.faults.push(fault);
    }

    fn lasts(&mut self, undo: UndoKind, ms: std::ops::Range<u64>) {
        let lasts = Duration::from_millis(self.rng.random_range(ms));
        let at = tokio::time::Instant::now() + lasts;
        self.deployment
            .checker
            .suspend_timing_checks(lasts + RECOVERY);
        self.undo.push((at, undo));
    }

    async fn fault(&mut self) -> eyre::Result<()> {
        match self.rng.random_range(0..self.kinds) {
            0 | 1 => self.spoil_target(),
            2 | 3 => self.spoil_target_link(),
            4 => self.crash_target().await?,
            5 | 6 => self.leave_target().await?,
            7 => self.spoil_store(),
            8 => self.spoil_store_link(),
            9 => self.stop_host().await,
            10 => self.kill_host(),
            11 => self.pause_host(),
            12 => {
                self.note("new configuration".to_owned());
                self.deployment.write_config();
            }
            14 => self.kill_all_hosts(),
            15 => self.edit_settings()?,
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

    fn spoil_target(&mut self) {
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
        self.note(format!("target {index}: {mode:?}"));
        self.deployment.targets[index].target.set_mode(mode);
        let at = tokio::time::Instant::now() + Duration::from_secs(3);
        self.undo.push((at, UndoKind::Target(index)));
    }

    fn spoil_target_link(&mut self) {
        let index = self.pick_target();
        let proxy = Arc::clone(&self.deployment.targets[index].proxy);
        if self.rng.random_range(0..3) == 0 {
            self.note(format!("link of target {index}: reset"));
            proxy.reset();
            return;
        }
        let mode = [
            FaultProxyMode::Delay(60),
            FaultProxyMode::MuteForward,
            FaultProxyMode::MuteBack,
        ][self.rng.random_range(0..3)];
        self.note(format!("link of target {index}: {mode:?}"));
        proxy.set_mode(mode);
        self.lasts(UndoKind::TargetLink(index), 300..2_500);
    }

    async fn crash_target(&mut self) -> eyre::Result<()> {
        let index = self.pick_target();
        let linked = self.deployment.targets.swap_remove(index);
        let id = linked.target.spec().id.clone();
        self.note(format!("target {id} crashes and is replaced"));
        linked.target.crash();
        // Its entry lapses, as it does after three missed heartbeats.
        self.deployment.store.remove("servers", &id);
        self.deployment.add_target("v1").await
    }

    async fn leave_target(&mut self) -> eyre::Result<()> {
        let index = self.pick_target();
        let linked = self.deployment.targets.swap_remove(index);
        self.note(format!("target {} leaves", linked.target.spec().id));
        linked.target.leave(&self.deployment.store);
        self.deployment.add_target("v1").await
    }

    fn spoil_store(&mut self) {
        if self.rng.random_range(0..4) == 0 {
            self.note("store: history is forgotten".to_owned());
            self.deployment.store.forget_history();
            return;
        }
        let mode = [
            StoreMode::Refuse,
            StoreMode::Silent,
            StoreMode::Slow(250),
            StoreMode::LoseAnswers,
        ][self.rng.random_range(0..4)];
        self.note(format!("store: {mode:?}"));
        self.deployment.store.set_mode(mode);
        self.lasts(UndoKind::Store, 500..4_000);
    }

    fn spoil_store_link(&mut self) {
        let proxy = Arc::clone(&self.deployment.store_proxy);
        let mode = [
            FaultProxyMode::Delay(150),
            FaultProxyMode::MuteForward,
            FaultProxyMode::MuteBack,
        ][self.rng.random_range(0..3)];
        self.note(format!("link of the store: {mode:?}"));
        proxy.set_mode(mode);
        if self.rng.random_range(0..2) == 0 {
            proxy.reset();
        }
        self.lasts(UndoKind::StoreLink, 300..3_000);
    }

    async fn stop_host(&mut self) {
        let index = self.pick_host();
        if !self.deployment.hosts.hosts[index].is_running() {
            return;
        }
        let number = self.deployment.hosts.hosts[index].number;
        let is_ready = self.deployment.is_ready(number).await;
        self.note(format!("host {index}: SIGTERM, ready: {is_ready}"));
        self.deployment.hosts.hosts[index].signal(Signal::TERM);
        // A host that is paused takes the signal when it goes on.
        let is_pause = |(_, kind): &Undo| matches!(kind, UndoKind::Continue(of) if *of == index);
        if self.undo.iter().any(is_pause) {
            self.note(format!("host {index}: continued"));
            self.deployment.hosts.hosts[index].signal(Signal::CONT);
            self.undo.retain(|undo| !is_pause(undo));
        }
        let ended = self.deployment.hosts.hosts[index].wait(STOP_TIMEOUT).await;
        // A process that has not set its signal handlers up yet is ended by the signal, and has
        // taken no request.
        let is_kept = if is_ready {
            ended == Some(true)
        } else {
            ended.is_some()
        };
        if !is_kept {
            self.deployment.checker.violation(
                "a planned stop ends within its grace period",
                format!("host {index}: {ended:?}"),
            );
        }
        self.lasts(UndoKind::Start(index), 100..1_500);
    }

    fn kill_host(&mut self) {
        let index = self.pick_host();
        self.note(format!("host {index}: SIGKILL"));
        self.deployment.hosts.hosts[index].kill();
        self.lasts(UndoKind::Start(index), 100..2_500);
    }

    fn pause_host(&mut self) {
        let index = self.pick_host();
        self.note(format!("host {index}: paused"));
        self.deployment.hosts.hosts[index].signal(Signal::STOP);
        self.lasts(UndoKind::Continue(index), 300..3_000);
    }

    fn reload_host(&mut self) {
        let index = self.pick_host();
        self.note(format!("host {index}: SIGHUP"));
        self.deployment.hosts.hosts[index].signal(Signal::HUP);
    }

    fn kill_all_hosts(&mut self) {
        self.note("all hosts: SIGKILL".to_owned());
        for index in 0..self.deployment.hosts.hosts.len() {
            self.deployment.hosts.hosts[index].kill();
            self.lasts(UndoKind::Start(index), 300..900);
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
        self.note(format!("settings of host {index}: {from} becomes {to}"));
        self.deployment.hosts.hosts[index].edit_settings(from, to)?;
        Ok(())
    }

    /// Ends the faults whose time is over, or all of them.
    fn undo(&mut self, all: bool) -> eyre::Result<()> {
        let now = tokio::time::Instant::now();
        let (over, left): (Vec<Undo>, Vec<Undo>) =
            self.undo.drain(..).partition(|(at, _)| all || *at <= now);
        self.undo = left;
        for (_, kind) in over {
            self.undo_one(kind)?;
        }
        if all {
            // Targets change places when one is replaced, so every one is put right.
            for linked in &self.deployment.targets {
                linked.target.set_mode(TargetMode::Serve);
                linked.proxy.set_mode(FaultProxyMode::Pass);
            }
            (0..self.deployment.hosts.hosts.len())
                .try_for_each(|i| self.deployment.hosts.start(i))?;
        }
        Ok(())
    }

    fn undo_one(&mut self, kind: UndoKind) -> eyre::Result<()> {
        match kind {
            UndoKind::Target(index) => {
                if let Some(linked) = self.deployment.targets.get(index) {
                    linked.target.set_mode(TargetMode::Serve);
                }
            }
            UndoKind::TargetLink(index) => {
                if let Some(linked) = self.deployment.targets.get(index) {
                    linked.proxy.set_mode(FaultProxyMode::Pass);
                }
            }
            UndoKind::Store => self.deployment.store.set_mode(StoreMode::Serve),
            UndoKind::StoreLink => self.deployment.store_proxy.set_mode(FaultProxyMode::Pass),
            UndoKind::Continue(index) => {
                self.deployment.hosts.hosts[index].signal(Signal::CONT);
            }
            UndoKind::Start(index) => self.deployment.hosts.start(index)?,
        }
        Ok(())
    }
}
