//! Estimates the requests in flight at a target.

use heatherhinge_blackboard::TargetSample;
use heatherhinge_types::MonoNs;

/// Half-life of the other hosts' share of a load report. Requests last a few milliseconds, so most
/// of those in an older report have ended.
const REPORT_HALF_LIFE_NS: u64 = 8_000_000;

/// Estimates the requests in flight at a target, from all hosts, in thousandths.
///
/// Own requests are counted exactly. Those of other hosts are taken from the last report and decay
/// with its age.
#[must_use]
pub fn estimated_in_flight(sample: &TargetSample, now_ns: MonoNs) -> u64 {
    let own = u64::from(sample.own_in_flight) * 1_000;
    let others = u64::from(
        sample
            .reported_in_flight
            .saturating_sub(sample.own_at_report),
    ) * 1_000;
    let age_ns = now_ns.ns_since(sample.reported_ns);
    let halvings = age_ns / REPORT_HALF_LIFE_NS;
    if halvings >= 10 {
        return own;
    }
    // Linear between two halvings, which is close enough and needs no floating point.
    let high = others >> halvings;
    let remainder_ns = age_ns % REPORT_HALF_LIFE_NS;
    own + high - high * remainder_ns / (2 * REPORT_HALF_LIFE_NS)
}
