//! Probes the load of targets just before a request is sent.

use crate::WireHeaders;
use crate::connection::{Connection, SendError};
use crate::connection_pools::{ConnectionPool, ConnectionPools};
use crate::rate_limits::{ResponseKind, record_rate_limit};
use crate::target_notices::record_notices;
use bytes::Bytes;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{SteeringBoard, Target, TargetLoad, USUAL_SLOWNESS_PERCENT};
use http::{HeaderMap, HeaderName, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Header with the idle timeout of a connection at the target.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Timeout of a probe. Healthy targets respond within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body of a response to a probe, in bytes.
const HEALTH_BODY_BYTES: usize = 4 * 1024;
/// Time for which a target that cannot be reached is avoided, in milliseconds.
const UNREACHABLE_MS: u64 = 250;
/// Time for which a target is avoided if another one responds at its address, in milliseconds.
const MISDIRECTED_MS: u64 = 5_000;
/// Time for which a target that reports itself unhealthy is avoided, in milliseconds.
const UNHEALTHY_MS: u64 = 400;

/// A target that responded to a probe, with the connection of the probe. Unless that is taken, it
/// goes back to its pool on drop.
#[derive(Debug)]
pub(crate) struct ProbedTarget {
    pub(crate) target: Arc<Target>,
    pub(crate) load: TargetLoad,
    connection_pool: Arc<ConnectionPool>,
    connection: Option<Connection>,
}

impl ProbedTarget {
    /// Takes the connection, on which a probe has just succeeded; `None` if it was taken before.
    pub(crate) fn take(&mut self) -> Option<(Connection, Arc<ConnectionPool>)> {
        let connection = self.connection.take()?;
        Some((connection, Arc::clone(&self.connection_pool)))
    }
}

impl Drop for ProbedTarget {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connection_pool.put_back(connection);
        }
    }
}

/// Sends probes to targets.
#[derive(Debug)]
pub(crate) struct Prober {
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) connection_pools: Arc<ConnectionPools>,
    pub(crate) headers: WireHeaders,
    pub(crate) clock: Clock,
}

/// Results of the probes of one search. All rounds share it, so that a late response to a probe of
/// an earlier round still counts.
#[derive(Debug)]
pub(crate) struct ProbeResults {
    sender: mpsc::UnboundedSender<Option<ProbedTarget>>,
    receiver: mpsc::UnboundedReceiver<Option<ProbedTarget>>,
    pending: usize,
}

impl ProbeResults {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver,
            pending: 0,
        }
    }

    /// Returns the number of probes that have not ended.
    pub(crate) const fn pending(&self) -> usize {
        self.pending
    }

    /// Waits for the next usable target; `None` when all probes have ended.
    pub(crate) async fn next(&mut self) -> Option<ProbedTarget> {
        while self.pending > 0 {
            let ended = self.receiver.recv().await?;
            self.pending -= 1;
            if ended.is_some() {
                return ended;
            }
        }
        None
    }
}

impl Prober {
    /// Starts probes of all `targets` concurrently. The connection of a probe that nobody waits for
    /// any more still goes back to its pool.
    pub(crate) fn probe_all(self: &Arc<Self>, targets: &[Arc<Target>], results: &mut ProbeResults) {
        results.pending += targets.len();
        for target in targets {
            let (prober, target) = (Arc::clone(self), Arc::clone(target));
            let sender = results.sender.clone();
            tokio::spawn(async move {
                // An error means that the search has already ended.
                sender.send(prober.probe(target).await).ok();
            });
        }
    }

    async fn probe(&self, target: Arc<Target>) -> Option<ProbedTarget> {
        self.board.counts.probes.fetch_add(1, Ordering::Relaxed);
        let connection_pool = self.connection_pools.connection_pool(&target);
        let response = timeout(PROBE_TIMEOUT, self.exchange(&target, &connection_pool)).await;
        let now = self.clock.mono_ns();
        let Ok(Ok((connection, status, headers))) = response else {
            target.cell.avoid_until(now.plus_ms(UNREACHABLE_MS));
            return None;
        };
        let load = self.read(&target, status, &headers)?;
        Some(ProbedTarget {
            target,
            load,
            connection_pool,
            connection: Some(connection),
        })
    }

    async fn exchange(
        &self,
        target: &Target,
        connection_pool: &ConnectionPool,
    ) -> Result<(Connection, StatusCode, HeaderMap), SendError> {
        if let Some(mut connection) = connection_pool.take() {
            // The target may have closed or lost an idle connection, so a failure on it proves
            // nothing; a new one is tried.
            if let Ok((status, headers)) = send_probe(&mut connection, target).await {
                return Ok((connection, status, headers));
            }
        }
        let mut connection = ConnectionPools::open(target, &self.board.counts)
            .await
            .map_err(|_| SendError::NeverSent)?;
        let (status, headers) = send_probe(&mut connection, target).await?;
        Ok((connection, status, headers))
    }

    /// Returns the load in the response to a probe, and updates the state of the target; `None` if
    /// the target cannot be used now.
    fn read(&self, target: &Target, status: StatusCode, headers: &HeaderMap) -> Option<TargetLoad> {
        let now = self.clock.mono_ns();
        let cell = &target.cell;
        if header_text(headers, &self.headers.target_id) != Some(target.id().as_str()) {
            cell.avoid_until(now.plus_ms(MISDIRECTED_MS));
            return None;
        }
        record_notices(
            &self.board,
            &self.headers,
            target,
            (status, headers),
            ResponseKind::Probe,
            now,
        );
        record_rate_limit(
            &self.board,
            &self.headers,
            target,
            headers,
            ResponseKind::Probe,
            now,
        );
        let cold_ms =
            header_text(headers, &self.headers.cold_ms).and_then(|text| text.parse().ok());
        if let Some(cold_ms) = cold_ms {
            cell.set_cold(now, cold_ms);
        }
        if status != StatusCode::OK {
            cell.avoid_until(now.plus_ms(UNHEALTHY_MS));
            return None;
        }
        let stated = header_text(headers, &self.headers.load).and_then(|text| text.parse().ok());
        Some(stated.unwrap_or_else(|| local_load(target)))
    }
}

/// Returns the load from this host alone, for targets that do not report theirs.
fn local_load(target: &Target) -> TargetLoad {
    TargetLoad {
        running: target.cell.in_flight(),
        waiting: 0,
        slots: target.entry.slots.max(1),
        slowness_percent: USUAL_SLOWNESS_PERCENT,
    }
}

async fn send_probe(
    connection: &mut Connection,
    target: &Target,
) -> Result<(StatusCode, HeaderMap), SendError> {
    let request = Request::get(target.health_path.as_str())
        .header(header::HOST, target.entry.addr.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|_| SendError::NeverSent)?;
    let (head, body) = connection.send(request).await?.into_parts();
    connection.idle_timeout = header_text(&head.headers, &KEEP_ALIVE).and_then(idle_timeout);
    Limited::new(body, HEALTH_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| SendError::Broke)?;
    Ok((head.status, head.headers))
}

/// Parses the timeout in the value of a `Keep-Alive` header.
fn idle_timeout(keep_alive: &str) -> Option<Duration> {
    let seconds = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the value of a header; `None` if it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
#[path = "../tests/unit/probe.rs"]
mod tests;
