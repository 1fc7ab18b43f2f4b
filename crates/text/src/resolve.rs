//! Resolves a draft to the policies that the nodes apply.

use hornbeamhitch_dispatch::routing::routes::{Destination, Route};
use strum::{EnumCount, VariantArray};

use crate::checked::{CallSources, CheckedText, FollowedValue, HostRoute, Origin, ServiceSources};
use crate::draft::{CallDraft, Located, NamedService, TextDraft};
use crate::fault::KeyPath;
use crate::limits::MAX_RESOLVED_ENTRIES;
use crate::number::{to_micros, to_millis, to_u32, to_u64};
use crate::position::LineIndex;
use crate::prelude::*;
use crate::read::{ANY_METHOD, ordered};
use crate::report::Report;

/// One-way latency between data centres if the text gives none.
const DEFAULT_DISTANCE_MS: f64 = 1.5;

/// Resolves the whole text.
pub(crate) fn text(
    draft: &TextDraft<'_>,
    lines: &LineIndex<'_>,
    report: &mut Report<'_, '_>,
) -> CheckedText {
    let mut resolved = Vec::new();
    for service in services_to_resolve(draft, report) {
        resolved.push(resolve_service(draft, service, lines, report));
    }
    resolved.sort_by(|(a, _), (b, _)| a.service.cmp(&b.service));
    let (services, sources) = resolved.into_iter().unzip();
    CheckedText {
        deployment: deployment(draft),
        data_centres: sorted_data_centres(draft),
        services,
        routes: routes(draft, lines),
        warnings: Vec::new(),
        sources,
    }
}

/// Returns all services, or none if they would inherit too many list entries.
fn services_to_resolve<'d, 'v>(
    draft: &'d TextDraft<'v>,
    report: &mut Report<'_, '_>,
) -> &'d [NamedService<'v>] {
    let mut count = 0;
    for service in &draft.services {
        count += draft.dependencies(&service.draft).len();
        count += draft.calls(&service.draft).len();
    }
    let limit = MAX_RESOLVED_ENTRIES;
    if count <= limit {
        return &draft.services;
    }
    report.fault(0, || {
        (
            KeyPath::default(),
            FaultKind::TooManyResolved { count, limit },
        )
    });
    &[]
}

fn deployment(draft: &TextDraft<'_>) -> DeploymentPolicy {
    let mut tenants = Vec::new();
    for tenant in &draft.tenants {
        tenants.push(TenantName::new(tenant.value));
    }
    tenants.sort();
    let mut distances = Vec::new();
    for distance in &draft.distances {
        let (from, to) = ordered(distance.from.value, distance.to.value);
        distances.push(Distance {
            from: DataCentre::new(from),
            to: DataCentre::new(to),
            one_way_us: to_micros(distance.one_way_ms),
        });
    }
    distances.sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
    DeploymentPolicy {
        deployment: draft.deployment.to_owned(),
        tenants,
        default_distance_us: to_micros(draft.default_distance_ms.unwrap_or(DEFAULT_DISTANCE_MS)),
        distances,
    }
}

fn routes(draft: &TextDraft<'_>, lines: &LineIndex<'_>) -> Vec<HostRoute> {
    let mut routes = Vec::new();
    for written in &draft.routes {
        let mut destinations = Vec::new();
        for destination in &written.to {
            destinations.push(Destination {
                service: ServiceName::new(destination.service.value),
                weight: to_u32(destination.weight),
            });
        }
        routes.push(HostRoute {
            host: written.host.value.to_owned(),
            line: lines.line(written.name.offset),
            route: Route {
                name: written.name.value.to_owned(),
                prefix: written.prefix.value.to_owned(),
                kind: written.kind,
                objective_ms: to_millis(written.objective_ms),
                priority: u8::try_from(to_u32(written.priority)).unwrap_or(u8::MAX),
                destinations,
                timeout_ms: to_millis(written.timeout_ms),
                max_attempts: to_u32(written.attempts),
                allowed_regions: None,
            },
        });
    }
    routes.sort_by(|a, b| (&a.host, &a.route.prefix).cmp(&(&b.host, &b.route.prefix)));
    routes
}

fn sorted_data_centres(draft: &TextDraft<'_>) -> Vec<DataCentre> {
    let mut data_centres = Vec::new();
    for name in &draft.data_centres {
        data_centres.push(DataCentre::new(name.value));
    }
    data_centres.sort();
    data_centres
}

/// The numeric settings of one service with their origins.
struct ResolvedNumbers {
    values: [f64; Setting::COUNT],
    origins: [Origin; Setting::COUNT],
}

impl ResolvedNumbers {
    fn get(&self, setting: Setting) -> f64 {
        self.values[setting as usize]
    }

    fn u32(&self, setting: Setting) -> u32 {
        to_u32(self.get(setting))
    }

    fn millis(&self, setting: Setting) -> Millis {
        to_millis(self.get(setting))
    }

    fn put(&mut self, setting: Setting, value: f64, origin: Origin) {
        self.values[setting as usize] = value;
        self.origins[setting as usize] = origin;
    }
}

fn resolve_service(
    draft: &TextDraft<'_>,
    service: &NamedService<'_>,
    lines: &LineIndex<'_>,
    report: &mut Report<'_, '_>,
) -> (ServicePolicy, ServiceSources) {
    let numbers = resolve_numbers(draft, service, lines);
    check_ejection(draft, service, &numbers, report);
    let mut depends_on = Vec::new();
    for dependency in draft.dependencies(&service.draft) {
        depends_on.push(ServiceName::new(dependency.value));
    }
    depends_on.sort();
    let own_calls = service.draft.calls.is_some();
    let mut resolved_calls = Vec::new();
    for call in draft.calls(&service.draft) {
        resolved_calls.push(resolve_call(call, own_calls, &numbers, lines));
    }
    // Among matching prefixes of equal length, the first call wins. Calls with a
    // specific method must therefore precede those with any method, regardless of
    // their order in the text.
    resolved_calls.sort_by_key(|(call, _)| call.method == ANY_METHOD);
    let (calls, call_sources) = resolved_calls.into_iter().unzip();
    let sources = ServiceSources {
        line: lines.line(service.name.offset),
        depends_on: list_origin(&service.draft.depends_on, &draft.defaults.depends_on, lines),
        calls_origin: list_origin(&service.draft.calls, &draft.defaults.calls, lines),
        calls: call_sources,
        numbers: numbers.origins,
    };
    let policy = build_policy(service.name.value, depends_on, calls, &numbers);
    (policy, sources)
}

fn resolve_numbers(
    draft: &TextDraft<'_>,
    service: &NamedService<'_>,
    lines: &LineIndex<'_>,
) -> ResolvedNumbers {
    let mut numbers = ResolvedNumbers {
        values: [0.0; Setting::COUNT],
        origins: [Origin::BuiltIn; Setting::COUNT],
    };
    for setting in Setting::VARIANTS {
        let own = service.draft.numbers.get(*setting);
        let default = draft.defaults.numbers.get(*setting);
        match origin_of(own, default, lines) {
            Some((value, origin)) => numbers.put(*setting, value, origin),
            None => numbers.put(*setting, setting.built_in(), Origin::BuiltIn),
        }
    }
    if numbers.origins[Setting::QueueLimit as usize] == Origin::BuiltIn {
        let slots = numbers.get(Setting::Slots);
        let origin = Origin::Follows {
            value: FollowedValue::Slots,
        };
        numbers.put(Setting::QueueLimit, slots, origin);
    }
    numbers
}

/// Returns the service's own value or otherwise that of `defaults`, with its
/// origin.
fn origin_of(
    own: Option<Located<f64>>,
    default: Option<Located<f64>>,
    lines: &LineIndex<'_>,
) -> Option<(f64, Origin)> {
    if let Some(found) = own {
        let line = lines.line(found.offset);
        return Some((found.value, Origin::Service { line }));
    }
    let found = default?;
    let line = lines.line(found.offset);
    Some((found.value, Origin::Defaults { line }))
}

fn list_origin<T>(
    own: &Option<Located<T>>,
    default: &Option<Located<T>>,
    lines: &LineIndex<'_>,
) -> Origin {
    if let Some(list) = own {
        let line = lines.line(list.offset);
        return Origin::Service { line };
    }
    if let Some(list) = default {
        let line = lines.line(list.offset);
        return Origin::Defaults { line };
    }
    Origin::BuiltIn
}

fn resolve_call(
    call: &CallDraft<'_>,
    own: bool,
    numbers: &ResolvedNumbers,
    lines: &LineIndex<'_>,
) -> (CallPolicy, CallSources) {
    let written = |offset: usize| {
        let line = lines.line(offset);
        if own {
            Origin::Service { line }
        } else {
            Origin::Defaults { line }
        }
    };
    let follows = |value: FollowedValue| Origin::Follows { value };
    let (idempotent, idempotent_origin) = match call.idempotent {
        Some(found) => (found.value, written(found.offset)),
        None => (is_safe(call.method), follows(FollowedValue::Method)),
    };
    let (class, class_origin) = match call.class {
        Some(found) => (found.value, written(found.offset)),
        None => (CallClass::default(), Origin::BuiltIn),
    };
    let (deadline_ms, deadline_origin) = match call.deadline_ms {
        Some(found) => (to_millis(found.value), written(found.offset)),
        None => (
            numbers.millis(Setting::DeadlineMs),
            follows(FollowedValue::DeadlineMs),
        ),
    };
    let policy = CallPolicy {
        name: call.name.value.to_owned(),
        method: call.method.to_owned(),
        path_prefix: call.path_prefix.to_owned(),
        idempotent,
        class,
        deadline_ms,
    };
    let sources = CallSources {
        line: lines.line(call.name.offset),
        idempotent: idempotent_origin,
        class: class_origin,
        deadline_ms: deadline_origin,
    };
    (policy, sources)
}

/// Returns whether HTTP defines the method as safe. The same rule applies to
/// calls that the text does not name.
pub(crate) fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Checks that the time until the first trial call does not exceed the maximum
/// time between trials. The two values can come from different objects of the
/// text, so they are checked after they have been resolved.
fn check_ejection(
    draft: &TextDraft<'_>,
    service: &NamedService<'_>,
    numbers: &ResolvedNumbers,
    report: &mut Report<'_, '_>,
) {
    let base_ms = numbers.get(Setting::BaseEjectionMs);
    let max_ms = numbers.get(Setting::MaxEjectionMs);
    if base_ms <= max_ms {
        return;
    }
    let mut offset = service.name.offset;
    for set_by in [&draft.defaults.numbers, &service.draft.numbers] {
        for setting in [Setting::BaseEjectionMs, Setting::MaxEjectionMs] {
            if let Some(found) = set_by.get(setting) {
                offset = found.offset;
            }
        }
    }
    report.fault(offset, || {
        let kind = FaultKind::EjectionOrder {
            base_ms: to_u64(base_ms),
            max_ms: to_u64(max_ms),
        };
        (
            KeyPath(format!("services.{}.ejection", service.name.value)),
            kind,
        )
    });
}

fn build_policy(
    name: &str,
    depends_on: Vec<ServiceName>,
    calls: Vec<CallPolicy>,
    numbers: &ResolvedNumbers,
) -> ServicePolicy {
    ServicePolicy {
        service: ServiceName::new(name),
        depends_on,
        slots: numbers.u32(Setting::Slots),
        connections: numbers.u32(Setting::Connections),
        queue_limit: numbers.u32(Setting::QueueLimit),
        calls,
        deadline_ms: numbers.millis(Setting::DeadlineMs),
        ticket_ttl_ms: numbers.millis(Setting::TicketTtlMs),
        max_records: numbers.u32(Setting::MaxRecords),
        max_stored_answer_bytes: numbers.u32(Setting::MaxStoredAnswerBytes),
        buffer_bytes: numbers.u32(Setting::BufferBytes),
        max_request_bytes: to_u64(numbers.get(Setting::MaxRequestBytes)),
        cold_ramp_ms: numbers.millis(Setting::ColdRampMs),
        budgets: Budgets {
            probes_per_s: numbers.get(Setting::ProbesPerS),
            probe_burst: numbers.u32(Setting::ProbeBurst),
            retry_share: numbers.get(Setting::RetryShare),
            hedge_share: numbers.get(Setting::HedgeShare),
            hedge_quantile: numbers.get(Setting::HedgeQuantile),
        },
        ejection: EjectionPolicy {
            consecutive_failures: numbers.u32(Setting::ConsecutiveFailures),
            max_ejected_share: numbers.get(Setting::MaxEjectedShare),
            base_ejection_ms: numbers.millis(Setting::BaseEjectionMs),
            max_ejection_ms: numbers.millis(Setting::MaxEjectionMs),
        },
    }
}
