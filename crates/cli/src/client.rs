//! Calls to the admin endpoints of an entry host.

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

/// Largest answer that is read; the records of one request or move stay far below it.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The host refused the call.
    Refused(ErrorBody),
    /// No connection was opened, so the host never saw the call.
    Unreachable,
    /// The call was sent, but no answer came that could be read; it may have taken effect.
    Unanswered,
}

impl CallError {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => &*refusal.ran != "no",
            Self::Unreachable => false,
            Self::Unanswered => true,
        }
    }

    /// Returns whether another entry host may well take the call that this one did not.
    #[must_use]
    pub fn is_host_specific(&self) -> bool {
        const HOST_STATES: [Code; 3] = [Code::NotFresh, Code::NoBundle, Code::Leaving];
        match self {
            Self::Refused(refusal) => HOST_STATES.iter().any(|c| c.number() == refusal.code),
            Self::Unreachable | Self::Unanswered => true,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused with code {}", refusal.code),
            Self::Unreachable => f.write_str("no connection"),
            Self::Unanswered => f.write_str("no answer"),
        }
    }
}

impl std::error::Error for CallError {}

/// A client for the admin endpoints.
#[derive(Clone, Debug)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    call_limit: Duration,
}

impl EntryClient {
    /// Makes a client with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(limits.connect_ms)));
        let client = Client::builder(TokioExecutor::new())
            // A connection is used once and a call never sent twice, so that "no connection"
            // stays a proof that the host did not see the call.
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            call_limit: Duration::from_millis(limits.call_ms),
        }
    }

    /// Submits the JSON of an envelope.
    ///
    /// # Errors
    ///
    /// Returns why there is no acceptance; see [`CallError::may_have_run`].
    pub async fn submit(&self, addr: SocketAddr, json: Bytes) -> Result<BundleAccepted, CallError> {
        self.call(Method::POST, addr, "bundle", json).await
    }

    /// Fetches the envelope in force.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn bundle(&self, addr: SocketAddr) -> Result<Envelope, CallError> {
        self.get(addr, "bundle").await
    }

    /// Fetches the state of the fleet as the host sees it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn status(&self, addr: SocketAddr) -> Result<StatusResponse, CallError> {
        self.get(addr, "status").await
    }

    /// Fetches the reports on moves.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn report(&self, addr: SocketAddr) -> Result<ReportResponse, CallError> {
        self.get(addr, "report").await
    }

    /// Fetches the records of a request or a move; `path` is `request/ID` or `move/ID`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
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
        let exchange = tokio::time::timeout(self.call_limit, self.exchange(request));
        // The connection has its own, shorter limit, so the call was sent when this one passes.
        let (status, bytes) = exchange.await.map_err(|_| CallError::Unanswered)??;
        if status == StatusCode::OK {
            serde_json::from_slice(&bytes).map_err(|_| CallError::Unanswered)
        } else {
            let refusal = serde_json::from_slice(&bytes).map_err(|_| CallError::Unanswered)?;
            Err(CallError::Refused(refusal))
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Unreachable
            } else {
                CallError::Unanswered
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES);
        let body = body.collect().await.map_err(|_| CallError::Unanswered)?;
        Ok((status, body.to_bytes()))
    }
}
