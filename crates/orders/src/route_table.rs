//! All routes and services of one configuration.

use crate::{CallerLimits, Route, ServiceSpec};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The routes and services in force, as one immutable value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration; 0 before the first one.
    pub version: u64,
    /// Routes by host name, each list with the longest prefix first.
    routes: BTreeMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<ServiceSpec>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Makes a table; the routes of a host may come in any order.
    #[must_use]
    pub fn new(
        version: u64,
        hosts: BTreeMap<Name, Vec<Route>>,
        services: BTreeMap<Name, Arc<ServiceSpec>>,
        limits: CallerLimits,
    ) -> Self {
        let routes = hosts
            .into_iter()
            .map(|(host, mut routes)| {
                routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
                (host, routes.into_iter().map(Arc::new).collect())
            })
            .collect();
        Self {
            version,
            routes,
            services,
            limits,
        }
    }

    /// Returns whether a configuration is known.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Finds the route with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Lists all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
