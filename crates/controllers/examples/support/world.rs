//! Simulates the targets and the store of a version move.

use super::setup::{Fault, Setup};
use heatherhinge_controllers::{MoveReport, MoveRow, StoreUnavailable, WriteOutcome};
use heatherhinge_types::Name;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// A disturbance that is on and off at random.
#[derive(Clone, Copy, Debug, Default)]
struct Disturbance {
    is_on: bool,
    until_ms: u64,
}

impl Disturbance {
    /// Switches it on for 3 to 15 s and off for 10 s to 2 min.
    fn step(&mut self, ms: u64, rng: &mut Pcg64Mcg) {
        if ms < self.until_ms {
            return;
        }
        self.is_on = !self.is_on && self.until_ms > 0;
        let length_ms = if self.is_on {
            3_000..15_000
        } else {
            10_000..120_000
        };
        self.until_ms = ms + rng.random_range(length_ms);
    }
}

/// The targets of both versions.
pub struct Targets {
    setup: Setup,
    zones: Vec<Disturbance>,
    old: Vec<Disturbance>,
    new: Vec<Disturbance>,
    share: f64,
}

impl Targets {
    pub fn new(setup: &Setup) -> Self {
        Self {
            zones: vec![Disturbance::default(); setup.zones],
            old: vec![Disturbance::default(); setup.targets],
            new: vec![Disturbance::default(); setup.targets],
            setup: setup.clone(),
            share: 0.0,
        }
    }

    pub fn step(&mut self, ms: u64, new_share: f64, rng: &mut Pcg64Mcg) {
        self.share += (new_share - self.share) / 10.0;
        if self.setup.is_noisy {
            let disturbances = self
                .zones
                .iter_mut()
                .chain(&mut self.old)
                .chain(&mut self.new);
            disturbances.for_each(|disturbance| disturbance.step(ms, rng));
        }
    }

    /// Returns whether the fault of the new version is active on a route.
    pub fn is_harmful(&self, ms: u64, route: usize) -> bool {
        match self.setup.fault {
            Fault::None => false,
            Fault::Broken | Fault::Fails | Fault::Slow => true,
            Fault::FailsLater => ms >= 90_000,
            Fault::UnderLoad => self.share > 0.3,
            Fault::OneRoute => route + 1 == self.setup.routes.len(),
        }
    }

    /// Returns the latency of a good response in nanoseconds, or `None` for a failed one, and
    /// whether the fault of the version affected it.
    pub fn answer(
        &self,
        ms: u64,
        is_new: bool,
        zone: usize,
        route: usize,
        rng: &mut Pcg64Mcg,
    ) -> (Option<u64>, bool) {
        let targets = if is_new { &self.new } else { &self.old };
        let target = targets[rng.random_range(0..targets.len())];
        let zone = self.zones[zone];
        let mut failures = 0.002 + if zone.is_on { 0.02 } else { 0.0 };
        let mut slower = if zone.is_on { 2.5 } else { 1.0 };
        slower *= if target.is_on { 2.0 } else { 1.0 };
        let is_harmful = is_new && self.is_harmful(ms, route);
        let mut harm = 0.0;
        if is_harmful {
            match self.setup.fault {
                Fault::Slow => slower *= 2.0,
                Fault::Broken => harm = 1.0,
                Fault::UnderLoad | Fault::OneRoute => harm = 0.3,
                _ => harm = 0.2,
            }
        }
        let is_harmed = is_harmful && (self.setup.fault == Fault::Slow || rng.random_bool(harm));
        failures += if is_harmed && harm > 0.0 { 1.0 } else { 0.0 };
        if rng.random_bool(f64::min(failures, 1.0)) {
            return (None, is_harmed);
        }
        let base_ns = 20e6 * (route as f64 + 1.0);
        (
            Some((base_ns * slower * latency_factor(rng)) as u64),
            is_harmed,
        )
    }
}

/// Returns a random factor with the long tail of service times: log-normal, deviation 0.4.
fn latency_factor(rng: &mut Pcg64Mcg) -> f64 {
    let sum: f64 = (0..6).map(|_| rng.random::<f64>()).sum();
    ((sum - 3.0) * 0.4 * std::f64::consts::SQRT_2).exp()
}

/// Returns a random number of the Poisson distribution; `mean` must be small.
pub fn poisson(mean: f64, rng: &mut Pcg64Mcg) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// An in-memory table service.
#[derive(Default)]
pub struct Store {
    pub is_down: bool,
    pub rows: BTreeMap<Name, MoveRow>,
    /// Reports that took effect, in order.
    pub reports: Vec<MoveReport>,
}

impl Store {
    pub fn read(&self, move_id: &Name) -> Result<Option<MoveRow>, StoreUnavailable> {
        if self.is_down {
            return Err(StoreUnavailable);
        }
        Ok(self.rows.get(move_id).cloned())
    }

    pub fn write(&mut self, row: MoveRow, expected_step: Option<u64>) -> WriteOutcome {
        if self.is_down {
            return WriteOutcome::Unknown;
        }
        let stored = self.rows.get(&row.move_id).map(|row| row.step);
        if stored != expected_step {
            return WriteOutcome::Conflict;
        }
        self.rows.insert(row.move_id.clone(), row);
        WriteOutcome::Written
    }

    pub fn report(&mut self, report: MoveReport) -> WriteOutcome {
        let is_same = |r: &MoveReport| r.move_id == report.move_id && r.state == report.state;
        if self.is_down {
            WriteOutcome::Unknown
        } else if self.reports.iter().any(is_same) {
            WriteOutcome::Conflict
        } else {
            self.reports.push(report);
            WriteOutcome::Written
        }
    }
}
