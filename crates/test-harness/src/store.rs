//! Serves the table protocol of the platform's store: rows in tables, transactions and a feed of
//! changes.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How the store treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// Handles requests without a fault.
    Serve,
    /// Rejects every request with 503.
    Refuse,
    /// Never responds.
    Silent,
    /// Handles each request after this many milliseconds.
    Slow(u64),
    /// Handles each request at once and responds after this many milliseconds, so that an answer may
    /// arrive after a return that it knows nothing of.
    Late(u64),
    /// Commits transactions and closes the connection without a response. Reads are handled.
    LoseAnswers,
}

/// Table and key of a row.
type RowKey = (String, String);

#[derive(Debug)]
struct Rows {
    version: u64,
    /// Version of the last change and value in Base64.
    rows: BTreeMap<RowKey, (u64, String)>,
    /// Version, key and value of each change; a removal has no value.
    changes: Vec<(u64, RowKey, Option<String>)>,
    /// Changes up to this version were deleted.
    history_from: u64,
    mode: StoreMode,
    /// Number of returns from a copy, which all responses state; `None` if they do not.
    era: Option<u64>,
    /// All changes with their times, from which copies are made.
    journal: Vec<JournalEntry>,
}

/// A change as it was made.
#[derive(Clone, Debug)]
struct JournalEntry {
    at: Instant,
    version: u64,
    key: RowKey,
    value: Option<String>,
}

/// A row as it was before the store returned from a copy that shows it otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRow {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Value in Base64; `None` if the row had been removed.
    value: Option<String>,
    /// Version of the copy.
    copied_at: u64,
}

/// A running store that listens on a loopback address.
#[derive(Debug)]
pub struct Store {
    addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: watch::Sender<u64>,
    started: Instant,
    calls: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Condition>,
    #[serde(default)]
    set_keys: Vec<Write>,
    #[serde(default)]
    remove: Vec<Removal>,
}

#[derive(Debug, Deserialize)]
struct Condition {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    table: String,
    key: String,
    value: String,
}

#[derive(Debug, Deserialize)]
struct Removal {
    table: String,
    key: String,
}

impl LostRow {
    /// Returns whether the operator or a target wrote the row, which write it again.
    #[must_use]
    pub fn is_foreign(&self) -> bool {
        ["op", "servers"].contains(&self.table.as_str())
    }
}

impl Store {
    /// Binds an address and serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let store = Arc::new(Self {
            addr: listener.local_addr()?,
            rows: Mutex::new(Rows {
                version: 1,
                rows: BTreeMap::new(),
                changes: Vec::new(),
                history_from: 0,
                mode: StoreMode::Serve,
                era: None,
                journal: Vec::new(),
            }),
            changed: watch::channel(1).0,
            started: Instant::now(),
            calls: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&store).accept(listener));
        Ok(store)
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how later requests are treated.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    /// Writes a row, as the operator or a target does. `content` is stored in Base64.
    pub fn put(&self, table: &str, key: &str, content: &[u8]) {
        let value = BASE64.encode(content);
        self.write(table, key, Some(value));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Returns the decoded content of a row.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let row_key = (table.to_owned(), key.to_owned());
        let value = self.lock().rows.get(&row_key)?.1.clone();
        BASE64.decode(value).ok()
    }

    /// Returns how many calls have arrived.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Deletes the history of changes. Reads of the feed from an older version then fail with 410, so
    /// that hosts read whole tables.
    pub fn forget_history(&self) {
        let mut rows = self.lock();
        rows.history_from = rows.version;
        rows.changes.clear();
    }

    /// Makes all later responses state the era.
    pub fn state_era(&self) {
        self.lock().era.get_or_insert(1);
    }

    /// Goes back to a copy of this age and begins a new era. Returns the rows that the copy shows
    /// otherwise, as they were.
    pub fn return_from_copy(&self, age: Duration) -> Vec<LostRow> {
        let mut rows = self.lock();
        let lost = rows.go_back(age);
        let version = rows.version;
        drop(rows);
        self.changed.send_replace(version);
        lost
    }

    /// Writes a lost row again, unless it was written since the return.
    pub fn write_again(&self, lost: &LostRow) {
        let key = (lost.table.clone(), lost.key.clone());
        let is_written = |(version, of, _): &(u64, RowKey, Option<String>)| {
            *version > lost.copied_at && *of == key
        };
        if !self.lock().changes.iter().any(is_written) {
            self.write(&lost.table, &lost.key, lost.value.clone());
        }
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.lock();
        rows.version += 1;
        rows.set(table, key, value);
        let version = rows.version;
        drop(rows);
        self.changed.send_replace(version);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = Arc::clone(&self);
            tokio::spawn(async move {
                let service = service_fn(move |request| Arc::clone(&store).respond(request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                // An error means that a response was lost on purpose.
                connection.await.ok();
            });
        }
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mode = self.lock().mode;
        match mode {
            StoreMode::Refuse => {
                let response = json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
                return Ok(self.with_era(response));
            }
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            StoreMode::Serve | StoreMode::Late(_) | StoreMode::LoseAnswers => {}
        }
        let query = head.uri.query().unwrap_or_default().to_owned();
        let response = match (&head.method, head.uri.path()) {
            (&Method::GET, "/v1/rows-get") => self.read(&query),
            (&Method::GET, "/v1/rows-feed") => self.feed(&query).await,
            (&Method::POST, "/v1/rows-tx") => self.commit(&body),
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        };
        if mode == StoreMode::LoseAnswers && head.method == Method::POST {
            return Err(io::Error::other("response lost on purpose"));
        }
        let response = self.with_era(response);
        if let StoreMode::Late(ms) = mode {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        Ok(response)
    }

    fn with_era(&self, mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let era = self.lock().era;
        if let Some(era) = era {
            response.headers_mut().insert("store-era", era.into());
        }
        response
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    fn read(&self, query: &str) -> Response<Full<Bytes>> {
        let (table, from) = (query_value(query, "table"), query_value(query, "from"));
        let rows = self.lock();
        let found: Vec<Value> = rows
            .rows
            .range((table.clone(), from)..)
            .take_while(|((of, _), _)| *of == table)
            .map(|((table, key), (version, value))| {
                json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
            })
            .collect();
        let body = json!({
            "rows": found, "has_more": false, "ver": rows.version, "now": self.now()
        });
        json_response(StatusCode::OK, &body)
    }

    async fn feed(&self, query: &str) -> Response<Full<Bytes>> {
        let table = query_value(query, "table");
        let number = |name| query_value(query, name).parse::<u64>().unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let (rows, version) = {
                let rows = self.lock();
                if after < rows.history_from || after > rows.version {
                    return json_response(StatusCode::GONE, &json!({}));
                }
                (rows.changes_after(&table, after), rows.version)
            };
            let is_timed_out = tokio::time::Instant::now() >= deadline;
            if !rows.is_empty() || is_timed_out {
                let body = json!({"rows": rows, "ver": version, "now": self.now()});
                return json_response(StatusCode::OK, &body);
            }
            // After a timeout the next pass returns the empty response.
            tokio::time::timeout_at(deadline, changed.changed())
                .await
                .ok();
        }
    }

    fn commit(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return json_response(StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut rows = self.lock();
        let conditions_hold = transaction.expected_rev.iter().all(|condition| {
            let key = (condition.table.clone(), condition.key.clone());
            rows.rows.get(&key).map_or(0, |row| row.0) == condition.ver
        });
        if !conditions_hold {
            return json_response(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
        }
        rows.version += 1;
        for write in transaction.set_keys {
            rows.set(&write.table, &write.key, Some(write.value));
        }
        for removal in transaction.remove {
            rows.set(&removal.table, &removal.key, None);
        }
        let version = rows.version;
        drop(rows);
        self.changed.send_replace(version);
        json_response(StatusCode::OK, &json!({"ver": version, "now": self.now()}))
    }
}

impl Rows {
    /// Sets or removes a row at the current version.
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        let (version, key) = (self.version, (table.to_owned(), key.to_owned()));
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (version, value.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.journal.push(JournalEntry {
            at: Instant::now(),
            version,
            key: key.clone(),
            value: value.clone(),
        });
        self.changes.push((version, key, value));
    }

    /// Undoes all changes of the last `age`, and returns the rows that differ from before.
    fn go_back(&mut self, age: Duration) -> Vec<LostRow> {
        let now = Instant::now();
        let kept = self
            .journal
            .partition_point(|entry| now.duration_since(entry.at) >= age);
        let lost = self.journal.split_off(kept);
        self.version = self.journal.last().map_or(1, |entry| entry.version);
        self.changes
            .retain(|(version, ..)| *version <= self.version);
        self.history_from = self.history_from.min(self.version);
        let before = std::mem::take(&mut self.rows);
        for entry in &self.journal {
            match &entry.value {
                Some(value) => {
                    let row = (entry.version, value.clone());
                    self.rows.insert(entry.key.clone(), row);
                }
                None => {
                    self.rows.remove(&entry.key);
                }
            }
        }
        self.era = self.era.map(|era| era + 1);
        let keys: BTreeSet<RowKey> = lost.into_iter().map(|entry| entry.key).collect();
        let copied_at = self.version;
        let lost_row = |(table, key): RowKey| {
            let row = before.get(&(table.clone(), key.clone()));
            let value = row.map(|(_, value)| value.clone());
            LostRow {
                table,
                key,
                value,
                copied_at,
            }
        };
        keys.into_iter().map(lost_row).collect()
    }

    /// Returns the latest change of each row of a table after a version, in order of versions.
    fn changes_after(&self, table: &str, after: u64) -> Vec<Value> {
        let mut newest: BTreeMap<&str, (u64, &Option<String>)> = BTreeMap::new();
        for (version, (of, key), value) in &self.changes {
            if *version > after && of == table {
                newest.insert(key, (*version, value));
            }
        }
        let mut changes: Vec<_> = newest.into_iter().collect();
        changes.sort_by_key(|(_, (version, _))| *version);
        changes
            .into_iter()
            .map(|(key, (version, value))| match value {
                Some(value) => {
                    json!({"table": table, "part": "", "key": key, "value": value, "ver": version})
                }
                None => {
                    json!({"table": table, "part": "", "key": key, "ver": version, "removed": true})
                }
            })
            .collect()
    }
}

fn json_response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response
}

/// Returns a value of a query string, or an empty text. Only the escape of the slash is decoded:
/// the keys of the tests need no other.
fn query_value(query: &str, name: &str) -> String {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2F", "/"))
        .unwrap_or_default()
}
