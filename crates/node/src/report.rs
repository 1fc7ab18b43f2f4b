//! The status, readiness and metric gauges of a node, for operators.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use hornbeamhitch_core::control::{ControlStatus, MemberState, PlatformState as CorePlatform};
use hornbeamhitch_core::entry::EntryService;
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_core::suspects::SuspicionLevel;
use hornbeamhitch_types::status::{
    BudgetStatus, ConfigStatus, ControlCounters, GateStatus, LoadStatus, NodeStatus, PlatformState,
    PlatformStatus, RefusedConfig, ServiceStatus, SuspectState, SuspectStatus, TargetState,
    TargetStatus,
};

use crate::callers::{CallerServer, EntryCounts};
use crate::clock::ProcessClock;
use crate::control_loop::LastAnswer;
use crate::gate_server::GateServer;
use crate::metrics::{GateLevels, MemberLevels, Metrics};
use crate::operators::OperatorsSource;
use crate::settings::Config;

/// Collects the state of a node's parts for operators.
pub struct Reporter {
    /// The settings.
    pub config: Config,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The gate.
    pub gate: Arc<GateServer>,
    /// The entry.
    pub callers: Arc<CallerServer>,
    /// The control half's latest status.
    pub control: Arc<ArcSwap<ControlStatus>>,
    /// The metrics whose gauges are refreshed.
    pub metrics: Arc<Metrics>,
    /// When the platform last answered this node.
    pub platform_answered: Arc<LastAnswer>,
    /// Set once all listeners are up.
    pub listening: AtomicBool,
    /// When the configuration in force, or a refused one, was first seen.
    pub seen: parking_lot::Mutex<SeenVersions>,
}

/// When the reporter first saw versions, on the process's clock.
#[derive(Debug, Default)]
pub struct SeenVersions {
    in_force: Option<(ConfigVersion, Millis)>,
    refused: Option<(ConfigVersion, Millis)>,
}

impl SeenVersions {
    fn note(
        seen: &mut Option<(ConfigVersion, Millis)>,
        version: ConfigVersion,
        now: Millis,
    ) -> Millis {
        if let Some((known, since)) = seen
            && *known == version
        {
            return now.since(*since);
        }
        *seen = Some((version, now));
        Millis::ZERO
    }
}

impl OperatorsSource for Reporter {
    fn status(&self) -> NodeStatus {
        let control = self.control.load();
        let routes = self.callers.board.routes();
        NodeStatus {
            vm: self.config.vm.clone(),
            service: self.config.service.clone(),
            data_centre: self.config.data_centre.clone(),
            incarnation: self.incarnation,
            uptime_ms: self.clock.now(),
            leaving: self.gate.board.is_leaving(),
            superseded: control.superseded,
            config: self.config_status(&control, &routes),
            platform: self.platform_status(&control),
            services: self.services(&control, &routes),
            gate: self.gate_status(),
            suspects: suspects(&routes),
            control: counters(&control),
        }
    }

    fn is_ready(&self) -> bool {
        let is_listening = self.listening.load(Ordering::Acquire);
        let has_configuration = self.callers.board.routes().version.is_some();
        is_listening && has_configuration && !self.gate.board.is_leaving()
    }
}

impl Reporter {
    /// Refreshes the gauges. Called about once a second.
    pub fn refresh_gauges(&self) {
        let control = self.control.load();
        let routes = self.callers.board.routes();
        let gate = self.gate_status();
        self.metrics.gate_levels(&GateLevels {
            in_flight: gate.in_flight,
            queued: gate.queued,
            limit: gate.limit,
            records: gate.records,
            stored_bytes: gate.stored_bytes,
        });
        let mut levels = MemberLevels::default();
        for service in &control.services {
            for member in &service.members {
                match member.state {
                    MemberState::Live => levels.live += 1,
                    MemberState::Leaving => levels.leaving += 1,
                    MemberState::Doubtful => levels.doubtful += 1,
                }
            }
        }
        self.metrics.members(&levels);
        // Records since when the versions have been in force, also if no status
        // is requested.
        let _ = self.config_status(&control, &routes);
        for service in self.services(&control, &routes) {
            self.refresh_targets(&service);
        }
        let suspects = suspects(&routes);
        let convicted = suspects.list.iter();
        let convicted = convicted.filter(|suspect| suspect.state == SuspectState::Convicted);
        let convicted = u32::try_from(convicted.count()).unwrap_or(u32::MAX);
        let all = u32::try_from(suspects.count).unwrap_or(u32::MAX);
        self.metrics.suspects(SuspectState::Convicted, convicted);
        self.metrics
            .suspects(SuspectState::Suspected, all.saturating_sub(convicted));
        if let Some(version) = routes.version {
            self.metrics.config_in_force(version);
            self.metrics
                .set_names(&routes.service_names, &routes.deployment.tenants);
        }
    }

    fn refresh_targets(&self, service: &ServiceStatus) {
        let mut counts: HashMap<TargetState, u32> = HashMap::new();
        for target in &service.targets {
            *counts.entry(target.state).or_default() += 1;
        }
        for state in [
            TargetState::Live,
            TargetState::Leaving,
            TargetState::Doubtful,
            TargetState::Ejected,
        ] {
            let count = counts.get(&state).copied().unwrap_or(0);
            self.metrics.targets(service.name.as_str(), state, count);
        }
    }

    fn config_status(&self, control: &ControlStatus, routes: &RouteTable) -> ConfigStatus {
        let now = self.clock.now();
        let mut seen = self.seen.lock();
        let in_force_age_ms = routes
            .version
            .map(|version| SeenVersions::note(&mut seen.in_force, version, now));
        let refused = control.refused.as_ref().map(|refused| RefusedConfig {
            version: refused.version,
            reason: refused.reason.clone(),
            age_ms: SeenVersions::note(&mut seen.refused, refused.version, now),
        });
        ConfigStatus {
            in_force: routes.version,
            in_force_age_ms,
            refused,
        }
    }

    fn services(&self, control: &ControlStatus, routes: &RouteTable) -> Vec<ServiceStatus> {
        let mut by_name = HashMap::new();
        let now = self.clock.now();
        self.callers.board.visit(|name, entry, counts| {
            by_name.insert(name.clone(), service_status(name, entry, counts, now));
        });
        let mut services = Vec::new();
        for (name, view) in &routes.services {
            let mut status = match by_name.remove(name) {
                Some(status) => status,
                None => unused_service(name, view, now),
            };
            status.budgets.probes_sent = self.probes_sent(control, name);
            services.push(status);
        }
        services
    }

    fn probes_sent(&self, control: &ControlStatus, name: &ServiceName) -> u64 {
        let mut probes = 0;
        for service in &control.services {
            if service.service == *name {
                probes = service.probes_sent;
            }
        }
        if *name == self.config.service {
            probes += self.gate.probes();
        }
        probes
    }

    fn platform_status(&self, control: &ControlStatus) -> PlatformStatus {
        let state = match control.platform {
            CorePlatform::Unused => PlatformState::Relayed,
            CorePlatform::Answering => PlatformState::Reading,
            CorePlatform::Stale => PlatformState::Stale,
            CorePlatform::Failing => PlatformState::Unreachable,
        };
        let answered_at = self.platform_answered.at();
        PlatformStatus {
            state,
            last_read_age_ms: answered_at.map(|at| self.clock.now().since(at)),
            reads: control.counters.platform_reads,
        }
    }

    fn gate_status(&self) -> GateStatus {
        let load = self.gate.board.load();
        self.gate.board.inspect(|gate| {
            let Some(gate) = gate else {
                return GateStatus::default();
            };
            GateStatus {
                in_flight: load.in_flight,
                queued: load.queued,
                limit: load.limit,
                records: u32::try_from(gate.record_count()).unwrap_or(u32::MAX),
                stored_bytes: gate.stored_bytes(),
                refused: self.gate.board.refused(),
                ran: self.gate.board.started(),
            }
        })
    }
}

/// Returns the status of a service that no caller has requested from this node
/// yet.
fn unused_service(name: &ServiceName, view: &ServiceView, now: Millis) -> ServiceStatus {
    let mut targets = Vec::new();
    for target in &view.targets {
        targets.push(target_status(target, now));
    }
    ServiceStatus {
        name: name.clone(),
        targets,
        budgets: BudgetStatus::default(),
    }
}

fn service_status(
    name: &ServiceName,
    entry: &EntryService,
    counts: &EntryCounts,
    now: Millis,
) -> ServiceStatus {
    let mut targets = Vec::new();
    for target in &entry.view().targets {
        let mut status = target_status(target, now);
        if let Some((index, _)) = entry.target_on(&target.vm) {
            if entry.is_ejected(index) {
                status.state = TargetState::Ejected;
            }
            let counted = counts.of(index);
            status.in_flight = entry.in_flight(index);
            status.attempts = counted.attempts;
            status.failures = counted.failures;
        }
        targets.push(status);
    }
    ServiceStatus {
        name: name.clone(),
        targets,
        budgets: BudgetStatus {
            probes_sent: 0,
            retries_spent: counts.retries,
            hedges_spent: counts.hedges,
            first_attempts: counts.first_attempts,
        },
    }
}

fn target_status(target: &TargetView, now: Millis) -> TargetStatus {
    let state = match (target.leaving, target.doubtful) {
        (true, _) => TargetState::Leaving,
        (false, true) => TargetState::Doubtful,
        (false, false) => TargetState::Live,
    };
    TargetStatus {
        vm: target.vm.clone(),
        data_centre: target.data_centre.clone(),
        peer: target.peer,
        state,
        in_flight: 0,
        load: target.load.map(|received| LoadStatus {
            in_flight: received.report.in_flight,
            queued: received.report.queued,
            limit: received.report.limit,
            service_time_us: received.report.service_time_us,
            load_age_ms: now.since(received.received_at),
        }),
        attempts: 0,
        failures: 0,
    }
}

fn suspects(routes: &RouteTable) -> SuspectStatus {
    let mut status = SuspectStatus::default();
    for (fingerprint, level) in routes.suspects.iter() {
        let state = match level {
            SuspicionLevel::Clear => continue,
            SuspicionLevel::Suspect => SuspectState::Suspected,
            SuspicionLevel::Convicted => SuspectState::Convicted,
        };
        status.count += 1;
        status.list.push(hornbeamhitch_types::status::Suspect {
            fingerprint: format!("{fingerprint:016x}"),
            state,
        });
    }
    status
}

fn counters(control: &ControlStatus) -> ControlCounters {
    let counters = &control.counters;
    ControlCounters {
        datagrams_sent: counters.datagrams_out,
        datagrams_received: counters.datagrams_in,
        sent_bytes: counters.datagram_bytes_out,
        received_bytes: counters.datagram_bytes_in,
        bulk_pulls: counters.bulk_pulls,
        bulk_bytes: counters.bulk_bytes_in,
    }
}
