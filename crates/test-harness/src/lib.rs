//! Rehearses a deployment on one computer: the real daemons as separate processes, with stand-ins
//! around them.
//!
//! [`Store`] speaks the table protocol of the platform, [`Target`] that of a target, and [`FaultProxy`]
//! is a loopback proxy that delays, resets or silences what passes. [`Hosts`] starts the daemons
//! and sends them signals. [`Callers`] sends requests as a client of the platform would. All that
//! targets ran and callers saw goes into one [`InvariantChecker`], which checks the promises. [`soak`] draws
//! faults from a seed and plays them all together; `docs/soak.md` tells how to run it.

mod callers;
mod deployment;
mod fault_proxy;
mod hosts;
mod invariant_checker;
mod soak;
mod store;
mod target;

pub use callers::{Answer, Callers};
pub use deployment::{Deployment, DeploymentConfig};
pub use fault_proxy::{FaultProxy, FaultProxyMode};
pub use hosts::{HostProcess, Hosts};
pub use invariant_checker::{InvariantChecker, Violation};
pub use soak::{SoakReport, soak};
pub use store::{Store, StoreMode};
pub use target::{Target, TargetMode, TargetSpec};
