//! Provides clients of the platform's table service, object store and host list.
//!
//! Each service has a small trait ([`Table`], [`ObjectStore`], [`HostList`]) so that the code that
//! uses it is generic over it, and one client of the published protocol: DynamoDB's JSON 1.0, S3
//! REST and Prometheus `http_sd`. Every call has a timeout.
//!
//! The response to a write can be lost after the write took effect. The clients then return
//! [`PlatformError::OutcomeUnknown`], and [`idempotent_write`] finds the outcome by reading the row
//! again. See `docs/design.md`, sections 8, 13 and 18.

mod attribute;
mod error;
mod host_list;
mod http_client;
mod idempotent_write;
mod item;
mod listing;
mod object_client;
mod object_list;
mod table_client;
mod table_wire;
mod traits;
mod write;

pub use attribute::Attribute;
pub use error::PlatformError;
pub use host_list::HostListClient;
pub use idempotent_write::idempotent_write;
pub use item::Item;
pub use listing::{EntryListing, Listing, TargetListing};
pub use object_client::ObjectClient;
pub use table_client::TableClient;
pub use traits::{HostList, ObjectStore, Table};
pub use write::{Condition, Write};
