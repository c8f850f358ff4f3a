//! Reads the platform's list and sends metrics periodically, and selects targets to probe.

use crate::event::{EventSender, HostEvent};
use crate::host_record::overhead_counts;
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
/// Time between two batches of metrics.
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
            Err(error) => tracing::debug!(
                "list: reading the platform's list failed, retrying within {LIST_INTERVAL:?}: {error}"
            ),
        }
    }
}

/// Sends metrics over UDP until the host stops.
pub(crate) async fn send_metrics(board: Arc<Blackboard>, addr: SocketAddr) -> eyre::Result<()> {
    // The unspecified address of the collector's family, so that the collector may be on another
    // host.
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
        let overhead = overhead_counts(&board);
        client
            .gauge(
                "in_flight",
                board.counters.in_flight.load(Ordering::Relaxed),
            )
            .ok();
        client.gauge("probes", overhead.probes).ok();
        client.gauge("retries", overhead.retries).ok();
        client.gauge("refusals", overhead.refusals).ok();
        client
            .gauge("claims", board.counters.claims_sent.load(Ordering::Relaxed))
            .ok();
        client
            .gauge("bundle_version", board.bundle_version().0)
            .ok();
        client.flush().ok();
    }
}

/// Returns the targets that this host may probe: those in its partitions whose last load report is
/// older than `max_age_ms`.
pub(crate) fn stale_targets(
    board: &Blackboard,
    now: heatherhinge_types::Now,
    max_age_ms: u64,
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
        .filter(|cell| now.mono_ns.ms_since(cell.sample(now.mono_ns).reported_ns) > max_age_ms)
        .cloned()
        .collect()
}
