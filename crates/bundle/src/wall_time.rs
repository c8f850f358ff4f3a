//! Parses and formats wall times in RFC 3339 and UTC.

use heatherhinge_types::WallMs;
use jiff::Timestamp;

/// Parses a time such as `2027-01-31T06:00:00Z`.
///
/// Only UTC is accepted, so that the times of two bundles can be compared by eye. Fractions of a
/// millisecond are dropped.
///
/// # Errors
///
/// Returns an error message if the text is not such a time or is before 1970.
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

/// Formats a time in RFC 3339 and UTC; a time after the year 9999 is formatted as milliseconds.
#[must_use]
pub fn format_wall_time(time: WallMs) -> String {
    timestamp(time).map_or_else(|| format!("{} ms", time.0), |stamp| stamp.to_string())
}

/// Formats a time like [`format_wall_time`], always with milliseconds, so that the times of a list
/// are aligned.
#[must_use]
pub fn format_wall_time_ms(time: WallMs) -> String {
    timestamp(time).map_or_else(|| format!("{} ms", time.0), |stamp| format!("{stamp:.3}"))
}

fn timestamp(time: WallMs) -> Option<Timestamp> {
    let ms = i64::try_from(time.0).ok()?;
    Timestamp::from_millisecond(ms).ok()
}
