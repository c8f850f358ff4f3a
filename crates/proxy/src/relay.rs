//! Relays a request to the entry host that owns a target which is not warm.
//!
//! Only the owner may send to a cold target, so while all targets of a service are cold the other
//! hosts have none to send to. They relay requests to the owners instead of rejecting them, and the
//! owners distribute them within the limits of the cold targets. A request is relayed once;
//! `docs/design.md`, section 10.

use crate::Clock;
use crate::attempt::{TargetClient, attempt_request, send};
use crate::headers::AttemptHeaders;
use crate::request_context::RequestContext;
use heatherhinge_blackboard::Blackboard;
use heatherhinge_policy::AttemptOutcome;
use heatherhinge_records::RecordEvent;
use heatherhinge_types::{Code, Name, Partition, header};
use http::{HeaderValue, Response};
use hyper::body::Incoming;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Relays requests to other entry hosts.
#[derive(Debug)]
pub(crate) struct Relay {
    board: Arc<Blackboard>,
    client: TargetClient,
    clock: Clock,
}

/// The entry host that a request is relayed to.
#[derive(Clone, Debug)]
pub(crate) struct RelayHost {
    name: Name,
    caller_addr: SocketAddr,
}

impl Relay {
    pub(crate) const fn new(board: Arc<Blackboard>, client: TargetClient, clock: Clock) -> Self {
        Self {
            board,
            client,
            clock,
        }
    }

    /// Returns the host to relay a request to, or `None` if this host has a target for it, no owner
    /// is live or the request was relayed before.
    pub(crate) fn host_for(&self, context: &mut RequestContext) -> Option<RelayHost> {
        let pool = context.plan.targets.pools.first()?;
        let has_own = !pool.warm.is_empty() || !pool.cold.is_empty();
        if has_own
            || pool.remote_partitions.is_empty()
            || context.head.headers.contains_key(header::RELAYED)
        {
            return None;
        }
        let hosts: Vec<RelayHost> = pool
            .remote_partitions
            .iter()
            .filter_map(|partition| self.owner(*partition))
            .collect();
        let index = context.rng.random_range(0..hosts.len().max(1));
        hosts.get(index).cloned()
    }

    fn owner(&self, partition: Partition) -> Option<RelayHost> {
        let (owners, hosts) = (self.board.owners.read(), self.board.hosts.read());
        let owner = owners.value.owner(partition)?;
        let entry = hosts
            .value
            .hosts
            .get(&owner.host)
            .filter(|entry| entry.is_live)?;
        let is_other = owner.host != self.board.host;
        is_other.then(|| RelayHost {
            name: owner.host.clone(),
            caller_addr: entry.record.caller_addr,
        })
    }

    /// Relays a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// The code of the outcome when there was no response. An error response of the other host is a
    /// response.
    pub(crate) async fn forward(
        &self,
        context: &mut RequestContext,
        host: &RelayHost,
    ) -> Result<Response<Incoming>, Code> {
        let now = self.clock.now();
        let event = RecordEvent::Relayed {
            service: context.plan.targets.service.name.clone(),
            owner: host.name.clone(),
        };
        context
            .request_records
            .add(now.wall_ms, context.basis, event);
        let remaining_ns = context.plan.deadline_ns.ns_since(now.mono_ns);
        let headers = AttemptHeaders {
            deadline_ms: (remaining_ns / 1_000_000).max(1),
            not_after_wall_ms: None,
            attempt: context.plan.caller_attempt,
        };
        let body = context.body.for_attempt().ok_or(Code::BrokenRequestBody)?;
        let (addr, trace) = (host.caller_addr, &context.trace);
        let mut request =
            attempt_request(&context.head, body, addr, trace, headers, &mut context.rng)
                .map_err(|_| Code::BadRequestHead)?;
        request
            .headers_mut()
            .insert(header::RELAYED, HeaderValue::from_static("1"));
        let result = send(&self.client, request, Duration::from_nanos(remaining_ns)).await;
        context.target_ns += self.clock.mono_ns().ns_since(now.mono_ns);
        match result.outcome {
            AttemptOutcome::Unreachable => Err(Code::NoTarget),
            outcome => result
                .response
                .ok_or(outcome.code().unwrap_or(Code::TargetBroke)),
        }
    }
}
