//! The bundle of configuration that operators sign and roll out.
//!
//! A bundle states which services exist, which availability zones and versions serve them, and how
//! traffic moves between versions. It is immutable once made. See `docs/design.md`, section 8.

mod model;

pub use model::{
    Budget, Bundle, BundleVersion, Route, RouteClass, Service, VersionMove, Zone, ZoneState,
};
