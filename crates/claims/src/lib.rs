//! Decisions that make a request with an idempotency key run at most once.
//!
//! The owner of a partition keeps the claims of the keys that fall into it. The rules are in
//! `docs/design.md`, section 7.

mod message;

pub use message::{ClaimAnswer, ClaimRequest, Outcome, Settlement, StoredAnswer};
