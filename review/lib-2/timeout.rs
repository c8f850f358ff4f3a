//! Some workers truncate some of their large answers and keep the connection open.

use crate::fleet::{Ask, Client, Fleet, WorkerPlan};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const HOSTS: u8 = 4;
const WORKERS: usize = 8;
const CUSTOMERS: u8 = 8;
/// `timeout` of the route, and the time after it at which the rule looks, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;
const AFTER_MS: u64 = 500;
/// The rule counts from so many requests on that last longer than the timeout.
const FEWEST: usize = 8;
const DEADLINE_MS: u64 = 4_000;
const LENGTH: Duration = Duration::from_secs(40);

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"archive","health_path":"/health","max_connections":220,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":25.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":"00000005","hosts":[{"host":"shop.example","paths":[{"name":"r-file","prefix":"/file/","kind":"download","timeout":"1500ms","target_latency":"600ms","priority":2,"service":"archive","max_attempts":2}]}]}"#;

/// Returns whether the rule held.
pub fn play(case: &str, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::start(case, HOSTS, CONFIG)?;
    for number in 0..WORKERS {
        // Half of the workers (share 0.5), one in twenty of their answers (x 0.05).
        let truncates = has_trouble && number % 4 < 2;
        fleet.add_worker(WorkerPlan {
            service: "archive",
            zone: ["zone-a", "zone-b"][number % 2],
            work_ms: 60,
            poison: if truncates { "truncate:20" } else { "never" }.to_owned(),
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
            let (mut sent, mut lost) = (0, 0);
            while !stop.load(Ordering::Acquire) {
                sent += 1;
                let path = format!("/file/{number}-{sent}");
                let ask = Ask { method: "GET", path: &path, extra: "", body: b"", deadline_ms: DEADLINE_MS, is_safe: true };
                lost += usize::from(client.send(&ask) != "200");
                std::thread::sleep(Duration::from_millis(150));
            }
            (sent, lost, client)
        }));
    }
    std::thread::sleep(LENGTH);
    stop.store(true, Ordering::Release);
    let (mut sent, mut lost) = (0, 0);
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    let mut times = Vec::new();
    for thread in threads {
        let (of_sent, of_lost, client) =
            thread.join().map_err(|_| io::Error::other("a client has failed"))?;
        sent += of_sent;
        lost += of_lost;
        for (outcome, count) in client.answers {
            *outcomes.entry(outcome).or_default() += count;
        }
        times.extend(client.attempts.into_iter().map(|(ms, _)| ms));
    }
    if fleet.ended() > 0 || fleet.has_failed() {
        return Err(io::Error::other("a daemon has ended, or a worker could not be started"));
    }
    let over: Vec<u64> = times.into_iter().filter(|ms| *ms > TIMEOUT_MS).collect();
    let late = over.iter().filter(|ms| **ms > TIMEOUT_MS + AFTER_MS).count();
    let record = &fleet.record;
    record.say(&format!("{sent} downloads, {lost} of them never served; attempts: {outcomes:?}"));
    record.say(&format!(
        "attempts longer than the route's timeout of {TIMEOUT_MS} ms: {}; without a final answer {AFTER_MS} ms after it: {late}; the longest took {} ms",
        over.len(),
        over.iter().max().unwrap_or(&0)
    ));
    let holds = late < FEWEST || late * 4 <= over.len();
    record.say(if holds { "CONFIG held" } else { "CONFIG broken" });
    Ok(holds)
}
