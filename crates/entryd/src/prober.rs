//! Probes targets without recent load reports, within the fleet's probe budget.

use crate::event::{EventSender, HostEvent};
use crate::tasks::stale_targets;
use bytes::Bytes;
use heatherhinge_blackboard::{Blackboard, TargetCell};
use heatherhinge_controllers::{ColdReport, WarmupEvent};
use heatherhinge_proxy::Clock;
use heatherhinge_types::{LoadReport, PARTITION_COUNT, header};
use http::{Request, Uri};
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the last load report above which a target is probed.
const REPORT_MAX_AGE_MS: u64 = 5_000;
/// Timeout for connecting and for the response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Credit that one probe costs. One unit is the share of one partition.
const PROBE_COST: u64 = PARTITION_COUNT as u64;

/// Probes targets without recent load reports.
///
/// A host may use budget × owned partitions / 256. No two hosts own a partition at the same time,
/// so the fleet stays within the budget without coordination; `docs/design.md`, section 9.
#[derive(Debug)]
pub(crate) struct Prober {
    board: Arc<Blackboard>,
    clock: Clock,
    events: EventSender,
    client: Client<HttpConnector, Empty<Bytes>>,
    credit: u64,
    next: usize,
}

impl Prober {
    pub(crate) fn new(board: Arc<Blackboard>, clock: Clock, events: EventSender) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(PROBE_TIMEOUT));
        // Connections are closed after use: each counts towards the target's connection limit.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self {
            board,
            clock,
            events,
            client,
            credit: 0,
            next: 0,
        }
    }

    /// Probes until the host stops.
    pub(crate) async fn run(mut self) {
        let mut ticks = interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.add_credit();
            self.probe_stale_targets().await;
        }
    }

    /// Adds the credit of one round. Credit is capped at that of one second, or one probe, so that
    /// probes do not come in bursts.
    fn add_credit(&mut self) {
        let now = self.clock.now();
        let owners = self.board.owners.read();
        if !owners.value.lease_valid(now) {
            self.credit = 0;
            return;
        }
        let owned = owners.value.count(&self.board.host) as u64;
        let bundle = self.board.bundle.read();
        let per_s = bundle
            .value
            .as_ref()
            .map_or(0, |b| u64::from(b.budget.probes_per_s));
        let max_credit = (per_s * owned).max(PROBE_COST);
        self.credit = (self.credit + per_s * owned / 2).min(max_credit);
    }

    async fn probe_stale_targets(&mut self) {
        let stale = stale_targets(&self.board, self.clock.now(), REPORT_MAX_AGE_MS);
        let affordable = usize::try_from(self.credit / PROBE_COST).unwrap_or(usize::MAX);
        for _ in 0..affordable.min(stale.len()) {
            self.next = (self.next + 1) % stale.len();
            self.credit -= PROBE_COST;
            self.probe(&stale[self.next]).await;
        }
    }

    async fn probe(&self, target: &TargetCell) {
        self.board.counters.probes.fetch_add(1, Ordering::Relaxed);
        let uri: Result<Uri, _> = format!("http://{}/health", target.addr).parse();
        let request = uri.map(|uri| Request::get(uri).body(Empty::new()));
        let Ok(Ok(request)) = request else { return };
        // Health endpoints can be wrong, so only the load report of the response is used, for the
        // run that it names.
        let Ok(Ok(response)) = timeout(PROBE_TIMEOUT, self.client.request(request)).await else {
            return;
        };
        let load = response
            .headers()
            .get(header::LOAD)
            .and_then(|value| value.to_str().ok());
        let Some(Ok(report)) = load.map(str::parse::<LoadReport>) else {
            return;
        };
        if let Some(lost_run) = target.record_report(report, self.clock.mono_ns()) {
            let report = ColdReport {
                target: target.id.clone(),
                lost_run: Some(lost_run),
                new_run: Some(report.start_id),
            };
            self.events
                .send(HostEvent::Warmup(WarmupEvent::Reported(report)));
        }
    }
}
