//! HTTP client for the admin endpoints of an entry host.

use crate::Limits;
use bytes::Bytes;
use heatherhinge_bundle::Envelope;
use heatherhinge_records::admin::{
    ADMIN_PREFIX, BundleAccepted, ErrorBody, ExplainResponse, ReportResponse, StatusResponse,
};
use heatherhinge_types::Code;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest response that is read; the records of one request or move stay far below it.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The host refused the call.
    Refused(ErrorBody),
    /// No connection was opened, so the host did not receive the call.
    Unreachable,
    /// The call was sent but no readable response arrived; it may have taken effect.
    NoResponse,
}

impl CallError {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => &*refusal.ran != "no",
            Self::Unreachable => false,
            Self::NoResponse => true,
        }
    }

    /// Returns whether the cause lies with this host; another entry host may then accept the call.
    #[must_use]
    pub fn is_host_specific(&self) -> bool {
        const HOST_STATES: [Code; 3] = [Code::NotFresh, Code::NoBundle, Code::Leaving];
        match self {
            Self::Refused(refusal) => HOST_STATES.iter().any(|c| c.number() == refusal.code),
            Self::Unreachable | Self::NoResponse => true,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused with code {}", refusal.code),
            Self::Unreachable => f.write_str("no connection"),
            Self::NoResponse => f.write_str("no response"),
        }
    }
}

impl std::error::Error for CallError {}

/// A client for the admin endpoints.
#[derive(Clone, Debug)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    call_timeout: Duration,
}

impl EntryClient {
    /// Makes a client with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(limits.connect_ms)));
        let client = Client::builder(TokioExecutor::new())
            // Connections are not reused and calls are not retried, so that `Unreachable` proves
            // that the host did not receive the call.
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            call_timeout: Duration::from_millis(limits.call_ms),
        }
    }

    /// Submits the JSON of an envelope.
    ///
    /// # Errors
    ///
    /// Returns why the host did not accept it; see [`CallError::may_have_run`] for whether it still
    /// may take effect.
    pub async fn submit(&self, addr: SocketAddr, json: Bytes) -> Result<BundleAccepted, CallError> {
        self.call(Method::POST, addr, "bundle", json).await
    }

    /// Fetches the envelope in force.
    ///
    /// # Errors
    ///
    /// Returns the reason if the host refused the call or did not respond.
    pub async fn bundle(&self, addr: SocketAddr) -> Result<Envelope, CallError> {
        self.get(addr, "bundle").await
    }

    /// Fetches the state of the fleet as the host sees it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the host refused the call or did not respond.
    pub async fn status(&self, addr: SocketAddr) -> Result<StatusResponse, CallError> {
        self.get(addr, "status").await
    }

    /// Fetches the reports on moves.
    ///
    /// # Errors
    ///
    /// Returns the reason if the host refused the call or did not respond.
    pub async fn report(&self, addr: SocketAddr) -> Result<ReportResponse, CallError> {
        self.get(addr, "report").await
    }

    /// Fetches the records of a request or a move; `path` is `request/ID` or `move/ID`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the host refused the call or did not respond.
    pub async fn explain(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<ExplainResponse, CallError> {
        self.get(addr, &format!("explain/{path}")).await
    }

    async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, CallError> {
        self.call(Method::GET, addr, path, Bytes::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{ADMIN_PREFIX}/{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| CallError::Unreachable)?;
        let exchange = tokio::time::timeout(self.call_timeout, self.exchange(request));
        // The connect timeout is shorter, so the call was already sent when this timeout expires.
        let (status, bytes) = exchange.await.map_err(|_| CallError::NoResponse)??;
        if status == StatusCode::OK {
            serde_json::from_slice(&bytes).map_err(|_| CallError::NoResponse)
        } else {
            let refusal = serde_json::from_slice(&bytes).map_err(|_| CallError::NoResponse)?;
            Err(CallError::Refused(refusal))
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Unreachable
            } else {
                CallError::NoResponse
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|_| CallError::NoResponse)?;
        Ok((status, body.to_bytes()))
    }
}
