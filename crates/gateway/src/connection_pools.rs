//! Idle connections to targets, found without a lock.

use crate::connection::Connection;
use crossbeam_queue::ArrayQueue;
use heatherhinge_steering::{Counts, Target};
use heatherhinge_types::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections that are kept for each target.
const MAX_IDLE: usize = 12;
/// Time after which an idle connection is not used again, if the target has not stated how long
/// it keeps one.
const IDLE_LIMIT: Duration = Duration::from_secs(6);
/// Time before the end that the target has stated at which a connection is not used again.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Idle connections of all targets.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPools {
    table: arc_swap::ArcSwap<BTreeMap<Name, Arc<ConnectionPool>>>,
}

/// Idle connections of one target.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: ArrayQueue<Connection>,
}

impl ConnectionPool {
    fn new() -> Self {
        Self {
            idle: ArrayQueue::new(MAX_IDLE),
        }
    }

    /// Takes an idle connection that is likely to be open still.
    pub(crate) fn take(&self) -> Option<Connection> {
        let now = Instant::now();
        while let Some(connection) = self.idle.pop() {
            let limit = connection
                .kept_for
                .map_or(IDLE_LIMIT, |kept| kept.saturating_sub(IDLE_MARGIN));
            if connection.is_open() && now.duration_since(connection.idle_since) < limit {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is complete.
    pub(crate) fn put_back(&self, mut connection: Connection) {
        if connection.is_open() {
            connection.idle_since = Instant::now();
            // A full queue closes the connection.
            drop(self.idle.push(connection));
        }
    }
}

impl ConnectionPools {
    /// Returns the link of a target.
    pub(crate) fn connection_pool(&self, target: &Target) -> Arc<ConnectionPool> {
        if let Some(connection_pool) = self.table.load().get(target.id()) {
            return Arc::clone(connection_pool);
        }
        let made = Arc::new(ConnectionPool::new());
        self.table.rcu(|old| {
            let mut new = BTreeMap::clone(old);
            new.entry(target.id().clone())
                .or_insert_with(|| Arc::clone(&made));
            new
        });
        self.table.load().get(target.id()).map_or(made, Arc::clone)
    }

    /// Closes the idle connections of all targets but these.
    pub(crate) fn retain(&self, ids: &BTreeSet<Name>) {
        self.table.rcu(|old| {
            let mut new = BTreeMap::clone(old);
            new.retain(|id, _| ids.contains(id));
            new
        });
    }

    /// Opens a connection to a target.
    pub(crate) async fn open(target: &Target, counts: &Counts) -> io::Result<Connection> {
        counts.connects.fetch_add(1, Ordering::Relaxed);
        Connection::open(target.entry.addr).await
    }
}
