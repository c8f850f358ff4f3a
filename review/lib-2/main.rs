//! Stand-ins and checks of the review's scripts: `standins worker ...` is a worker process, and
//! `standins CASE` plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

#![allow(dead_code)]

mod fleet;
mod net;
mod poison;
mod promise;
mod store;
mod timeout;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match args.first().map(String::as_str) {
        Some("worker") => worker::main(&args[1..]).map(|()| true),
        Some("6") => promise::play("6", has_trouble),
        Some("7") => poison::play("7", &poison::SAME_PATH, has_trouble),
        Some("8") => poison::play("8", &poison::SLOW_CRASH, has_trouble),
        Some("9") => timeout::play("9", has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
