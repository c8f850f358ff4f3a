//! A problem in a document, with its location.

use heatherhinge_types::Name;
use std::fmt;

/// A mistake in a file. Problems sort by file and line, the order in which people fix them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Name of the file, as given to the parser.
    pub file: Name,
    /// Line, counted from 1; 0 for the whole file.
    pub line: u32,
    /// Name of the field, the section in brackets, or empty for a whole line.
    pub field: Name,
    /// Description of the mistake and, where useful, of what is allowed.
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
