//! What really happened, and whether the promises were kept.

use heatherhinge_types::{Code, Ran};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Most violations that are kept as text.
const MAX_VIOLATIONS: usize = 5;

/// The result of a run of the model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Kills, stops, pauses, partitions of the network and outages of the store.
    pub faults: usize,
    /// Bookings that callers made.
    pub bookings: usize,
    /// Bookings that ran.
    pub ran: usize,
    /// Bookings that never ran although the caller resent them: refused without need.
    pub needlessly_refused: usize,
    /// Codes of the last answers to those, with their counts; 0 stands for no answer.
    pub last_codes: BTreeMap<u16, usize>,
    /// Bookings that ran, but whose caller never got the answer.
    pub answer_lost: usize,
    /// Answers that repeated a stored one.
    pub replayed: usize,
    /// Broken promises, the first few.
    pub violations: Vec<String>,
    /// The session in sentences, if it was asked for.
    pub transcript: Vec<String>,
}

impl RunSummary {
    /// Heads of the columns that the verdict is written as.
    pub const COLUMNS: &str =
        "Faults | Bookings | Ran | Replayed | Needlessly refused | Answer lost | Violations";

    /// Adds the counts of another run.
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
    /// Writes the columns of a Markdown table.
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

/// Truth about one booking.
#[derive(Clone, Debug, Default)]
struct Truth {
    runs: Vec<u64>,
    is_answered: bool,
    last_code: u16,
}

/// Keeps the truth and checks each answer against it when it is decided.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    bookings: Vec<Truth>,
    said_not_run: BTreeSet<usize>,
    next_run: u64,
    verdict: RunSummary,
}

impl InvariantChecker {
    pub(crate) fn open_booking(&mut self) -> usize {
        self.bookings.push(Truth::default());
        self.bookings.len() - 1
    }

    /// A target runs the request of an attempt. Returns the number of the run.
    pub(crate) fn run(&mut self, booking: usize, attempt: usize) -> u64 {
        self.next_run += 1;
        self.bookings[booking].runs.push(self.next_run);
        if self.bookings[booking].runs.len() > 1 {
            self.violate(format!("booking {booking} ran twice"));
        }
        if self.said_not_run.contains(&attempt) {
            self.violate(format!(
                "attempt {attempt} ran after the answer that it did not"
            ));
        }
        self.next_run
    }

    /// A host decides to refuse an attempt.
    pub(crate) fn refuse(&mut self, booking: usize, attempt: usize, code: Code) {
        self.bookings[booking].last_code = code.number();
        let has_run = !self.bookings[booking].runs.is_empty();
        match code.ran() {
            Ran::No => {
                self.said_not_run.insert(attempt);
                if has_run {
                    self.violate(format!("booking {booking} had run, the answer was {code}"));
                }
            }
            Ran::Yes if !has_run => {
                self.violate(format!(
                    "booking {booking} had not run, the answer was {code}"
                ));
            }
            Ran::Yes | Ran::Unknown => {}
        }
    }

    /// A host decides to answer an attempt with the answer of a run.
    pub(crate) fn complete(&mut self, booking: usize, run: u64, is_replay: bool) {
        self.verdict.replayed += usize::from(is_replay);
        if self.bookings[booking].runs.first() != Some(&run) {
            self.violate(format!(
                "booking {booking} was answered with another run's answer"
            ));
        }
    }

    /// The caller got the answer of a run.
    pub(crate) fn answered(&mut self, booking: usize) {
        self.bookings[booking].is_answered = true;
    }

    pub(crate) fn is_answered(&self, booking: usize) -> bool {
        self.bookings[booking].is_answered
    }

    pub(crate) fn close(mut self, faults: usize, transcript: Vec<String>) -> RunSummary {
        self.verdict.faults = faults;
        self.verdict.transcript = transcript;
        self.verdict.bookings = self.bookings.len();
        for truth in &self.bookings {
            let has_run = !truth.runs.is_empty();
            self.verdict.ran += usize::from(has_run);
            if !has_run {
                self.verdict.needlessly_refused += 1;
                *self.verdict.last_codes.entry(truth.last_code).or_default() += 1;
            }
            self.verdict.answer_lost += usize::from(has_run && !truth.is_answered);
        }
        self.verdict
    }

    fn violate(&mut self, text: String) {
        if self.verdict.violations.len() < MAX_VIOLATIONS {
            self.verdict.violations.push(text);
        }
    }
}
