//! What the data path asks of the owner of a partition.

use heatherhinge_blackboard::TargetCell;
use heatherhinge_claims::{ClaimAnswer, ClaimRequest, Settlement};
use heatherhinge_types::{Code, Digest};
use std::future::Future;
use std::sync::Arc;

/// Reaches the owners of partitions, this host included.
pub trait Peers: Send + Sync + 'static {
    /// Asks the owner of the key for a claim.
    ///
    /// # Errors
    ///
    /// [`Code::NoOwner`] or [`Code::OwnerUnreachable`].
    fn claim(
        &self,
        request: ClaimRequest,
    ) -> impl Future<Output = Result<ClaimAnswer, Code>> + Send;

    /// Tells the owner of the key how the request ended.
    fn settle(&self, settlement: Settlement) -> impl Future<Output = ()> + Send;

    /// Tells the owner of the digest that a target broke while running it. Returns when the owner
    /// has counted it, or after a short time.
    fn crashed(&self, digest: Digest, target: &Arc<TargetCell>) -> impl Future<Output = ()> + Send;

    /// Tells the owner of the digest that the request was answered, if the digest is suspected.
    fn succeeded(&self, digest: Digest) -> impl Future<Output = ()> + Send;
}

/// A host without peers and without ownership: every claim is refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn claim(&self, _request: ClaimRequest) -> Result<ClaimAnswer, Code> {
        Err(Code::NoOwner)
    }

    async fn settle(&self, _settlement: Settlement) {}

    async fn crashed(&self, _digest: Digest, _target: &Arc<TargetCell>) {}

    async fn succeeded(&self, _digest: Digest) {}
}
