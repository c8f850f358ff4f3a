//! Defines the errors of the table service and their DynamoDB JSON.

use serde_json::{Value, json};

/// Prefix of the error types in DynamoDB's protocol.
const TYPE_PREFIX: &str = "com.amazonaws.dynamodb.v20120810#";

/// Why the table service rejected a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The call is malformed or outside the supported subset; holds the message.
    Validation(String),
    /// The named table does not exist.
    NoTable(String),
    /// The condition of a single write did not hold.
    ConditionFailed,
    /// A transaction was cancelled; holds for each of its writes whether its condition failed.
    Cancelled(Vec<bool>),
    /// The named operation is not supported.
    UnknownOperation(String),
}

impl TableError {
    /// Creates a validation error.
    #[must_use]
    pub fn validation(message: &str) -> Self {
        Self::Validation(message.to_owned())
    }

    /// Returns the error type without its prefix, as DynamoDB names it.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Validation(_) => "ValidationException",
            Self::NoTable(_) => "ResourceNotFoundException",
            Self::ConditionFailed => "ConditionalCheckFailedException",
            Self::Cancelled(_) => "TransactionCanceledException",
            Self::UnknownOperation(_) => "UnknownOperationException",
        }
    }

    /// Returns the body of the response, which is sent with status 400.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut body = json!({
            "__type": format!("{TYPE_PREFIX}{}", self.kind()),
            "message": self.message(),
        });
        if let (Self::Cancelled(failed), Some(members)) = (self, body.as_object_mut()) {
            let reasons = failed.iter().map(|failed| reason(*failed)).collect();
            members.insert("CancellationReasons".to_owned(), Value::Array(reasons));
        }
        body
    }

    fn message(&self) -> String {
        match self {
            Self::Validation(message) => message.clone(),
            Self::NoTable(name) => format!("Requested resource not found: Table: {name}"),
            Self::ConditionFailed => "The conditional request failed".to_owned(),
            Self::Cancelled(failed) => format!(
                "Transaction cancelled, please refer cancellation reasons for specific reasons [{}]",
                failed
                    .iter()
                    .map(|failed| reason_code(*failed))
                    .collect::<Vec<_>>()
                    .join(", ")
            ),
            Self::UnknownOperation(name) => format!("The operation {name} is not supported."),
        }
    }
}

const fn reason_code(failed: bool) -> &'static str {
    if failed {
        "ConditionalCheckFailed"
    } else {
        "None"
    }
}

fn reason(failed: bool) -> Value {
    let mut reason = json!({ "Code": reason_code(failed) });
    if failed {
        reason["Message"] = json!("The conditional request failed");
    }
    reason
}
