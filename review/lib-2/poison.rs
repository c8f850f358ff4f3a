//! A request that crashes each worker that begins to run it comes again and again.

use crate::fleet::{Ask, Client, Fleet, WorkerPlan};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const HOSTS: u8 = 4;
const WORKERS: usize = 16;
/// `stable_window` of the settings.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Retries that the rule allows after that.
const ALLOWED: usize = 3;
/// Pause of the customer between two sends of the request.
const PAUSE: Duration = Duration::from_millis(1_000);
const LENGTH: Duration = Duration::from_secs(24);

pub struct Plan {
    /// Path of the request that crashes workers.
    path: &'static str,
    /// Whether it goes to the route of kind `safe`, else to the `unsafe` one.
    is_safe: bool,
    /// Time that a worker runs it until it crashes, in milliseconds.
    after_ms: u64,
}

/// Other customers ask for the same path, and theirs are answered.
pub const SAME_PATH: Plan = Plan { path: "/look/lali-drums", is_safe: true, after_ms: 5 };
/// Nobody else asks for the path; the crash comes after the route's timeout.
pub const SLOW_CRASH: Plan = Plan { path: "/book/whole-archive", is_safe: false, after_ms: 1_050 };

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"desk","health_path":"/health","max_connections":220,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":25.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":"00000005","hosts":[{"host":"shop.example","paths":[{"name":"r-look","prefix":"/look/","kind":"safe","timeout":"800ms","target_latency":"200ms","priority":2,"service":"desk","max_attempts":2},{"name":"r-book","prefix":"/book/","kind":"unsafe","timeout":"1000ms","target_latency":"300ms","priority":1,"service":"desk","max_attempts":2}]}]}"#;

/// Returns whether the rule held.
pub fn play(case: &str, plan: &Plan, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::start(case, HOSTS, CONFIG)?;
    for number in 0..WORKERS {
        fleet.add_worker(WorkerPlan {
            service: "desk",
            zone: ["zone-a", "zone-b"][number % 2],
            work_ms: 60,
            poison: if has_trouble { plan.after_ms.to_string() } else { "never".to_owned() },
        })?;
    }
    if !fleet.wait_ready(usize::from(HOSTS)) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    std::thread::sleep(Duration::from_secs(4));
    fleet.record.say("the daemons are ready; the traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 1..=8_u8 {
        let (mut client, stop) = (Client::new(number, &fleet), Arc::clone(&stop));
        threads.push(std::thread::spawn(move || {
            let customer = format!("X-Customer: {number}\r\n");
            let mut sent = 0;
            while !stop.load(Ordering::Acquire) {
                sent += 1;
                let path = format!("/book/{number}-{sent}");
                let book = Ask { method: "POST", path: &path, extra: &customer, body: b"one bell", deadline_ms: 2_000, is_safe: false };
                let look = Ask { method: "GET", path: "/look/lali-drums", extra: &customer, body: b"", deadline_ms: 1_500, is_safe: true };
                client.send(if sent % 3 == 0 { &book } else { &look });
                std::thread::sleep(Duration::from_millis(40));
            }
            client.answers
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + LENGTH;
    let mut customer = Client::new(17, &fleet);
    while Instant::now() < until {
        let (method, body, deadline_ms): (_, &[u8], _) =
            if plan.is_safe { ("GET", b"", 1_500) } else { ("POST", b"all of it", 2_000) };
        let is_safe = plan.is_safe;
        let ask = Ask { method, path: plan.path, extra: "X-Customer: 17\r\n", body, deadline_ms, is_safe };
        customer.send(&ask);
        std::thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Release);
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    for thread in threads {
        for (outcome, count) in thread.join().unwrap_or_default() {
            *answers.entry(outcome).or_default() += count;
        }
    }
    fleet.copy_logs("quarantine", 10);
    fleet.copy_logs("held back", 10);
    if fleet.ended() > 0 || fleet.has_failed() {
        return Err(io::Error::other("a daemon has ended, or a worker could not be started"));
    }
    Ok(judge(&fleet, &answers))
}

fn judge(fleet: &Fleet, answers: &BTreeMap<String, u64>) -> bool {
    let said = fleet.said.lock().unwrap();
    let of = |word: &str| {
        let word = word.to_owned();
        said.iter().filter(move |(_, _, words)| words[0] == word)
    };
    let crashes: Vec<u64> = of("crash").map(|(ms, _, _)| *ms).collect();
    let poison: Vec<(u64, String)> = of("run")
        .filter(|(_, _, words)| words.get(3).is_some_and(|customer| customer == "17"))
        .map(|(ms, _, words)| (*ms, words[1].clone()))
        .collect();
    // Bookings that a worker had begun and that ended with the crash of their worker.
    let ran: BTreeSet<&String> = of("ran").map(|(_, _, words)| &words[1]).collect();
    let cut = of("run")
        .filter(|(_, _, words)| words[2].starts_with("/book/") && words[3] != "17" && !ran.contains(&words[1]))
        .count();
    let record = &fleet.record;
    record.say(&format!("answers to the other customers: {answers:?}"));
    record.say(&format!("crashes of workers by the request: {}", crashes.len()));
    record.say(&format!("bookings of other customers that were running at a worker as it crashed: {cut}"));
    let late: BTreeSet<&String> = match crashes.get(2) {
        Some(third) => poison
            .iter()
            .filter(|(ms, _)| *ms > third + STABLE_WINDOW_MS)
            .map(|(_, id)| id)
            .collect(),
        None => BTreeSet::new(),
    };
    record.say(&format!(
        "retries that reached workers later than {STABLE_WINDOW_MS} ms after the third crash: {} (allowed {ALLOWED})",
        late.len()
    ));
    let holds = late.len() <= ALLOWED;
    record.say(if holds { "BUDGET held" } else { "BUDGET broken" });
    holds
}
