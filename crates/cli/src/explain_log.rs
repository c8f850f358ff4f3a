//! Explains a request from the log files of hosts.

use crate::Output;
use crate::log_line::LogLine;
use heatherhinge_types::{Code, Name};
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Time before the end of a request from which state changes of the host are printed, in
/// milliseconds.
const CONTEXT_MS: i64 = 2_000;
/// Most state changes printed per file; the last ones are kept.
const MAX_CONTEXT_LINES: usize = 8;
/// Message prefixes of log lines about state changes of a host.
const CONTEXT_PREFIXES: [&str; 6] = [
    "store:", "orders:", "targets:", "moves:", "fleet:", "gateway:",
];

/// Lines of one file that concern a request.
#[derive(Debug, Default)]
struct LogMatches {
    /// Lines with the id of the request.
    request_lines: Vec<LogLine>,
    /// State changes of the host shortly before the end of the request.
    context: Vec<LogLine>,
    unreadable: usize,
}

/// Explains a request.
pub(crate) fn explain(id: &Name, files: &[PathBuf]) -> Output {
    let (mut text, mut request_lines, mut unreadable) = (String::new(), Vec::new(), 0);
    for file in files {
        let found = match search(id, file) {
            Ok(found) => found,
            Err(error) => return Output::usage(&format!("{}: {error}.", file.display())),
        };
        unreadable += found.unreadable;
        if found.request_lines.is_empty() {
            continue;
        }
        text.push_str(&format!("In {}:\n", file.display()));
        for line in &found.context {
            text.push_str(&format!("  shortly before: {}\n", line.sentence()));
        }
        for line in &found.request_lines {
            for sentence in line.sentences() {
                text.push_str(&format!("  {sentence}\n"));
            }
        }
        request_lines.extend(found.request_lines);
    }
    if request_lines.is_empty() {
        return Output::refused(Code::RecordNotFound, &[]);
    }
    if unreadable > 0 {
        text.push_str(&format!("{unreadable} lines could not be read.\n"));
    }
    let lines: Vec<_> = request_lines.iter().map(LogLine::as_json).collect();
    Output::ok(
        text,
        json!({ "lines": lines, "unreadable_lines": unreadable }),
    )
}

fn search(id: &Name, file: &Path) -> std::io::Result<LogMatches> {
    let mut found = LogMatches::default();
    let mut changes: Vec<LogLine> = Vec::new();
    for line in BufReader::new(std::fs::File::open(file)?).lines() {
        let Some(line) = LogLine::read(&line?) else {
            found.unreadable += 1;
            continue;
        };
        if line.request_id() == Some(id.as_str()) {
            found.request_lines.push(line);
        } else if CONTEXT_PREFIXES
            .iter()
            .any(|prefix| line.message().starts_with(prefix))
        {
            changes.push(line);
        }
    }
    if let Some(last) = found.request_lines.last() {
        let is_recent = |change: &LogLine| (0..=CONTEXT_MS).contains(&change.ms_before(last));
        let mut recent: Vec<LogLine> = changes.into_iter().filter(is_recent).collect();
        found.context = recent.split_off(recent.len().saturating_sub(MAX_CONTEXT_LINES));
    }
    Ok(found)
}
