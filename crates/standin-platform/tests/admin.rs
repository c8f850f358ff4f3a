//! Tests of admin calls over HTTP, with each service on its own address.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_standin_platform::{Listen, Options, spawn};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one call and returns the whole response as text.
async fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all((head + body).as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

/// Guards against admin calls that change another service or accept unknown fields.
#[tokio::test]
async fn admin_calls_affect_only_their_service() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let options = Options {
        listen: Listen::Apart {
            table: any,
            objects: any,
            list: any,
        },
        ..Options::default()
    };
    let platform = spawn(&options).await.unwrap();
    let (list, objects) = (platform.list_addr, platform.objects_addr);
    let entry = r#"[{"targets": ["127.0.0.1:9"], "labels": {"role": "target", "zone": "z",
        "service": "s", "version": "v", "state": "live"}}]"#;
    let registered = call(list, "POST", "/admin/hosts", entry).await;
    assert!(registered.starts_with("HTTP/1.1 204"), "{registered}");
    let faults = r#"{"objects": {"outage": true}}"#;
    let faults_set = call(list, "POST", "/admin/faults", faults).await;
    assert!(faults_set.starts_with("HTTP/1.1 200"), "{faults_set}");
    let listed = call(list, "GET", "/hosts", "").await;
    assert!(listed.contains(r#""targets":["127.0.0.1:9"]"#), "{listed}");
    let rejected = call(objects, "PUT", "/heatherhinge/k", "body").await;
    assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
    let counters = call(objects, "GET", "/admin/counters", "").await;
    for count in [
        "object_writes\":1",
        "list_reads\":1",
        "list_writes\":1",
        "table_reads\":0",
    ] {
        assert!(counters.contains(count), "{counters}");
    }
    let unknown = call(list, "POST", "/admin/faults", r#"{"tabel": {}}"#).await;
    assert!(unknown.starts_with("HTTP/1.1 422"), "{unknown}");
}
