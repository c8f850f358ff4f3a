//! Some workers fail part of their requests after they have run them, with a status of their own.

use crate::fleet::{Ask, Client, Fleet, WorkerPlan};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const HOSTS: u8 = 4;
const WORKERS: usize = 14;
/// 2 of 14 workers: a share of 0.143.
const FAILING: usize = 2;
const CUSTOMERS: u8 = 8;
const LENGTH: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"desk","health_path":"/health","max_connections":220,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":25.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":"00000005","hosts":[{"host":"shop.example","paths":[{"name":"r-book","prefix":"/book/","kind":"unsafe","timeout":"1000ms","target_latency":"300ms","priority":1,"service":"desk","max_attempts":2}]}]}"#;

/// Returns whether the rule held.
pub fn play(case: &str, has_trouble: bool) -> io::Result<bool> {
    // FAIL=500 shows that the same failure with another status breaks nothing.
    let status = std::env::var("FAIL").unwrap_or_else(|_| "503".to_owned());
    let mut fleet = Fleet::start(case, HOSTS, CONFIG)?;
    for number in 0..WORKERS {
        let fails = has_trouble && number < FAILING;
        fleet.add_worker(WorkerPlan {
            service: "desk",
            zone: ["zone-a", "zone-b"][number % 2],
            work_ms: 60,
            poison: if fails { format!("fail:{status}") } else { "never".to_owned() },
        })?;
    }
    if !fleet.wait_ready(usize::from(HOSTS)) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    std::thread::sleep(Duration::from_secs(4));
    fleet.record.say("the daemons are ready; the traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 1..=CUSTOMERS {
        let (mut client, stop) = (Client::new(number, &fleet), Arc::clone(&stop));
        threads.push(std::thread::spawn(move || {
            let mut sent = 0;
            while !stop.load(Ordering::Acquire) {
                sent += 1;
                let path = format!("/book/{number}-{sent}");
                let ask = Ask { method: "POST", path: &path, extra: "", body: b"one bell", deadline_ms: 2_000, is_safe: false };
                client.send(&ask);
                std::thread::sleep(Duration::from_millis(60));
            }
            (sent, client.statuses)
        }));
    }
    std::thread::sleep(LENGTH);
    stop.store(true, Ordering::Release);
    let mut bookings = 0;
    let mut statuses: BTreeMap<String, u16> = BTreeMap::new();
    for thread in threads {
        let (sent, of_client) = thread.join().map_err(|_| io::Error::other("a client has failed"))?;
        bookings += sent;
        statuses.extend(of_client);
    }
    if fleet.ended() > 0 || fleet.has_failed() {
        return Err(io::Error::other("a daemon has ended, or a worker could not be started"));
    }
    let said = fleet.said.lock().unwrap();
    let mut ran = BTreeSet::new();
    let mut runs_of: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, _, words) in said.iter().filter(|(_, _, words)| words[0] == "run") {
        ran.insert(words[1].as_str());
        *runs_of.entry(words[2].as_str()).or_default() += 1;
    }
    let is_promise = |status: &u16| matches!(status, 408 | 421 | 429 | 503);
    let broken: Vec<&String> = statuses
        .iter()
        .filter(|(id, status)| is_promise(status) && ran.contains(id.as_str()))
        .map(|(id, _)| id)
        .collect();
    let twice = runs_of.values().filter(|runs| **runs > 1).count();
    let record = &fleet.record;
    record.say(&format!("{bookings} bookings in {} attempts", statuses.len()));
    record.say(&format!("attempts answered with 408, 421, 429 or 503 that a worker had run: {}", broken.len()));
    record.say(&format!("bookings that ran more than once, as the client took the status for \"not run\": {twice}"));
    for id in broken.iter().take(5) {
        record.line(&format!("for example {id}"));
    }
    let holds = broken.is_empty();
    record.say(if holds { "REFUSED held" } else { "REFUSED broken" });
    Ok(holds)
}
