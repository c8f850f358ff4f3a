//! Passes a request to the entry host that owns a target which is not warm.
//!
//! Only the owner may send to a cold target, so while all targets of a service are cold the other
//! hosts have none to send to. They pass requests to the owners instead of refusing them, and the
//! owners share the allowances out. A request is passed on once; `docs/design.md`, section 10.

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

/// Passes requests to other entry hosts.
#[derive(Debug)]
pub(crate) struct Relay {
    board: Arc<Blackboard>,
    client: TargetClient,
    clock: Clock,
}

/// The entry host that a request is passed to.
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

    /// Returns the host that a request is to be passed to, or `None` if this host has a target for
    /// it or the request was passed on before.
    pub(crate) fn host_for(&self, call: &mut RequestContext) -> Option<RelayHost> {
        let pool = call.plan.targets.pools.first()?;
        let has_own = !pool.warm.is_empty() || !pool.cold.is_empty();
        if has_own
            || pool.remote_partitions.is_empty()
            || call.head.headers.contains_key(header::RELAYED)
        {
            return None;
        }
        let hosts: Vec<RelayHost> = pool
            .remote_partitions
            .iter()
            .filter_map(|partition| self.owner(*partition))
            .collect();
        let index = call.rng.random_range(0..hosts.len().max(1));
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

    /// Passes a request on and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The code of the outcome when no answer came; refusals of the other host are answers.
    pub(crate) async fn pass(
        &self,
        call: &mut RequestContext,
        host: &RelayHost,
    ) -> Result<Response<Incoming>, Code> {
        let now = self.clock.now();
        let event = RecordEvent::Relayed {
            service: call.plan.targets.service.name.clone(),
            owner: host.name.clone(),
        };
        call.request_records.add(now.wall_ms, call.basis, event);
        let left_ns = call.plan.deadline_ns.ns_since(now.mono_ns);
        let headers = AttemptHeaders {
            deadline_ms: (left_ns / 1_000_000).max(1),
            not_after_wall_ms: None,
            attempt: call.plan.caller_attempt,
        };
        let body = call.body.for_attempt().ok_or(Code::BrokenRequestBody)?;
        let (addr, trace) = (host.caller_addr, &call.trace);
        let mut request = attempt_request(&call.head, body, addr, trace, headers, &mut call.rng)
            .map_err(|_| Code::BadRequestHead)?;
        request
            .headers_mut()
            .insert(header::RELAYED, HeaderValue::from_static("1"));
        let result = send(&self.client, request, Duration::from_nanos(left_ns)).await;
        call.target_ns += self.clock.mono_ns().ns_since(now.mono_ns);
        match result.outcome {
            AttemptOutcome::Unreachable => Err(Code::NoTarget),
            outcome => result
                .response
                .ok_or(outcome.code().unwrap_or(Code::TargetBroke)),
        }
    }
}
