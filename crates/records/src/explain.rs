//! Formats decision records as text for operators.

use crate::sentence::{basis_text, event_text, subject_text};
use crate::{Record, Subject};
use heatherhinge_bundle::format_wall_time_ms;
use heatherhinge_types::{CLOCK_ERROR_MS, Name};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Returns the decisions in `records` as text, in the order of time.
///
/// The records may come from several hosts. Each decision is one sentence with its host and time,
/// followed by the versions of the state that it was based on. A record that is given twice, from
/// memory and from the object store, is printed once. Records of the same millisecond stay in the
/// order in which they are given.
#[must_use]
pub fn explain(records: &[Record]) -> String {
    let history = sorted_without_duplicates(records);
    let (Some(first), Some(last)) = (history.first(), history.last()) else {
        return "No record was found.\n".to_owned();
    };
    let hosts: BTreeSet<&Name> = history.iter().map(|record| &record.host).collect();
    let subjects: BTreeSet<&Subject> = history.iter().map(|record| &record.subject).collect();
    let mut text = heading(&subjects, history.len(), hosts.len());
    let start = format_wall_time_ms(first.at_wall_ms);
    let span_ms = last.at_wall_ms.ms_since(first.at_wall_ms);
    // Writing to a string cannot fail.
    let _ = writeln!(text, "It begins at {start} and spans {span_ms} ms.");
    if hosts.len() > 1 {
        let _ = writeln!(
            text,
            "Times are from the clock of each host; clocks may differ by up to {CLOCK_ERROR_MS} ms."
        );
    }
    for record in history {
        let subject = if subjects.len() > 1 {
            format!(" ({})", subject_text(&record.subject))
        } else {
            String::new()
        };
        let _ = write!(
            text,
            "\n{} {}{subject}: {}\n  Based on {}.\n",
            format_wall_time_ms(record.at_wall_ms),
            record.host,
            event_text(&record.event),
            basis_text(record.basis),
        );
    }
    text
}

fn heading(subjects: &BTreeSet<&Subject>, decisions: usize, hosts: usize) -> String {
    let names: Vec<String> = subjects.iter().map(|s| subject_text(s)).collect();
    format!(
        "History of {}: {} on {}.\n",
        names.join(", "),
        pluralize(decisions, "decision"),
        pluralize(hosts, "host")
    )
}

/// Returns the count followed by the noun, in the plural unless the count is 1.
pub(crate) fn pluralize(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

fn sorted_without_duplicates(records: &[Record]) -> Vec<&Record> {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by_key(|record| record.at_wall_ms);
    let mut unique: Vec<&Record> = Vec::with_capacity(sorted.len());
    for record in sorted {
        let is_duplicate = unique
            .iter()
            .rev()
            .take_while(|earlier| earlier.at_wall_ms == record.at_wall_ms)
            .any(|earlier| *earlier == record);
        if !is_duplicate {
            unique.push(record);
        }
    }
    unique
}
