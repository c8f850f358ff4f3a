//! One mistake in a document.

use heatherhinge_types::Name;
use std::fmt;

/// A mistake with its place. Problems sort by file and line, the order in which people fix them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The file, as the reader named it.
    pub file: Name,
    /// Line, counted from 1; 0 if the whole file is meant.
    pub line: u32,
    /// The field, or the section in brackets, or empty if a whole line is meant.
    pub field: Name,
    /// What is wrong and, where it helps, what is allowed.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}
