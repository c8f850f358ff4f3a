//! HTTP calls with a time limit.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

use crate::PlatformError;

/// Largest answer that is taken in, in bytes; a page of a list or scan is about 1 MB.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Idle connections kept to each service.
const IDLE_CONNECTIONS: usize = 8;

/// A pooled HTTP/1.1 client of one service.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    timeout: Duration,
}

/// A status with the whole body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// How a call without a whole answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection broke or the time limit passed; the service may have taken the call in.
    Lost,
}

impl CallError {
    /// Returns the error of a call that changes nothing.
    pub(crate) const fn of_read(self) -> PlatformError {
        PlatformError::Unavailable
    }

    /// Returns the error of a call that may have taken effect.
    pub(crate) const fn of_write(self) -> PlatformError {
        match self {
            Self::NotSent => PlatformError::Unavailable,
            Self::Lost => PlatformError::OutcomeUnknown,
        }
    }
}

impl HttpClient {
    /// Makes a client; `timeout_ms` bounds each call from the connection to the end of the body.
    pub(crate) fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        let timeout = Duration::from_millis(timeout_ms);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than the whole limit, so that a service that cannot be reached is told from one
        // that took the call in and did not answer.
        connector.set_connect_timeout(Some(timeout / 2));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            // A resend by the client would hide that a write may have taken effect.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            addr,
            timeout,
        }
    }

    /// Returns the URI of a path, which must be escaped already.
    pub(crate) fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    /// Carries out one call.
    pub(crate) async fn call(&self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let call = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallError::NotSent
                } else {
                    CallError::Lost
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .map_err(|_| CallError::Lost)?
                .to_bytes();
            Ok(Answer { status, body })
        };
        tokio::time::timeout(self.timeout, call)
            .await
            .unwrap_or(Err(CallError::Lost))
    }
}
