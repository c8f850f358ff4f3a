//! Publishes routes, retry budgets of services and statistics of routes.

use heatherhinge_blackboard::Writer;
use heatherhinge_orders::RouteTable;
use heatherhinge_steering::{BudgetLimits, RetryBudget, RouteStat, SteeringBoard, SteeringWriters};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Publishes a route table if it differs from the one in force. Services and routes that remain
/// keep their budgets and statistics.
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
    publish_per_name(
        &mut writers.budgets,
        &old.value,
        table.services.keys(),
        budget,
    );
    let old = board.route_stats.read_owned();
    let names = table.routes().map(|route| &route.name);
    publish_per_name(&mut writers.route_stats, &old.value, names, || {
        RouteStat::new(seed)
    });
}

/// Publishes one value for each name: the old one if there is one, else the result of `make`.
fn publish_per_name<'a, T>(
    writer: &mut Writer<BTreeMap<Name, Arc<T>>>,
    old: &BTreeMap<Name, Arc<T>>,
    names: impl Iterator<Item = &'a Name>,
    make: impl Fn() -> T,
) {
    let value = |name: &Name| old.get(name).map_or_else(|| Arc::new(make()), Arc::clone);
    writer.publish(names.map(|name| (name.clone(), value(name))).collect());
}

/// Publishes the budgets with new limits; they keep their counts.
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
