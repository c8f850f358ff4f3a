//! The command line for operators.
//!
//! [`options`] reads the arguments and [`run`] carries a command out. The binary only reads the
//! clock, the environment and the randomness, and prints the [`Output`]. Requests go to the admin
//! endpoints of entry hosts (`docs/design.md`, section 20); the answer types are those of
//! `heatherhinge_records::admin`, which the daemon uses too.
//!
//! A command never reports more than it knows: a bundle whose fate is unknown after a lost answer
//! is settled by asking the hosts, and if that does not tell either, the command says so and exits
//! with [`Exit::Unknown`].

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
