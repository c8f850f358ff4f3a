//! Defines the names, identifiers, times and result codes that all parts of heatherhinge share.
//!
//! This crate has no clock, no socket and no process-wide state. Time is passed in as [`Now`], and
//! identifiers are hashed with a fixed function, so that every host computes the same partition.
//! See `docs/design.md`, sections 1, 4 and 19.

mod code;
mod digest;
mod idempotency_key;
mod load_report;
mod name;
mod partition;
mod store_version;
mod time;
mod urgency;

pub use code::{Code, Ran};
pub use digest::Digest;
pub use idempotency_key::{IdempotencyKey, IdempotencyKeyError};
pub use load_report::{LoadReport, LoadReportError, StartId};
pub use name::Name;
pub use partition::{PARTITION_COUNT, Partition};
pub use store_version::StoreVersion;
pub use time::{CLOCK_ERROR_MS, MonoNs, Now, WallMs};
pub use urgency::Urgency;

/// Names of the HTTP headers that heatherhinge reads and writes; `docs/design.md`, section 20.
pub mod header {
    /// Time left for the request in milliseconds, relative to its arrival.
    pub const DEADLINE_MS: &str = "heatherhinge-deadline-ms";
    /// Wall time in Unix milliseconds after which a target must not start the request.
    pub const NOT_AFTER_MS: &str = "heatherhinge-not-after-ms";
    /// Number of the attempt, counted from 1.
    pub const ATTEMPT: &str = "heatherhinge-attempt";
    /// Load report of a target on its response.
    pub const LOAD: &str = "heatherhinge-load";
    /// Set to 1 by a target that did not start the request.
    pub const NOT_RUN: &str = "heatherhinge-not-run";
    /// Set to 1 on a response whose request was already retried behind the target and must not be
    /// retried again.
    pub const RETRIED: &str = "heatherhinge-retried";
    /// Set to 1 on a request that one entry host relays to another; it is not relayed again.
    pub const RELAYED: &str = "heatherhinge-relayed";
    /// Set to 1 on a response that replays the stored response of a completed key.
    pub const REPLAYED: &str = "heatherhinge-replayed";
    /// Numbered result code of a refusal.
    pub const CODE: &str = "heatherhinge-code";
    /// Whether the refused request ran: `no`, `unknown` or `yes`.
    pub const RAN: &str = "heatherhinge-ran";
    /// Identifier of the request in decision records.
    pub const REQUEST_ID: &str = "heatherhinge-request-id";
    /// Key that makes a resend of a non-idempotent request safe.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}
