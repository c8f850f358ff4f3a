//! Encodes records as JSON lines, one record per line, the format used in the object store.

use crate::Record;

/// Result of [`decode`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecodedLines {
    /// The records that could be parsed, in the order of their lines.
    pub records: Vec<Record>,
    /// Number of lines that could not be parsed, such as a truncated last line.
    pub bad_lines: u64,
}

/// Encodes records as JSON lines.
///
/// # Errors
///
/// Returns the error of `serde_json`; no [`Record`] is known to cause one.
pub fn encode(records: &[Record]) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record)?);
        text.push('\n');
    }
    Ok(text)
}

/// Parses JSON lines. A bad line is counted and skipped.
#[must_use]
pub fn decode(text: &str) -> DecodedLines {
    let mut decoded = DecodedLines::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(record) => decoded.records.push(record),
            Err(_) => decoded.bad_lines += 1,
        }
    }
    decoded
}
