//! Defines the items of the table, their checks and their size.

use crate::TableError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Largest item in bytes, attribute names included, as in the published limits of DynamoDB.
pub const ITEM_LIMIT_BYTES: usize = 400 * 1024;

/// Name of the attribute that is the key of the table.
pub(crate) const KEY_ATTRIBUTE: &str = "pk";

/// One item: attribute values by name, in DynamoDB's notation (`{"S": "text"}`).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Item {
    /// Attribute values by name; each is an object with one member that names the type.
    pub attributes: BTreeMap<String, Value>,
}

impl Item {
    /// Returns the key of the item.
    ///
    /// # Errors
    ///
    /// Returns a validation error if the key is absent, empty or not a string.
    pub fn key(&self) -> Result<&str, TableError> {
        self.attributes
            .get(KEY_ATTRIBUTE)
            .and_then(|value| value.get("S"))
            .and_then(Value::as_str)
            .filter(|key| !key.is_empty())
            .ok_or_else(|| TableError::validation("The key attribute pk must be a non-empty S."))
    }

    /// Checks the types of all attributes and the size of the item.
    ///
    /// # Errors
    ///
    /// Returns a validation error if an attribute is invalid or the item is larger than
    /// [`ITEM_LIMIT_BYTES`].
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

    /// Returns the value of an attribute if it is an integer.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<i128> {
        parse_integer(self.attributes.get(name)?)
    }
}

/// Parses an integer in DynamoDB's notation (`{"N": "7"}`).
pub(crate) fn parse_integer(value: &Value) -> Option<i128> {
    value.get("N")?.as_str()?.parse().ok()
}

fn value_size_bytes(value: &Value) -> Option<usize> {
    let members = value.as_object().filter(|members| members.len() == 1)?;
    let (kind, content) = members.iter().next()?;
    let text = content.as_str()?;
    match kind.as_str() {
        "S" => Some(text.len()),
        "B" => STANDARD.decode(text).ok().map(|bytes| bytes.len()),
        // DynamoDB stores two digits in one byte, and the sign and exponent in another.
        "N" => parse_integer(value).map(|_| text.len().div_ceil(2) + 1),
        _ => None,
    }
}
