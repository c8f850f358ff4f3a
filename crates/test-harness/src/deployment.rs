//! Starts and controls a deployment on loopback addresses: store, targets, proxies and hosts.

use crate::callers::Callers;
use crate::fault_proxy::{FaultProxy, FaultProxyMode};
use crate::hosts::Hosts;
use crate::invariant_checker::InvariantChecker;
use crate::store::Store;
use crate::target::{Target, TargetMode, TargetSpec};
use eyre::{WrapErr, ensure};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Interval between registrations of a target.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which all hosts must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the routes of the first configuration, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 1_900;
/// Time within which a host must answer a check of the deployment.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Host name that all routes belong to.
const HOST: &str = "shop.example";
/// Third byte of the loopback addresses of store, targets and proxies; hosts use their numbers from 1.
const TARGET_SUBNET: u8 = 200;

/// Size and addresses of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentConfig {
    /// Second byte of all loopback addresses; deployments that run at the same time need different
    /// ones.
    pub net: u8,
    /// Number of hosts, which alternate between two zones.
    pub hosts: usize,
    /// Number of targets, which alternate between the same zones.
    pub targets: u64,
    /// Time that a target takes for a request, in milliseconds.
    pub service_time_ms: u64,
}

/// A target and the fault proxy in front of it.
#[derive(Debug)]
pub(crate) struct ProxiedTarget {
    pub(crate) target: Arc<Target>,
    pub(crate) proxy: Arc<FaultProxy>,
    pub(crate) is_registered: bool,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    config: DeploymentConfig,
    /// Receives all events of targets and callers.
    pub checker: Arc<InvariantChecker>,
    /// Stand-in for the platform's store.
    pub store: Arc<Store>,
    /// Fault proxy between the hosts and the store.
    pub store_proxy: Arc<FaultProxy>,
    /// Daemon processes.
    pub hosts: Hosts,
    pub(crate) targets: Vec<ProxiedTarget>,
    sequence: AtomicU64,
    config_version: u32,
    /// Names of routes that were added to those of the first configuration.
    added_routes: Vec<String>,
    route_timeout_ms: u64,
}

impl Deployment {
    /// Starts the store, the targets and the hosts, and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, a daemon cannot be started, or a host is not ready
    /// in time.
    pub async fn start(program: &Path, dir: &Path, config: DeploymentConfig) -> eyre::Result<Self> {
        let checker = Arc::new(InvariantChecker::default());
        let any: SocketAddr = ([127, config.net, TARGET_SUBNET, 1], 0).into();
        let store = Store::bind(any).await.wrap_err("cannot bind the store")?;
        let store_proxy = FaultProxy::bind(any, store.addr())
            .await
            .wrap_err("cannot bind the store proxy")?;
        let zones: Vec<&str> = (0..config.hosts)
            .map(|index| ["zone-a", "zone-b"][index % 2])
            .collect();
        let hosts = Hosts::prepare(program, dir, config.net, &zones, store_proxy.addr())?;
        let mut deployment = Self {
            config,
            checker,
            store,
            store_proxy,
            hosts,
            targets: Vec::new(),
            sequence: AtomicU64::new(1),
            config_version: 1,
            added_routes: Vec::new(),
            route_timeout_ms: ROUTE_TIMEOUT_MS,
        };
        deployment.write_config();
        for _ in 0..config.targets {
            deployment.add_target("v1").await?;
        }
        deployment.register_targets();
        deployment.hosts.start_all()?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Writes a configuration with another idempotent route, `/NAME/`.
    pub fn add_route(&mut self, name: &str) {
        self.added_routes.push(name.to_owned());
        self.write_config();
    }

    /// Writes a configuration with another timeout of all routes.
    pub fn set_route_timeout(&mut self, timeout_ms: u64) {
        self.route_timeout_ms = timeout_ms;
        self.write_config();
    }

    /// Writes the same configuration again with the next version.
    pub fn write_config(&mut self) {
        self.config_version += 1;
        let timeout = format!("{}ms", self.route_timeout_ms);
        let route = |name: &str, kind: &str| {
            json!({
                "name": name, "prefix": format!("/{name}/"), "kind": kind, "service": "desk",
                "timeout": timeout, "target_latency": "1600ms", "priority": 1, "max_attempts": 2,
            })
        };
        let mut routes = vec![route("look", "safe"), route("book", "unsafe")];
        routes.extend(self.added_routes.iter().map(|name| route(name, "safe")));
        let config = json!({
            "version": format!("{:08x}", self.config_version),
            "services": [{
                "name": "desk", "health_path": "/health", "max_connections": 200,
                "protocol": "h1", "tls": false, "cold_start": "1s", "cold_per_s": 25.0,
            }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout": "3s", "idle_timeout": "15s",
            },
            "hosts": [{"host": HOST, "paths": routes}],
        });
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }

    /// Adds a target whose software has the given version. The next heartbeat registers it.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn add_target(&mut self, version: &str) -> eyre::Result<()> {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        let any: SocketAddr = ([127, self.config.net, TARGET_SUBNET, 1], 0).into();
        let spec = TargetSpec {
            id: format!("i-{number:04}"),
            service: "desk".to_owned(),
            zone: ["zone-a", "zone-b"][usize::try_from(number % 2)?].to_owned(),
            version: version.to_owned(),
            service_time_ms: self.config.service_time_ms,
        };
        let target = Target::bind(any, spec, Arc::clone(&self.checker)).await?;
        let proxy = FaultProxy::bind(any, target.addr()).await?;
        target.set_registered_addr(proxy.addr());
        self.targets.push(ProxiedTarget {
            target,
            proxy,
            is_registered: true,
        });
        Ok(())
    }

    /// Crashes a target: its connections close, new ones are refused, and nothing renews or removes
    /// its registration. Returns its id.
    pub fn crash_target(&mut self, index: usize) -> String {
        let proxied = self.targets.swap_remove(index);
        proxied.target.crash();
        proxied.proxy.close();
        proxied.target.spec().id.clone()
    }

    /// Lists the hosts that have no route of this name.
    pub async fn hosts_without_route(&self, name: &str) -> Vec<u8> {
        let path = format!("/{name}/x");
        let mut without = Vec::new();
        for host in &self.hosts.hosts {
            if self.status(host.number, &path).await == 404 {
                without.push(host.number);
            }
        }
        without
    }

    /// Sends one idempotent request to a host and returns the status of its response, 0 if there is
    /// none.
    pub async fn status(&self, host: u8, path: &str) -> u16 {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        let id = format!("status-{number}");
        self.checker.record_sent(&id, false);
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
        );
        let response = exchange(self.hosts.caller_addr(host), &request).await;
        let status = response.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Writes the registrations of all targets that are marked as registered.
    pub fn register_targets(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        for proxied in self.targets.iter().filter(|proxied| proxied.is_registered) {
            proxied.target.register(&self.store, sequence);
        }
    }

    /// Removes the registration of a target, which serves on.
    pub fn unregister_target(&mut self, index: usize) {
        let proxied = &mut self.targets[index];
        proxied.is_registered = false;
        self.store.remove("servers", &proxied.target.spec().id);
    }

    /// Registers a target as draining, and not again.
    pub fn drain_target(&mut self, index: usize) {
        let proxied = &mut self.targets[index];
        proxied.is_registered = false;
        proxied.target.start_draining(&self.store);
    }

    /// Writes registrations at each heartbeat for the given time.
    pub async fn run_for(&self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.register_targets();
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(HEARTBEAT_INTERVAL)).await;
        }
    }

    /// Waits until every host is ready; starts hosts that are not running.
    ///
    /// # Errors
    ///
    /// Fails with the number of the host that is not ready within 20 s.
    pub async fn wait_ready(&mut self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for index in 0..self.hosts.hosts.len() {
            let number = self.hosts.hosts[index].number;
            while !is_ready(self.hosts.readiness_addr(number)).await {
                ensure!(Instant::now() < until, "host {number} is not ready in time");
                // A host that got SIGTERM may have exited meanwhile.
                self.hosts.start(index)?;
                self.run_for(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Returns whether the readiness check of a host succeeds.
    pub async fn is_ready(&self, number: u8) -> bool {
        is_ready(self.hosts.readiness_addr(number)).await
    }

    /// Sets the mode of all targets.
    pub fn set_targets(&self, mode: TargetMode) {
        for proxied in &self.targets {
            proxied.target.set_mode(mode);
        }
    }

    /// Returns the targets, in the order in which they were added.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().map(|proxied| proxied.target.as_ref())
    }

    /// Sets the mode of the proxies between hosts and targets.
    pub fn set_proxies(&self, mode: FaultProxyMode) {
        for proxied in &self.targets {
            proxied.proxy.set_mode(mode);
        }
    }

    /// Returns callers that use the directories and routes of this deployment.
    #[must_use]
    pub fn callers(&self) -> Callers {
        Callers {
            directories: self.hosts.directory_addrs(),
            host: HOST.to_owned(),
            idempotent_path: "/look/".to_owned(),
            at_most_once_path: "/book/".to_owned(),
            is_idempotent_path_shared: false,
            longest: None,
            checker: Arc::clone(&self.checker),
        }
    }
}

/// Sends a readiness request; returns whether the status is 200.
async fn is_ready(addr: SocketAddr) -> bool {
    let request = "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    exchange(addr, request).await.starts_with("HTTP/1.1 200")
}

/// Sends a request on a new connection and returns what arrives until it is closed; nothing if that
/// takes too long.
async fn exchange(addr: SocketAddr, request: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        Some(response)
    };
    let response = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
    response.ok().flatten().unwrap_or_default()
}
