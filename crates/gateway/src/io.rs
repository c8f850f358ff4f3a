//! Calls to the store and to other hosts. Each runs in a task that reports back.

use crate::events::{EventSender, GatewayEvent};
use crate::fleet_service::{FleetClient, SyncRequest};
use crate::{Platform, StoreFault, StoredTable};
use heatherhinge_steering::{ReportedState, SteeringBoard};
use heatherhinge_types::Name;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that a watch for orders waits for a change, in milliseconds. Each return costs a call.
const ORDERS_WAIT_MS: u64 = 12_000;
/// First pause after a failed call to the store, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause after a failed call to the store, in milliseconds. An order is to be in force
/// within 2 s of its acknowledgement, also when the store has just come back.
const LONGEST_PAUSE_MS: u64 = 700;

/// The store and the other hosts, for the conductor.
#[derive(Debug)]
pub(crate) struct Io<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) fleet: Arc<FleetClient>,
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) events: EventSender,
}

impl<P: Platform> Io<P> {
    fn spawn(&self, work: impl Future<Output = Option<GatewayEvent>> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Some(event) = work.await {
                events.send(event);
            }
        });
    }

    fn count_store_call(&self) {
        self.board
            .counts
            .store_calls
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Watches the orders until the process ends.
    pub(crate) fn watch_orders(&self) {
        let (platform, events) = (Arc::clone(&self.platform), self.events.clone());
        let board = Arc::clone(&self.board);
        tokio::spawn(async move {
            let table = StoredTable::Orders;
            let (mut version, mut pause_ms) = (0, FIRST_PAUSE_MS);
            loop {
                board.counts.store_calls.fetch_add(1, Ordering::Relaxed);
                let result = match version {
                    0 => platform.read(table).await,
                    after => platform.watch(table, after, ORDERS_WAIT_MS).await,
                };
                let pause = match &result {
                    Ok(update) => {
                        version = update.version;
                        pause_ms = FIRST_PAUSE_MS;
                        None
                    }
                    Err(StoreFault::HistoryLost) => {
                        version = 0;
                        None
                    }
                    Err(_) => Some(pause_ms),
                };
                events.send(GatewayEvent::Stored { table, result });
                if let Some(ms) = pause {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
                }
            }
        });
    }

    /// Reads the whole table, or what changed after a version.
    pub(crate) fn read(&self, table: StoredTable, after: u64) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = if after == 0 {
                platform.read(table).await
            } else {
                platform.watch(table, after, 0).await
            };
            Some(GatewayEvent::Stored { table, result })
        });
    }

    pub(crate) fn sync(&self, addr: SocketAddr, request: SyncRequest) {
        let fleet = Arc::clone(&self.fleet);
        self.spawn(async move {
            let answer = fleet.sync(addr, request).await?;
            Some(GatewayEvent::Synced(Box::new(answer)))
        });
    }

    pub(crate) fn register(&self, host: Name, peer_addr: SocketAddr) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = platform.put_host(&host, peer_addr).await;
            Some(GatewayEvent::Registered(result))
        });
    }

    pub(crate) fn read_hosts(&self) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            match platform.read_hosts().await {
                Ok(addrs) => Some(GatewayEvent::HostsRead(addrs)),
                Err(error) => {
                    tracing::info!("fleet: the registered hosts were not read: {error}");
                    None
                }
            }
        });
    }

    pub(crate) fn read_report(&self, service: Name) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = platform.read_report(&service).await;
            Some(GatewayEvent::ReportRead { service, result })
        });
    }

    pub(crate) fn write_report(
        &self,
        service: Name,
        to: Name,
        state: ReportedState,
        expected_version: u64,
    ) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = platform
                .write_report(&service, &to, state, expected_version)
                .await;
            Some(GatewayEvent::ReportWritten {
                service,
                to,
                state,
                result,
            })
        });
    }
}
