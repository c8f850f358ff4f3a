//! An entry host that finds its orders and targets in a platform's store.
//!
//! [`Gateway::spawn`] wires the data path, the controllers of [`heatherhinge_steering`], the copies
//! of the store and the exchange between hosts around one blackboard. It is generic over the
//! [`Platform`], which translates messages; nothing here knows their encoding, and nothing here
//! decides what the `steering` crate can decide. See `docs/platform.md`.

mod active_orders;
mod announcement;
mod answer;
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
mod orders_catch_up;
mod packed_update;
mod placement;
mod platform;
mod probe;
mod progress;
mod refusal;
mod request_log;
mod route_publisher;
mod sent_log;
mod settings;
mod startup_delays;
mod store_call_scheduler;
mod sync_peers;
mod target_registry;

pub use answer::{ResponseBody, StreamedAnswer};
pub use forward::Forwarder;
pub use gateway::{Gateway, GatewayHandle, HostView};
pub use in_flight::InFlight;
pub use platform::{MalformedRow, Platform, StoreError, StoredTable, WireHeaders, WriteOutcome};
pub use settings::GatewaySettings;
