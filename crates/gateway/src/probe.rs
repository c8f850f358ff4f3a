//! Asks targets for their load just before a request is sent.

use crate::WireHeaders;
use crate::connection::{Connection, SendError};
use crate::connection_pools::{ConnectionPool, ConnectionPools};
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

/// Header in which a target states how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Longest time for the answer to a probe. Healthy targets answer within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body of a health answer in bytes.
const HEALTH_BODY_BYTES: usize = 4 * 1024;
/// Time for which a target that cannot be reached is left alone, in milliseconds.
const UNREACHABLE_MS: u64 = 250;
/// Time for which a target is left alone whose address belongs to another one, in milliseconds.
const MISDIRECTED_MS: u64 = 5_000;
/// Time for which a target is left alone that says it is not healthy, in milliseconds.
const UNHEALTHY_MS: u64 = 400;

/// A target that may take a request now, and the connection over which it said so.
#[derive(Debug)]
pub(crate) struct Probed {
    pub(crate) target: Arc<Target>,
    pub(crate) load: TargetLoad,
    connection_pool: Arc<ConnectionPool>,
    connection: Option<Connection>,
}

impl Probed {
    /// Takes the connection, which has just proved to be open.
    pub(crate) fn take(&mut self) -> Option<(Connection, Arc<ConnectionPool>)> {
        let connection = self.connection.take()?;
        Some((connection, Arc::clone(&self.connection_pool)))
    }
}

impl Drop for Probed {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connection_pool.put_back(connection);
        }
    }
}

/// What a probe needs.
#[derive(Debug)]
pub(crate) struct Prober {
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) connection_pools: Arc<ConnectionPools>,
    pub(crate) headers: WireHeaders,
    pub(crate) clock: Clock,
}

/// The probes of one search. Rounds share it, so that an answer to an earlier round still counts.
#[derive(Debug)]
pub(crate) struct ProbeAnswers {
    sender: mpsc::UnboundedSender<Option<Probed>>,
    receiver: mpsc::UnboundedReceiver<Option<Probed>>,
    pending: usize,
}

impl ProbeAnswers {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver,
            pending: 0,
        }
    }

    /// Returns the probes that have not ended.
    pub(crate) const fn pending(&self) -> usize {
        self.pending
    }

    /// Waits until a target answers that may take the request; `None` when all probes have ended.
    pub(crate) async fn next(&mut self) -> Option<Probed> {
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
    /// Asks targets at the same time. A probe that nobody waits for any more still returns its
    /// connection.
    pub(crate) fn ask(self: &Arc<Self>, targets: &[Arc<Target>], answers: &mut ProbeAnswers) {
        answers.pending += targets.len();
        for target in targets {
            let (prober, target) = (Arc::clone(self), Arc::clone(target));
            let sender = answers.sender.clone();
            tokio::spawn(async move {
                // An error means that the request was placed already.
                sender.send(prober.probe(target).await).ok();
            });
        }
    }

    async fn probe(&self, target: Arc<Target>) -> Option<Probed> {
        self.board.counts.probes.fetch_add(1, Ordering::Relaxed);
        let connection_pool = self.connection_pools.connection_pool(&target);
        let answer = timeout(PROBE_TIMEOUT, self.exchange(&target, &connection_pool)).await;
        let now = self.clock.mono_ns();
        let Ok(Ok((connection, status, headers))) = answer else {
            target.cell.avoid_until(now.plus_ms(UNREACHABLE_MS));
            return None;
        };
        let load = self.read(&target, status, &headers)?;
        Some(Probed {
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
            // The target may have closed or forgotten an idle connection; a new one tells.
            if let Ok((status, headers)) = health(&mut connection, target).await {
                return Ok((connection, status, headers));
            }
        }
        let mut connection = ConnectionPools::open(target, &self.board.counts)
            .await
            .map_err(|_| SendError::NeverSent)?;
        let (status, headers) = health(&mut connection, target).await?;
        Ok((connection, status, headers))
    }

    /// Reads a health answer and records what it shows of the target.
    fn read(&self, target: &Target, status: StatusCode, headers: &HeaderMap) -> Option<TargetLoad> {
        let now = self.clock.mono_ns();
        let cell = &target.cell;
        if text(headers, &self.headers.target_id) != Some(target.id().as_str()) {
            cell.avoid_until(now.plus_ms(MISDIRECTED_MS));
            return None;
        }
        let cold_ms = text(headers, &self.headers.cold_ms).and_then(|text| text.parse().ok());
        if let Some(cold_ms) = cold_ms {
            cell.set_cold(now, cold_ms);
        }
        if status != StatusCode::OK {
            cell.avoid_until(now.plus_ms(UNHEALTHY_MS));
            return None;
        }
        let stated = text(headers, &self.headers.load).and_then(|text| text.parse().ok());
        Some(stated.unwrap_or_else(|| own_figure(target)))
    }
}

/// Returns the load that this host causes, for targets that do not state theirs.
fn own_figure(target: &Target) -> TargetLoad {
    TargetLoad {
        running: target.cell.in_flight(),
        waiting: 0,
        slots: target.entry.slots.max(1),
        slowness_percent: USUAL_SLOWNESS_PERCENT,
    }
}

async fn health(
    connection: &mut Connection,
    target: &Target,
) -> Result<(StatusCode, HeaderMap), SendError> {
    let request = Request::get(target.health_path.as_str())
        .header(header::HOST, target.entry.addr.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|_| SendError::NeverSent)?;
    let (head, body) = connection.send(request).await?.into_parts();
    connection.kept_for = text(&head.headers, &KEEP_ALIVE).and_then(kept_for);
    Limited::new(body, HEALTH_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| SendError::Broke)?;
    Ok((head.status, head.headers))
}

/// Reads the time for which a target keeps an idle connection from its `Keep-Alive` header.
fn kept_for(keep_alive: &str) -> Option<Duration> {
    let seconds = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
#[path = "../tests/unit/probe.rs"]
mod tests;
