//! Keeps the orders of operators: the replica of their table and the orders in force.

use crate::Platform;
use crate::active_orders::ActiveOrders;
use heatherhinge_steering::{AppliedChange, OrderRows, Replica, TableUpdate};
use heatherhinge_types::MonoNs;

/// The replica of the orders, the rows in force, and the orders decoded from them.
#[derive(Debug)]
pub(crate) struct OrderRegistry {
    replica: Replica,
    rows: OrderRows,
    active: ActiveOrders,
}

/// What an update has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderChanges {
    /// Rows that differ from those of the replica before, in content or in version.
    pub(crate) rows: usize,
    /// Whether other hosts lack what the replica has now.
    pub(crate) is_news: bool,
    /// Whether orders were put in force or withdrawn.
    pub(crate) has_changed: bool,
}

impl OrderRegistry {
    pub(crate) fn new() -> Self {
        Self {
            replica: Replica::following_rewrites(),
            rows: OrderRows::default(),
            active: ActiveOrders::default(),
        }
    }

    pub(crate) const fn replica(&self) -> &Replica {
        &self.replica
    }

    pub(crate) const fn active(&self) -> &ActiveOrders {
        &self.active
    }

    /// Applies an update.
    pub(crate) fn apply<P: Platform>(
        &mut self,
        update: &TableUpdate,
        platform: &P,
        now: MonoNs,
    ) -> OrderChanges {
        let is_same = |before: &[u8], after: &[u8]| before == after;
        let applied = self.replica.apply(update, now, is_same);
        let accepted = self.rows.accept(&applied, now);
        self.put_in_force(&accepted, platform);
        let rows = applied.changes.len() + applied.rewritten.len();
        if applied.begins_epoch {
            let (missing, outdated) = self.rows.kept();
            tracing::info!(
                version = %update.version,
                rows,
                missing,
                outdated,
                "orders: the first of an epoch; orders that it lacks or shows older stay in force"
            );
        }
        OrderChanges {
            rows,
            is_news: rows > 0 || applied.begins_epoch,
            has_changed: !accepted.is_empty(),
        }
    }

    /// Withdraws orders that the store has lost and that were not written again in time; returns
    /// whether there were any.
    pub(crate) fn expire<P: Platform>(&mut self, platform: &P, now: MonoNs) -> bool {
        let expired = self.rows.expire(now);
        self.put_in_force(&expired, platform);
        !expired.is_empty()
    }

    fn put_in_force<P: Platform>(&mut self, changes: &[AppliedChange], platform: &P) {
        for change in changes {
            self.active.apply(platform, change);
        }
    }
}
