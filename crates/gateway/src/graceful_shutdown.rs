//! Carries out the graceful shutdown of a host.

use crate::caller_server::{ListenMode, OpenConnections};
use crate::forward::Forwarder;
use heatherhinge_steering::{DrainStep, LAST_SEND_MS, drain_step};
use heatherhinge_types::MonoNs;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;

/// A graceful shutdown; `since` is its start, `None` before it.
#[derive(Debug)]
pub(crate) struct GracefulShutdown {
    pub(crate) mode: watch::Sender<ListenMode>,
    pub(crate) open: Arc<OpenConnections>,
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) grace_ms: u64,
    pub(crate) since: Option<MonoNs>,
}

impl GracefulShutdown {
    /// Begins the shutdown; returns false if it had already begun.
    pub(crate) fn begin(&mut self, now: MonoNs) -> bool {
        if self.since.is_some() {
            return false;
        }
        self.since = Some(now);
        // The request path compares the time itself: the next tick would come too late.
        let closes_at = now.plus_ms(LAST_SEND_MS);
        self.forwarder
            .closes_at_ns
            .store(closes_at.0, Ordering::Release);
        self.mode.send_replace(ListenMode::CloseAfterResponse);
        tracing::info!(
            connections = self.open.count(),
            "gateway: a planned stop begins"
        );
        true
    }

    /// Advances the shutdown and returns what the host does next.
    pub(crate) fn step(&self, now: MonoNs) -> DrainStep {
        let Some(since) = self.since else {
            return DrainStep::Serve;
        };
        let connections = self.open.count();
        let next = drain_step(since, now, self.grace_ms, connections);
        if next != DrainStep::Serve {
            self.mode.send_replace(ListenMode::Closed);
        }
        if next == DrainStep::Exit {
            tracing::info!(connections, "gateway: the planned stop is complete");
        }
        next
    }
}
