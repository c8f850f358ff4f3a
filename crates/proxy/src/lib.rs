//! The HTTP data path of an entry host.
//!
//! This crate carries out what [`heatherhinge_policy`] decides: it reads a request, asks for a
//! claim where one is needed, waits for a target, sends, retries or refuses, and streams the whole
//! answer back. It is generic over the policy, the other hosts, the observer and the sink of
//! records, so there is no dynamic dispatch on the path of a request. See `docs/design.md`,
//! sections 7, 9, 15 and 20.

mod answer_body;
mod attempt;
mod call;
mod claimed;
mod clock;
mod dispatcher;
mod forward;
mod headers;
mod limits;
mod observer;
mod out_body;
mod peers;
mod queue;
mod refusal;
mod relay;
mod request;
mod sender;
mod server;
mod story;

pub use answer_body::{AnswerBody, ServerBody};
pub use clock::Clock;
pub use forward::{Proxy, ProxyParts};
pub use headers::strip_hop_by_hop;
pub use limits::Limits;
pub use observer::{NullObserver, Observation, Observer, Sign};
pub use peers::{NoPeers, Peers};
pub use server::{Server, ServerHandle};
