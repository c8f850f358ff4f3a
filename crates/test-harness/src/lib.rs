//! Runs a deployment on one computer: the real daemons as separate processes, with stand-ins for
//! everything around them.
//!
//! [`Store`] implements the table protocol of the platform, [`Target`] the protocol of a target,
//! and [`FaultProxy`] is a loopback proxy that delays, drops or resets traffic. [`Hosts`] starts the
//! daemons and sends them signals. [`Callers`] sends requests as clients of the platform do. Targets
//! and callers report to one [`InvariantChecker`]. [`soak()`] injects random faults drawn from a
//! seed; `docs/soak.md` describes how to run it.

mod callers;
mod deployment;
mod fault_proxy;
mod hosts;
mod invariant_checker;
mod rate_limit_check;
mod soak;
mod soak_run;
mod store;
mod target;
mod target_body;

pub use callers::{Callers, RequestOutcome};
pub use deployment::{Deployment, DeploymentConfig};
pub use fault_proxy::{FaultProxy, FaultProxyMode};
pub use hosts::{HostProcess, Hosts};
pub use invariant_checker::{InvariantChecker, Violation};
pub use soak::{SoakReport, soak};
pub use store::{LostRow, Store, StoreMode};
pub use target::{Target, TargetMode, TargetSpec};
