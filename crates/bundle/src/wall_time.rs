//! Wall times as operators write them: RFC 3339 in UTC.

use heatherhinge_types::WallMs;
use jiff::Timestamp;

/// Reads a time such as `2027-01-31T06:00:00Z`.
///
/// Only UTC is accepted, so that the times of two bundles can be compared by eye. Fractions of a
/// millisecond are dropped.
///
/// # Errors
///
/// Returns a message for people if the text is not such a time or lies before 1970.
pub fn parse_wall_time(text: &str) -> Result<WallMs, String> {
    let message = || format!("'{text}' is not a time in UTC such as 2027-01-31T06:00:00Z");
    if !text.ends_with('Z') || !text.contains('T') {
        return Err(message());
    }
    let time: Timestamp = text.parse().map_err(|_| message())?;
    u64::try_from(time.as_millisecond())
        .map(WallMs)
        .map_err(|_| message())
}

/// Writes a time in RFC 3339 and UTC; a time beyond year 9999 is written as milliseconds.
#[must_use]
pub fn format_wall_time(time: WallMs) -> String {
    let stamp = i64::try_from(time.0)
        .ok()
        .and_then(|ms| Timestamp::from_millisecond(ms).ok());
    stamp.map_or_else(|| format!("{} ms", time.0), |stamp| stamp.to_string())
}
