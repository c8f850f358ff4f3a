//! JSON lines, the form of records in the object store: one record on each line.

use crate::Record;

/// Records read from JSON lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadLines {
    /// The records that could be read, in their order.
    pub records: Vec<Record>,
    /// Lines that could not be read, such as a last line that was cut.
    pub bad_lines: u64,
}

/// Writes records as JSON lines.
///
/// # Errors
///
/// Returns the encoder's error; records as the system makes them have none.
pub fn encode(records: &[Record]) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record)?);
        text.push('\n');
    }
    Ok(text)
}

/// Reads JSON lines. A bad line does not hide the others.
#[must_use]
pub fn decode(text: &str) -> ReadLines {
    let mut read = ReadLines::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(record) => read.records.push(record),
            Err(_) => read.bad_lines += 1,
        }
    }
    read
}
