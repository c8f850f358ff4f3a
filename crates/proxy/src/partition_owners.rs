//! What the data path asks of the owner of a partition.

use heatherhinge_blackboard::TargetCell;
use heatherhinge_claims::{ClaimRequest, ClaimResponse, Settlement};
use heatherhinge_types::{Code, Digest};
use std::future::Future;
use std::sync::Arc;

/// Reaches the owners of partitions, this host included.
pub trait PartitionOwners: Send + Sync + 'static {
    /// Asks the owner of the key for a claim.
    ///
    /// # Errors
    ///
    /// [`Code::NoOwner`] or [`Code::OwnerUnreachable`].
    fn claim(
        &self,
        request: ClaimRequest,
    ) -> impl Future<Output = Result<ClaimResponse, Code>> + Send;

    /// Tells the owner of the key how the request ended.
    fn settle(&self, settlement: Settlement) -> impl Future<Output = ()> + Send;

    /// Tells the owner of the digest that a target broke while running it. Returns when the owner
    /// has counted it, or after a short time.
    fn report_crash(
        &self,
        digest: Digest,
        target: &Arc<TargetCell>,
    ) -> impl Future<Output = ()> + Send;

    /// Tells the owner of the digest that the request was answered, if the digest is suspected.
    fn report_success(&self, digest: Digest) -> impl Future<Output = ()> + Send;
}

/// A host without peers and without ownership: every claim is refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullPartitionOwners;

impl PartitionOwners for NullPartitionOwners {
    async fn claim(&self, _request: ClaimRequest) -> Result<ClaimResponse, Code> {
        Err(Code::NoOwner)
    }

    async fn settle(&self, _settlement: Settlement) {}

    async fn report_crash(&self, _digest: Digest, _target: &Arc<TargetCell>) {}

    async fn report_success(&self, _digest: Digest) {}
}
