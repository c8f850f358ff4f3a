//! Starts and controls one entry host on a platform.

use crate::caller_server::{ListenMode, OpenConnections, serve_callers, serve_router};
use crate::connection_pools::ConnectionPools;
use crate::control_loop::{ControlLoop, ControlLoopParts};
use crate::events::{EventSender, GatewayEvent};
use crate::fleet_board::FleetBoard;
use crate::fleet_service::{self, FleetClient};
use crate::forward::Forwarder;
use crate::graceful_shutdown::GracefulShutdown;
use crate::io::Io;
use crate::placement::Placer;
use crate::probe::Prober;
use crate::{GatewaySettings, Platform, metrics};
use axum::Router;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{Demand, HeartbeatId, HostStage, Membership, SteeringBoard};
use heatherhinge_types::Digest;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// View of the host for its readiness and directory endpoints.
#[derive(Clone, Debug)]
pub struct HostView {
    board: Arc<SteeringBoard>,
    seed: Arc<AtomicU64>,
}

impl HostView {
    /// Returns whether the host accepts callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.board.stage() == HostStage::Ready
    }

    /// Returns the addresses of entry hosts for a caller in `zone` that will send requests for the
    /// host name `name`; empty while no host is known to be ready.
    #[must_use]
    pub fn addresses(&self, name: Option<&str>, zone: Option<&str>) -> Vec<SocketAddr> {
        let seed = self.seed.fetch_add(1, Ordering::Relaxed);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let routes = self.board.routes.read();
        let is_bulk = name.is_some_and(|name| routes.value.has_bulk(name));
        let demand = if is_bulk { Demand::Bulk } else { Demand::Light };
        let fleet = self.board.fleet.read();
        heatherhinge_steering::addresses(&fleet.value, zone, demand, &mut rng)
    }
}

/// Starts an entry host.
#[derive(Debug)]
pub struct Gateway;

/// A running entry host.
#[derive(Debug)]
pub struct GatewayHandle {
    events: EventSender,
    exited: oneshot::Receiver<()>,
}

impl Gateway {
    /// Binds the addresses and starts all tasks of a host. `routers` returns the router of the
    /// readiness address and that of the directory address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if an address cannot be bound.
    pub async fn spawn<P, F>(
        settings: GatewaySettings,
        platform: P,
        routers: F,
    ) -> io::Result<GatewayHandle>
    where
        P: Platform,
        F: FnOnce(HostView) -> (Router, Router),
    {
        let clock = Clock::start();
        let started = clock.now();
        let seed = (Digest::of(settings.host.as_bytes()).0 as u64) ^ started.wall_ms.0;
        let callers = TcpListener::bind(settings.caller_addr).await?;
        let readiness = TcpListener::bind(settings.readiness_addr).await?;
        let directory = TcpListener::bind(settings.directory_addr).await?;
        let peers = TcpListener::bind(settings.peer_addr).await?;

        let platform = Arc::new(platform);
        let (board, writers) = SteeringBoard::new(settings.host.clone(), settings.zone.clone());
        let (events, receiver) = EventSender::new();
        let own = settings.host_state(HeartbeatId {
            incarnation: started.wall_ms.0,
            beat: 0,
        });
        let mut membership = Membership::new(own, started.mono_ns);
        for seed_addr in &settings.seeds {
            membership.add_seed(*seed_addr);
        }
        let (fleet_board, fleet_writers) = FleetBoard::new(membership.clone(), events.clone());
        let connection_pools = Arc::new(ConnectionPools::default());
        let forwarder = Arc::new(Forwarder {
            board: Arc::clone(&board),
            placer: Placer {
                board: Arc::clone(&board),
                prober: Arc::new(Prober {
                    board: Arc::clone(&board),
                    connection_pools: Arc::clone(&connection_pools),
                    headers: platform.headers().clone(),
                    clock,
                }),
                clock,
            },
            headers: platform.headers().clone(),
            clock,
            events: events.clone(),
            seed,
            sequence: AtomicU64::new(0),
            closes_at_ns: AtomicU64::new(u64::MAX),
        });
        let (mode, mode_receiver) = watch::channel(ListenMode::Serve);
        let open = Arc::new(OpenConnections::default());
        let view = HostView {
            board: Arc::clone(&board),
            seed: Arc::new(AtomicU64::new(seed)),
        };
        let (readiness_router, directory_router) = routers(view);
        tokio::spawn(serve_callers(
            callers,
            Arc::clone(&forwarder),
            Arc::clone(&open),
            mode_receiver,
        ));
        tokio::spawn(serve_router(readiness, readiness_router));
        tokio::spawn(serve_router(directory, directory_router));
        let (metrics_board, metrics_fleet) = (Arc::clone(&board), Arc::clone(&fleet_board));
        let page = move || metrics::render(&metrics_board, &metrics_fleet, clock.mono_ns());
        tokio::spawn(serve_metrics(settings.metrics_addr, page));
        tokio::spawn(fleet_service::serve(peers, Arc::clone(&fleet_board), clock));

        let io = Io {
            platform,
            fleet: Arc::new(FleetClient::default()),
            board: Arc::clone(&board),
            events: events.clone(),
        };
        let host = settings.host.clone();
        let stop = GracefulShutdown {
            mode,
            open,
            forwarder,
            grace_ms: settings.grace_ms,
            since: None,
        };
        let parts = ControlLoopParts {
            settings,
            board,
            writers,
            fleet_board,
            fleet_writers,
            io,
            connection_pools,
            stop,
            clock,
            incarnation: started.wall_ms.0,
            seed,
        };
        let (exit, exited) = oneshot::channel();
        tokio::spawn(ControlLoop::new(parts, membership).run(receiver, exit));
        tracing::info!(%host, "gateway: started");
        Ok(GatewayHandle { events, exited })
    }
}

/// Serves the metrics. A host works without them, so a failure to bind the address is only logged.
async fn serve_metrics<F>(addr: SocketAddr, render: F)
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    match TcpListener::bind(addr).await {
        Ok(listener) => {
            let page = axum::routing::get(move || async move { render() });
            serve_router(listener, Router::new().route("/metrics", page)).await;
        }
        Err(error) => {
            tracing::warn!(
                %addr,
                "metrics: binding the address failed; no metrics are served: {error}"
            )
        }
    }
}

impl GatewayHandle {
    /// Begins a graceful shutdown and returns at once.
    pub fn stop(&self) {
        self.events.send(GatewayEvent::Stop);
    }

    /// Applies new settings. The host logs those that need a restart.
    pub fn reload(&self, settings: GatewaySettings) {
        self.events.send(GatewayEvent::Reload(Box::new(settings)));
    }

    /// Waits until the graceful shutdown is complete.
    pub async fn exited(&mut self) {
        // An error means that the control loop has already ended.
        (&mut self.exited).await.ok();
    }
}
