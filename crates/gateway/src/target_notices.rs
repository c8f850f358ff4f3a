//! Records what targets say of themselves in their responses: that they leave, or that they are
//! busy for a time.

use crate::WireHeaders;
use crate::probe::header_text;
use crate::rate_limits::ResponseKind;
use heatherhinge_steering::{HoldOff, LineKind, SteeringBoard, Target};
use heatherhinge_types::MonoNs;
use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

/// Value of the header of a target that leaves.
const LEAVING: &str = "1";

/// Stores the notices in a response of `target` and logs those that are new. A response to a
/// request that was meant for another target says nothing of this one.
pub(crate) fn record_notices(
    board: &SteeringBoard,
    names: &WireHeaders,
    target: &Target,
    (status, headers): (StatusCode, &HeaderMap),
    kind: ResponseKind,
    now: MonoNs,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let is_leaving = header_text(headers, &names.leaving) == Some(LEAVING);
    if is_leaving && target.cell.set_leaving() {
        tracing::info!(
            target = %target.id(),
            ?kind,
            registered = ?target.entry.phase,
            in_flight = target.cell.in_flight(),
            "targets: a target says that it leaves; it gets no new requests"
        );
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        record_hold_off(board, target, headers, kind, now);
    }
}

fn record_hold_off(
    board: &SteeringBoard,
    target: &Target,
    headers: &HeaderMap,
    kind: ResponseKind,
    now: MonoNs,
) {
    match header_text(headers, &RETRY_AFTER).map(str::parse::<HoldOff>) {
        None => {}
        Some(Ok(hold_off)) => {
            let before_ms = target.cell.held_off_ms(now);
            let is_longer = target.cell.hold_off(now, hold_off);
            if is_longer && board.log.take(LineKind::Abnormal, now) {
                tracing::info!(
                    target = %target.id(),
                    ?kind,
                    hold_off_ms = hold_off.ms,
                    before_ms,
                    in_flight = target.cell.in_flight(),
                    "targets: a target is busy; it gets no requests for this time"
                );
            }
        }
        Some(Err(error)) if board.log.take(LineKind::Abnormal, now) => {
            tracing::info!(target = %target.id(), ?kind, "targets: {error}; ignored");
        }
        Some(Err(_)) => {}
    }
}
