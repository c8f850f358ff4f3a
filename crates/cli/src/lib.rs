//! Implements the operators' command line.
//!
//! [`options`] parses the arguments and [`run`] executes a command. The binary only reads the
//! clock, the environment and random bytes, and prints the [`Output`]. Requests go to the admin
//! endpoints of entry hosts (`docs/design.md`, section 20); the response types are those of
//! `heatherhinge_records::admin`, which the daemon uses too.
//!
//! A command reports only what a response proves: if the response to a submission is lost, the
//! command polls the hosts for the outcome, and if that does not show it either, it reports an
//! unknown outcome and exits with [`Exit::Unknown`].

mod bundle_file;
mod check;
mod client;
mod command;
mod context;
mod distribute;
mod explain;
mod explain_log;
mod fleet_status;
mod key;
mod log_line;
mod options;
mod output;
mod report;
mod run;
mod status;
mod submit;
mod table;

pub use client::{CallError, EntryClient};
pub use command::{Command, Invocation, Subject};
pub use context::{Context, Limits};
pub use options::options;
pub use output::{Exit, Output};
pub use run::run;
