//! Timed tasks of a host: reading the platform's list, probing silent targets, sending metrics.

use crate::event::{EventSender, HostEvent};
use crate::host_record::spend;
use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use heatherhinge_blackboard::{Blackboard, TargetCell};
use heatherhinge_platform::{HostList, HostListClient};
use heatherhinge_types::Partition;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::interval;

/// Time between two readings of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);
/// Prefix of all metrics.
const METRICS_PREFIX: &str = "heatherhinge";

/// Reads the platform's list until the host stops.
pub(crate) async fn read_list(list: HostListClient, events: EventSender) {
    let mut ticks = interval(LIST_INTERVAL);
    loop {
        ticks.tick().await;
        match list.read().await {
            Ok(listing) => events.send(HostEvent::Listed(listing)),
            Err(error) => tracing::debug!("list: the platform's list was not read: {error}"),
        }
    }
}

/// Sends metrics over UDP until the host stops.
pub(crate) async fn send_metrics(board: Arc<Blackboard>, addr: SocketAddr) -> eyre::Result<()> {
    // Any local address of the collector's family, so that it may be on another host.
    let any: IpAddr = match addr {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(addr, socket)?;
    let client = StatsdClient::builder(METRICS_PREFIX, sink)
        .with_tag("host", board.host.to_string())
        .build();
    let mut ticks = interval(METRICS_INTERVAL);
    let mut before = 0;
    loop {
        ticks.tick().await;
        let requests = board.counters.requests.load(Ordering::Relaxed);
        // A metric that cannot be sent is lost; the next one carries the newer value.
        client.count("requests", requests - before).ok();
        before = requests;
        let spend = spend(&board);
        client
            .gauge(
                "in_flight",
                board.counters.in_flight.load(Ordering::Relaxed),
            )
            .ok();
        client.gauge("probes", spend.probes).ok();
        client.gauge("retries", spend.retries).ok();
        client.gauge("refusals", spend.refusals).ok();
        client
            .gauge("claims", board.counters.claims_sent.load(Ordering::Relaxed))
            .ok();
        client
            .gauge("bundle_version", board.bundle_version().0)
            .ok();
        client.flush().ok();
    }
}

/// Returns the targets that this host may probe: those of its partitions without recent reports.
pub(crate) fn silent_targets(
    board: &Blackboard,
    now: heatherhinge_types::Now,
    silent_ms: u64,
) -> Vec<Arc<TargetCell>> {
    let owners = board.owners.read();
    let routing = board.routing.read();
    let pools = routing
        .value
        .services
        .values()
        .flat_map(|service| service.pools.iter());
    let cells = pools.flat_map(|pool| {
        pool.warm
            .iter()
            .chain(pool.cold.iter().map(|cold| &cold.cell))
    });
    cells
        .filter(|cell| {
            owners
                .value
                .holds(&board.host, Partition::of_name(&cell.id), now)
        })
        .filter(|cell| now.mono_ns.ms_since(cell.sample(now.mono_ns).reported_ns) > silent_ms)
        .cloned()
        .collect()
}
