//! Sends open-loop load over HTTP and reports the latencies.

mod address_list;
mod client;
mod collector;
mod compare;
mod destination;
mod report;
mod runner;
mod schedule;

pub use address_list::{AddressList, AddressResponse, HostAddress};
pub use client::{HttpClient, ResponseHead, SendOutcome};
pub use collector::{Collector, FinishedRequest};
pub use compare::{Comparison, compare};
pub use destination::{Alternating, Destination, Direct};
pub use report::{LatencySummary, RunReport};
pub use runner::{RunLimits, run_load};
pub use schedule::{Arrival, Schedule};
