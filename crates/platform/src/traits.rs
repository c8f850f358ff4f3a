//! Defines the interfaces to the platform's services.

use crate::{Condition, Item, Listing, PlatformError, Write};
use bytes::Bytes;
use std::future::Future;

/// The table service. Reads are consistent: they return every write that took effect before.
pub trait Table: Send + Sync {
    /// Returns one row; `None` if it does not exist.
    fn get(&self, pk: &str) -> impl Future<Output = Result<Option<Item>, PlatformError>> + Send;

    /// Writes one row if the condition holds.
    fn put(
        &self,
        item: &Item,
        condition: Condition,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Deletes one row if the condition holds.
    fn delete(
        &self,
        pk: &str,
        condition: Condition,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Makes 1 to 100 writes to different rows in one transaction: all take effect or none.
    fn transact(&self, writes: &[Write]) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Returns all rows whose key begins with `prefix`, in no particular order.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Item>, PlatformError>> + Send;
}

/// The object store.
///
/// Keys and prefixes are made of ASCII letters, digits and `-`, `_`, `.`, `/`; other keys are
/// rejected as malformed, so that none needs an escape.
pub trait ObjectStore: Send + Sync {
    /// Stores an object, replacing one with the same key.
    fn put(&self, key: &str, body: Bytes)
    -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Returns the content of an object; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Returns the keys that begin with `prefix`, in ascending order.
    fn list(&self, prefix: &str)
    -> impl Future<Output = Result<Vec<String>, PlatformError>> + Send;
}

/// The list of live and leaving hosts, which may be out of date.
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}
