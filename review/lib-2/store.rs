//! The platform's table store: rows, transactions and the feed of changes (PROTOCOL.md, "The
//! platform's metadata store"). Only rows with an empty part.

use crate::net::{Json, Message, base64, from_base64, read_message, respond};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that a call takes.
const ANSWER: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    /// Version, row and value of each change; a removal has no value.
    changes: Vec<(u64, Key, Option<String>)>,
}

pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn bind(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            addr: listener.local_addr()?,
            rows: Mutex::new(Rows { version: 1, ..Rows::default() }),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        self.change(table, key, Some(base64(content.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(String::from_utf8_lossy(&from_base64(&row.1)).into_owned())
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.set((table.to_owned(), key.to_owned()), value);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            std::thread::sleep(ANSWER);
            let (status, body) = self.answer(&call);
            let json = [("Content-Type", "application/json")];
            if respond(&mut writer, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        let target = call.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let text = |name: &str| -> String {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(key, _)| *key == name);
            decode(found.map_or("", |(_, value)| value))
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match (call.word(0), path) {
            ("GET", "/v1/rows-get") => {
                let rows = self.rows.lock().unwrap();
                let limit = usize::try_from(number("limit")).unwrap_or(0);
                let limit = if limit == 0 { 500 } else { limit.min(500) };
                let (table, from) = (text("table"), text("from"));
                let mut found: Vec<String> = rows
                    .rows
                    .range((table.clone(), from)..)
                    .take_while(|((of, _), _)| *of == table)
                    .take(limit + 1)
                    .map(|(key, (version, value))| row(key, *version, Some(value)))
                    .collect();
                let has_more = found.len() > limit;
                found.truncate(limit);
                ("200 OK", self.rows_body(&found, has_more, rows.version))
            }
            ("GET", "/v1/rows-feed") => {
                let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
                let (table, after) = (text("table"), number("after"));
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let found = rows.changes_after(&table, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return ("200 OK", self.rows_body(&found, false, rows.version));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            ("POST", "/v1/rows-tx") => self.commit(&String::from_utf8_lossy(&call.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn commit(&self, body: &str) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |entry: &Json| -> Key {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let mut rows = self.rows.lock().unwrap();
        let holds = call.get("expected_rev").list().iter().all(|entry| {
            let known = rows.rows.get(&key(entry)).map_or(0, |row| row.0);
            known.to_string() == entry.get("ver").text()
        });
        if !holds {
            let entries = call.get("expected_rev").list();
            let current = entries.iter().filter_map(|entry| {
                let key = key(entry);
                rows.rows.get(&key).map(|(version, value)| row(&key, *version, Some(value)))
            });
            let current: Vec<String> = current.collect();
            return ("412 Precondition Failed", self.rows_body(&current, false, rows.version));
        }
        rows.version += 1;
        for entry in call.get("set_keys").list() {
            rows.set(key(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in call.get("remove").list() {
            rows.set(key(entry), None);
        }
        self.changed.notify_all();
        let now = self.started.elapsed().as_millis();
        ("200 OK", format!("{{\"ver\":{},\"now\":\"{now}ms\"}}", rows.version))
    }

    fn rows_body(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{version},\"now\":\"{now}ms\"}}",
            rows.join(",")
        )
    }
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (self.version, value.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.changes.push((self.version, key, value));
    }

    /// Returns the latest change of each row of a table after a version, in order.
    fn changes_after(&self, table: &str, after: u64) -> Vec<String> {
        let mut newest = BTreeMap::new();
        for (version, key, value) in &self.changes {
            if *version > after && key.0 == table {
                newest.insert(key, (*version, value));
            }
        }
        let mut changes: Vec<_> = newest.into_iter().collect();
        changes.sort_by_key(|(_, (version, _))| *version);
        changes.into_iter().map(|(key, (version, value))| row(key, version, value.as_ref())).collect()
    }
}

fn row(key: &Key, version: u64, value: Option<&String>) -> String {
    let (table, key) = key;
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}")
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut at, mut plain) = (0, Vec::new());
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            plain.push(byte);
            at += 3;
        } else {
            plain.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}
