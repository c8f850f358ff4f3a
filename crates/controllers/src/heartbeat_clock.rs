//! Tells the age of a heartbeat that came through others.
//!
//! A heartbeat is the number of half seconds since the start of the host's run, by the host's own
//! monotonic clock. Once a host has answered directly, its clock can be compared with the own one,
//! and every later heartbeat tells when it was made, however long it was on its way.

use crate::peer_state::HeartbeatVersion;
use heatherhinge_types::MonoNs;

/// Length of a heartbeat.
pub(crate) const HEARTBEAT_INTERVAL_MS: u64 = 500;
const BEAT_NS: i128 = HEARTBEAT_INTERVAL_MS as i128 * 1_000_000;
/// Monotonic clocks run at the same rate within 1%; `docs/design.md`, section 6.
const DRIFT_DIVISOR: i128 = 100;

/// The clock of one run of another host, compared with the own one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatClock {
    incarnation: u64,
    /// Time by the own clock before which heartbeat 0 was surely not made; may be negative.
    zero_ns: i128,
    compared_ns: i128,
}

impl HeartbeatClock {
    /// Compares the clocks by a direct answer that was asked for at `asked_ns`.
    pub(crate) fn compare(heartbeat: HeartbeatVersion, asked_ns: MonoNs) -> Self {
        let compared_ns = i128::from(asked_ns.0);
        // The answer was made after it was asked for, and within one beat of the one that it tells.
        let zero_ns = compared_ns - (i128::from(heartbeat.beat) + 1) * BEAT_NS;
        Self {
            incarnation: heartbeat.incarnation,
            zero_ns,
            compared_ns,
        }
    }

    /// Keeps the better one of two comparisons.
    pub(crate) fn better(self, earlier: Option<Self>) -> Self {
        match earlier.filter(|earlier| earlier.incarnation == self.incarnation) {
            Some(earlier) if earlier.zero_at(self.compared_ns) > self.zero_ns => earlier,
            _ => self,
        }
    }

    /// Returns a time before which the heartbeat was surely not made, if it is of the same run.
    pub(crate) fn made_ns(&self, heartbeat: HeartbeatVersion, now_ns: MonoNs) -> Option<MonoNs> {
        let now = i128::from(now_ns.0);
        let made = self.zero_at(now) + i128::from(heartbeat.beat) * BEAT_NS;
        (heartbeat.incarnation == self.incarnation)
            .then(|| MonoNs(u64::try_from(made.clamp(0, now)).unwrap_or(0)))
    }

    /// Returns `zero_ns` less what the clocks may have drifted apart since the comparison.
    const fn zero_at(&self, now: i128) -> i128 {
        self.zero_ns - (now - self.compared_ns) / DRIFT_DIVISOR
    }
}
