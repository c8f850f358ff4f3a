//! The story of a request, a move or a zone in plain sentences, for a review.

use crate::sentence::{basis_text, event_text, subject_text};
use crate::{Record, Subject};
use heatherhinge_bundle::format_wall_time_ms;
use heatherhinge_types::{CLOCK_ERROR_MS, Name};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Tells what happened, in the order of time, from records of one or several hosts.
///
/// Each decision is one sentence with its host and time, followed by the versions of the state
/// that it was based on. A record that is given twice, from memory and from the object store, is
/// told once. Records of the same millisecond stay in the order in which they are given.
#[must_use]
pub fn explain(records: &[Record]) -> String {
    let story = in_order(records);
    let (Some(first), Some(last)) = (story.first(), story.last()) else {
        return "No record was found.\n".to_owned();
    };
    let hosts: BTreeSet<&Name> = story.iter().map(|record| &record.host).collect();
    let subjects: BTreeSet<&Subject> = story.iter().map(|record| &record.subject).collect();
    let mut text = heading(&subjects, story.len(), hosts.len());
    let start = format_wall_time_ms(first.at_wall_ms);
    let span_ms = last.at_wall_ms.ms_since(first.at_wall_ms);
    // Writing to a string cannot fail.
    let _ = writeln!(text, "It begins at {start} and spans {span_ms} ms.");
    if hosts.len() > 1 {
        let _ = writeln!(
            text,
            "Each time is by the clock of its host; clocks may differ by up to {CLOCK_ERROR_MS} ms."
        );
    }
    for record in story {
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
        "The story of {}: {} on {}.\n",
        names.join(", "),
        pluralize(decisions, "decision"),
        pluralize(hosts, "host")
    )
}

/// Returns a count with its noun in the right number.
pub(crate) fn pluralize(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

fn in_order(records: &[Record]) -> Vec<&Record> {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by_key(|record| record.at_wall_ms);
    let mut story: Vec<&Record> = Vec::with_capacity(sorted.len());
    for record in sorted {
        let is_told = story
            .iter()
            .rev()
            .take_while(|told| told.at_wall_ms == record.at_wall_ms)
            .any(|told| *told == record);
        if !is_told {
            story.push(record);
        }
    }
    story
}
