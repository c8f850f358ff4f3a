//! Checks the status of a response.

use http::StatusCode;

/// Returns whether a response with this status can be the final one to a request. The library accepts
/// 101, which nobody has asked for because `Upgrade` is not forwarded, and every number from 200 to
/// 999, of which those beyond 599 are invalid (RFC 9110, section 15).
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}
