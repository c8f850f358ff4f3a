//! The HTTP data path of an entry host.
//!
//! This crate executes the decisions of [`heatherhinge_policy`]: it reads a request, obtains a
//! claim where one is needed, waits for a target, sends, retries or rejects, and streams the
//! response back. It is generic over the policy, the partition owners, the observer and the record
//! sink, so there is no dynamic dispatch on the request path. See `docs/design.md`, sections 7, 9,
//! 15 and 20.

mod attempt;
mod clock;
mod delivery;
mod dispatcher;
mod forward;
mod headers;
mod limits;
mod observer;
mod outgoing_body;
mod partition_owners;
mod queue;
mod refusal;
mod relay;
mod request;
mod request_context;
mod request_records;
mod response_body;
mod sender;
mod server;
mod status;
mod stored_response;

pub use clock::Clock;
pub use forward::{Proxy, ProxyParts};
pub use headers::strip_hop_by_hop;
pub use limits::Limits;
pub use observer::{NullObserver, Observation, ObservationKind, Observer};
pub use partition_owners::{NullPartitionOwners, PartitionOwners};
pub use response_body::{ResponseBody, StreamedResponseBody};
pub use server::{Server, ServerHandle};
pub use status::is_final_status;
