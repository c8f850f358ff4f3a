//! Items of the table and their size.

use crate::TableError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Largest item in bytes, names of attributes included, as in the published limits of DynamoDB.
pub const ITEM_LIMIT_BYTES: usize = 400 * 1024;

/// The attribute that is the key of every table here.
pub(crate) const KEY: &str = "pk";

/// One item: attribute values by name, in DynamoDB's notation (`{"S": "text"}`).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Item {
    /// Attribute values by name; each is an object with one member that names the type.
    pub attributes: BTreeMap<String, Value>,
}

impl Item {
    /// Returns the key, which must be a non-empty text.
    ///
    /// # Errors
    ///
    /// A validation error if the key is absent or of another type.
    pub fn key(&self) -> Result<&str, TableError> {
        self.attributes
            .get(KEY)
            .and_then(|value| value.get("S"))
            .and_then(Value::as_str)
            .filter(|key| !key.is_empty())
            .ok_or_else(|| TableError::validation("The key attribute pk must be a non-empty S."))
    }

    /// Checks the types of all attributes and the size of the item.
    ///
    /// # Errors
    ///
    /// A validation error that names the attribute, or the limit.
    pub fn check(&self) -> Result<(), TableError> {
        let mut size_bytes = 0;
        for (name, value) in &self.attributes {
            let value_bytes = value_size_bytes(value).ok_or_else(|| {
                TableError::validation(&format!("The value of {name} is not a valid S, N or B."))
            })?;
            size_bytes += name.len() + value_bytes;
        }
        if size_bytes > ITEM_LIMIT_BYTES {
            return Err(TableError::validation(
                "Item size has exceeded the maximum allowed size",
            ));
        }
        Ok(())
    }

    /// Returns a number attribute if it is a whole number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<i128> {
        whole_number(self.attributes.get(name)?)
    }
}

/// Reads a whole number in DynamoDB's notation.
pub(crate) fn whole_number(value: &Value) -> Option<i128> {
    value.get("N")?.as_str()?.parse().ok()
}

fn value_size_bytes(value: &Value) -> Option<usize> {
    let members = value.as_object().filter(|members| members.len() == 1)?;
    let (kind, content) = members.iter().next()?;
    let text = content.as_str()?;
    match kind.as_str() {
        "S" => Some(text.len()),
        "B" => STANDARD.decode(text).ok().map(|bytes| bytes.len()),
        // Two digits take one byte, and the sign and exponent another one.
        "N" => whole_number(value).map(|_| text.len().div_ceil(2) + 1),
        _ => None,
    }
}
