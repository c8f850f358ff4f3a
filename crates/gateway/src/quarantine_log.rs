//! Logs which requests are quarantined, with the counts that decided it.

use heatherhinge_steering::QuarantineChange;

/// Logs that the quarantine of a request has begun or ended.
pub(crate) fn log_quarantine(change: &QuarantineChange) {
    tracing::info!(
        digest = format_args!("{:016x}", change.digest),
        is_quarantined = change.is_quarantined,
        targets = change.targets,
        is_served = change.is_served,
        "crashes: the quarantine of a request changed"
    );
}
