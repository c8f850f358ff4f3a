//! One host's share of the fleet's budget for retries and hedged requests.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bins of the sliding window.
const BIN_COUNT: usize = 20;
/// Share of the allowed ratio that is used, in percent. The rest covers requests that this host
/// still counts but that have left the fleet's window.
const USED_PERCENT: u64 = 92;

/// The budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Length of the sliding window in milliseconds.
    pub window_ms: u64,
    /// Retries and hedged requests allowed per window, in thousandths of its requests.
    pub ratio_milli: u64,
    /// Retries and hedged requests allowed per window in addition, for the whole fleet.
    pub extra: u64,
}

/// Counts of one bin; the upper half of each word is the number of the bin.
#[derive(Debug, Default)]
struct Bin {
    requests: AtomicU64,
    retries: AtomicU64,
}

/// Sliding-window counts of the requests of one service and their retries at this host.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    bins: [Bin; BIN_COUNT],
}

impl RetryBudget {
    /// Creates an empty window.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            bins: Default::default(),
        }
    }

    /// Returns a window with other limits; the counts are kept if the window length is the same.
    #[must_use]
    pub fn with_limits(&self, limits: BudgetLimits) -> Self {
        let same_window = limits.window_ms == self.limits.window_ms;
        let copied = |index: usize| Bin {
            requests: AtomicU64::new(self.bins[index].requests.load(Ordering::Relaxed)),
            retries: AtomicU64::new(self.bins[index].retries.load(Ordering::Relaxed)),
        };
        Self {
            limits,
            // Bins of another length cannot be compared, so their counts are dropped.
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

    /// Takes one retry from the budget and returns whether there was room.
    ///
    /// `hosts` is the number of known hosts, dead ones included, which share the extra retries; if
    /// it is `None`, there are no extra retries. Concurrent calls may exceed the budget by the
    /// number of threads, which the unused share covers.
    pub fn take_retry(&self, now: MonoNs, hosts: Option<usize>) -> bool {
        if !self.has_room(now, hosts) {
            return false;
        }
        let number = self.bin_number(now);
        add(&self.bin(number).retries, number);
        true
    }

    /// Returns whether a retry may be taken.
    #[must_use]
    pub fn has_room(&self, now: MonoNs, hosts: Option<usize>) -> bool {
        let (requests, retries) = self.sums(self.bin_number(now));
        let from_ratio = requests * self.limits.ratio_milli * USED_PERCENT / 100_000;
        let from_extra = hosts.map_or(0, |hosts| {
            let hosts = u64::try_from(hosts).unwrap_or(u64::MAX).max(1);
            self.limits.extra * USED_PERCENT / 100 / hosts
        });
        retries < from_ratio + from_extra
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
        (sum(|bin| &bin.requests), sum(|bin| &bin.retries))
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

/// Increments the count in a bin's word, which restarts at 0 when the bin gets a new number.
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
