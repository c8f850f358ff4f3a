//! Estimates the age of a heartbeat that was relayed by other hosts.
//!
//! A heartbeat is the number of half seconds since the start of the host's run, by the host's own
//! monotonic clock. A direct response of a host relates its clock to the clock of this host; from
//! then on every heartbeat of the same run can be dated, however long it was in transit.

use crate::peer_state::HeartbeatVersion;
use heatherhinge_types::MonoNs;

/// Time between two heartbeats of a host.
pub(crate) const HEARTBEAT_INTERVAL_MS: u64 = 500;
const HEARTBEAT_INTERVAL_NS: i128 = HEARTBEAT_INTERVAL_MS as i128 * 1_000_000;
/// Monotonic clocks run at the same rate within 1%; `docs/design.md`, section 6.
const DRIFT_DIVISOR: i128 = 100;

/// The clock of one run of another host, related to the clock of this host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatClock {
    incarnation: u64,
    /// Lower bound, by this host's clock, on the time of heartbeat 0; may be negative.
    origin_ns: i128,
    /// Time of the request whose response related the clocks, by this host's clock.
    compared_ns: i128,
}

impl HeartbeatClock {
    /// Relates the clocks by a direct response to a request sent at `requested_ns`.
    pub(crate) fn from_response(heartbeat: HeartbeatVersion, requested_ns: MonoNs) -> Self {
        let compared_ns = i128::from(requested_ns.0);
        // The response was made after `requested_ns`, and less than one interval after the heartbeat
        // that it carries.
        let origin_ns = compared_ns - (i128::from(heartbeat.beat) + 1) * HEARTBEAT_INTERVAL_NS;
        Self {
            incarnation: heartbeat.incarnation,
            origin_ns,
            compared_ns,
        }
    }

    /// Returns `self` or `earlier`, whichever gives the later and so tighter lower bound; `self` if
    /// `earlier` is of another run.
    pub(crate) fn or_tighter(self, earlier: Option<Self>) -> Self {
        match earlier.filter(|earlier| earlier.incarnation == self.incarnation) {
            Some(earlier) if earlier.origin_at(self.compared_ns) > self.origin_ns => earlier,
            _ => self,
        }
    }

    /// Returns a lower bound on the time at which the heartbeat was made; `None` if it is of
    /// another run.
    pub(crate) fn sent_after_ns(
        &self,
        heartbeat: HeartbeatVersion,
        now_ns: MonoNs,
    ) -> Option<MonoNs> {
        let now = i128::from(now_ns.0);
        let made = self.origin_at(now) + i128::from(heartbeat.beat) * HEARTBEAT_INTERVAL_NS;
        (heartbeat.incarnation == self.incarnation)
            .then(|| MonoNs(u64::try_from(made.clamp(0, now)).unwrap_or(0)))
    }

    /// Returns `origin_ns` less the possible drift of the clocks since the comparison.
    const fn origin_at(&self, now: i128) -> i128 {
        self.origin_ns - (now - self.compared_ns) / DRIFT_DIVISOR
    }
}
