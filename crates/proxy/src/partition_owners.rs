//! Defines the calls that the data path makes to partition owners.

use heatherhinge_blackboard::TargetCell;
use heatherhinge_claims::{ClaimRequest, ClaimResponse, Settlement};
use heatherhinge_types::{Code, Digest};
use std::future::Future;
use std::sync::Arc;

/// Calls the owners of partitions, which may be this host.
pub trait PartitionOwners: Send + Sync + 'static {
    /// Requests a claim from the owner of the key.
    ///
    /// # Errors
    ///
    /// [`Code::NoOwner`] or [`Code::OwnerUnreachable`].
    fn claim(
        &self,
        request: ClaimRequest,
    ) -> impl Future<Output = Result<ClaimResponse, Code>> + Send;

    /// Reports to the owner of the key how the request ended.
    fn settle(&self, settlement: Settlement) -> impl Future<Output = ()> + Send;

    /// Reports to the owner of the digest that the target's connection broke while it processed the
    /// request. Returns when the owner has counted the crash, or after a timeout.
    fn report_crash(
        &self,
        digest: Digest,
        target: &Arc<TargetCell>,
    ) -> impl Future<Output = ()> + Send;

    /// Reports to the owner of the digest that a suspected request got a response.
    fn report_success(&self, digest: Digest) -> impl Future<Output = ()> + Send;
}

/// The owners for a host without peers: every claim fails with [`Code::NoOwner`], and reports are
/// discarded.
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
