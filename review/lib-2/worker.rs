//! A worker process (PROTOCOL.md, "Workers"): runs `slots` requests at a time, queues some more, and
//! sheds beyond that. It prints a line for each request that it begins to run. A request with the
//! header `X-Customer: 17` may crash it: the process then ends at once.

use crate::net::{Message, read_message, respond, respond_in_part};
use std::io::{self, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const QUEUE: u32 = 24;

/// When a request of customer 17 ends the process.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Poison {
    Never,
    /// This long after the worker has begun to run it.
    After(Duration),
}

/// Faults of answers come again and again, each time for no longer than in the site file.
const FAULT_PERIOD: Duration = Duration::from_secs(10);
const FAULT_LENGTH: Duration = Duration::from_millis(6_000);

/// Bytes of the answer to a request for `/file/`.
const FILE_BYTES: usize = 400_000;

struct Worker {
    id: String,
    slots: u32,
    work: Duration,
    poison: Poison,
    /// One in so many answers is truncated: half of it is sent, and the connection stays open.
    truncate_each: u64,
    /// Status that nine in twenty requests for `/book/` get after they have run.
    fails_with: Option<&'static str>,
    answers: AtomicU64,
    started: Instant,
    /// Running and waiting requests.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
}

/// `worker ADDRESS ID SLOTS WORK_MS never|MS|truncate:N|fail:500|fail:503`
pub fn main(args: &[String]) -> io::Result<()> {
    let number = |index: usize| args[index].parse::<u64>().unwrap_or(0);
    let worker = Arc::new(Worker {
        id: args[1].clone(),
        slots: number(2) as u32,
        work: Duration::from_millis(number(3)),
        poison: match args[4].as_str() {
            other if other.parse::<u64>().is_err() => Poison::Never,
            _ => Poison::After(Duration::from_millis(number(4))),
        },
        truncate_each: args[4].strip_prefix("truncate:").map_or(0, |text| text.parse().unwrap_or(0)),
        fails_with: match args[4].as_str() {
            "fail:500" => Some("500 Internal Server Error"),
            "fail:503" => Some("503 Service Unavailable"),
            _ => None,
        },
        answers: AtomicU64::new(0),
        started: Instant::now(),
        load: Mutex::new((0, 0)),
        freed: Condvar::new(),
    });
    let listener = TcpListener::bind(args[0].as_str())?;
    say("listens");
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        std::thread::spawn(move || worker.serve(stream).ok());
    }
    Ok(())
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}").ok();
    out.flush().ok();
}

impl Worker {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if request.word(1) == "/health" {
                let load = self.load_text();
                let headers = [("X-Instance-Id", self.id.as_str()), ("X-Server-Load", &load)];
                respond(&mut writer, "200 OK", &headers, b"")?;
            } else {
                self.answer(&request, &mut writer)?;
            }
        }
        Ok(())
    }

    /// Whether faults of answers are under way.
    fn is_faulty(&self) -> bool {
        let since = self.started.elapsed().as_millis() % FAULT_PERIOD.as_millis();
        since < FAULT_LENGTH.as_millis()
    }

    fn load_text(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{}", load.0, load.1, self.slots)
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let begun = Instant::now();
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let reject = |writer: &mut TcpStream, status: &str| {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            respond(writer, status, &headers, b"")
        };
        if id.is_empty() {
            return reject(writer, "400 Bad Request");
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return reject(writer, "421 Misdirected Request");
        }
        let left = request.header("x-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = begun + Duration::from_millis(left.unwrap_or(10_000));
        if !self.wait_for_slot(deadline) {
            return reject(writer, "503 Service Unavailable");
        }
        let customer = request.header("x-customer").unwrap_or("-").to_owned();
        say(&format!("run {id} {} {customer}", request.word(1)));
        if customer == "17" && let Poison::After(time) = self.poison {
            std::thread::sleep(time);
            say(&format!("crash {id}"));
            std::process::abort();
        }
        std::thread::sleep(self.work);
        let load = {
            let mut load = self.load.lock().unwrap();
            load.0 -= 1;
            self.freed.notify_one();
            format!("{},{},{}", load.0, load.1, self.slots)
        };
        say(&format!("ran {id}"));
        let signature = format!("s-{}", self.id);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Signature", &signature),
            ("X-Server-Load", &load),
        ];
        let is_booking = request.word(1).starts_with("/book/");
        if let Some(status) = self.fails_with.filter(|_| is_booking && self.is_faulty()) {
            let number = self.answers.fetch_add(1, Ordering::Relaxed);
            if number * 9 % 20 < 9 {
                say(&format!("fails {id} {status}"));
                return respond(writer, status, &headers, b"the ledger is busy");
            }
        }
        if !request.word(1).starts_with("/file/") {
            return respond(writer, "200 OK", &headers, format!("{id} is done").as_bytes());
        }
        let file = vec![b'x'; FILE_BYTES];
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        if self.truncate_each == 0 || !self.is_faulty() || !number.is_multiple_of(self.truncate_each) {
            return respond(writer, "200 OK", &headers, &file);
        }
        say(&format!("truncates {id}"));
        respond_in_part(writer, &headers, &file)?;
        // The connection stays open until the caller closes it.
        let mut rest = [0; 64];
        while writer.read(&mut rest)? > 0 {}
        Ok(())
    }

    /// Waits for a free slot; false if the queue is full or the deadline passes.
    fn wait_for_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.slots && load.1 >= QUEUE {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.1 -= 1;
                return false;
            }
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }
}
