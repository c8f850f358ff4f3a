//! Decodes the rows of orders and keeps those in force.

use crate::Platform;
use heatherhinge_orders::{MoveOrder, Order, OrderKey, RouteTable};
use heatherhinge_steering::AppliedChange;
use heatherhinge_types::{Code, Name, StoreVersion};
use std::collections::{BTreeMap, BTreeSet};

/// All orders in force: the routes, and the moves by service with the version of their row.
#[derive(Debug, Default)]
pub(crate) struct ActiveOrders {
    routes: RouteTable,
    moves: BTreeMap<Name, (StoreVersion, MoveOrder)>,
    zones_out: BTreeSet<Name>,
}

impl ActiveOrders {
    /// Applies a changed row. If it cannot be decoded, the previous order stays in force.
    pub(crate) fn apply<P: Platform>(&mut self, platform: &P, change: &AppliedChange) {
        let Some(key) = platform.order_key(&change.key) else {
            tracing::debug!(key = %change.key, "orders: ignored a row with an unknown key");
            return;
        };
        let Some(row) = &change.row else {
            self.withdraw(&key);
            return;
        };
        match platform.order(&key, &row.content) {
            Ok(order) => self.set(order, row.version),
            Err(error) => tracing::warn!(
                key = %change.key,
                version = %row.version,
                code = Code::BundleMalformed.number(),
                "orders: rejected a row; the previous order stays in force: {error}"
            ),
        }
    }

    fn set(&mut self, order: Order, version: StoreVersion) {
        match order {
            Order::Routes(table) if table.version < self.routes.version => {
                tracing::warn!(
                    in_force = self.routes.version,
                    version = table.version,
                    "orders: rejected routes older than those in force"
                );
            }
            Order::Routes(table) => self.routes = table,
            Order::Move(order) => {
                let known = self.moves.get(&order.service);
                let is_rewritten = known.is_some_and(|(_, known)| *known == order);
                tracing::info!(
                    service = %order.service,
                    to = %order.to,
                    %version,
                    is_rewritten,
                    "orders: move ordered"
                );
                self.moves.insert(order.service.clone(), (version, order));
            }
            Order::ZoneOut(zone) => {
                if self.zones_out.insert(zone.clone()) {
                    tracing::info!(%zone, %version, "orders: zone taken out of service");
                }
            }
        }
    }

    fn withdraw(&mut self, key: &OrderKey) {
        match key {
            // Operators never withdraw routes, so hosts keep those in force.
            OrderKey::Routes => {
                tracing::warn!("orders: routes removed from the store; keeping those in force")
            }
            OrderKey::Move(service) => {
                tracing::info!(%service, "orders: move order removed");
                self.moves.remove(service);
            }
            OrderKey::ZoneOut(zone) => {
                tracing::info!(%zone, "orders: zone back in service");
                self.zones_out.remove(zone);
            }
        }
    }

    pub(crate) const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    pub(crate) const fn moves(&self) -> &BTreeMap<Name, (StoreVersion, MoveOrder)> {
        &self.moves
    }

    pub(crate) const fn zones_out(&self) -> &BTreeSet<Name> {
        &self.zones_out
    }

    pub(crate) fn route_names(&self) -> Vec<Name> {
        self.routes
            .routes()
            .map(|route| route.name.clone())
            .collect()
    }
}
