//! Reads the host list in Prometheus' `http_sd` format.

use crate::http_client::{CallError, HttpClient};
use crate::listing::Group;
use crate::{HostList, Listing, PlatformError};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;

/// Client of the host list.
#[derive(Clone, Debug)]
pub struct HostListClient {
    client: HttpClient,
}

impl HostListClient {
    /// Creates a client of the list at `addr`, path `/hosts`; each call may take `timeout_ms`.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(addr, timeout_ms),
        }
    }
}

impl HostList for HostListClient {
    async fn read(&self) -> Result<Listing, PlatformError> {
        let request = Request::get(self.client.uri("/hosts"))
            .body(Full::new(Bytes::new()))
            .map_err(PlatformError::malformed)?;
        let response = self
            .client
            .call(request)
            .await
            .map_err(CallError::read_error)?;
        match response.status {
            StatusCode::OK => {}
            status if status.is_server_error() => return Err(PlatformError::Unavailable),
            status => return Err(PlatformError::Malformed(format!("HTTP status {status}"))),
        }
        let groups: Vec<Group> =
            serde_json::from_slice(&response.body).map_err(PlatformError::malformed)?;
        let listing = Listing::from_groups(&groups);
        if listing.skipped > 0 {
            tracing::warn!(
                skipped = listing.skipped,
                "platform: skipped host list entries that cannot be decoded"
            );
        }
        Ok(listing)
    }
}
