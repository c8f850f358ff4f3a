//! Makes HTTP calls with a timeout.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

use crate::PlatformError;

/// Largest response body that is read; a page of a list or scan is about 1 MB.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Most idle connections kept open to each service.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A pooled HTTP/1.1 client of one service.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    timeout: Duration,
}

/// A response with its whole body.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Why a call has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection failed or the call timed out; the service may have accepted the call.
    Lost,
}

impl CallError {
    /// Returns the error of a call that changes nothing.
    pub(crate) const fn read_error(self) -> PlatformError {
        PlatformError::Unavailable
    }

    /// Returns the error of a call that may have taken effect.
    pub(crate) const fn write_error(self) -> PlatformError {
        match self {
            Self::NotSent => PlatformError::Unavailable,
            Self::Lost => PlatformError::OutcomeUnknown,
        }
    }
}

impl HttpClient {
    /// Creates a client; `timeout_ms` bounds each call from connecting to the end of the body.
    pub(crate) fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        let timeout = Duration::from_millis(timeout_ms);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than the whole timeout, so that an unreachable service is distinguished from one
        // that accepted the call and did not respond.
        connector.set_connect_timeout(Some(timeout / 2));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            // A retry by the HTTP library would hide that a write may have taken effect.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            addr,
            timeout,
        }
    }

    /// Returns the URI of a path, which must be percent-encoded already.
    pub(crate) fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    /// Makes one call and reads the whole response.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpResponse, CallError> {
        let call = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallError::NotSent
                } else {
                    CallError::Lost
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|_| CallError::Lost)?
                .to_bytes();
            Ok(HttpResponse { status, body })
        };
        tokio::time::timeout(self.timeout, call)
            .await
            .unwrap_or(Err(CallError::Lost))
    }
}
