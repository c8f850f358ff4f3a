//! A target and an HTTP client for the tests.
#![allow(dead_code, reason = "each test file uses only some of it")]

use bytes::Bytes;
use heatherhinge_standin_target::{Faults, RouteTime, Target, TargetConfig};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// A target and a client that opens as many connections as it needs.
pub(crate) struct Fixture {
    pub(crate) target: Target,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }
}

impl Fixture {
    pub(crate) async fn new(config: TargetConfig) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        let target = Target::bind(config).await.unwrap();
        Self { target, client }
    }

    /// Sends one request; returns `Err` if no complete response arrives.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, String> {
        let uri = format!("http://{}{path}", self.target.addr());
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_owned())).unwrap();
        let response = self.client.request(request).await;
        let (parts, body) = response.map_err(|e| format!("{e:?}"))?.into_parts();
        let body = body.collect().await.map_err(|e| format!("{e:?}"))?;
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Waits until the target has started `ran` requests.
    pub(crate) async fn wait_until_ran(&self, ran: u64) {
        while self.target.counters().ran < ran {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Response, String> {
        self.send("GET", path, &[], "").await
    }

    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = Faults::default();
        change(&mut faults);
        self.target.set_faults(faults);
    }
}

/// Returns the settings of a target whose requests on `/orders/hold` outlast every test.
pub(crate) fn holding_config(slots: u32, queue_len: u32) -> TargetConfig {
    TargetConfig {
        slots,
        queue_len,
        routes: vec![RouteTime {
            prefix: "/orders/hold".to_owned(),
            service_time: "3600000000".parse().unwrap(),
        }],
        ..TargetConfig::new("orders")
    }
}
