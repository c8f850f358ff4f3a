//! Defines the request bodies of the table service. Members outside the subset are rejected.

use crate::{Condition, Item, TableError};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Body of `GetItem`, which reads one item.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub(crate) struct GetRequest {
    pub(crate) table_name: String,
    pub(crate) key: Item,
    #[serde(default, rename = "ConsistentRead")]
    pub(crate) _consistent_read: bool,
}

/// One write, on its own or in a transaction: `item` for a put, `key` for a delete or a check.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub(crate) struct WriteRequest {
    pub(crate) table_name: String,
    pub(crate) item: Option<Item>,
    pub(crate) key: Option<Item>,
    condition_expression: Option<String>,
    #[serde(default)]
    expression_attribute_values: BTreeMap<String, Value>,
}

impl WriteRequest {
    pub(crate) fn condition(&self) -> Result<Condition, TableError> {
        Condition::parse(
            self.condition_expression.as_deref(),
            &self.expression_attribute_values,
        )
    }
}

/// Body of `TransactWriteItems`, whose writes take effect together or not at all.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub(crate) struct TransactRequest {
    pub(crate) transact_items: Vec<TransactItem>,
}

/// One write of a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub(crate) enum TransactItem {
    Put(WriteRequest),
    Delete(WriteRequest),
    ConditionCheck(WriteRequest),
}

/// Body of `Scan`, which reads items in pages.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub(crate) struct ScanRequest {
    pub(crate) table_name: String,
    pub(crate) filter_expression: Option<String>,
    #[serde(default)]
    pub(crate) expression_attribute_values: BTreeMap<String, Value>,
    pub(crate) limit: Option<usize>,
    pub(crate) exclusive_start_key: Option<Item>,
    #[serde(default, rename = "ConsistentRead")]
    pub(crate) _consistent_read: bool,
}
