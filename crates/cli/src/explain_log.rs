//! The story of a request, from the log files of hosts.

use crate::Output;
use crate::log_line::LogLine;
use heatherhinge_types::{Code, Name};
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Time before the end of a request whose changes at the host are told, in milliseconds.
const CONTEXT_MS: i64 = 2_000;
/// Changes that are told at most; the last ones are the nearest.
const MAX_CONTEXT_LINES: usize = 8;
/// Prefixes of the lines that tell what a host has come to believe.
const CONTEXT_PREFIXES: [&str; 6] = [
    "store:", "orders:", "targets:", "moves:", "fleet:", "gateway:",
];

/// What one file has of a request.
#[derive(Debug, Default)]
struct Found {
    /// Lines that bear the request's id.
    own: Vec<LogLine>,
    /// Changes at the host shortly before.
    context: Vec<LogLine>,
    unreadable: usize,
}

/// Tells the story of a request.
pub(crate) fn explain(id: &Name, files: &[PathBuf]) -> Output {
    let (mut text, mut told, mut unreadable) = (String::new(), Vec::new(), 0);
    for file in files {
        let found = match search(id, file) {
            Ok(found) => found,
            Err(error) => return Output::usage(&format!("{}: {error}.", file.display())),
        };
        unreadable += found.unreadable;
        if found.own.is_empty() {
            continue;
        }
        text.push_str(&format!("In {}:\n", file.display()));
        for line in &found.context {
            text.push_str(&format!("  shortly before: {}\n", line.sentence()));
        }
        for line in &found.own {
            for sentence in line.sentences() {
                text.push_str(&format!("  {sentence}\n"));
            }
        }
        told.extend(found.own);
    }
    if told.is_empty() {
        return Output::refused(Code::RecordNotFound, &[]);
    }
    if unreadable > 0 {
        text.push_str(&format!("{unreadable} lines could not be read.\n"));
    }
    let lines: Vec<_> = told.iter().map(LogLine::as_json).collect();
    Output::ok(
        text,
        json!({ "lines": lines, "unreadable_lines": unreadable }),
    )
}

fn search(id: &Name, file: &Path) -> std::io::Result<Found> {
    let mut found = Found::default();
    let mut changes: Vec<LogLine> = Vec::new();
    for line in BufReader::new(std::fs::File::open(file)?).lines() {
        let Some(line) = LogLine::read(&line?) else {
            found.unreadable += 1;
            continue;
        };
        if line.request_id() == Some(id.as_str()) {
            found.own.push(line);
        } else if CONTEXT_PREFIXES
            .iter()
            .any(|prefix| line.message().starts_with(prefix))
        {
            changes.push(line);
        }
    }
    if let Some(last) = found.own.last() {
        let is_near = |change: &LogLine| (0..=CONTEXT_MS).contains(&change.ms_before(last));
        let mut near: Vec<LogLine> = changes.into_iter().filter(is_near).collect();
        found.context = near.split_off(near.len().saturating_sub(MAX_CONTEXT_LINES));
    }
    Ok(found)
}
