//! Parses and evaluates condition expressions, in the two forms that heatherhinge uses.

use crate::item::parse_integer;
use crate::{Item, TableError};
use serde_json::Value;
use std::collections::BTreeMap;

/// What must be true of the stored item for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Always,
    /// No item with the key is stored: `attribute_not_exists(pk)`.
    NotExists,
    /// The stored item has this version: `version = :v`.
    Version(i128),
}

impl Condition {
    /// Parses a condition expression with its values.
    ///
    /// # Errors
    ///
    /// Returns a validation error for an unsupported expression, and for values that are absent,
    /// not used or not integers.
    pub fn parse(
        expression: Option<&str>,
        values: &BTreeMap<String, Value>,
    ) -> Result<Self, TableError> {
        let Some(expression) = expression else {
            reject_unused_values(values, None)?;
            return Ok(Self::Always);
        };
        let normalized: String = expression.split_whitespace().collect();
        match normalized.as_str() {
            "attribute_not_exists(pk)" => {
                reject_unused_values(values, None)?;
                Ok(Self::NotExists)
            }
            "version=:v" => {
                reject_unused_values(values, Some(":v"))?;
                let version = values.get(":v").and_then(parse_integer);
                version.map(Self::Version).ok_or_else(|| {
                    TableError::validation("The value :v must be present and an integer of type N.")
                })
            }
            _ => Err(TableError::Validation(format!(
                "Unsupported ConditionExpression: {expression}. Only \
                 attribute_not_exists(pk) and version = :v are supported."
            ))),
        }
    }

    /// Returns whether the condition holds for the stored item.
    #[must_use]
    pub fn holds(self, stored: Option<&Item>) -> bool {
        match self {
            Self::Always => true,
            Self::NotExists => stored.is_none(),
            Self::Version(version) => {
                stored.and_then(|item| item.number("version")) == Some(version)
            }
        }
    }
}

/// Rejects values that the expression does not use, as DynamoDB does.
pub(crate) fn reject_unused_values(
    values: &BTreeMap<String, Value>,
    used: Option<&str>,
) -> Result<(), TableError> {
    match values.keys().find(|name| Some(name.as_str()) != used) {
        None => Ok(()),
        Some(name) => Err(TableError::Validation(format!(
            "Value provided in ExpressionAttributeValues unused in expressions: {name}"
        ))),
    }
}
