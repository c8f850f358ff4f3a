//! Records the rate limits that targets name in their responses.

use crate::WireHeaders;
use crate::probe::header_text;
use heatherhinge_steering::{LineKind, RateLimit, RateLimitChange, SteeringBoard, Target};
use heatherhinge_types::MonoNs;
use http::HeaderMap;

/// Response that named a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseKind {
    /// To a load probe.
    Probe,
    /// To a request of a caller.
    Request,
}

/// Stores the rate limit in a response of `target`, which has none if the header is missing, and
/// logs when it begins or ends.
pub(crate) fn record_rate_limit(
    board: &SteeringBoard,
    names: &WireHeaders,
    target: &Target,
    headers: &HeaderMap,
    kind: ResponseKind,
    now: MonoNs,
) {
    let limit = match header_text(headers, &names.rate_limit).map(str::parse::<RateLimit>) {
        None => None,
        Some(Ok(limit)) => Some(limit),
        Some(Err(error)) => {
            if board.log.take(LineKind::Abnormal, now) {
                tracing::info!(target = %target.id(), ?kind, "targets: {error}; the limit before stays");
            }
            return;
        }
    };
    let change = target.cell.set_rate_limit(now, limit);
    if change == RateLimitChange::Unchanged || !board.log.take(LineKind::Abnormal, now) {
        return;
    }
    tracing::info!(
        target = %target.id(),
        ?kind,
        milli_per_s = limit.map(|limit| limit.milli_per_s),
        pace = ?target.pace(now),
        in_flight = target.cell.in_flight(),
        "{}",
        if change == RateLimitChange::Began {
            "targets: a target names a rate limit"
        } else {
            "targets: a target names no rate limit any more"
        }
    );
}
