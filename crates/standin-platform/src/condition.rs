//! Condition expressions: the two forms that heatherhinge uses.

use crate::item::whole_number;
use crate::{Item, TableError};
use serde_json::Value;
use std::collections::BTreeMap;

/// What must hold of the stored item for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Always,
    /// There is no item with the key: `attribute_not_exists(pk)`.
    NotExists,
    /// The stored item has this version: `version = :v`.
    Version(i128),
}

impl Condition {
    /// Reads a condition expression with its values.
    ///
    /// # Errors
    ///
    /// A validation error for every expression other than the two supported ones, and for values
    /// that are absent, not used or not whole numbers.
    pub fn parse(
        expression: Option<&str>,
        values: &BTreeMap<String, Value>,
    ) -> Result<Self, TableError> {
        let Some(expression) = expression else {
            check_used(values, None)?;
            return Ok(Self::Always);
        };
        let bare: String = expression.split_whitespace().collect();
        match bare.as_str() {
            "attribute_not_exists(pk)" => {
                check_used(values, None)?;
                Ok(Self::NotExists)
            }
            "version=:v" => {
                check_used(values, Some(":v"))?;
                let version = values.get(":v").and_then(whole_number);
                version.map(Self::Version).ok_or_else(|| {
                    TableError::validation("The value :v must be given as a whole number N.")
                })
            }
            _ => Err(TableError::Validation(format!(
                "Unsupported ConditionExpression: {expression}. Supported are \
                 attribute_not_exists(pk) and version = :v."
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

/// Refuses values that the expression does not use, as DynamoDB does.
pub(crate) fn check_used(
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
