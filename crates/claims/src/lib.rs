//! Decides claims on idempotency keys, so that a request with a key runs at most once.
//!
//! The owner of a partition keeps the claims of the keys in it. The rules are in `docs/design.md`,
//! section 7; the operator's view is in `docs/at-most-once.md`.

mod claim;
mod handed;
mod message;
mod partition_claims;
mod table;
mod tenure;

pub use claim::ClaimState;
pub use handed::{HandedClaim, HandedPartition};
pub use message::{
    AttemptId, ClaimRequest, ClaimResponse, Outcome, SettleResponse, Settlement, StoredResponse,
};
pub use table::{ClaimLimits, ClaimTable, MAX_STORED_RESPONSE_BYTES, RETENTION_MS};
pub use tenure::{Tenure, TenureId};
