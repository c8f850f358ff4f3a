//! Reads and checks the settings file of an entry host.
//!
//! Settings contain the identity of a host and the addresses of the platform; everything that
//! operators change while the system runs is in the bundle instead. [`EntrySettings::open`] reports
//! every problem at once, with file, line and field. The fields are listed in [`FIELDS`] and in
//! `docs/settings.md`.

mod entry;
mod error;
mod fields;
mod log;

pub use entry::EntrySettings;
pub use error::SettingsError;
pub use fields::FIELDS;
pub use log::{LogFormat, LogLevel};
