//! Parses, checks and verifies the configuration bundle that operators sign and roll out.
//!
//! A bundle lists the services, the availability zones and versions that serve them, and the moves
//! of traffic between versions. It is immutable. See `docs/design.md`, section 8.
//!
//! [`Bundle::parse`] reads and checks the text of a bundle as a whole. An [`Envelope`] contains the
//! text and its signature; a host verifies the envelope against its [`TrustedKeys`] before it
//! parses the text. The fields are listed in [`FIELDS`] and in `docs/bundle.md`.

mod check;
mod draft;
mod envelope;
mod fields;
mod keys;
mod model;
mod open;
mod parse;
mod wall_time;

pub use envelope::{ENVELOPE_LIMIT_BYTES, Envelope};
pub use fields::FIELDS;
pub use keys::{KeyTextError, TrustedKeys};
pub use model::{
    Budget, Bundle, BundleVersion, Route, RouteClass, SHORTEST_STEP_MS, STEP_SHARES_PERMILLE,
    Service, VersionMove, Zone, ZoneState,
};
pub use open::Rejection;
pub use wall_time::{format_wall_time, format_wall_time_ms, parse_wall_time};

pub use heatherhinge_ini::Problem;
