//! Decisions that make a request with an idempotency key run at most once.
//!
//! The owner of a partition keeps the claims of the keys that fall into it. The rules are in
//! `docs/design.md`, section 7; what operators see is in `docs/at-most-once.md`.

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
pub use table::{ClaimLimits, ClaimTable, MAX_STORED_ANSWER_BYTES, RETENTION_MS};
pub use tenure::{Tenure, TenureId};
