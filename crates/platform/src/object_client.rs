//! Reads and writes the object store in the S3 REST protocol.

use crate::http_client::{CallError, HttpClient, HttpResponse};
use crate::object_list::Page;
use crate::{ObjectStore, PlatformError};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;

/// Client of one bucket.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    client: HttpClient,
    bucket: String,
}

impl ObjectClient {
    /// Creates a client of the bucket `bucket` at `addr`; each call may take `timeout_ms`.
    #[must_use]
    pub fn new(addr: SocketAddr, bucket: &str, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(addr, timeout_ms),
            bucket: bucket.to_owned(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, CallError> {
        let uri = self.client.uri(&format!("/{}{path}", self.bucket));
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|_| CallError::NotSent)?;
        self.client.call(request).await
    }

    async fn read(&self, path: &str) -> Result<HttpResponse, PlatformError> {
        self.call(Method::GET, path, Bytes::new())
            .await
            .map_err(CallError::read_error)
    }
}

impl ObjectStore for ObjectClient {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError> {
        check_key(key)?;
        let response = self
            .call(Method::PUT, &format!("/{key}"), body)
            .await
            .map_err(CallError::write_error)?;
        match response.status {
            // The protocol's response to a put has an empty body.
            StatusCode::OK if response.body.is_empty() => Ok(()),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Unavailable),
            status if status.is_client_error() => Err(unexpected_status(status)),
            _ => Err(PlatformError::OutcomeUnknown),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        check_key(key)?;
        let response = self.read(&format!("/{key}")).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            status => check_read_status(status).map(|()| Some(response.body)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        check_key(prefix)?;
        let mut keys = Vec::new();
        let mut token: Option<String> = None;
        loop {
            let mut path = format!("?list-type=2&prefix={prefix}");
            if let Some(token) = &token {
                // The token is opaque, so every byte of it is percent-encoded.
                path.push_str("&continuation-token=");
                path.extend(token.bytes().map(|byte| format!("%{byte:02X}")));
            }
            let response = self.read(&path).await?;
            check_read_status(response.status)?;
            let text = std::str::from_utf8(&response.body).map_err(PlatformError::malformed)?;
            let page = Page::parse(text)?;
            keys.extend(page.keys);
            match page.next_token {
                Some(next) => token = Some(next),
                None => return Ok(keys),
            }
        }
    }
}

fn check_key(key: &str) -> Result<(), PlatformError> {
    let needs_no_escape = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if key.chars().all(needs_no_escape) {
        Ok(())
    } else {
        Err(PlatformError::Malformed(format!(
            "the key {key} has characters other than letters, digits and -_./"
        )))
    }
}

fn check_read_status(status: StatusCode) -> Result<(), PlatformError> {
    match status {
        StatusCode::OK => Ok(()),
        status if status.is_server_error() => Err(PlatformError::Unavailable),
        status => Err(unexpected_status(status)),
    }
}

fn unexpected_status(status: StatusCode) -> PlatformError {
    PlatformError::Malformed(format!("HTTP status {status}"))
}
