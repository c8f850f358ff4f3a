//! Measures the time of one decision: selecting a target and counting the request as in flight.
//!
//! `cargo bench -p heatherhinge-policy`. All threads share the targets, as on a host; each thread
//! has its own random number generator.

#![allow(missing_docs, reason = "the macros of criterion make public functions")]

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use heatherhinge_blackboard::TargetCell;
use heatherhinge_policy::{
    LeastReported, PickView, Picker, Random, RoundRobin, TwoChoices, Weighted,
};
use heatherhinge_types::{LoadReport, MonoNs, Name, StartId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const SIZES: [u16; 3] = [25, 250, 5_000];
const THREADS: [u64; 4] = [1, 2, 4, 8];
const NOW_NS: MonoNs = MonoNs(60_000_000_000);

/// Creates targets with different loads and latencies and recent reports.
fn cells(count: u16) -> Vec<Arc<TargetCell>> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let cell = |port| {
        let addr = ([127, 0, 0, 1], port).into();
        let cell = TargetCell::new(addr, Name::from("north"), Name::from("v1"));
        let at_ns = MonoNs(NOW_NS.0 - rng.random_range(0..100_000_000));
        let report = LoadReport {
            in_flight: rng.random_range(0..5),
            slots: 5,
            start_id: StartId(1),
            uptime_ms: 60_000,
            is_leaving: false,
        };
        cell.record_report(report, at_ns);
        cell.record_success(rng.random_range(4_000_000..30_000_000), at_ns);
        Arc::new(cell)
    };
    (1..=count).map(cell).collect()
}

fn decide<P: Picker>(picker: &P, cells: &[Arc<TargetCell>], rng: &mut Pcg64Mcg) {
    let view = PickView {
        now_ns: NOW_NS,
        limit: 6,
        avoid: None,
    };
    let index = picker.pick(cells, &view, rng);
    black_box(index.and_then(|index| cells.get(index)?.try_begin(view.limit)));
}

/// Returns the time until each of several threads has made `decisions` decisions.
fn run_threads<P: Picker + Default>(
    cells: &[Arc<TargetCell>],
    threads: u64,
    decisions: u64,
) -> Duration {
    let picker = P::default();
    let start = Barrier::new(usize::try_from(threads).unwrap_or(1) + 1);
    let work = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        start.wait();
        for _ in 0..decisions {
            decide(&picker, cells, &mut rng);
        }
    };
    let work = &work;
    thread::scope(|scope| {
        let running: Vec<_> = (0..threads)
            .map(|seed| scope.spawn(move || work(seed)))
            .collect();
        start.wait();
        let began = Instant::now();
        for thread in running {
            thread.join().ok();
        }
        began.elapsed()
    })
}

fn bench_policy<P: Picker + Default>(criterion: &mut Criterion, name: &str) {
    let mut group = criterion.benchmark_group(name);
    for size in SIZES {
        let cells = cells(size);
        let picker = P::default();
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| decide(&picker, &cells, &mut rng));
        });
    }
    group.finish();
}

fn policies(criterion: &mut Criterion) {
    bench_policy::<Random>(criterion, "random");
    bench_policy::<RoundRobin>(criterion, "round_robin");
    bench_policy::<LeastReported>(criterion, "least_reported");
    bench_policy::<TwoChoices>(criterion, "two_choices");
    bench_policy::<Weighted>(criterion, "weighted");
}

/// The time shown is that of one decision on each thread; the throughput is that of all threads.
fn threads(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("weighted_threads");
    for size in SIZES {
        let cells = cells(size);
        for threads in THREADS {
            group.throughput(Throughput::Elements(threads));
            group.bench_function(BenchmarkId::new(size.to_string(), threads), |bencher| {
                bencher
                    .iter_custom(|decisions| run_threads::<Weighted>(&cells, threads, decisions));
            });
        }
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = policies, threads
}
criterion_main!(benches);
