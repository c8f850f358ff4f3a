//! Table of the routes and services of one configuration, with look-up by host name and path.

use crate::{CallerLimits, RequestKind, Route, ServiceSpec};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The routes and services in force, as one immutable value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration; 0 before the first one is loaded.
    pub version: u64,
    /// Routes by host name and prefix. A configuration may have thousands of routes, so the
    /// prefixes of a path are looked up instead of comparing the path with every route.
    routes: BTreeMap<Name, BTreeMap<Name, Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<ServiceSpec>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table; the routes of a host may be in any order.
    #[must_use]
    pub fn new(
        version: u64,
        hosts: BTreeMap<Name, Vec<Route>>,
        services: BTreeMap<Name, Arc<ServiceSpec>>,
        limits: CallerLimits,
    ) -> Self {
        let by_prefix = |route: Route| (route.prefix.clone(), Arc::new(route));
        let routes = hosts
            .into_iter()
            .map(|(host, routes)| (host, routes.into_iter().map(by_prefix).collect()))
            .collect();
        Self {
            version,
            routes,
            services,
            limits,
        }
    }

    /// Returns whether a configuration has been loaded.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Returns the route of a host name with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path.get(..end)?.rfind('/') {
            if let Some(route) = routes.get(path.get(..=slash)?) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns whether a host name has a route with large responses.
    #[must_use]
    pub fn has_bulk(&self, host: &str) -> bool {
        self.routes
            .get(host)
            .is_some_and(|routes| routes.values().any(|route| route.kind == RequestKind::Bulk))
    }

    /// Iterates over the routes of all host names.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(BTreeMap::values)
    }
}
