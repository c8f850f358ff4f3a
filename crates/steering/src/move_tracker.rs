//! Splits requests between the two sides of a version move and counts their responses.

use crate::{MoveProgress, MoveStage, RouteTally, Side, Tally};
use heatherhinge_orders::MoveOrder;
use heatherhinge_types::{Name, StoreVersion};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

/// Share of the service's requests in the canary stage, in thousandths.
const CANARY_MILLI: u64 = 40;
/// Largest share of all requests since the order that an unproven version may receive, in
/// thousandths. The requirements allow a tenth; the rest covers hosts that restart and count from
/// 0.
pub(crate) const EXPOSURE_MILLI: u64 = 80;
/// Share of the searches in the ramp stage that may go to the new version, in thousandths, until
/// [`EXPOSURE_MILLI`] is reached.
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

/// A count of requests and how many of them were given to the new version.
#[derive(Debug, Default)]
struct Split {
    total: AtomicU64,
    moving: AtomicU64,
}

impl Split {
    /// Returns how many of the requests, the next one included, a share allows.
    fn allowed(&self, share_milli: u64) -> u64 {
        let next = self.total.load(Ordering::Relaxed) + 1;
        next * share_milli / 1_000 + 1
    }

    /// Returns whether one more request stays within a share.
    fn has_room(&self, share_milli: u64) -> bool {
        self.moving.load(Ordering::Relaxed) < self.allowed(share_milli)
    }

    /// Takes one request from a share and returns whether there was room.
    fn take(&self, share_milli: u64) -> bool {
        let allowed = self.allowed(share_milli);
        self.moving
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |moving| {
                (moving < allowed).then_some(moving + 1)
            })
            .is_ok()
    }
}

/// A move in progress: chooses the side of each request and counts the responses of both sides.
#[derive(Debug)]
pub struct MoveTracker {
    /// Order that started the move.
    pub order: MoveOrder,
    stage: AtomicU8,
    searches: Split,
    sends: Split,
    current_in_flight: AtomicU32,
    routes: BTreeMap<Name, RouteCounts>,
    other_routes: RouteCounts,
}

/// How one host has split its requests between the sides of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCounts {
    /// First searches for a target while the new version is unproven.
    pub searches: u64,
    /// Those of them among the targets of the new version.
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
    /// No response in a time in microseconds, adjusted likewise. It tells nothing if the time was
    /// short.
    Unanswered(u64),
}

/// Responses before the usual time of a side counts as known.
const USUAL_MIN_ANSWERS: u32 = 8;
/// A response counts as slow above this multiple of the current version's usual time.
const SLOW_FACTOR: u64 = 3;
/// A request without a response counts as slow above this multiple of the current version's usual
/// time. Most are given up when the response to a hedged request arrives, before they would count as
/// slow responses.
const UNANSWERED_FACTOR: u64 = 2;

impl MoveTracker {
    /// Starts a move with separate counts for these routes.
    #[must_use]
    pub fn new(order: MoveOrder, routes: &[Name]) -> Self {
        Self {
            order,
            stage: AtomicU8::new(MoveStage::Canary.code()),
            searches: Split::default(),
            sends: Split::default(),
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

    /// Chooses the side on which a target is searched for. An unproven version is offered only the
    /// first search of a request, because each further one is another chance to reach it.
    #[must_use]
    pub fn choose_side(&self, is_first_search: bool) -> Side {
        match self.stage() {
            MoveStage::RolledBack => Side::Current,
            MoveStage::Shift | MoveStage::Completed => Side::Moving,
            MoveStage::Canary | MoveStage::Ramp if !is_first_search => Side::Current,
            MoveStage::Canary => self.explore(1_000, CANARY_MILLI),
            MoveStage::Ramp => self.explore(RAMP_MILLI, EXPOSURE_MILLI),
        }
    }

    /// Offers the new version up to `rate_milli` of the next searches, as long as it has received
    /// less than `share_milli` of all searches and of the requests that were sent. Searches alone
    /// are no measure, because those that find no target count too.
    fn explore(&self, rate_milli: u64, share_milli: u64) -> Side {
        let search = self.searches.total.fetch_add(1, Ordering::Relaxed);
        // The first ones of each 20 searches.
        let is_offered = search % 20 * 50 < rate_milli;
        if is_offered && self.sends.has_room(share_milli) && self.searches.take(share_milli) {
            Side::Moving
        } else {
            Side::Current
        }
    }

    /// Counts a request as sent to a side; `is_first_send` tells whether it was sent nowhere before.
    pub fn begin(&self, side: Side, is_first_send: bool) {
        let first = u64::from(is_first_send);
        self.sends.total.fetch_add(first, Ordering::Relaxed);
        match side {
            Side::Current => {
                self.current_in_flight.fetch_add(1, Ordering::AcqRel);
            }
            Side::Moving => {
                self.sends.moving.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Counts a request as ended at a side.
    pub fn end(&self, side: Side) {
        if side == Side::Current {
            self.current_in_flight.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Counts the outcome of a request at a side. A response after the route's objective counts as
    /// slow even if the current version is as slow.
    pub fn count(&self, route: &Name, side: Side, sample: MoveSample, objective_us: Option<u64>) {
        let route = self.routes.get(route).unwrap_or(&self.other_routes);
        let counts = route.side(side);
        let is_slow = |took_us, factor| {
            exceeds_usual(&route.current, took_us, factor)
                || objective_us.is_some_and(|objective_us| took_us > objective_us)
        };
        match sample {
            MoveSample::Bad => {
                counts.bad.fetch_add(1, Ordering::Relaxed);
            }
            MoveSample::Good(took_us) if is_slow(took_us, SLOW_FACTOR) => {
                counts.slow.fetch_add(1, Ordering::Relaxed);
            }
            MoveSample::Good(took_us) => smooth(&counts.usual_us, took_us),
            MoveSample::Unanswered(waited_us) if is_slow(waited_us, UNANSWERED_FACTOR) => {
                counts.slow.fetch_add(1, Ordering::Relaxed);
            }
            MoveSample::Unanswered(_) => return,
        }
        counts.answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how this host has split its requests so far.
    #[must_use]
    pub fn share(&self) -> ShareCounts {
        ShareCounts {
            searches: self.searches.total.load(Ordering::Relaxed),
            moving_searches: self.searches.moving.load(Ordering::Relaxed),
            requests: self.sends.total.load(Ordering::Relaxed),
            moving_sends: self.sends.moving.load(Ordering::Relaxed),
        }
    }

    /// Returns the progress for gossip, with `order_version` and `is_reported` unset.
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
            order_version: StoreVersion::NONE,
            stage: self.stage(),
            elapsed_ms,
            is_reported: false,
            current_in_flight: self.current_in_flight.load(Ordering::Acquire),
            routes,
        }
    }
}

fn exceeds_usual(current: &SideCounts, took_us: u64, factor: u64) -> bool {
    let is_known = current.answers.load(Ordering::Relaxed) >= USUAL_MIN_ANSWERS;
    let usual_us = current.usual_us.load(Ordering::Relaxed);
    is_known && usual_us > 0 && took_us > usual_us * factor
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
