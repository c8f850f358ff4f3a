//! Settings files of the processes.
//!
//! Settings say who a host is and where the platform is; everything that operators change while
//! the system runs is in the bundle instead. [`EntrySettings::open`] reads the settings of an
//! entry host and reports every problem at once, with file, line and field. The fields are tabled
//! in [`FIELDS`] and in `docs/settings.md`.

mod entry;
mod error;
mod fields;
mod log;

pub use entry::EntrySettings;
pub use error::SettingsError;
pub use fields::FIELDS;
pub use log::{LogFormat, LogLevel};
