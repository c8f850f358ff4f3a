//! An entry host that finds its orders and targets in a platform's store.
//!
//! [`Gateway::spawn`] wires the data path, the controllers of [`heatherhinge_steering`], the copies
//! of the store and the exchange between hosts around one blackboard. It is generic over the
//! [`Platform`], which translates messages; nothing here knows their encoding, and nothing here
//! decides what the `steering` crate can decide. See `docs/platform.md`.

mod announcement;
mod answer;
mod attempt;
mod call;
mod caller_server;
mod conductor;
mod connection;
mod events;
mod exchanges;
mod fleet_board;
mod fleet_service;
mod forward;
mod gateway;
mod in_flight;
mod intake;
mod io;
mod learning;
mod links;
mod metrics;
mod move_desk;
mod orders_chase;
mod packed_update;
mod placement;
mod planned_stop;
mod platform;
mod probe;
mod progress;
mod refusal;
mod route_publisher;
mod sent_log;
mod settings;
mod store_duty;
mod story;
mod target_desk;

pub use answer::{AnswerBody, StreamedAnswer};
pub use forward::Forwarder;
pub use gateway::{Gateway, GatewayHandle, HostView};
pub use in_flight::InFlight;
pub use platform::{MalformedRow, Platform, StoreFault, StoredTable, WireHeaders, WriteOutcome};
pub use settings::GatewaySettings;
