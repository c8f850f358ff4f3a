//! Client of the host list in Prometheus' `http_sd` form.

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
    caller: HttpClient,
}

impl HostListClient {
    /// Makes a client of the list at `addr`, path `/hosts`; each call may take `timeout_ms`.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            caller: HttpClient::new(addr, timeout_ms),
        }
    }
}

impl HostList for HostListClient {
    async fn read(&self) -> Result<Listing, PlatformError> {
        let request = Request::get(self.caller.uri("/hosts"))
            .body(Full::new(Bytes::new()))
            .map_err(PlatformError::malformed)?;
        let answer = self
            .caller
            .call(request)
            .await
            .map_err(CallError::of_read)?;
        match answer.status {
            StatusCode::OK => {}
            status if status.is_server_error() => return Err(PlatformError::Unavailable),
            status => return Err(PlatformError::Malformed(format!("status {status}"))),
        }
        let groups: Vec<Group> =
            serde_json::from_slice(&answer.body).map_err(PlatformError::malformed)?;
        let listing = Listing::from_groups(&groups);
        if listing.skipped > 0 {
            tracing::warn!(
                skipped = listing.skipped,
                "platform: left out list entries that cannot be read"
            );
        }
        Ok(listing)
    }
}
