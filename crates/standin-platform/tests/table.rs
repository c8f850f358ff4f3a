//! Tests of the table service: conditions, transactions, scans and rejected calls.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_standin_platform::{ITEM_LIMIT_BYTES, Table};
use serde_json::{Value, json};
use yare::parameterized;

fn call(table: &mut Table, operation: &str, body: &Value) -> Result<Value, &'static str> {
    table
        .call(operation, body.to_string().as_bytes())
        .map_err(|error| error.kind())
}

fn item(pk: &str, version: u32) -> Value {
    json!({ "pk": {"S": pk}, "version": {"N": version.to_string()} })
}

fn put(pk: &str, version: u32) -> Value {
    json!({ "TableName": "t", "Item": item(pk, version) })
}

fn put_if(pk: &str, version: u32, stored: u32) -> Value {
    let mut body = put(pk, version);
    body["ConditionExpression"] = json!("version = :v");
    body["ExpressionAttributeValues"] = json!({ ":v": {"N": stored.to_string()} });
    body
}

fn put_new(pk: &str) -> Value {
    let mut body = put(pk, 1);
    body["ConditionExpression"] = json!("attribute_not_exists(pk)");
    body
}

fn table_with(pk: &str, version: u32) -> Table {
    let mut table = Table::new("t");
    call(&mut table, "PutItem", &put(pk, version)).unwrap();
    table
}

/// Guards against a conditional write that takes effect although its condition does not hold.
#[parameterized(
    first = { put_new("b"), Ok(json!({})), 1 },
    exists = { put_new("a"), Err("ConditionalCheckFailedException"), 0 },
    same_version = { put_if("a", 8, 7), Ok(json!({})), 0 },
    other_version = { put_if("a", 8, 6), Err("ConditionalCheckFailedException"), 0 },
    absent = { put_if("b", 8, 7), Err("ConditionalCheckFailedException"), 0 },
)]
fn failed_condition_prevents_the_write(body: Value, expected: Result<Value, &str>, new: u64) {
    let mut table = table_with("a", 7);
    assert_eq!(call(&mut table, "PutItem", &body), expected);
    let scanned = call(&mut table, "Scan", &json!({ "TableName": "t" })).unwrap();
    assert_eq!(scanned["Count"], json!(1 + new));
    let stored = call(
        &mut table,
        "GetItem",
        &json!({ "TableName": "t", "Key": {"pk": {"S": "a"}} }),
    );
    let version = if expected.is_ok() && new == 0 { 8 } else { 7 };
    assert_eq!(stored.unwrap()["Item"], item("a", version));
}

/// Guards against a call outside the subset being carried out as a different one.
#[parameterized(
    other_condition = { "PutItem", json!({"TableName": "t", "Item": item("a", 1), "ConditionExpression": "version < :v", "ExpressionAttributeValues": {":v": {"N": "1"}}}) },
    value_absent = { "PutItem", json!({"TableName": "t", "Item": item("a", 1), "ConditionExpression": "version = :v"}) },
    value_unused = { "PutItem", json!({"TableName": "t", "Item": item("a", 1), "ExpressionAttributeValues": {":v": {"N": "1"}}}) },
    return_values = { "PutItem", json!({"TableName": "t", "Item": item("a", 1), "ReturnValues": "ALL_OLD"}) },
    no_key = { "PutItem", json!({"TableName": "t", "Item": {"version": {"N": "1"}}}) },
    bad_number = { "PutItem", json!({"TableName": "t", "Item": {"pk": {"S": "a"}, "version": {"N": "one"}}}) },
    too_large = { "PutItem", json!({"TableName": "t", "Item": {"pk": {"S": "a"}, "body": {"S": "x".repeat(ITEM_LIMIT_BYTES)}}}) },
    other_filter = { "Scan", json!({"TableName": "t", "FilterExpression": "contains(pk, :prefix)", "ExpressionAttributeValues": {":prefix": {"S": "a"}}}) },
    same_item_twice = { "TransactWriteItems", json!({"TransactItems": [{"Put": put("a", 1)}, {"Put": put("a", 2)}]}) },
    empty_transaction = { "TransactWriteItems", json!({"TransactItems": []}) },
    not_json = { "GetItem", json!("text") },
)]
fn call_outside_the_subset_is_rejected(operation: &str, body: Value) {
    let mut table = Table::new("t");
    let result = call(&mut table, operation, &body);
    assert_eq!(result, Err("ValidationException"));
}

/// Guards against rejecting an item of exactly the limit.
#[test]
fn item_of_exactly_the_limit_is_stored() {
    let rest = ITEM_LIMIT_BYTES - "pk".len() - "a".len() - "body".len();
    let item = json!({"pk": {"S": "a"}, "body": {"S": "x".repeat(rest)}});
    let body = json!({"TableName": "t", "Item": item});
    assert!(call(&mut Table::new("t"), "PutItem", &body).is_ok());
}

/// Guards against a cancelled transaction that takes effect in part.
#[test]
fn cancelled_transaction_changes_nothing() {
    let mut table = table_with("a", 7);
    let writes = json!({"TransactItems": [{"Put": put("b", 1)}, {"Put": put_if("a", 9, 8)}]});
    let error = table
        .call("TransactWriteItems", writes.to_string().as_bytes())
        .unwrap_err();
    let reasons = &error.to_json()["CancellationReasons"];
    assert_eq!(reasons[0]["Code"], json!("None"));
    assert_eq!(reasons[1]["Code"], json!("ConditionalCheckFailed"));
    let scanned = call(&mut table, "Scan", &json!({ "TableName": "t" })).unwrap();
    assert_eq!(scanned["Items"], json!([item("a", 7)]));
}

/// Guards against pages of a scan that skip or repeat items.
#[test]
fn scan_pages_cover_each_item_once() {
    let mut table = Table::new("t");
    for n in 0..7 {
        call(&mut table, "PutItem", &put(&format!("host#{n}"), n)).unwrap();
        call(&mut table, "PutItem", &put(&format!("move#{n}"), n)).unwrap();
    }
    let mut body = json!({
        "TableName": "t",
        "FilterExpression": "begins_with(pk, :prefix)",
        "ExpressionAttributeValues": {":prefix": {"S": "host#"}},
        "Limit": 3,
    });
    let mut keys = Vec::new();
    loop {
        let page = call(&mut table, "Scan", &body).unwrap();
        for item in page["Items"].as_array().unwrap() {
            keys.push(item["pk"]["S"].as_str().unwrap().to_owned());
        }
        match page.get("LastEvaluatedKey") {
            Some(key) => body["ExclusiveStartKey"] = key.clone(),
            None => break,
        }
    }
    let expected: Vec<String> = (0..7).map(|n| format!("host#{n}")).collect();
    assert_eq!(keys, expected);
}
