//! Metrics of one node, scraped by operators as Prometheus text.
//!
//! Recording is meant for the traffic path: no locks but the read locks of the
//! metrics library, no allocation for label sets that were seen before, and a
//! bounded number of label sets whatever callers send.

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
    /// From the whole head received to the whole answer sent.
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
    /// Sent beside an attempt that takes long.
    Hedge,
}

/// Which half of the node added a latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Side {
    /// Between caller and gate.
    Entry,
    /// Between entry and target, the queue included.
    Gate,
}

/// How a read of the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformRead {
    /// Answered with a newer version.
    Changed,
    /// Answered that nothing is newer, or has nothing yet.
    Unchanged,
    /// Answered with an older version than the one in force.
    Stale,
    /// Failed or timed out.
    Failed,
}

/// Levels of the gate at this moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateLevels {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Calls waiting for a slot.
    pub queued: u32,
    /// The present concurrency limit.
    pub limit: u32,
    /// Records of non-idempotent calls.
    pub records: u32,
    /// Bytes of answers stored with records.
    pub stored_bytes: u64,
}

/// Members that this node knows, by state.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberLevels {
    /// Heard from lately.
    pub live: u32,
    /// Taking no new work.
    pub leaving: u32,
    /// Silent for long.
    pub doubtful: u32,
}

/// All metrics of one node. Shared by all threads.
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
    /// Metrics whose `target_info` names the node.
    ///
    /// # Errors
    ///
    /// When the metrics library refuses its set-up.
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

    /// A call has ended at the entry.
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

    /// What one half of the node added to a call, without the target's run and
    /// the way between data centres.
    pub fn latency_added(&self, side: Side, added_us: u64) {
        let side = KeyValue::new("side", <&'static str>::from(side));
        self.instruments.added_latency.record(ms(added_us), &[side]);
    }

    /// An attempt was sent to a gate.
    pub fn attempt_sent(&self, service: &str, kind: AttemptKind) {
        let kind = KeyValue::new("kind", <&'static str>::from(kind));
        self.instruments
            .attempts
            .add(1, &[kind, self.labels.service(service)]);
    }

    /// The loser of a hedge was cancelled.
    pub fn loser_cancelled(&self, service: &str) {
        self.instruments
            .losers_cancelled
            .add(1, &[self.labels.service(service)]);
    }

    /// The target ran a call; the time is from its start to its whole answer.
    pub fn gate_ran(&self, class: CallClass, run_us: u64) {
        let class = KeyValue::new("class", <&'static str>::from(class));
        self.instruments.gate_run.record(ms(run_us), &[class]);
    }

    /// A call waited in the gate's queue before it started or was refused.
    pub fn gate_waited(&self, class: CallClass, waited_us: u64) {
        let class = KeyValue::new("class", <&'static str>::from(class));
        self.instruments.gate_wait.record(ms(waited_us), &[class]);
    }

    /// The gate refused a call.
    pub fn gate_refused(&self, code: ResultCode) {
        self.instruments.gate_refused.add(1, &code_labels(code));
    }

    /// The gate's levels have changed.
    pub fn gate_levels(&self, levels: &GateLevels) {
        let gauges = &self.instruments;
        gauges.gate_in_flight.record(levels.in_flight.into(), &[]);
        gauges.gate_queued.record(levels.queued.into(), &[]);
        gauges.gate_limit.record(levels.limit.into(), &[]);
        gauges.gate_records.record(levels.records.into(), &[]);
        gauges.gate_stored_bytes.record(levels.stored_bytes, &[]);
    }

    /// A probe was sent to a gate of the service.
    pub fn probe_sent(&self, service: &str) {
        self.cost.count_probe();
        self.instruments
            .probes
            .add(1, &[self.labels.service(service)]);
    }

    /// A control datagram was sent.
    pub fn datagram_sent(&self, size_bytes: usize) {
        self.cost.count_sent(size_bytes);
    }

    /// A control datagram was received, well formed or not.
    pub fn datagram_received(&self, size_bytes: usize) {
        self.cost.count_received(size_bytes);
    }

    /// A bulk transfer was fetched from another node.
    pub fn bulk_pulled(&self, size_bytes: usize) {
        self.cost.count_pull(size_bytes);
    }

    /// A bulk transfer was served to another node.
    pub fn bulk_served(&self, size_bytes: usize) {
        self.cost.count_serve(size_bytes);
    }

    /// The platform was read; a waiting watch counts as one.
    pub fn platform_read(&self, outcome: PlatformRead) {
        self.cost.count_platform_read();
        let outcome = KeyValue::new("outcome", <&'static str>::from(outcome));
        self.instruments.platform_reads.add(1, &[outcome]);
    }

    /// The control thread was busy for this long.
    pub fn control_busy(&self, busy_us: u64) {
        self.cost.count_busy(busy_us);
    }

    /// Everything that was published so long ago is known.
    pub fn known_age(&self, age_ms: u64) {
        self.instruments.known_age.record(age_ms, &[]);
    }

    /// A configuration came into force.
    pub fn config_in_force(&self, version: ConfigVersion) {
        self.instruments.config_in_force.record(version.0, &[]);
    }

    /// A configuration was refused.
    pub fn config_refused(&self, version: ConfigVersion) {
        self.instruments.config_refused.record(version.0, &[]);
        self.instruments.config_refusals.add(1, &[]);
    }

    /// The number of members has changed.
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

    /// How many targets of a service are in a state; ejected ones, above all.
    pub fn targets(&self, service: &str, state: TargetState, count: u32) {
        let state = KeyValue::new("state", <&'static str>::from(state));
        self.instruments
            .targets
            .record(count.into(), &[self.labels.service(service), state]);
    }

    /// How many requests are suspected of crashing targets, or convicted.
    pub fn suspects(&self, state: SuspectState, count: u32) {
        let state = KeyValue::new("state", <&'static str>::from(state));
        self.instruments.suspects.record(count.into(), &[state]);
    }

    /// What measuring and control have cost since the start.
    #[must_use]
    pub fn measuring_cost(&self) -> MeasuringCost {
        self.cost.read()
    }

    /// The same for the operators' status.
    #[must_use]
    pub fn control_counters(&self) -> ControlCounters {
        self.cost.read().control_counters()
    }

    /// The text for a scrape.
    ///
    /// # Errors
    ///
    /// When the metrics library cannot write its own state.
    pub fn render(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

/// The number as in headers and the name as in the documentation; one follows
/// from the other, so together they make no more label sets than one.
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
