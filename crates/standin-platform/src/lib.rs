//! A stand-in for the platform's services, for tests and demonstrations on one host.
//!
//! It implements the subset that heatherhinge uses of the published protocols of three services:
//!
//! - the table service: DynamoDB's JSON 1.0 protocol at `POST /` ([`Table`]);
//! - the object store: the S3 REST protocol at `/BUCKET/KEY` ([`ObjectStore`]);
//! - the host list: Prometheus' `http_sd` JSON at `GET /hosts` ([`HostList`]).
//!
//! Every address accepts admin calls: `POST /admin/faults` with [`FaultSettings`],
//! `GET /admin/counters`, which returns [`Counts`], and `POST /admin/hosts` with a list of
//! [`TargetGroup`]s, which removes an entry from the list when its state is `gone`.
//!
//! Calls outside the subset are rejected with an error that names the unsupported part. Faults can
//! be changed while the stand-in runs ([`FaultSettings`]). All state belongs to one
//! [`RunningPlatform`], so many can run in one process. See `docs/design.md`, section 3.

mod admin;
mod condition;
mod counters;
mod faults;
mod host_list;
mod item;
mod list_entry;
mod list_service;
mod object_service;
mod object_store;
mod options;
mod server;
mod state;
mod table;
mod table_error;
mod table_request;
mod table_service;

pub use condition::Condition;
pub use counters::{Counts, ServiceCounts};
pub use faults::{FaultSettings, ServiceFaults};
pub use host_list::HostList;
pub use item::{ITEM_LIMIT_BYTES, Item};
pub use list_entry::{ListEntry, TargetGroup};
pub use object_store::ObjectStore;
pub use options::{Options, options};
pub use server::{Listen, RunningPlatform, spawn};
pub use table::Table;
pub use table_error::TableError;
