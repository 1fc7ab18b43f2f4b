//! Warnings about combinations of resolved values.

use std::collections::HashMap;

use crate::checked::CheckedText;
use crate::draft::{CallDraft, NamedService, TextDraft};
use crate::fault::KeyPath;
use crate::prelude::*;
use crate::report::Report;
use crate::resolve::is_safe;

/// Warns about values that are each allowed but probably not intended in
/// combination.
pub(crate) fn check(draft: &TextDraft<'_>, resolved: &CheckedText, report: &mut Report<'_, '_>) {
    let deadlines = longest_deadlines(resolved);
    for service in &draft.services {
        let Some(policy) = resolved.service(service.name.value) else {
            continue;
        };
        check_connections(service, policy, report);
        check_tickets(service, policy, report);
        check_dependencies(draft, service, &deadlines, report);
        if let Some(calls) = &service.draft.calls {
            let path = format!("services.{}.calls", service.name.value);
            check_payments(&path, &calls.value, report);
        }
    }
    if let Some(calls) = &draft.defaults.calls {
        check_payments("defaults.calls", &calls.value, report);
    }
}

fn check_connections(
    service: &NamedService<'_>,
    policy: &ServicePolicy,
    report: &mut Report<'_, '_>,
) {
    if policy.connections >= policy.slots {
        return;
    }
    let written = service.draft.numbers.get(Setting::Connections);
    let offset = written.map_or(service.name.offset, |found| found.offset);
    report.warning(offset, || {
        let kind = WarningKind::ConnectionsBelowSlots {
            connections: policy.connections,
            slots: policy.slots,
        };
        (service_path(service), kind)
    });
}

fn check_tickets(service: &NamedService<'_>, policy: &ServicePolicy, report: &mut Report<'_, '_>) {
    let deadline_ms = longest_deadline(policy);
    if policy.ticket_ttl_ms >= deadline_ms {
        return;
    }
    let written = service.draft.numbers.get(Setting::TicketTtlMs);
    let offset = written.map_or(service.name.offset, |found| found.offset);
    report.warning(offset, || {
        let kind = WarningKind::TicketExpiresEarly {
            ticket_ttl_ms: policy.ticket_ttl_ms.0,
            deadline_ms: deadline_ms.0,
        };
        (service_path(service), kind)
    });
}

/// Warns about dependencies whose deadline is longer than that of their caller:
/// once the caller has timed out, the dependency's work is wasted.
fn check_dependencies(
    draft: &TextDraft<'_>,
    service: &NamedService<'_>,
    deadlines: &HashMap<&str, Millis>,
    report: &mut Report<'_, '_>,
) {
    let Some(&caller_ms) = deadlines.get(service.name.value) else {
        return;
    };
    for written in draft.dependencies(&service.draft) {
        let Some(&dependency_ms) = deadlines.get(written.value) else {
            continue;
        };
        if dependency_ms <= caller_ms {
            continue;
        }
        report.warning(written.offset, || {
            let kind = WarningKind::DependencyDeadline {
                caller: service.name.value.to_owned(),
                caller_ms: caller_ms.0,
                dependency: written.value.to_owned(),
                dependency_ms: dependency_ms.0,
            };
            (
                KeyPath(format!("services.{}.depends_on", service.name.value)),
                kind,
            )
        });
    }
}

fn check_payments(path: &str, calls: &[CallDraft<'_>], report: &mut Report<'_, '_>) {
    for call in calls {
        let Some(class) = call.class else {
            continue;
        };
        let Some(idempotent) = call.idempotent else {
            continue;
        };
        let moves_money = class.value == CallClass::Payment && !is_safe(call.method);
        if !moves_money || !idempotent.value {
            continue;
        }
        report.warning(idempotent.offset, || {
            let kind = WarningKind::IdempotentPayment {
                method: call.method.to_owned(),
                class: class.value,
            };
            (KeyPath(path.to_owned()), kind)
        });
    }
}

fn longest_deadlines(resolved: &CheckedText) -> HashMap<&str, Millis> {
    let mut deadlines = HashMap::new();
    for policy in &resolved.services {
        deadlines.insert(policy.service.as_str(), longest_deadline(policy));
    }
    deadlines
}

fn longest_deadline(policy: &ServicePolicy) -> Millis {
    let mut longest = policy.deadline_ms;
    for call in &policy.calls {
        longest = longest.max(call.deadline_ms);
    }
    longest
}

fn service_path(service: &NamedService<'_>) -> KeyPath {
    KeyPath(format!("services.{}", service.name.value))
}
