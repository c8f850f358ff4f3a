//! Runs an entry host that reads its orders and targets from a platform's store.
//!
//! [`Gateway::spawn`] connects the data path, the controllers of [`heatherhinge_steering`], the
//! replicas of the store and the gossip between hosts through one blackboard. The crate is generic
//! over the [`Platform`], which translates messages: nothing here depends on their encoding, and
//! decisions are made in the `steering` crate. See `docs/platform.md`.

mod active_orders;
mod announcement;
mod attempt;
mod call;
mod caller_server;
mod connection;
mod connection_pools;
mod control_loop;
mod events;
mod fleet_board;
mod fleet_service;
mod forward;
mod gateway;
mod graceful_shutdown;
mod in_flight;
mod io;
mod metrics;
mod move_executor;
mod move_observation;
mod order_registry;
mod orders_catch_up;
mod packed_update;
mod placement;
mod platform;
mod probe;
mod progress;
mod quarantine_log;
mod rate_limits;
mod refusal;
mod request_log;
mod response_body;
mod route_publisher;
mod sent_log;
mod settings;
mod startup_delays;
mod store_call_scheduler;
mod stream_deadline;
mod stream_log;
mod sync_peers;
mod target_notices;
mod target_registry;

pub use forward::Forwarder;
pub use gateway::{Gateway, GatewayHandle, HostView};
pub use in_flight::InFlight;
pub use platform::{MalformedRow, Platform, StoreError, StoredTable, WireHeaders, WriteOutcome};
pub use response_body::{ResponseBody, StreamedResponse};
pub use settings::GatewaySettings;

#[cfg(test)]
#[path = "../tests/unit/fleet_view.rs"]
mod fleet_view;
