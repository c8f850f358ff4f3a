//! Stand-in targets whose faults can be changed while they run.
//!
//! A [`Target`] listens on its own loopback port and behaves like a worker process of a service: it
//! runs a bounded number of requests concurrently, queues a few more, sheds the rest, starts cold
//! and reports its load. Tests and measurements read its execution log and counters through the
//! running [`Target`] or over HTTP under `/admin/`. All state belongs to the instance, so one
//! process can run many targets. The interface is described in `docs/design.md`, sections 2 and 20.

mod admission;
mod body;
mod config;
mod counters;
mod execution;
mod faults;
mod handler;
mod history;
mod response;
mod server;
mod service_time;
mod worker;

pub use config::{RouteTime, TargetConfig};
pub use counters::{CounterSnapshot, Counters};
pub use execution::{Execution, ExecutionLog, RunOutcome};
pub use faults::{BadEffect, BadVersion, BadWhen, Faults, HealthFault, LoadReportFault, Restart};
pub use server::Target;
pub use service_time::ServiceTime;
