//! Records what each booking really did and checks the promises of at-most-once execution.

use heatherhinge_types::{Code, Ran};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Most violations of a run that are recorded.
const MAX_VIOLATIONS: usize = 5;

/// Counts and violations of one run of the model, or of several that were added up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Kills, stops, pauses, partitions of the network and outages of the store.
    pub faults: usize,
    /// Bookings that callers made.
    pub bookings: usize,
    /// Bookings that ran.
    pub ran: usize,
    /// Bookings that never ran, although the caller resent them.
    pub needlessly_refused: usize,
    /// Codes of the last responses to bookings that never ran, with counts; 0 stands for no response.
    pub last_codes: BTreeMap<u16, usize>,
    /// Bookings that ran without a response to the caller.
    pub answer_lost: usize,
    /// Responses that were replayed from a stored one.
    pub replayed: usize,
    /// Violated promises, at most 5 of each run.
    pub violations: Vec<String>,
    /// The events of a scripted run as text lines; empty without a script.
    pub transcript: Vec<String>,
}

impl RunSummary {
    /// Column heads of the table row that `Display` writes.
    pub const COLUMNS: &str =
        "Faults | Bookings | Ran | Replayed | Needlessly refused | Answer lost | Violations";

    /// Adds the counts and violations of another run; the transcript is not kept.
    pub fn add(&mut self, other: Self) {
        self.faults += other.faults;
        self.bookings += other.bookings;
        self.ran += other.ran;
        self.needlessly_refused += other.needlessly_refused;
        self.answer_lost += other.answer_lost;
        for (code, count) in other.last_codes {
            *self.last_codes.entry(code).or_default() += count;
        }
        self.replayed += other.replayed;
        self.violations.extend(other.violations);
    }
}

impl fmt::Display for RunSummary {
    /// Writes the cells of a row of a Markdown table.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let permille = self.needlessly_refused * 1_000 / self.bookings.max(1);
        let (percent, tenths) = (permille / 10, permille % 10);
        write!(
            f,
            "{} | {} | {} | {} | {} ({percent}.{tenths}%) | {} | {}",
            self.faults,
            self.bookings,
            self.ran,
            self.replayed,
            self.needlessly_refused,
            self.answer_lost,
            self.violations.len()
        )
    }
}

/// What happened to one booking.
#[derive(Clone, Debug, Default)]
struct BookingRecord {
    runs: Vec<u64>,
    is_answered: bool,
    last_code: u16,
}

/// Records what happened to each booking and checks each response when a host decides on it.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    bookings: Vec<BookingRecord>,
    reported_not_run: BTreeSet<usize>,
    next_run: u64,
    summary: RunSummary,
}

impl InvariantChecker {
    pub(crate) fn add_booking(&mut self) -> usize {
        self.bookings.push(BookingRecord::default());
        self.bookings.len() - 1
    }

    /// Records that a target runs the request of an attempt. Returns the number of the run, from 1.
    pub(crate) fn record_run(&mut self, booking: usize, attempt: usize) -> u64 {
        self.next_run += 1;
        self.bookings[booking].runs.push(self.next_run);
        if self.bookings[booking].runs.len() > 1 {
            self.add_violation(format!("booking {booking} ran twice"));
        }
        if self.reported_not_run.contains(&attempt) {
            self.add_violation(format!(
                "attempt {attempt} ran after it was reported as not run"
            ));
        }
        self.next_run
    }

    /// Records that a host rejects an attempt with a code.
    pub(crate) fn record_rejection(&mut self, booking: usize, attempt: usize, code: Code) {
        self.bookings[booking].last_code = code.number();
        let has_run = !self.bookings[booking].runs.is_empty();
        match code.ran() {
            Ran::No => {
                self.reported_not_run.insert(attempt);
                if has_run {
                    self.add_violation(format!(
                        "booking {booking} had run, but the response was {code}"
                    ));
                }
            }
            Ran::Yes if !has_run => {
                self.add_violation(format!(
                    "booking {booking} had not run, but the response was {code}"
                ));
            }
            Ran::Yes | Ran::Unknown => {}
        }
    }

    /// Records that a host answers an attempt with the response of a run.
    pub(crate) fn record_response(&mut self, booking: usize, run: u64, is_replay: bool) {
        self.summary.replayed += usize::from(is_replay);
        if self.bookings[booking].runs.first() != Some(&run) {
            self.add_violation(format!("booking {booking} got the response of another run"));
        }
    }

    /// Records that the caller got the response of a run.
    pub(crate) fn record_delivery(&mut self, booking: usize) {
        self.bookings[booking].is_answered = true;
    }

    pub(crate) fn is_answered(&self, booking: usize) -> bool {
        self.bookings[booking].is_answered
    }

    pub(crate) fn finish(mut self, faults: usize, transcript: Vec<String>) -> RunSummary {
        self.summary.faults = faults;
        self.summary.transcript = transcript;
        self.summary.bookings = self.bookings.len();
        for booking in &self.bookings {
            let has_run = !booking.runs.is_empty();
            self.summary.ran += usize::from(has_run);
            if !has_run {
                self.summary.needlessly_refused += 1;
                *self
                    .summary
                    .last_codes
                    .entry(booking.last_code)
                    .or_default() += 1;
            }
            self.summary.answer_lost += usize::from(has_run && !booking.is_answered);
        }
        self.summary
    }

    fn add_violation(&mut self, text: String) {
        if self.summary.violations.len() < MAX_VIOLATIONS {
            self.summary.violations.push(text);
        }
    }
}
