//! Reads and writes the table service in DynamoDB's JSON 1.0 protocol.

use crate::http_client::{CallError, HttpClient, HttpResponse};
use crate::table_wire::{
    GetResponse, ScanResponse, keyed_body, parse_read, parse_write, put_body, transact_item,
};
use crate::{Condition, Item, PlatformError, Table, Write};
use http::{Request, header};
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Client of one table.
#[derive(Clone, Debug)]
pub struct TableClient {
    client: HttpClient,
    table: String,
}

impl TableClient {
    /// Creates a client of the table `table` at `addr`; each call may take `timeout_ms`.
    #[must_use]
    pub fn new(addr: SocketAddr, table: &str, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(addr, timeout_ms),
            table: table.to_owned(),
        }
    }

    async fn call(&self, operation: &str, body: &Value) -> Result<HttpResponse, CallError> {
        let request = Request::post(self.client.uri("/"))
            .header(header::CONTENT_TYPE, "application/x-amz-json-1.0")
            .header("x-amz-target", format!("DynamoDB_20120810.{operation}"))
            .body(Full::from(body.to_string()))
            .map_err(|_| CallError::NotSent)?;
        self.client.call(request).await
    }

    async fn write(&self, operation: &str, body: &Value) -> Result<(), PlatformError> {
        let response = self.call(operation, body).await;
        parse_write(&response.map_err(CallError::write_error)?)
    }
}

impl Table for TableClient {
    async fn get(&self, pk: &str) -> Result<Option<Item>, PlatformError> {
        let body = json!({
            "TableName": self.table,
            "Key": { "pk": { "S": pk } },
            "ConsistentRead": true,
        });
        let response = self.call("GetItem", &body).await;
        let response: GetResponse = parse_read(&response.map_err(CallError::read_error)?)?;
        response.item.map(Item::from_wire).transpose()
    }

    async fn put(&self, item: &Item, condition: Condition) -> Result<(), PlatformError> {
        let body = put_body(&self.table, item, condition);
        self.write("PutItem", &body).await
    }

    async fn delete(&self, pk: &str, condition: Condition) -> Result<(), PlatformError> {
        let body = keyed_body(&self.table, pk, condition);
        self.write("DeleteItem", &body).await
    }

    async fn transact(&self, writes: &[Write]) -> Result<(), PlatformError> {
        let items: Vec<Value> = writes
            .iter()
            .map(|write| transact_item(&self.table, write))
            .collect();
        let body = json!({ "TransactItems": items });
        self.write("TransactWriteItems", &body).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Item>, PlatformError> {
        let mut body = json!({
            "TableName": self.table,
            "FilterExpression": "begins_with(pk, :prefix)",
            "ExpressionAttributeValues": { ":prefix": { "S": prefix } },
            "ConsistentRead": true,
        });
        let mut items = Vec::new();
        loop {
            let response = self.call("Scan", &body).await;
            let page: ScanResponse = parse_read(&response.map_err(CallError::read_error)?)?;
            for item in page.items {
                items.push(Item::from_wire(item)?);
            }
            match page.last_evaluated_key {
                Some(key) => body["ExclusiveStartKey"] = key,
                None => return Ok(items),
            }
        }
    }
}
