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
    stamp(time).map_or_else(|| format!("{} ms", time.0), |stamp| stamp.to_string())
}

/// Writes a time like [`format_wall_time`], always with three digits after the second, so that
/// the times of a list line up.
#[must_use]
pub fn format_wall_time_ms(time: WallMs) -> String {
    stamp(time).map_or_else(|| format!("{} ms", time.0), |stamp| format!("{stamp:.3}"))
}

fn stamp(time: WallMs) -> Option<Timestamp> {
    let ms = i64::try_from(time.0).ok()?;
    Timestamp::from_millisecond(ms).ok()
}
