//! The share of one host in the budget for sending requests once more.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU64, Ordering};

/// Parts that the window is divided into.
const BIN_COUNT: usize = 20;
/// Share of the allowed ratio that is used, in percent. The rest covers requests that this host
/// counted and the fleet's window does not hold any more.
const USED_PERCENT: u64 = 92;

/// The budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Length of the sliding window in milliseconds.
    pub window_ms: u64,
    /// Arrivals beyond the first that the window may hold, in thousandths of its requests.
    pub ratio_milli: u64,
    /// Arrivals beyond the first that the window may hold besides, for the whole fleet.
    pub extra: u64,
}

/// Counts in one part of the window; the upper half of each word is the number of the part.
#[derive(Debug, Default)]
struct Bin {
    requests: AtomicU64,
    repeats: AtomicU64,
}

/// A sliding window over the requests of one service and their repeats at this host.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    bins: [Bin; BIN_COUNT],
}

impl RetryBudget {
    /// Makes an empty window.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            bins: Default::default(),
        }
    }

    /// Makes a window with other limits and the same counts.
    #[must_use]
    pub fn with_limits(&self, limits: BudgetLimits) -> Self {
        let same_window = limits.window_ms == self.limits.window_ms;
        let copied = |index: usize| Bin {
            requests: AtomicU64::new(self.bins[index].requests.load(Ordering::Relaxed)),
            repeats: AtomicU64::new(self.bins[index].repeats.load(Ordering::Relaxed)),
        };
        Self {
            limits,
            // Parts of another length cannot be compared, so what was counted in them is forgotten.
            bins: std::array::from_fn(|index| {
                if same_window {
                    copied(index)
                } else {
                    Bin::default()
                }
            }),
        }
    }

    /// Counts a request of a caller.
    pub fn count_request(&self, now: MonoNs) {
        let number = self.bin_number(now);
        add(&self.bin(number).requests, number);
    }

    /// Takes one repeat out of the budget, if there is room.
    ///
    /// `hosts` is the number of hosts known, gone ones included, which share the extra repeats;
    /// while it is unknown there are none. Concurrent calls may overdraw by the number of threads,
    /// which the unused share covers.
    pub fn take_repeat(&self, now: MonoNs, hosts: Option<usize>) -> bool {
        if !self.has_room(now, hosts) {
            return false;
        }
        let number = self.bin_number(now);
        add(&self.bin(number).repeats, number);
        true
    }

    /// Returns whether a repeat may be taken.
    #[must_use]
    pub fn has_room(&self, now: MonoNs, hosts: Option<usize>) -> bool {
        let (requests, repeats) = self.sums(self.bin_number(now));
        let from_ratio = requests * self.limits.ratio_milli * USED_PERCENT / 100_000;
        let from_extra = hosts.map_or(0, |hosts| {
            let hosts = u64::try_from(hosts).unwrap_or(u64::MAX).max(1);
            self.limits.extra * USED_PERCENT / 100 / hosts
        });
        repeats < from_ratio + from_extra
    }

    fn sums(&self, number: u64) -> (u64, u64) {
        let oldest = number.saturating_sub(BIN_COUNT as u64 - 1);
        let sum = |pick: fn(&Bin) -> &AtomicU64| {
            self.bins
                .iter()
                .map(|bin| pick(bin).load(Ordering::Relaxed))
                .filter(|word| (word >> 32) >= oldest)
                .map(|word| word & u64::from(u32::MAX))
                .sum::<u64>()
        };
        (sum(|bin| &bin.requests), sum(|bin| &bin.repeats))
    }

    fn bin_number(&self, now: MonoNs) -> u64 {
        let bin_ns = (self.limits.window_ms * 1_000_000 / BIN_COUNT as u64).max(1);
        now.0 / bin_ns
    }

    fn bin(&self, number: u64) -> &Bin {
        let index = usize::try_from(number % BIN_COUNT as u64).unwrap_or(0);
        &self.bins[index]
    }
}

/// Adds one to a bin's word, which starts at zero when the bin is used for a new part.
fn add(word: &AtomicU64, number: u64) {
    let stamp = number << 32;
    word.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| {
        let count = if old >> 32 == number & u64::from(u32::MAX) {
            old & u64::from(u32::MAX)
        } else {
            0
        };
        Some(stamp | (count + 1))
    })
    .ok();
}
