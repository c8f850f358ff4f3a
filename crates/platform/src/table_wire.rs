//! Encodes requests of the table service and decodes its responses.

use crate::http_client::HttpResponse;
use crate::{Attribute, Condition, Item, PlatformError, Write};
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Response to a read of one row.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct GetResponse {
    pub(crate) item: Option<BTreeMap<String, Attribute>>,
}

/// One page of a scan.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct ScanResponse {
    pub(crate) items: Vec<BTreeMap<String, Attribute>>,
    pub(crate) last_evaluated_key: Option<Value>,
}

/// An error response.
#[derive(Debug, Default, Deserialize)]
struct ErrorResponse {
    #[serde(rename = "__type", default)]
    kind: String,
    #[serde(default, alias = "Message")]
    message: String,
    #[serde(rename = "CancellationReasons", default)]
    reasons: Vec<CancellationReason>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CancellationReason {
    code: String,
}

/// Returns the members of a put, alone or in a transaction.
pub(crate) fn put_body(table: &str, item: &Item, condition: Condition) -> Value {
    with_condition(
        json!({ "TableName": table, "Item": item.to_wire() }),
        condition,
    )
}

/// Returns the members of a delete or a check, alone or in a transaction.
pub(crate) fn keyed_body(table: &str, pk: &str, condition: Condition) -> Value {
    with_condition(
        json!({ "TableName": table, "Key": { "pk": { "S": pk } } }),
        condition,
    )
}

/// Returns one write of a transaction.
pub(crate) fn transact_item(table: &str, write: &Write) -> Value {
    match write {
        Write::Put { item, condition } => json!({ "Put": put_body(table, item, *condition) }),
        Write::Delete { pk, condition } => json!({ "Delete": keyed_body(table, pk, *condition) }),
        Write::Check { pk, condition } => {
            json!({ "ConditionCheck": keyed_body(table, pk, *condition) })
        }
    }
}

fn with_condition(mut body: Value, condition: Condition) -> Value {
    match condition {
        Condition::Always => {}
        Condition::NotExists => body["ConditionExpression"] = json!("attribute_not_exists(pk)"),
        Condition::Version(version) => {
            body["ConditionExpression"] = json!("version = :v");
            body["ExpressionAttributeValues"] = json!({ ":v": { "N": version.to_string() } });
        }
    }
    body
}

/// Decodes the response to a read.
pub(crate) fn parse_read<T: for<'a> Deserialize<'a>>(
    response: &HttpResponse,
) -> Result<T, PlatformError> {
    match response.status {
        StatusCode::OK => serde_json::from_slice(&response.body).map_err(PlatformError::malformed),
        StatusCode::BAD_REQUEST => Err(parse_rejection(response).unwrap_or_else(|| {
            PlatformError::malformed("status 400 with an error that cannot be decoded")
        })),
        status if is_unavailable(status) || status.is_server_error() => {
            Err(PlatformError::Unavailable)
        }
        status => Err(PlatformError::Malformed(format!("HTTP status {status}"))),
    }
}

/// Decodes the response to a write. A malformed response leaves the outcome unknown.
pub(crate) fn parse_write(response: &HttpResponse) -> Result<(), PlatformError> {
    match response.status {
        StatusCode::OK => serde_json::from_slice::<BTreeMap<String, Value>>(&response.body)
            .map(drop)
            .map_err(|_| PlatformError::OutcomeUnknown),
        StatusCode::BAD_REQUEST => {
            Err(parse_rejection(response).unwrap_or(PlatformError::OutcomeUnknown))
        }
        status if is_unavailable(status) => Err(PlatformError::Unavailable),
        _ => Err(PlatformError::OutcomeUnknown),
    }
}

/// Returns whether the status means that the call was not accepted. Other server errors may follow
/// a write that took effect.
const fn is_unavailable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

fn parse_rejection(response: &HttpResponse) -> Option<PlatformError> {
    let error: ErrorResponse = serde_json::from_slice(&response.body).ok()?;
    let kind = error.kind.rsplit('#').next().unwrap_or_default();
    Some(match kind {
        "ConditionalCheckFailedException" => PlatformError::Conflict,
        "TransactionCanceledException" => cancellation_error(&error),
        "TransactionInProgressException" => PlatformError::OutcomeUnknown,
        "ProvisionedThroughputExceededException"
        | "RequestLimitExceeded"
        | "ThrottlingException"
        | "TransactionConflictException" => PlatformError::Unavailable,
        _ => PlatformError::Malformed(format!("{kind}: {}", error.message)),
    })
}

/// Returns the error of a cancelled transaction. A concurrent transaction or throttling cancels one
/// too; then no condition failed and the same transaction may succeed later.
fn cancellation_error(error: &ErrorResponse) -> PlatformError {
    let has = |code: &str| error.reasons.iter().any(|reason| reason.code == code);
    if has("ConditionalCheckFailed") {
        PlatformError::Conflict
    } else if has("ValidationError") || has("ItemCollectionSizeLimitExceeded") {
        PlatformError::Malformed(error.message.clone())
    } else {
        PlatformError::Unavailable
    }
}
