//! Carries out the calls of the table service on a map of items by key.

use crate::condition::reject_unused_values;
use crate::item::KEY_ATTRIBUTE;
use crate::table_request::{GetRequest, ScanRequest, TransactItem, TransactRequest, WriteRequest};
use crate::{Condition, Item, TableError};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Maximum number of writes in one transaction, as in the published limits of DynamoDB.
const TRANSACTION_LIMIT: usize = 100;
/// Size of items after which a page of a scan ends, as in the published limits of DynamoDB.
const PAGE_LIMIT_BYTES: usize = 1024 * 1024;

/// One table, whose key is the attribute `pk`.
#[derive(Clone, Debug)]
pub struct Table {
    name: String,
    items: BTreeMap<String, Item>,
}

/// A checked write: the change of the item with a key, and its condition.
struct Write {
    key: String,
    change: Change,
    condition: Condition,
}

enum Change {
    Put(Item),
    Delete,
    CheckOnly,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            items: BTreeMap::new(),
        }
    }

    /// Carries out one call and returns the body of its response.
    ///
    /// # Errors
    ///
    /// Returns the error of the protocol if the call is rejected; no write has taken effect then.
    pub fn call(&mut self, operation: &str, body: &[u8]) -> Result<Value, TableError> {
        match operation {
            "GetItem" => self.get(&parse(body)?),
            "PutItem" => {
                let write = self.check_put(parse(body)?)?;
                self.write_one(write)
            }
            "DeleteItem" => {
                let write = self.check_keyed(parse(body)?, Change::Delete)?;
                self.write_one(write)
            }
            "TransactWriteItems" => self.transact(parse(body)?),
            "Scan" => self.scan(&parse(body)?),
            _ => Err(TableError::UnknownOperation(operation.to_owned())),
        }
    }

    /// Returns whether the operation changes items.
    #[must_use]
    pub fn is_write(operation: &str) -> bool {
        matches!(operation, "PutItem" | "DeleteItem" | "TransactWriteItems")
    }

    fn get(&self, request: &GetRequest) -> Result<Value, TableError> {
        self.check_name(&request.table_name)?;
        match self.items.get(request.key.key()?) {
            Some(item) => Ok(json!({ "Item": item })),
            None => Ok(json!({})),
        }
    }

    fn write_one(&mut self, write: Write) -> Result<Value, TableError> {
        if !write.condition.holds(self.items.get(&write.key)) {
            return Err(TableError::ConditionFailed);
        }
        self.apply(write);
        Ok(json!({}))
    }

    fn transact(&mut self, request: TransactRequest) -> Result<Value, TableError> {
        let count = request.transact_items.len();
        if count == 0 || count > TRANSACTION_LIMIT {
            return Err(TableError::validation(
                "A transaction must have 1 to 100 items.",
            ));
        }
        let writes = request
            .transact_items
            .into_iter()
            .map(|item| match item {
                TransactItem::Put(write) => self.check_put(write),
                TransactItem::Delete(write) => self.check_keyed(write, Change::Delete),
                TransactItem::ConditionCheck(write) => self.check_keyed(write, Change::CheckOnly),
            })
            .collect::<Result<Vec<_>, _>>()?;
        let keys: BTreeSet<&str> = writes.iter().map(|write| write.key.as_str()).collect();
        if keys.len() < count {
            return Err(TableError::validation(
                "Transaction request cannot include multiple operations on one item",
            ));
        }
        let failed: Vec<bool> = writes
            .iter()
            .map(|write| !write.condition.holds(self.items.get(&write.key)))
            .collect();
        if failed.contains(&true) {
            return Err(TableError::Cancelled(failed));
        }
        for write in writes {
            self.apply(write);
        }
        Ok(json!({}))
    }

    fn scan(&self, request: &ScanRequest) -> Result<Value, TableError> {
        self.check_name(&request.table_name)?;
        let prefix = scan_prefix(request)?;
        let after = match &request.exclusive_start_key {
            Some(key) => Bound::Excluded(key.key()?.to_owned()),
            None => Bound::Unbounded,
        };
        let limit = request.limit.unwrap_or(usize::MAX);
        let (mut found, mut scanned, mut size_bytes, mut last) = (Vec::new(), 0, 0, None);
        for (key, item) in self.items.range((after, Bound::Unbounded)) {
            if scanned >= limit || size_bytes >= PAGE_LIMIT_BYTES {
                break;
            }
            (scanned, last) = (scanned + 1, Some(key));
            size_bytes += json!(item).to_string().len();
            if key.starts_with(&prefix) {
                found.push(item);
            }
        }
        let mut body = json!({ "Items": found, "Count": found.len(), "ScannedCount": scanned });
        let has_more = last.is_some_and(|last| self.items.keys().next_back() != Some(last));
        if let Some(last) = last.filter(|_| has_more) {
            body["LastEvaluatedKey"] = json!({ KEY_ATTRIBUTE: { "S": last } });
        }
        Ok(body)
    }

    fn check_put(&self, request: WriteRequest) -> Result<Write, TableError> {
        self.check_name(&request.table_name)?;
        let condition = request.condition()?;
        match (request.item, request.key) {
            (Some(item), None) => {
                item.check()?;
                Ok(Write {
                    key: item.key()?.to_owned(),
                    change: Change::Put(item),
                    condition,
                })
            }
            _ => Err(TableError::validation(
                "A put must have an Item and no Key.",
            )),
        }
    }

    fn check_keyed(&self, request: WriteRequest, change: Change) -> Result<Write, TableError> {
        self.check_name(&request.table_name)?;
        let condition = request.condition()?;
        match (request.item, request.key) {
            (None, Some(key)) if key.attributes.len() == 1 => Ok(Write {
                key: key.key()?.to_owned(),
                change,
                condition,
            }),
            _ => Err(TableError::validation(
                "The write must have a Key with pk only, and no Item.",
            )),
        }
    }

    fn check_name(&self, name: &str) -> Result<(), TableError> {
        if name == self.name {
            Ok(())
        } else {
            Err(TableError::NoTable(name.to_owned()))
        }
    }

    fn apply(&mut self, write: Write) {
        match write.change {
            Change::Put(item) => {
                self.items.insert(write.key, item);
            }
            Change::Delete => {
                self.items.remove(&write.key);
            }
            Change::CheckOnly => {}
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body)
        .map_err(|error| TableError::Validation(format!("Cannot parse the body: {error}")))
}

fn scan_prefix(request: &ScanRequest) -> Result<String, TableError> {
    let Some(filter) = &request.filter_expression else {
        reject_unused_values(&request.expression_attribute_values, None)?;
        return Ok(String::new());
    };
    let normalized: String = filter.split_whitespace().collect();
    if normalized != "begins_with(pk,:prefix)" {
        return Err(TableError::Validation(format!(
            "Unsupported FilterExpression: {filter}. Only begins_with(pk, :prefix) is supported."
        )));
    }
    reject_unused_values(&request.expression_attribute_values, Some(":prefix"))?;
    request
        .expression_attribute_values
        .get(":prefix")
        .and_then(|value| value.get("S"))
        .and_then(Value::as_str)
        .map(str::to_owned)
        .ok_or_else(|| TableError::validation("The value :prefix must be present and of type S."))
}
