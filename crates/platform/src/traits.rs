//! The interfaces of the platform's services.

use crate::{Condition, Item, Listing, PlatformError, Write};
use bytes::Bytes;
use std::future::Future;

/// The table service. Reads are consistent: they see every write that took effect before.
pub trait Table: Send + Sync {
    /// Reads one row.
    fn get(&self, pk: &str) -> impl Future<Output = Result<Option<Item>, PlatformError>> + Send;

    /// Stores one row under a condition.
    fn put(
        &self,
        item: &Item,
        condition: Condition,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Deletes one row under a condition.
    fn delete(
        &self,
        pk: &str,
        condition: Condition,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Carries out 1 to 100 writes to different rows together, or none of them.
    fn transact(&self, writes: &[Write]) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads all rows whose key begins with `prefix`, in no stated order.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Item>, PlatformError>> + Send;
}

/// The object store.
///
/// Keys and prefixes are made of ASCII letters, digits and `-`, `_`, `.`, `/`; other keys are
/// refused as malformed, so that none needs an escape.
pub trait Objects: Send + Sync {
    /// Stores an object in place of an earlier one with the same key.
    fn put(&self, key: &str, body: Bytes)
    -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Lists the keys that begin with `prefix`, in their order.
    fn list(&self, prefix: &str)
    -> impl Future<Output = Result<Vec<String>, PlatformError>> + Send;
}

/// The list of live and leaving hosts, which lags behind reality.
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}
