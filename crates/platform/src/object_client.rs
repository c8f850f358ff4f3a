//! Client of the object store in the S3 REST protocol.

use crate::http_client::{Answer, CallError, HttpClient};
use crate::object_list::Page;
use crate::{Objects, PlatformError};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;

/// Client of one bucket.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    caller: HttpClient,
    bucket: String,
}

impl ObjectClient {
    /// Makes a client of the bucket `bucket` at `addr`; each call may take `timeout_ms`.
    #[must_use]
    pub fn new(addr: SocketAddr, bucket: &str, timeout_ms: u64) -> Self {
        Self {
            caller: HttpClient::new(addr, timeout_ms),
            bucket: bucket.to_owned(),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, CallError> {
        let uri = self.caller.uri(&format!("/{}{path}", self.bucket));
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|_| CallError::NotSent)?;
        self.caller.call(request).await
    }

    async fn read(&self, path: &str) -> Result<Answer, PlatformError> {
        self.call(Method::GET, path, Bytes::new())
            .await
            .map_err(CallError::of_read)
    }
}

impl Objects for ObjectClient {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError> {
        check_plain(key)?;
        let answer = self
            .call(Method::PUT, &format!("/{key}"), body)
            .await
            .map_err(CallError::of_write)?;
        match answer.status {
            // The protocol answers a put with an empty body.
            StatusCode::OK if answer.body.is_empty() => Ok(()),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Unavailable),
            status if status.is_client_error() => Err(refusal(status)),
            _ => Err(PlatformError::OutcomeUnknown),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        check_plain(key)?;
        let answer = self.read(&format!("/{key}")).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            status => check_read(status).map(|()| Some(answer.body)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        check_plain(prefix)?;
        let mut keys = Vec::new();
        let mut token: Option<String> = None;
        loop {
            let mut path = format!("?list-type=2&prefix={prefix}");
            if let Some(token) = &token {
                // The token is opaque, so every byte of it is escaped.
                path.push_str("&continuation-token=");
                path.extend(token.bytes().map(|byte| format!("%{byte:02X}")));
            }
            let answer = self.read(&path).await?;
            check_read(answer.status)?;
            let text = std::str::from_utf8(&answer.body).map_err(PlatformError::malformed)?;
            let page = Page::parse(text)?;
            keys.extend(page.keys);
            match page.next_token {
                Some(next) => token = Some(next),
                None => return Ok(keys),
            }
        }
    }
}

fn check_plain(key: &str) -> Result<(), PlatformError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if key.chars().all(is_plain) {
        Ok(())
    } else {
        Err(PlatformError::Malformed(format!(
            "the key {key} needs escapes"
        )))
    }
}

fn check_read(status: StatusCode) -> Result<(), PlatformError> {
    match status {
        StatusCode::OK => Ok(()),
        status if status.is_server_error() => Err(PlatformError::Unavailable),
        status => Err(refusal(status)),
    }
}

fn refusal(status: StatusCode) -> PlatformError {
    PlatformError::Malformed(format!("status {status}"))
}
