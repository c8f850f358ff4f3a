//! Runs a small fleet in one process: stand-ins and entry hosts on loopback addresses.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "shared by the test files of this folder"
)]

use bytes::Bytes;
use ed25519_dalek::SigningKey;
use heatherhinge_bundle::{Envelope, TrustedKeys};
use heatherhinge_entryd::{EntryHost, EntryHostHandle};
use heatherhinge_records::admin::StatusResponse;
use heatherhinge_settings::{EntrySettings, LogFormat, LogLevel};
use heatherhinge_standin_platform::{
    FaultSettings, Listen, Options, RunningPlatform, ServiceFaults, TargetGroup,
};
use heatherhinge_standin_target::{Target, TargetConfig};
use heatherhinge_types::{IdempotencyKey, Name, WallMs};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};

/// Timeout for a state to be reached; far above what a slow computer needs.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const KEY_ID: &str = "ops-1";

pub struct Fleet {
    pub platform: RunningPlatform,
    pub targets: Vec<Target>,
    pub hosts: BTreeMap<String, EntryHostHandle>,
    runtimes: BTreeMap<String, HostRuntime>,
    key: SigningKey,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The runtime of one host. Dropping it ends the host at once, as a killed process ends: all its
/// tasks are cancelled and its sockets close.
struct HostRuntime(Option<Runtime>);

impl HostRuntime {
    fn new() -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        Self(Some(runtime.unwrap()))
    }
}

impl Drop for HostRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl TestResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

impl Fleet {
    /// Starts the platform and the targets.
    pub async fn start(targets: Vec<TargetConfig>) -> Self {
        let listen = Listen::Together("127.0.0.1:0".parse().unwrap());
        let options = Options {
            listen,
            table: "heatherhinge".to_owned(),
            bucket: "heatherhinge".to_owned(),
            list_lag_ms: 0,
        };
        let platform = heatherhinge_standin_platform::spawn(&options)
            .await
            .unwrap();
        let mut fleet = Self {
            platform,
            targets: Vec::new(),
            hosts: BTreeMap::new(),
            runtimes: BTreeMap::new(),
            key: SigningKey::from_bytes(&[7; 32]),
            client: Client::builder(TokioExecutor::new()).build_http(),
        };
        for config in targets {
            fleet.add_target(config).await;
        }
        fleet
    }

    pub async fn add_target(&mut self, config: TargetConfig) {
        let target = Target::bind(config).await.unwrap();
        let config = target.config();
        let labels = [
            ("role", "target"),
            ("service", config.service.as_str()),
            ("zone", config.zone.as_str()),
            ("version", config.version.as_str()),
            ("state", "live"),
        ];
        self.register(target.addr(), &labels);
        self.targets.push(target);
    }

    pub fn register(&self, addr: SocketAddr, labels: &[(&str, &str)]) {
        let labels = labels
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
        let group = TargetGroup {
            targets: vec![addr.to_string()],
            labels: labels.collect(),
        };
        self.platform.register(&[group]).unwrap();
    }

    /// Starts an entry host, with the hosts added before it as seed peers.
    pub async fn add_host(&mut self, name: &str, zone: &str) {
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let mut trusted_keys = TrustedKeys::default();
        let public = base64::Engine::encode(
            &base64::engine::general_purpose::STANDARD,
            self.key.verifying_key().as_bytes(),
        );
        trusted_keys
            .add_base64(Name::from(KEY_ID), &public)
            .unwrap();
        let settings = EntrySettings {
            host: Name::from(name),
            zone: Name::from(zone),
            caller_addr: any_port,
            peer_addr: any_port,
            table_addr: self.platform.table_addr,
            object_addr: self.platform.objects_addr,
            host_list_addr: self.platform.list_addr,
            seed_peers: self
                .hosts
                .values()
                .map(EntryHostHandle::peer_addr)
                .collect(),
            trusted_keys,
            log_format: LogFormat::Text,
            log_level: LogLevel::Info,
            metrics_addr: None,
            threads: 2,
            drain_limit_ms: None,
            record_limit: 4_096,
        };
        let runtime = HostRuntime::new();
        let spawned = runtime
            .0
            .as_ref()
            .unwrap()
            .spawn(EntryHost::spawn(settings));
        let host = spawned.await.unwrap().unwrap();
        self.runtimes.insert(name.to_owned(), runtime);
        let labels = [
            ("role", "entry"),
            ("host", name),
            ("zone", zone),
            ("peer_addr", &host.peer_addr().to_string()),
            ("state", "live"),
        ];
        self.register(host.caller_addr(), &labels);
        self.hosts.insert(name.to_owned(), host);
    }

    /// Ends a host without a planned stop: its tasks are cancelled and its sockets close.
    pub fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
        self.runtimes.remove(name);
    }

    /// Sets the faults of the table service.
    pub fn set_table_faults(&self, faults: ServiceFaults) {
        self.platform.set_faults(FaultSettings {
            table: Some(faults),
            ..FaultSettings::default()
        });
    }

    pub fn addr(&self, host: &str) -> SocketAddr {
        self.hosts[host].caller_addr()
    }

    pub fn sign(&self, text: &str) -> String {
        let envelope = Envelope::sign(text.to_owned(), Name::from(KEY_ID), &self.key);
        envelope.to_json().unwrap()
    }

    pub async fn submit(&self, host: &str, text: &str) -> TestResponse {
        let uri = format!("http://{}/heatherhinge/v1/bundle", self.addr(host));
        self.send(Request::post(uri), self.sign(text)).await
    }

    pub async fn get(&self, host: &str, path: &str) -> TestResponse {
        let uri = format!("http://{}{path}", self.addr(host));
        self.send(Request::get(uri), String::new()).await
    }

    pub async fn post(
        &self,
        host: &str,
        path: &str,
        key: IdempotencyKey,
        body: &str,
    ) -> TestResponse {
        let uri = format!("http://{}{path}", self.addr(host));
        let request = Request::post(uri).header("idempotency-key", key.to_string());
        self.send(request, body.to_owned()).await
    }

    pub async fn send(&self, request: http::request::Builder, body: String) -> TestResponse {
        self.try_send(request, body).await.unwrap()
    }

    /// Sends a request; `None` means that the connection broke before the response was complete.
    pub async fn try_send(
        &self,
        request: http::request::Builder,
        body: String,
    ) -> Option<TestResponse> {
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let (head, body) = self.client.request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(TestResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    pub async fn status(&self, host: &str) -> StatusResponse {
        let response = self.get(host, "/heatherhinge/v1/status").await;
        serde_json::from_slice(&response.body).unwrap()
    }

    /// Waits until the status of every host meets a condition.
    pub async fn until_all(&self, what: &str, condition: impl Fn(&StatusResponse) -> bool) {
        let start = Instant::now();
        for host in self.hosts.keys() {
            loop {
                let status = self.status(host).await;
                if condition(&status) {
                    break;
                }
                assert!(
                    start.elapsed() < WAIT_LIMIT,
                    "{what} was not reached on {host} within {WAIT_LIMIT:?}: {status:?}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Waits until a request to a path gets this status on every host.
    pub async fn until_status(&self, path: &str, status: StatusCode) {
        let start = Instant::now();
        for host in self.hosts.keys() {
            loop {
                let response = self.get(host, path).await;
                if response.status == status {
                    break;
                }
                assert!(
                    start.elapsed() < WAIT_LIMIT,
                    "{path} on {host}: {response:?}"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Sends requests through every host until each target has run one.
    pub async fn until_warm(&self, path: &str) {
        let start = Instant::now();
        let is_cold = |target: &Target| target.counters().ran == 0;
        while self.targets.iter().any(is_cold) {
            for host in self.hosts.keys() {
                self.get(host, path).await;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "a target ran no request within {WAIT_LIMIT:?}"
            );
        }
    }

    /// Waits until all partitions have an owner among the hosts.
    pub async fn until_owned(&self) {
        let start = Instant::now();
        loop {
            let mut owned = 0;
            for host in self.hosts.keys() {
                owned += self.status(host).await.partitions_owned;
            }
            if owned == 256 {
                return;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "only {owned} of 256 partitions have an owner"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

pub fn wall_now() -> WallMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    WallMs(u64::try_from(since.as_millis()).unwrap())
}

/// Creates a key that is issued now.
pub fn new_key(number: u8) -> IdempotencyKey {
    IdempotencyKey::new(
        wall_now(),
        [1, 2, 3, 4, 5, 6, 7, 8, number, number.wrapping_mul(37)],
    )
}
