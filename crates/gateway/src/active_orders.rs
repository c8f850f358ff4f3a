//! The orders in force, decoded from their rows.

use crate::Platform;
use heatherhinge_orders::{MoveOrder, Order, OrderKey, RouteTable};
use heatherhinge_steering::AppliedChange;
use heatherhinge_types::{Code, Name};
use std::collections::{BTreeMap, BTreeSet};

/// All orders in force.
#[derive(Debug, Default)]
pub(crate) struct ActiveOrders {
    routes: RouteTable,
    moves: BTreeMap<Name, (u64, MoveOrder)>,
    zones_out: BTreeSet<Name>,
}

impl ActiveOrders {
    /// Takes in a changed row. A row that cannot be read leaves the order before it in force.
    pub(crate) fn apply<P: Platform>(&mut self, platform: &P, change: &AppliedChange) {
        let Some(key) = platform.order_key(&change.key) else {
            tracing::debug!(key = %change.key, "orders: a row of another kind");
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
                version = row.version,
                code = Code::BundleMalformed.number(),
                "orders: a row was not taken: {error}"
            ),
        }
    }

    fn set(&mut self, order: Order, version: u64) {
        match order {
            Order::Routes(table) if table.version < self.routes.version => {
                tracing::warn!(
                    in_force = self.routes.version,
                    version = table.version,
                    "orders: routes older than those in force were not taken"
                );
            }
            Order::Routes(table) => self.routes = table,
            Order::Move(order) => {
                tracing::info!(service = %order.service, to = %order.to, version, "orders: a move");
                self.moves.insert(order.service.clone(), (version, order));
            }
            Order::ZoneOut(zone) => {
                tracing::info!(%zone, version, "orders: a zone is taken out");
                self.zones_out.insert(zone);
            }
        }
    }

    fn withdraw(&mut self, key: &OrderKey) {
        match key {
            // Hosts go on with the routes in force; an operator never withdraws them.
            OrderKey::Routes => tracing::warn!("orders: the routes were removed from the store"),
            OrderKey::Move(service) => {
                tracing::info!(%service, "orders: a move is no longer ordered");
                self.moves.remove(service);
            }
            OrderKey::ZoneOut(zone) => {
                tracing::info!(%zone, "orders: a zone is back");
                self.zones_out.remove(zone);
            }
        }
    }

    pub(crate) const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    pub(crate) const fn moves(&self) -> &BTreeMap<Name, (u64, MoveOrder)> {
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
