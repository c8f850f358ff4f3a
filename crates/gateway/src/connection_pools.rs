//! Pools idle connections to targets. Lookups take no lock.

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

/// Idle connections kept for each target.
const MAX_IDLE_CONNECTIONS: usize = 12;
/// Time after which an idle connection is not reused, if the target sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Margin before the target's own idle timeout within which a connection is not reused.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Idle connections to all targets.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPools {
    table: arc_swap::ArcSwap<BTreeMap<Name, Arc<ConnectionPool>>>,
}

/// Idle connections to one target.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: ArrayQueue<Connection>,
}

impl ConnectionPool {
    fn new() -> Self {
        Self {
            idle: ArrayQueue::new(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Removes and returns an idle connection that is likely to be open still.
    pub(crate) fn take(&self) -> Option<Connection> {
        let now = Instant::now();
        while let Some(connection) = self.idle.pop() {
            let limit = connection
                .idle_timeout
                .map_or(DEFAULT_IDLE_TIMEOUT, |kept| {
                    kept.saturating_sub(IDLE_MARGIN)
                });
            if connection.is_open() && now.duration_since(connection.idle_since) < limit {
                return Some(connection);
            }
        }
        None
    }

    /// Stores a connection whose last response is complete.
    pub(crate) fn put_back(&self, mut connection: Connection) {
        if connection.is_open() {
            connection.idle_since = Instant::now();
            // A full queue closes the connection.
            drop(self.idle.push(connection));
        }
    }
}

impl ConnectionPools {
    /// Returns the pool of a target, and creates it if there is none.
    pub(crate) fn connection_pool(&self, target: &Target) -> Arc<ConnectionPool> {
        if let Some(connection_pool) = self.table.load().get(target.id()) {
            return Arc::clone(connection_pool);
        }
        let new_pool = Arc::new(ConnectionPool::new());
        self.table.rcu(|old| {
            let mut new = BTreeMap::clone(old);
            new.entry(target.id().clone())
                .or_insert_with(|| Arc::clone(&new_pool));
            new
        });
        self.table
            .load()
            .get(target.id())
            .map_or(new_pool, Arc::clone)
    }

    /// Drops the pools of all targets that are not in `ids`.
    pub(crate) fn retain(&self, ids: &BTreeSet<Name>) {
        self.table.rcu(|old| {
            let mut new = BTreeMap::clone(old);
            new.retain(|id, _| ids.contains(id));
            new
        });
    }

    /// Opens a connection to a target and counts it.
    pub(crate) async fn open(target: &Target, counts: &Counts) -> io::Result<Connection> {
        counts.connects.fetch_add(1, Ordering::Relaxed);
        Connection::open(target.entry.addr).await
    }
}
