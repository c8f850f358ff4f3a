//! Compares a new version with the old one by sequential statistical tests. See
//! `docs/controllers/moves.md`.
//!
//! All statistics compare both versions within the same second, route and zone, so a disturbance
//! that slows or breaks both does not count against the new one.

use heatherhinge_types::Name;
use std::collections::BTreeMap;

/// Largest probability that a version as good as the old one is rolled back in a whole move.
const FALSE_ALARM_PROBABILITY: f64 = 0.01;
/// Largest probability that a worse version passes a step.
const MISS_PROBABILITY: f64 = 0.05;
/// Failed or slow responses expected in a long move. The bound on the probability of a false alarm
/// grows with their number, because a sequential test may start again after each.
const EXPECTED_EVENTS: f64 = 50_000.0;
/// Odds of the new version that are still allowed, by [`Measure`]. Neighbouring workloads slow
/// single targets of either version: with 1.0 for slowness, 6 of 60 good moves of a simulated
/// customer were rolled back.
const ALLOWED_ODDS: [f64; 2] = [1.0, 2.0];
/// Odds by which a worse version fails or is slow more often, by [`Measure`]. The small ratio
/// detects a small regression late, the large one detects a large regression early.
const WORSE_ODDS: [[f64; 2]; 2] = [[2.0, 8.0], [4.0, 12.0]];
/// Largest change of a statistic by the responses of one second. Responses of the same second are
/// not independent: one crash of a target fails several at once.
const WINDOW_CAP: f64 = 4.0;
/// A version that fails or is slow this many times as often as the old one must not pass.
const WORSE_FACTOR: f64 = 3.0;
/// Smallest rate of the old version that the factor is applied to, by [`Measure`].
const RATE_FLOOR: [f64; 2] = [0.005, 0.02];
/// [`WORSE_FACTOR`] for one route. A route with a seventh of 400 calls/s has 1.2 responses of the
/// new version a second at a cap of 2%: with the limits of the total it needs 4 min to pass, and
/// half of the good moves of 10 min end late.
const ROUTE_WORSE_FACTOR: f64 = 4.0;
/// [`RATE_FLOOR`] for one route.
const ROUTE_RATE_FLOOR: [f64; 2] = [0.01, 0.02];
/// Routes with less than this share of the responses are judged only as part of the total.
const SMALL_ROUTE: f64 = 0.01;

/// Counts of the responses of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Good responses, slow ones included.
    pub good: u64,
    /// Failed responses.
    pub failed: u64,
    /// Good responses that were slow.
    pub slow: u64,
}

impl Counts {
    /// Returns the number of responses, good and failed.
    #[must_use]
    pub const fn answers(self) -> u64 {
        self.good + self.failed
    }

    /// Returns the difference to an earlier reading; 0 where a count went down.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Adds other counts to these.
    pub const fn add(&mut self, more: Self) {
        self.good += more.good;
        self.failed += more.failed;
        self.slow += more.slow;
    }
}

/// Responses of both versions in the same second, route and zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stratum {
    /// Responses of the old version.
    pub old: Counts,
    /// Responses of the new version.
    pub new: Counts,
}

impl Stratum {
    fn add(&mut self, more: Self) {
        self.old.add(more.old);
        self.new.add(more.new);
    }
}

/// Responses of about one second, by route and zone.
pub type Window = BTreeMap<(Name, Name), Stratum>;

/// The property that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Failed responses among all.
    Failures,
    /// Slow responses among the good ones.
    Slowness,
}

impl Measure {
    /// Returns the numbers of trials and of events, which are at most the trials.
    fn of(self, counts: Counts) -> (f64, f64) {
        let (trials, events) = match self {
            Self::Failures => (counts.answers(), counts.failed),
            Self::Slowness => (counts.good, counts.slow),
        };
        (trials as f64, events.min(trials) as f64)
    }
}

/// Result of the analysis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// More responses are needed.
    Undecided,
    /// The new version is worse.
    Worse {
        /// The route, or `None` for the total.
        route: Option<Name>,
        /// The property that is worse.
        measure: Measure,
    },
    /// The new version is not worse in this step.
    NotWorse,
}

/// The statistics of one measure, on one route or in total.
#[derive(Clone, Debug)]
struct Statistic {
    measure: Measure,
    /// Sequential statistics, one for each ratio of [`WORSE_ODDS`]; they are reset below 0.
    ratio: [f64; 2],
    /// Statistic against the old version's rate, rounded up. It detects failures when nearly all
    /// requests go to the new version.
    absolute: f64,
    /// Trials and events of the old version in the last few seconds, by route and zone.
    recent_old: BTreeMap<(Name, Name), (f64, f64)>,
}

impl Statistic {
    const fn new(measure: Measure) -> Self {
        Self {
            measure,
            ratio: [0.0; 2],
            absolute: 0.0,
            recent_old: BTreeMap::new(),
        }
    }

    fn observe(&mut self, window: &Window) {
        let odds = WORSE_ODDS[self.measure as usize];
        for (statistic, odds) in self.ratio.iter_mut().zip(odds) {
            let gain: f64 = window
                .values()
                .map(|s| ratio_gain(self.measure, *s, odds))
                .sum();
            *statistic = (*statistic + gain.clamp(-WINDOW_CAP, WINDOW_CAP)).max(0.0);
        }
        if self.measure == Measure::Failures {
            self.observe_absolute(window);
        }
    }

    fn observe_absolute(&mut self, window: &Window) {
        let (mut new, mut new_events) = (0.0, 0.0);
        for (key, stratum) in window {
            let (old, old_events) = self.measure.of(stratum.old);
            // Halving keeps the last few seconds, so that a disturbance of both versions shows in
            // the old one at once.
            let recent = self.recent_old.entry(key.clone()).or_default();
            *recent = (recent.0 / 2.0 + old, recent.1 / 2.0 + old_events);
            let counted = self.measure.of(stratum.new);
            (new, new_events) = (new + counted.0, new_events + counted.1);
        }
        let good = self.expected_rate(window, new);
        let bad = (WORSE_FACTOR * good).min(0.95);
        if good < bad {
            let gain = binomial_gain(new, new_events, good, bad);
            self.absolute = (self.absolute + gain.clamp(-WINDOW_CAP, WINDOW_CAP)).max(0.0);
        }
    }

    /// Returns the rate of events that the new version would have if it were as good as the old one
    /// on each route and in each zone. The old rates are rounded up: 2 more events in 10 more
    /// trials overall, and for each route and zone 2 more trials at the overall rate.
    fn expected_rate(&self, window: &Window, new: f64) -> f64 {
        let recent = self.recent_old.values();
        let sum = recent.fold((10.0, 2.0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
        let all = sum.1 / sum.0;
        let expected = window.iter().map(|(key, stratum)| {
            let (old, events) = self.recent_old.get(key).copied().unwrap_or_default();
            self.measure.of(stratum.new).0 * (events + 2.0 * all) / (old + 2.0)
        });
        (expected.sum::<f64>() / new.max(1.0)).max(all.min(RATE_FLOOR[0]))
    }

    fn strongest(&self) -> f64 {
        self.ratio.iter().copied().fold(self.absolute, f64::max)
    }
}

/// Returns the log-likelihood ratio of one stratum for these odds against the allowed ones.
///
/// Given the number of events in the stratum, the new version's share of them depends on the odds
/// alone and not on the rate, which a disturbance changes.
fn ratio_gain(measure: Measure, stratum: Stratum, odds: f64) -> f64 {
    let ((old, old_events), (new, new_events)) = (measure.of(stratum.old), measure.of(stratum.new));
    if old == 0.0 || new == 0.0 {
        return 0.0;
    }
    let share = |odds: f64| odds * new / (odds * new + old);
    let (allowed, worse) = (share(ALLOWED_ODDS[measure as usize]), share(odds));
    new_events * (worse / allowed).ln() + old_events * ((1.0 - worse) / (1.0 - allowed)).ln()
}

/// Returns the log-likelihood ratio of the rate `bad` against the rate `good`.
fn binomial_gain(trials: f64, events: f64, good: f64, bad: f64) -> f64 {
    events * (bad / good).ln() + (trials - events) * ((1.0 - bad) / (1.0 - good)).ln()
}

/// The statistics of one route or of the total.
#[derive(Clone, Debug)]
struct ScopeStatistics {
    statistics: [Statistic; 2],
    whole: Stratum,
    step: Stratum,
}

impl Default for ScopeStatistics {
    fn default() -> Self {
        Self {
            statistics: [
                Statistic::new(Measure::Failures),
                Statistic::new(Measure::Slowness),
            ],
            whole: Stratum::default(),
            step: Stratum::default(),
        }
    }
}

impl ScopeStatistics {
    fn observe(&mut self, window: &Window) {
        for statistic in &mut self.statistics {
            statistic.observe(window);
        }
        for stratum in window.values() {
            self.whole.add(*stratum);
            self.step.add(*stratum);
        }
    }

    fn is_not_worse(&self, measure: Measure, factor: f64, floors: [f64; 2]) -> bool {
        let rate = |counts| {
            let (trials, events) = measure.of(counts);
            events / trials.max(1.0)
        };
        let floor = floors[measure as usize];
        let good = rate(self.whole.old).max(rate(self.step.old)).max(floor);
        let bad = (factor * good).min(0.95);
        let (new, new_events) = measure.of(self.step.new);
        // An old version with a rate of 0.95 or more is no reference for a good one.
        good < bad && binomial_gain(new, new_events, good, bad) <= MISS_PROBABILITY.ln()
    }
}

/// The analysis of one move.
#[derive(Clone, Debug, Default)]
pub struct CanaryAnalysis {
    routes: BTreeMap<Name, ScopeStatistics>,
    total: ScopeStatistics,
    /// Number of parallel analyses that share the probability of a false alarm.
    parallel: u32,
}

impl CanaryAnalysis {
    /// Creates one of `parallel` analyses that run side by side, such as one on each host. They
    /// share the probability of a false alarm.
    #[must_use]
    pub fn new(parallel: u32) -> Self {
        Self {
            parallel: parallel.max(1),
            ..Self::default()
        }
    }

    /// Adds the responses of about one second.
    pub fn observe(&mut self, window: &Window) {
        let mut routes: BTreeMap<&Name, Window> = BTreeMap::new();
        for (key, stratum) in window {
            let route = routes.entry(&key.0).or_default();
            route.insert(key.clone(), *stratum);
        }
        for (route, window) in routes {
            self.routes
                .entry(route.clone())
                .or_default()
                .observe(&window);
        }
        self.total.observe(window);
    }

    /// Resets the counts of the step. The evidence that the new version is worse is kept.
    pub fn begin_step(&mut self) {
        for scope in self.routes.values_mut().chain([&mut self.total]) {
            scope.step = Stratum::default();
        }
    }

    /// Returns the responses since the move began, for decision records.
    #[must_use]
    pub fn whole(&self) -> Stratum {
        self.total.whole
    }

    /// Judges the new version. It passes a step only with at least `min_samples` responses in it.
    #[must_use]
    pub fn judge(&self, min_samples: u32) -> Judgement {
        if let Some(worse) = self.worse() {
            return worse;
        }
        let is_enough = self.total.step.new.answers() >= u64::from(min_samples);
        let total = answers(self.total.step) as f64;
        let judged = self.routes.values().filter(|scope| {
            let route = answers(scope.step) as f64;
            route >= SMALL_ROUTE * total && route > 0.0
        });
        let passes = |scope: &ScopeStatistics, factor, floors| {
            scope.is_not_worse(Measure::Failures, factor, floors)
                && scope.is_not_worse(Measure::Slowness, factor, floors)
        };
        let is_total_passed = passes(&self.total, WORSE_FACTOR, RATE_FLOOR);
        let mut routes = judged.map(|scope| passes(scope, ROUTE_WORSE_FACTOR, ROUTE_RATE_FLOOR));
        if is_enough && is_total_passed && routes.all(|is_passed| is_passed) {
            Judgement::NotWorse
        } else {
            Judgement::Undecided
        }
    }

    /// Returns [`Judgement::Worse`] with the strongest statistic, if that exceeds the threshold.
    #[must_use]
    pub fn worse(&self) -> Option<Judgement> {
        // Two statistics of slowness and three of failures, for each route and for the total.
        let tests = 5.0 * (self.routes.len() as f64 + 1.0) * f64::from(self.parallel);
        let threshold = (tests * EXPECTED_EVENTS / FALSE_ALARM_PROBABILITY).ln();
        let routes = self
            .routes
            .iter()
            .map(|(route, scope)| (Some(route), scope));
        let strongest = routes
            .chain([(None, &self.total)])
            .flat_map(|(route, scope)| scope.statistics.iter().map(move |s| (route, s)))
            .max_by(|a, b| a.1.strongest().total_cmp(&b.1.strongest()))?;
        let (route, statistic) = strongest;
        (statistic.strongest() > threshold).then(|| Judgement::Worse {
            route: route.cloned(),
            measure: statistic.measure,
        })
    }
}

fn answers(stratum: Stratum) -> u64 {
    stratum.old.answers() + stratum.new.answers()
}
