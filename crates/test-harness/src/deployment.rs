//! A whole deployment on loopback addresses.

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

/// Time between the writes of a target.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Longest time for all hosts to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Host name of the routes.
const HOST: &str = "shop.example";
/// Loopback number of the targets and links, out of the range of hosts.
const SERVERS: u8 = 200;

/// How large a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentConfig {
    /// Second byte of all loopback addresses; rehearsals at the same time need different ones.
    pub net: u8,
    /// Hosts; they alternate between two zones.
    pub hosts: usize,
    /// Targets, which alternate too.
    pub targets: u64,
    /// Time that a request takes at a target, in milliseconds.
    pub service_time_ms: u64,
}

/// A target with the link in front of it.
#[derive(Debug)]
pub(crate) struct Linked {
    pub(crate) target: Arc<Target>,
    pub(crate) proxy: Arc<FaultProxy>,
    pub(crate) is_registered: bool,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    plan: DeploymentConfig,
    /// What was seen.
    pub checker: Arc<InvariantChecker>,
    /// The store.
    pub store: Arc<Store>,
    /// The link between the hosts and the store.
    pub store_proxy: Arc<FaultProxy>,
    /// The daemons.
    pub hosts: Hosts,
    pub(crate) targets: Vec<Linked>,
    sequence: AtomicU64,
    config_version: u32,
}

impl Deployment {
    /// Starts the store, the targets and the hosts, and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, a daemon cannot be started, or a host is not ready
    /// in time.
    pub async fn start(program: &Path, dir: &Path, plan: DeploymentConfig) -> eyre::Result<Self> {
        let checker = Arc::new(InvariantChecker::default());
        let any: SocketAddr = ([127, plan.net, SERVERS, 1], 0).into();
        let store = Store::bind(any).await.wrap_err("store")?;
        let store_proxy = FaultProxy::bind(any, store.addr()).await.wrap_err("link")?;
        let zones: Vec<&str> = (0..plan.hosts)
            .map(|index| ["zone-a", "zone-b"][index % 2])
            .collect();
        let hosts = Hosts::prepare(program, dir, plan.net, &zones, store_proxy.addr())?;
        let mut deployment = Self {
            plan,
            checker,
            store,
            store_proxy,
            hosts,
            targets: Vec::new(),
            sequence: AtomicU64::new(1),
            config_version: 1,
        };
        deployment.write_config();
        for _ in 0..plan.targets {
            deployment.add_target("v1").await?;
        }
        deployment.register_targets();
        deployment.hosts.start_all()?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Writes the configuration in force under a new version.
    pub fn write_config(&mut self) {
        self.config_version += 1;
        let route = |name: &str, kind: &str| {
            json!({
                "name": name, "prefix": format!("/{name}/"), "kind": kind, "service": "desk",
                "timeout": "1900ms", "target_latency": "1600ms", "priority": 1, "max_attempts": 2,
            })
        };
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
            "hosts": [{"host": HOST, "paths": [route("look", "safe"), route("book", "unsafe")]}],
        });
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }

    /// Adds a target of a version; it is registered with the next heartbeat.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn add_target(&mut self, version: &str) -> eyre::Result<()> {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        let any: SocketAddr = ([127, self.plan.net, SERVERS, 1], 0).into();
        let spec = TargetSpec {
            id: format!("i-{number:04}"),
            service: "desk".to_owned(),
            zone: ["zone-a", "zone-b"][usize::try_from(number % 2)?].to_owned(),
            version: version.to_owned(),
            service_time_ms: self.plan.service_time_ms,
        };
        let target = Target::bind(any, spec, Arc::clone(&self.checker)).await?;
        let proxy = FaultProxy::bind(any, target.addr()).await?;
        target.set_registered_addr(proxy.addr());
        self.targets.push(Linked {
            target,
            proxy,
            is_registered: true,
        });
        Ok(())
    }

    /// Writes the registrations of all targets.
    pub fn register_targets(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        for linked in self.targets.iter().filter(|linked| linked.is_registered) {
            linked.target.register(&self.store, sequence);
        }
    }

    /// Writes registrations until the given time has passed.
    pub async fn run_for(&self, lasts: Duration) {
        let until = Instant::now() + lasts;
        while Instant::now() < until {
            self.register_targets();
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(HEARTBEAT)).await;
        }
    }

    /// Waits until every host that runs takes callers.
    ///
    /// # Errors
    ///
    /// Names the host that is not ready in time.
    pub async fn wait_ready(&mut self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for index in 0..self.hosts.hosts.len() {
            let number = self.hosts.hosts[index].number;
            while !is_ready(self.hosts.readiness_addr(number)).await {
                ensure!(Instant::now() < until, "host {number} is not ready in time");
                // A host that was told to stop may have ended meanwhile.
                self.hosts.start(index)?;
                self.run_for(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Returns whether a host takes callers.
    pub async fn is_ready(&self, number: u8) -> bool {
        is_ready(self.hosts.readiness_addr(number)).await
    }

    /// Sets how all targets treat requests.
    pub fn set_targets(&self, mode: TargetMode) {
        for linked in &self.targets {
            linked.target.set_mode(mode);
        }
    }

    /// Sets what the links between hosts and targets do.
    pub fn set_proxies(&self, mode: FaultProxyMode) {
        for linked in &self.targets {
            linked.proxy.set_mode(mode);
        }
    }

    /// Returns callers for this deployment.
    #[must_use]
    pub fn callers(&self) -> Callers {
        Callers {
            directories: self.hosts.directory_addrs(),
            host: HOST.to_owned(),
            idempotent_path: "/look/".to_owned(),
            at_most_once_path: "/book/".to_owned(),
            checker: Arc::clone(&self.checker),
        }
    }
}

/// Asks a host whether it takes callers.
async fn is_ready(addr: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer.starts_with("HTTP/1.1 200"))
    };
    let asked = tokio::time::timeout(Duration::from_millis(500), ask).await;
    matches!(asked, Ok(Some(true)))
}
