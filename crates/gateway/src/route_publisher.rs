//! Publishes routes, and what is kept for each service and route.

use heatherhinge_blackboard::Writer;
use heatherhinge_orders::RouteTable;
use heatherhinge_steering::{BudgetLimits, RetryBudget, RouteStat, SteeringBoard, SteeringWriters};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Publishes a table if it differs from the one in force. Budgets and statistics of services and
/// routes that stay are kept.
pub(crate) fn publish_routes(
    table: &RouteTable,
    board: &SteeringBoard,
    writers: &mut SteeringWriters,
    limits: BudgetLimits,
    seed: u64,
) {
    if !writers.routes.publish_if_changed(table.clone()) {
        return;
    }
    tracing::info!(version = table.version, "orders: routes in force");
    let old = board.budgets.read_owned();
    let budget = || RetryBudget::new(limits);
    keep(
        &mut writers.budgets,
        &old.value,
        table.services.keys(),
        budget,
    );
    let old = board.route_stats.read_owned();
    let names = table.routes().map(|route| &route.name);
    keep(&mut writers.route_stats, &old.value, names, || {
        RouteStat::new(seed)
    });
}

/// Publishes one value for each name: the old one, or a new one.
fn keep<'a, T>(
    writer: &mut Writer<BTreeMap<Name, Arc<T>>>,
    old: &BTreeMap<Name, Arc<T>>,
    names: impl Iterator<Item = &'a Name>,
    make: impl Fn() -> T,
) {
    let value = |name: &Name| old.get(name).map_or_else(|| Arc::new(make()), Arc::clone);
    writer.publish(names.map(|name| (name.clone(), value(name))).collect());
}

/// Publishes budgets with other limits; what has been counted stays.
pub(crate) fn publish_budget_limits(
    board: &SteeringBoard,
    writers: &mut SteeringWriters,
    limits: BudgetLimits,
) {
    let old = board.budgets.read_owned();
    let with_limits = |(name, budget): (&Name, &Arc<RetryBudget>)| {
        (name.clone(), Arc::new(budget.with_limits(limits)))
    };
    writers
        .budgets
        .publish(old.value.iter().map(with_limits).collect());
}
