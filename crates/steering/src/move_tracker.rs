//! Splits requests between the two sides of a version move and counts their responses.

use crate::{MoveProgress, MoveStage, RouteTally, Side, Tally};
use heatherhinge_orders::MoveOrder;
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

/// Share of the service's requests in the canary stage, in thousandths.
const CANARY_MILLI: u64 = 40;
/// Largest share of all requests since the order that an unproven version may receive, in
/// thousandths. The requirements allow a tenth; the rest covers hosts that restart and count from
/// 0.
const EXPOSURE_MILLI: u64 = 80;
/// Share of the requests in the ramp stage, in thousandths, until [`EXPOSURE_MILLI`] is reached.
const RAMP_MILLI: u64 = 350;

/// Counts of one side on one route.
#[derive(Debug, Default)]
struct SideCounts {
    answers: AtomicU32,
    bad: AtomicU32,
    slow: AtomicU32,
    /// Smoothed time of successful responses in microseconds; 0 before the first.
    usual_us: AtomicU64,
}

impl SideCounts {
    fn tally(&self) -> Tally {
        Tally {
            answers: self.answers.load(Ordering::Relaxed),
            bad: self.bad.load(Ordering::Relaxed),
            slow: self.slow.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug, Default)]
struct RouteCounts {
    current: SideCounts,
    moving: SideCounts,
}

impl RouteCounts {
    const fn side(&self, side: Side) -> &SideCounts {
        match side {
            Side::Current => &self.current,
            Side::Moving => &self.moving,
        }
    }
}

/// A move in progress: chooses the side of each request and counts the responses of both sides.
#[derive(Debug)]
pub struct MoveTracker {
    /// Order that started the move.
    pub order: MoveOrder,
    /// Version of the store at which the order was written; it identifies the move.
    pub order_version: u64,
    stage: AtomicU8,
    searches: AtomicU64,
    moving_searches: AtomicU64,
    requests: AtomicU64,
    moving_sends: AtomicU64,
    current_in_flight: AtomicU32,
    routes: BTreeMap<Name, RouteCounts>,
    other_routes: RouteCounts,
}

/// How one host has split its requests between the sides of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCounts {
    /// Searches for a target.
    pub searches: u64,
    /// Searches among the targets of the new version.
    pub moving_searches: u64,
    /// Requests that were sent to any target.
    pub requests: u64,
    /// Sends to targets of the new version, retries included.
    pub moving_sends: u64,
}

/// Outcome of a request that counts for the move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveSample {
    /// A successful response, with its time in microseconds adjusted to a target of usual speed.
    Good(u64),
    /// A failure.
    Bad,
}

/// Responses before the usual time of a side counts as known.
const USUAL_MIN_ANSWERS: u32 = 8;
/// A response counts as slow above this multiple of the current version's usual time.
const SLOW_FACTOR: u64 = 3;

impl MoveTracker {
    /// Starts a move with separate counts for these routes.
    #[must_use]
    pub fn new(order: MoveOrder, order_version: u64, routes: &[Name]) -> Self {
        Self {
            order,
            order_version,
            stage: AtomicU8::new(MoveStage::Canary.code()),
            searches: AtomicU64::new(0),
            moving_searches: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            moving_sends: AtomicU64::new(0),
            current_in_flight: AtomicU32::new(0),
            routes: routes
                .iter()
                .map(|name| (name.clone(), RouteCounts::default()))
                .collect(),
            other_routes: RouteCounts::default(),
        }
    }

    /// Returns the stage of the move.
    #[must_use]
    pub fn stage(&self) -> MoveStage {
        MoveStage::from_code(self.stage.load(Ordering::Acquire))
    }

    /// Sets the stage of the move.
    pub fn set_stage(&self, stage: MoveStage) {
        self.stage.store(stage.code(), Ordering::Release);
    }

    /// Chooses the side of the next search for a target and counts the search there.
    pub fn choose_side(&self) -> Side {
        let total = self.searches.fetch_add(1, Ordering::Relaxed) + 1;
        match self.stage() {
            MoveStage::RolledBack => Side::Current,
            MoveStage::Shift | MoveStage::Completed => {
                self.moving_searches.fetch_add(1, Ordering::Relaxed);
                Side::Moving
            }
            MoveStage::Canary => self.take_exposure(total, CANARY_MILLI),
            MoveStage::Ramp if total % 1_000 % 20 * 50 < RAMP_MILLI => {
                self.take_exposure(total, EXPOSURE_MILLI)
            }
            MoveStage::Ramp => Side::Current,
        }
    }

    fn take_exposure(&self, total: u64, share_milli: u64) -> Side {
        let cap = total * share_milli / 1_000 + 1;
        let taken =
            self.moving_searches
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |moved| {
                    (moved < cap).then_some(moved + 1)
                });
        if taken.is_ok() {
            Side::Moving
        } else {
            Side::Current
        }
    }

    /// Counts a request as sent to a side; `is_first_send` tells whether it was sent nowhere before.
    pub fn begin(&self, side: Side, is_first_send: bool) {
        self.requests
            .fetch_add(u64::from(is_first_send), Ordering::Relaxed);
        match side {
            Side::Current => self.current_in_flight.fetch_add(1, Ordering::AcqRel).into(),
            Side::Moving => self.moving_sends.fetch_add(1, Ordering::Relaxed),
        };
    }

    /// Counts a request as ended at a side.
    pub fn end(&self, side: Side) {
        if side == Side::Current {
            self.current_in_flight.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Counts a response of a side.
    pub fn count(&self, route: &Name, side: Side, sample: MoveSample) {
        let route = self.routes.get(route).unwrap_or(&self.other_routes);
        let counts = route.side(side);
        counts.answers.fetch_add(1, Ordering::Relaxed);
        match sample {
            MoveSample::Bad => {
                counts.bad.fetch_add(1, Ordering::Relaxed);
            }
            MoveSample::Good(took_us) => {
                if is_slow(&route.current, took_us) {
                    counts.slow.fetch_add(1, Ordering::Relaxed);
                } else {
                    smooth(&counts.usual_us, took_us);
                }
            }
        }
    }

    /// Returns how this host has split its requests so far.
    #[must_use]
    pub fn share(&self) -> ShareCounts {
        ShareCounts {
            searches: self.searches.load(Ordering::Relaxed),
            moving_searches: self.moving_searches.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
            moving_sends: self.moving_sends.load(Ordering::Relaxed),
        }
    }

    /// Returns the progress for gossip, with `is_reported` unset.
    #[must_use]
    pub fn state(&self, elapsed_ms: u64) -> MoveProgress {
        let tally = |(name, counts): (&Name, &RouteCounts)| RouteTally {
            route: name.clone(),
            current: counts.current.tally(),
            moving: counts.moving.tally(),
        };
        let mut routes: Vec<RouteTally> = self
            .routes
            .iter()
            .map(tally)
            .filter(|route| route.current.answers + route.moving.answers > 0)
            .collect();
        let other_routes = tally((&Name::new(""), &self.other_routes));
        if other_routes.current.answers + other_routes.moving.answers > 0 {
            routes.push(other_routes);
        }
        MoveProgress {
            service: self.order.service.clone(),
            order_version: self.order_version,
            stage: self.stage(),
            elapsed_ms,
            is_reported: false,
            current_in_flight: self.current_in_flight.load(Ordering::Acquire),
            routes,
        }
    }
}

fn is_slow(current: &SideCounts, took_us: u64) -> bool {
    let is_known = current.answers.load(Ordering::Relaxed) >= USUAL_MIN_ANSWERS;
    let usual_us = current.usual_us.load(Ordering::Relaxed);
    is_known && usual_us > 0 && took_us > usual_us * SLOW_FACTOR
}

fn smooth(cell: &AtomicU64, sample: u64) {
    let old = cell.load(Ordering::Relaxed);
    let new = if old == 0 {
        sample
    } else {
        (old * 7 + sample) / 8
    };
    cell.store(new.max(1), Ordering::Relaxed);
}
