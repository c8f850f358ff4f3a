//! Renders the metrics of a host as text, one value per line.

use crate::fleet_board::FleetBoard;
use heatherhinge_steering::{LATENCY_BOUNDS_MS, Latency, SteeringBoard};
use heatherhinge_types::MonoNs;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of all metric names.
const PREFIX: &str = "heatherhinge";

/// Returns all counters, gauges and histograms of a host.
pub(crate) fn render(board: &SteeringBoard, fleet_board: &FleetBoard, now: MonoNs) -> String {
    let counts = &board.counts;
    let counters: [(&str, &AtomicU64); 12] = [
        ("requests_total", &counts.requests),
        ("requests_in_flight", &counts.in_flight),
        ("delivered_total", &counts.delivered),
        ("refused_total", &counts.refused),
        ("failed_total", &counts.failed),
        ("streams_cut_total", &counts.cut_streams),
        ("sends_total", &counts.sends),
        ("repeats_total", &counts.retries),
        ("probes_total", &counts.probes),
        ("target_connects_total", &counts.connects),
        ("store_calls_total", &counts.store_calls),
        ("store_returns_total", &counts.store_returns),
    ];
    let mut text = String::new();
    for (name, value) in counters {
        line(&mut text, name, value.load(Ordering::Relaxed));
    }
    let (routes, targets) = (board.routes.read(), board.targets.read());
    line(&mut text, "routes_version", routes.value.version);
    let stored_version = targets.value.stored_version;
    line(&mut text, "targets_version", stored_version.number());
    line(&mut text, "store_epoch", stored_version.epoch());
    let used: usize = targets
        .value
        .pools
        .values()
        .map(|pool| pool.current.len() + pool.moving.len())
        .sum();
    line(&mut text, "targets_used", used as u64);
    line(&mut text, "targets_leaving", targets.value.leaving as u64);
    let groups = targets.value.pools.values();
    let used_targets = groups.flat_map(|pool| pool.current.iter().chain(pool.moving.iter()));
    let held_off = used_targets.filter(|target| target.cell.held_off_ms(now) > 0);
    line(&mut text, "targets_held_off", held_off.count() as u64);
    let ages = [
        ("orders_age_ms", &fleet_board.orders),
        ("targets_age_ms", &fleet_board.targets),
    ];
    for (name, replica) in ages {
        line(&mut text, name, replica.read().value.age_ms(now));
    }
    let quarantined = board.quarantined.read().value.len();
    line(&mut text, "requests_quarantined", quarantined as u64);
    let fleet = board.fleet.read();
    line(&mut text, "hosts_live", fleet.value.live.len() as u64);
    line(&mut text, "hosts_ready", fleet.value.ready().count() as u64);
    line(&mut text, "log_lines_dropped_total", board.log.dropped());
    histogram(&mut text, "answer_ms", &board.answer_ms);
    histogram(&mut text, "placement_ms", &board.placement_ms);
    text
}

fn line(text: &mut String, name: &str, value: u64) {
    // Writing to a string cannot fail.
    writeln!(text, "{PREFIX}_{name} {value}").ok();
}

fn histogram(text: &mut String, name: &str, latency: &Latency) {
    let (counts, sum_ms) = latency.read();
    let mut total = 0;
    for (index, count) in counts.iter().enumerate() {
        total += count;
        let bound = LATENCY_BOUNDS_MS
            .get(index)
            .map_or_else(|| "+Inf".to_owned(), u64::to_string);
        writeln!(text, "{PREFIX}_{name}_bucket{{le=\"{bound}\"}} {total}").ok();
    }
    line(text, &format!("{name}_sum"), sum_ms);
    line(text, &format!("{name}_count"), total);
}
