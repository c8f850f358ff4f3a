//! Rehearses a deployment on one computer: the real daemons as separate processes, with stand-ins
//! around them.
//!
//! [`Store`] speaks the table protocol of the platform, [`Target`] that of a target, and [`Link`]
//! is a loopback proxy that delays, resets or silences what passes. [`Hosts`] starts the daemons
//! and sends them signals. [`Callers`] sends requests as a client of the platform would. All that
//! targets ran and callers saw goes into one [`Ledger`], which checks the promises. [`soak`] draws
//! faults from a seed and plays them all together; `docs/soak.md` tells how to run it.

mod callers;
mod deployment;
mod hosts;
mod ledger;
mod link;
mod soak;
mod store;
mod target;

pub use callers::{Answer, Callers};
pub use deployment::{Deployment, Plan};
pub use hosts::{HostProcess, Hosts};
pub use ledger::{Ledger, Violation};
pub use link::{Link, LinkMode};
pub use soak::{Outcome, soak};
pub use store::{Store, StoreMode};
pub use target::{Target, TargetMode, TargetSpec};
