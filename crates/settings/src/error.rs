//! Error of a settings file that does not pass its check.

use heatherhinge_ini::Problem;
use heatherhinge_types::Code;
use std::fmt;

/// All problems of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The problems, sorted by line; there is at least one.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    /// Returns the result code, which is the same for every problem.
    #[must_use]
    pub const fn code(&self) -> Code {
        Code::SettingsMalformed
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.code())?;
        for problem in &self.problems {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
