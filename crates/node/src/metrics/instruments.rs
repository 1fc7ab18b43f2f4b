//! The instruments with their names, units and buckets.

use std::sync::Arc;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use super::cost::{CostCounters, MeasuringCost};
use crate::logs;

const METER: &str = "hornbeamhitch";

/// Bucket bounds for the latency of whole calls, in milliseconds: 0.05 ms to
/// 10 s. Each bound is at most 2.5 times the previous one, and they are closest
/// where lookups are expected.
const LATENCY_BOUNDS_MS: [f64; 24] = [
    0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 10.0, 15.0, 20.0, 30.0, 50.0, 75.0, 100.0, 150.0,
    200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
];

/// Bucket bounds for the latency that the system adds, in milliseconds. One
/// bound is the budget of 0.98 ms, so that the share of calls within the budget
/// is exact.
const ADDED_BOUNDS_MS: [f64; 22] = [
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.98, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0,
    50.0, 200.0, 1_000.0, 10_000.0,
];

/// All instruments that the recording methods write to.
#[derive(Debug)]
pub(super) struct Instruments {
    pub(super) calls: Counter<u64>,
    pub(super) call_latency: Histogram<f64>,
    pub(super) tenant_latency: Histogram<f64>,
    pub(super) added_latency: Histogram<f64>,
    pub(super) answer_held: Histogram<f64>,
    pub(super) attempts: Counter<u64>,
    pub(super) losers_cancelled: Counter<u64>,
    pub(super) returns: Counter<u64>,
    pub(super) promised_returns: Gauge<u64>,
    pub(super) asks_withdrawn: Counter<u64>,
    pub(super) silent_vms: Gauge<u64>,
    pub(super) gate_run: Histogram<f64>,
    pub(super) gate_wait: Histogram<f64>,
    pub(super) gate_refused: Counter<u64>,
    pub(super) gate_in_flight: Gauge<u64>,
    pub(super) gate_queued: Gauge<u64>,
    pub(super) gate_limit: Gauge<u64>,
    pub(super) gate_records: Gauge<u64>,
    pub(super) gate_stored_bytes: Gauge<u64>,
    pub(super) probes: Counter<u64>,
    pub(super) platform_reads: Counter<u64>,
    pub(super) config_in_force: Gauge<u64>,
    pub(super) known_age: Gauge<u64>,
    pub(super) routes_lag: Gauge<u64>,
    pub(super) evacuated_data_centres: Gauge<u64>,
    pub(super) target_warming_up: Gauge<u64>,
    pub(super) target_request_limit: Gauge<u64>,
    pub(super) config_refused: Gauge<u64>,
    pub(super) config_refusals: Counter<u64>,
    pub(super) members: Gauge<u64>,
    pub(super) targets: Gauge<u64>,
    pub(super) suspects: Gauge<u64>,
    pub(super) entry_refused: Counter<u64>,
    pub(super) service_room: Gauge<f64>,
    pub(super) service_demand: Gauge<f64>,
    pub(super) service_admitted: Gauge<f64>,
}

impl Instruments {
    pub(super) fn new(provider: &SdkMeterProvider, cost: &Arc<CostCounters>) -> Self {
        let meter = provider.meter(METER);
        observe_cost(&meter, cost);
        observe_logs(&meter);
        Self {
            calls: counter(&meter, "hitch.calls", "Calls that ended at this entry."),
            call_latency: latency(
                &meter,
                "hitch.call.latency",
                "Latency of calls at this entry, by class.",
            ),
            tenant_latency: latency(
                &meter,
                "hitch.tenant.call.latency",
                "Latency of calls at this entry, by tenant.",
            ),
            added_latency: histogram(
                &meter,
                "hitch.added.latency",
                "Latency that this node added, without the target's run.",
                &ADDED_BOUNDS_MS,
            ),
            answer_held: latency(
                &meter,
                "hitch.answer.held",
                "Time from a ready answer to its end on the caller's connection.",
            ),
            attempts: counter(&meter, "hitch.attempts", "Attempts sent to gates."),
            losers_cancelled: counter(
                &meter,
                "hitch.losers.cancelled",
                "Losers of hedges that were cancelled.",
            ),
            returns: counter(
                &meter,
                "hitch.returns",
                "Retries of refused callers at their reserved time.",
            ),
            promised_returns: gauge(
                &meter,
                "hitch.promised_returns",
                "Open reservations of refused callers.",
            ),
            asks_withdrawn: counter(
                &meter,
                "hitch.asks.withdrawn",
                "Attempts that were withdrawn because their gate did not confirm them in time.",
            ),
            silent_vms: gauge(
                &meter,
                "hitch.silent_vms",
                "VMs that are silent for this node or by the reports of others.",
            ),
            gate_run: latency(&meter, "hitch.gate.run", "Time that the target ran a call."),
            gate_wait: latency(
                &meter,
                "hitch.gate.wait",
                "Time that a call waited in the gate's queue.",
            ),
            gate_refused: counter(&meter, "hitch.gate.refused", "Calls that the gate refused."),
            gate_in_flight: gauge(
                &meter,
                "hitch.gate.in_flight",
                "Calls running in the target.",
            ),
            gate_queued: gauge(&meter, "hitch.gate.queued", "Calls waiting for a slot."),
            gate_limit: gauge(&meter, "hitch.gate.limit", "The gate's concurrency limit."),
            gate_records: gauge(
                &meter,
                "hitch.gate.records",
                "Records of non-idempotent calls.",
            ),
            gate_stored_bytes: gauge(
                &meter,
                "hitch.gate.stored_bytes",
                "Bytes of answers stored with records.",
            ),
            probes: counter(&meter, "hitch.probes", "Probes sent to gates."),
            platform_reads: counter(
                &meter,
                "hitch.platform.reads",
                "Reads of the platform, waiting watches included.",
            ),
            known_age: gauge(
                &meter,
                "hitch.known.age_milliseconds",
                "Age of what is known of configuration and targets.",
            ),
            routes_lag: gauge(
                &meter,
                "hitch.routes.lag_milliseconds",
                "Time since a newer configuration than the one in force became known.",
            ),
            evacuated_data_centres: gauge(
                &meter,
                "hitch.data_centres.evacuated",
                "Number of evacuated data centres.",
            ),
            target_warming_up: gauge(
                &meter,
                "hitch.target.warming_up",
                "1 while the target on this VM is warming up.",
            ),
            target_request_limit: gauge(
                &meter,
                "hitch.target.request_limit_per_1000_seconds",
                "Requests per 1,000 s that the target on this VM accepts; 0 without a stated limit.",
            ),
            config_in_force: gauge(
                &meter,
                "hitch.config.in_force_version",
                "Version of the configuration in force.",
            ),
            config_refused: gauge(
                &meter,
                "hitch.config.refused_version",
                "Version of the configuration that was refused last.",
            ),
            config_refusals: counter(
                &meter,
                "hitch.config.refusals",
                "Configurations that were refused.",
            ),
            members: gauge(
                &meter,
                "hitch.members",
                "Nodes known to this node, by state.",
            ),
            targets: gauge(
                &meter,
                "hitch.targets",
                "Targets of a service as this entry sees them, by state.",
            ),
            suspects: gauge(
                &meter,
                "hitch.suspects",
                "Requests suspected of crashing targets, by state.",
            ),
            entry_refused: counter(
                &meter,
                "hitch.entry.refused",
                "Calls that this entry refused, by reason.",
            ),
            service_room: real_gauge(
                &meter,
                "hitch.service.room_slots",
                "Requests that a service's targets can run at once; 0 while unknown.",
            ),
            service_demand: real_gauge(
                &meter,
                "hitch.service.demand_slots",
                "Offered work per time for a service, in slots; 0 while unknown.",
            ),
            service_admitted: real_gauge(
                &meter,
                "hitch.service.admitted_ratio",
                "Part of the calls for a service that this entry admits, by class.",
            ),
        }
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

fn real_gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<f64> {
    meter.f64_gauge(name).with_description(description).build()
}

fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    histogram(meter, name, description, &LATENCY_BOUNDS_MS)
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds_ms: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("ms")
        .with_description(description)
        .with_boundaries(bounds_ms.to_vec())
        .build()
}

/// Counters that are read from [`CostCounters`] at each scrape.
const COST_COUNTERS: [CostCounter; 9] = [
    CostCounter {
        name: "hitch.control.datagrams_sent",
        description: "Control datagrams sent.",
        read: |cost| cost.datagrams_sent,
    },
    CostCounter {
        name: "hitch.control.datagrams_received",
        description: "Control datagrams received, malformed ones included.",
        read: |cost| cost.datagrams_received,
    },
    CostCounter {
        name: "hitch.control.sent_bytes",
        description: "Bytes of control datagrams sent.",
        read: |cost| cost.sent_bytes,
    },
    CostCounter {
        name: "hitch.control.received_bytes",
        description: "Bytes of control datagrams received.",
        read: |cost| cost.received_bytes,
    },
    CostCounter {
        name: "hitch.bulk.pulls",
        description: "Bulk transfers fetched from other nodes.",
        read: |cost| cost.bulk_pulls,
    },
    CostCounter {
        name: "hitch.bulk.pulled_bytes",
        description: "Bytes of bulk transfers fetched.",
        read: |cost| cost.bulk_pulled_bytes,
    },
    CostCounter {
        name: "hitch.bulk.serves",
        description: "Bulk transfers served to other nodes.",
        read: |cost| cost.bulk_serves,
    },
    CostCounter {
        name: "hitch.bulk.served_bytes",
        description: "Bytes of bulk transfers served.",
        read: |cost| cost.bulk_served_bytes,
    },
    CostCounter {
        name: "hitch.control.busy_us",
        description: "Microseconds that the control thread was busy.",
        read: |cost| cost.control_busy_us,
    },
];

struct CostCounter {
    name: &'static str,
    description: &'static str,
    read: fn(&MeasuringCost) -> u64,
}

/// Gauges that are computed at each scrape and omitted while they are
/// undefined.
const COST_GAUGES: [CostGauge; 3] = [
    CostGauge {
        name: "hitch.measuring.messages_per_call",
        description: "Messages sent for measuring and control per call since the start.",
        read: MeasuringCost::messages_per_call,
    },
    CostGauge {
        name: "hitch.control.core_share",
        description: "Share of one core that the control thread took since the start.",
        read: MeasuringCost::control_core_share,
    },
    CostGauge {
        name: "hitch.control.bytes_per_s",
        description: "Bytes of control traffic a second since the start, both ways with bulk.",
        read: MeasuringCost::control_bytes_per_s,
    },
];

struct CostGauge {
    name: &'static str,
    description: &'static str,
    read: fn(&MeasuringCost) -> Option<f64>,
}

fn observe_cost(meter: &Meter, cost: &Arc<CostCounters>) {
    for counter in COST_COUNTERS {
        let cost = Arc::clone(cost);
        meter
            .u64_observable_counter(counter.name)
            .with_description(counter.description)
            .with_callback(move |observer| observer.observe((counter.read)(&cost.read()), &[]))
            .build();
    }
    for gauge in COST_GAUGES {
        let cost = Arc::clone(cost);
        meter
            .f64_observable_gauge(gauge.name)
            .with_description(gauge.description)
            .with_callback(move |observer| {
                if let Some(value) = (gauge.read)(&cost.read()) {
                    observer.observe(value, &[]);
                }
            })
            .build();
    }
}

fn observe_logs(meter: &Meter) {
    meter
        .u64_observable_counter("hitch.log.lines_dropped")
        .with_description("Log lines lost because standard error was full or closed.")
        .with_callback(|observer| observer.observe(logs::lines_dropped(), &[]))
        .build();
    meter
        .u64_observable_counter("hitch.log.lines_suppressed")
        .with_description("Log lines left out because one place wrote too many.")
        .with_callback(|observer| observer.observe(logs::lines_suppressed(), &[]))
        .build();
}
