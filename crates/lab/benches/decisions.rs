//! Benchmarks of single decisions by the number of targets or records. CI does not check
//! them, since times depend on the machine.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hornbeamhitch_core::entry::PickRequest;
use hornbeamhitch_lab::fixture::{
    arrive_and_finish, entry_with_targets, gate_with_records, pick_and_finish,
};
use hornbeamhitch_types::prelude::*;

const SIZES: [usize; 4] = [3, 5, 50, 500];

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick_and_finish");
    for targets in SIZES {
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            let mut entry = entry_with_targets(targets);
            let mut step = 0;
            bencher.iter(|| {
                step += 1;
                pick_and_finish(black_box(&mut entry), step);
            });
        });
    }
    group.finish();
}

fn ticket(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ticket_gate");
    for targets in SIZES {
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            let mut entry = entry_with_targets(targets);
            let mut key = 0;
            bencher.iter(|| {
                key += 1;
                black_box(entry.ticket_gate(CallKey(key), Millis(60_000)))
            });
        });
    }
    group.finish();
}

fn refused_pick(criterion: &mut Criterion) {
    let mut entry = entry_with_targets(3);
    criterion.bench_function("pick_past_deadline", |bencher| {
        bencher.iter(|| {
            let request = PickRequest {
                exclude: &[],
                deadline_at: Millis::ZERO,
            };
            black_box(entry.pick(&request, Millis(1)))
        });
    });
}

fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("arrive_and_finish");
    for records in SIZES {
        group.bench_function(BenchmarkId::from_parameter(records), |bencher| {
            let mut gate = gate_with_records(records as u64);
            let mut step = 0;
            bencher.iter(|| {
                step += 1;
                arrive_and_finish(black_box(&mut gate), None, step);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pick, ticket, refused_pick, admit);
criterion_main!(benches);
