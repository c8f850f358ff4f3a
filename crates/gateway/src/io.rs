//! Calls the store and other hosts in tasks that send their results as events.

use crate::events::{EventSender, GatewayEvent};
use crate::fleet_service::{FleetClient, ORDERS_NOT_WANTED, SyncRequest};
use crate::{Platform, StoredTable};
use heatherhinge_steering::{PastMove, ReportedState, SteeringBoard};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Access to the store and to other hosts for the control loop.
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

    /// Reads the whole table if `after` is none, otherwise the changes after that version, for which
    /// it waits up to `wait_ms`.
    pub(crate) fn read(&self, table: StoredTable, after: StoreVersion, wait_ms: u64) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = if after.is_none() {
                platform.read(table).await
            } else {
                platform.watch(table, after, wait_ms).await
            };
            Some(GatewayEvent::TableRead { table, result })
        });
    }

    pub(crate) fn sync(&self, addr: SocketAddr, request: SyncRequest, now: MonoNs) {
        let fleet = Arc::clone(&self.fleet);
        self.spawn(async move {
            let wanted_orders = request.orders_changed != ORDERS_NOT_WANTED;
            let response = fleet.sync(addr, request).await.map(Box::new);
            Some(GatewayEvent::Synced {
                addr,
                asked: now,
                wanted_orders,
                response,
            })
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
                    tracing::info!("fleet: reading the registered hosts failed: {error}");
                    None
                }
            }
        });
    }

    pub(crate) fn read_verdicts(&self) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = platform.read_verdicts().await;
            Some(GatewayEvent::VerdictsRead(result))
        });
    }

    pub(crate) fn write_verdicts(&self, service: Name, verdicts: Vec<PastMove>) {
        self.count_store_call();
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let result = platform.write_verdicts(&service, &verdicts).await;
            Some(GatewayEvent::VerdictsWritten { service, result })
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
        expected_version: StoreVersion,
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
