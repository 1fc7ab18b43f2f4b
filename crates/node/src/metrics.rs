//! Metrics of one node, scraped by operators as Prometheus text.
//!
//! Recording is designed for the traffic path: it takes no locks except the
//! read locks of the metrics library, it allocates nothing for label sets that
//! were used before, and callers cannot make the number of label sets grow
//! without limit.

mod cost;
mod instruments;
mod labels;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::{ControlCounters, SuspectState, TargetState};
use opentelemetry::KeyValue;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use strum::IntoStaticStr;

use self::cost::CostCounters;
pub use self::cost::MeasuringCost;
use self::instruments::Instruments;
use self::labels::Labels;

const US_PER_MS: f64 = 1_000.0;

/// A failure of the metrics library.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[error("metrics cannot be set up: {0}")]
    Setup(String),
    /// The text could not be written.
    #[error("metrics cannot be written: {0}")]
    Render(#[from] prometheus::Error),
}

/// A call that has ended at the entry.
#[derive(Clone, Copy, Debug)]
pub struct CallSample<'a> {
    /// The service, as the caller named it.
    pub service: &'a str,
    /// Class of the call.
    pub class: CallClass,
    /// The tenant, as the caller named it.
    pub tenant: &'a str,
    /// How the call ended.
    pub code: ResultCode,
    /// Time from receiving the complete head to sending the complete answer.
    pub latency_us: u64,
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptKind {
    /// The first attempt of a call.
    First,
    /// Sent after an attempt that failed or did not run.
    Retry,
    /// Sent in parallel to an attempt that takes long.
    Hedge,
}

/// How the retry of a refused caller at its reserved time ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReturnResult {
    /// A target has answered it.
    Kept,
    /// It was refused or failed.
    Missed,
}

/// Which half of the node added a latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Side {
    /// The entry, between caller and gate.
    Entry,
    /// The gate, between entry and target, including its queue.
    Gate,
}

/// How a read of the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformRead {
    /// The platform answered with a newer version.
    Changed,
    /// The platform has no newer version, or none at all yet.
    Unchanged,
    /// The platform answered with an older version than the one in force.
    Stale,
    /// The read failed or timed out.
    Failed,
}

/// Current levels of the gate.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateLevels {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Calls waiting for a slot.
    pub queued: u32,
    /// The current concurrency limit.
    pub limit: u32,
    /// Records of non-idempotent calls.
    pub records: u32,
    /// Bytes of answers stored with records.
    pub stored_bytes: u64,
}

/// Load of a service and what is admitted, as an entry sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLevel {
    /// Number of requests that all targets can run at once.
    pub room_slots: f64,
    /// Offered work per time.
    pub demand_slots: f64,
    /// Part of the calls that is admitted, by class, the most urgent one first.
    pub admitted: [f64; LOAD_CLASSES],
}

impl Default for ServiceLevel {
    /// Returns the values while the load is not known and all calls are admitted.
    fn default() -> Self {
        Self {
            room_slots: 0.0,
            demand_slots: 0.0,
            admitted: [1.0; LOAD_CLASSES],
        }
    }
}

/// Number of members known to this node, by state.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberLevels {
    /// Members that made a statement recently.
    pub live: u32,
    /// Members that take no new work.
    pub leaving: u32,
    /// Members that have made no statement for long.
    pub doubtful: u32,
}

/// All metrics of one node, shared by all threads.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    instruments: Instruments,
    labels: Labels,
    cost: Arc<CostCounters>,
    /// Keeps the reader of the registry alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates metrics whose `target_info` identifies the node.
    ///
    /// # Errors
    ///
    /// Fails if the metrics library rejects its setup.
    pub fn new(
        vm: &VmId,
        service: &ServiceName,
        data_centre: &DataCentre,
    ) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .build()
            .map_err(|error| MetricsError::Setup(error.to_string()))?;
        let resource = Resource::builder_empty()
            .with_attributes([
                KeyValue::new("vm", vm.to_string()),
                KeyValue::new("service", service.to_string()),
                KeyValue::new("data_centre", data_centre.to_string()),
            ])
            .build();
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        let cost = Arc::new(CostCounters::start());
        Ok(Self {
            registry,
            instruments: Instruments::new(&provider, &cost),
            labels: Labels::default(),
            cost,
            _provider: provider,
        })
    }

    /// Sets the services and tenants that are counted by name; all others
    /// count as `other`. Called for each configuration that comes into force.
    pub fn set_names(&self, services: &[ServiceName], tenants: &[TenantName]) {
        self.labels.set(services, tenants);
    }

    /// Records a call that has ended at the entry.
    pub fn call_ended(&self, call: &CallSample<'_>) {
        self.cost.count_call();
        let service = self.labels.service(call.service);
        let tenant = self.labels.tenant(call.tenant);
        let class = KeyValue::new("class", <&'static str>::from(call.class));
        let certainty = KeyValue::new("certainty", <&'static str>::from(call.code.certainty()));
        let latency_ms = ms(call.latency_us);

        let [code, result] = code_labels(call.code);
        self.instruments
            .calls
            .add(1, &[class.clone(), code, result, service.clone()]);
        self.instruments
            .call_latency
            .record(latency_ms, &[certainty.clone(), class, service]);
        self.instruments
            .tenant_latency
            .record(latency_ms, &[certainty, tenant]);
    }

    /// Records the latency that one half of the node added to a call, without
    /// the target's run and the transit between data centres.
    pub fn latency_added(&self, side: Side, added_us: u64) {
        let side = KeyValue::new("side", <&'static str>::from(side));
        self.instruments.added_latency.record(ms(added_us), &[side]);
    }

    /// Records the time from the moment an answer was ready until it was written to the
    /// caller's connection. `route` is a name of the configuration, or empty.
    pub fn answer_held(&self, route: &str, held_us: u64) {
        let route = self.labels.route(route);
        self.instruments.answer_held.record(ms(held_us), &[route]);
    }

    /// Counts an attempt that was sent to a gate.
    pub fn attempt_sent(&self, service: &str, kind: AttemptKind) {
        let kind = KeyValue::new("kind", <&'static str>::from(kind));
        self.instruments
            .attempts
            .add(1, &[kind, self.labels.service(service)]);
    }

    /// Counts a hedged attempt that was cancelled because another one won.
    pub fn loser_cancelled(&self, service: &str) {
        self.instruments
            .losers_cancelled
            .add(1, &[self.labels.service(service)]);
    }

    /// Counts a caller's retry at its reserved time.
    pub fn return_ended(&self, service: &str, result: ReturnResult) {
        let result = KeyValue::new("result", <&'static str>::from(result));
        self.instruments
            .returns
            .add(1, &[self.labels.service(service), result]);
    }

    /// Sets the number of retry times that are reserved for a service's callers.
    pub fn promised_returns(&self, service: &str, count: u32) {
        self.instruments
            .promised_returns
            .record(count.into(), &[self.labels.service(service)]);
    }

    /// Counts an attempt that was withdrawn because its gate did not confirm it in time.
    pub fn ask_withdrawn(&self, service: &str) {
        self.instruments
            .asks_withdrawn
            .add(1, &[self.labels.service(service)]);
    }

    /// Sets the number of silent VMs.
    pub fn silent_vms(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.instruments.silent_vms.record(count, &[]);
    }

    /// Records the time that the target ran a call, from its start to the
    /// complete answer.
    pub fn gate_ran(&self, class: CallClass, run_us: u64) {
        let class = KeyValue::new("class", <&'static str>::from(class));
        self.instruments.gate_run.record(ms(run_us), &[class]);
    }

    /// Records the time that a call waited in the gate's queue before it
    /// started or was refused.
    pub fn gate_waited(&self, class: CallClass, waited_us: u64) {
        let class = KeyValue::new("class", <&'static str>::from(class));
        self.instruments.gate_wait.record(ms(waited_us), &[class]);
    }

    /// Counts a call that the gate refused.
    pub fn gate_refused(&self, code: ResultCode) {
        self.instruments.gate_refused.add(1, &code_labels(code));
    }

    /// Counts a call that the entry refused.
    pub fn entry_refused(&self, service: &str, reason: &'static str) {
        let reason = KeyValue::new("reason", reason);
        self.instruments
            .entry_refused
            .add(1, &[self.labels.service(service), reason]);
    }

    /// Sets the gauges of a service's admission level.
    pub fn service_level(&self, service: &str, level: &ServiceLevel) {
        let gauges = &self.instruments;
        let service = self.labels.service(service);
        let labels = std::slice::from_ref(&service);
        gauges.service_room.record(level.room_slots, labels);
        gauges.service_demand.record(level.demand_slots, labels);
        for (class, admitted) in (0_i64..).zip(level.admitted) {
            let class = KeyValue::new("class", class);
            gauges
                .service_admitted
                .record(admitted, &[service.clone(), class]);
        }
    }

    /// Sets the gauges of the gate.
    pub fn gate_levels(&self, levels: &GateLevels) {
        let gauges = &self.instruments;
        gauges.gate_in_flight.record(levels.in_flight.into(), &[]);
        gauges.gate_queued.record(levels.queued.into(), &[]);
        gauges.gate_limit.record(levels.limit.into(), &[]);
        gauges.gate_records.record(levels.records.into(), &[]);
        gauges.gate_stored_bytes.record(levels.stored_bytes, &[]);
    }

    /// Counts a probe sent to a gate of the service.
    pub fn probe_sent(&self, service: &str) {
        self.cost.count_probe();
        self.instruments
            .probes
            .add(1, &[self.labels.service(service)]);
    }

    /// Counts a control datagram that was sent.
    pub fn datagram_sent(&self, size_bytes: usize) {
        self.cost.count_sent(size_bytes);
    }

    /// Counts a control datagram that was received, valid or not.
    pub fn datagram_received(&self, size_bytes: usize) {
        self.cost.count_received(size_bytes);
    }

    /// Counts a bulk transfer fetched from another node.
    pub fn bulk_pulled(&self, size_bytes: usize) {
        self.cost.count_pull(size_bytes);
    }

    /// Counts a bulk transfer served to another node.
    pub fn bulk_served(&self, size_bytes: usize) {
        self.cost.count_serve(size_bytes);
    }

    /// Counts a read of the platform; a long-polling watch counts as one read.
    pub fn platform_read(&self, outcome: PlatformRead) {
        self.cost.count_platform_read();
        let outcome = KeyValue::new("outcome", <&'static str>::from(outcome));
        self.instruments.platform_reads.add(1, &[outcome]);
    }

    /// Adds to the time that the control thread was busy.
    pub fn control_busy(&self, busy_us: u64) {
        self.cost.count_busy(busy_us);
    }

    /// Sets the age of the node's knowledge: everything published at least this
    /// long ago is known.
    pub fn known_age(&self, age_ms: u64) {
        self.instruments.known_age.record(age_ms, &[]);
    }

    /// Sets the time for which a newer configuration than the one in force has been known.
    pub fn routes_lag(&self, lag_ms: u64) {
        self.instruments.routes_lag.record(lag_ms, &[]);
    }

    /// Sets the number of evacuated data centres.
    pub fn evacuated_data_centres(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.instruments.evacuated_data_centres.record(count, &[]);
    }

    /// Sets whether this VM's target is warming up.
    pub fn target_warming_up(&self, is_cold: bool) {
        self.instruments
            .target_warming_up
            .record(u64::from(is_cold), &[]);
    }

    /// Sets the limit on requests that this VM's target states, if it states one.
    pub fn target_request_limit(&self, per_1000_s: Option<u64>) {
        self.instruments
            .target_request_limit
            .record(per_1000_s.unwrap_or(0), &[]);
    }

    /// Sets the version of the configuration in force.
    pub fn config_in_force(&self, version: ConfigVersion) {
        self.instruments.config_in_force.record(version.0, &[]);
    }

    /// Counts a refused configuration and sets its version.
    pub fn config_refused(&self, version: ConfigVersion) {
        self.instruments.config_refused.record(version.0, &[]);
        self.instruments.config_refusals.add(1, &[]);
    }

    /// Sets the number of members by state.
    pub fn members(&self, levels: &MemberLevels) {
        for (state, count) in [
            ("live", levels.live),
            ("leaving", levels.leaving),
            ("doubtful", levels.doubtful),
        ] {
            self.instruments
                .members
                .record(count.into(), &[KeyValue::new("state", state)]);
        }
    }

    /// Sets the number of a service's targets in a state. The most important
    /// state is ejected.
    pub fn targets(&self, service: &str, state: TargetState, count: u32) {
        let state = KeyValue::new("state", <&'static str>::from(state));
        self.instruments
            .targets
            .record(count.into(), &[self.labels.service(service), state]);
    }

    /// Sets the number of requests that are suspected or convicted of crashing
    /// targets.
    pub fn suspects(&self, state: SuspectState, count: u32) {
        let state = KeyValue::new("state", <&'static str>::from(state));
        self.instruments.suspects.record(count.into(), &[state]);
    }

    /// Returns the cost of measuring and control since the process started.
    #[must_use]
    pub fn measuring_cost(&self) -> MeasuringCost {
        self.cost.read()
    }

    /// Returns the cost counters for the operators' status.
    #[must_use]
    pub fn control_counters(&self) -> ControlCounters {
        self.cost.read().control_counters()
    }

    /// Returns the text for a scrape.
    ///
    /// # Errors
    ///
    /// Fails if the metrics library cannot encode its state.
    pub fn render(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

/// The labels of a result code: its number as in headers, and its name as in
/// the documentation. Each determines the other, so together they create no
/// more label sets than one alone.
fn code_labels(code: ResultCode) -> [KeyValue; 2] {
    [
        KeyValue::new("code", i64::from(code.number())),
        KeyValue::new("result", <&'static str>::from(code)),
    ]
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a latency is far below 2^52 microseconds"
)]
fn ms(span_us: u64) -> f64 {
    span_us as f64 / US_PER_MS
}
