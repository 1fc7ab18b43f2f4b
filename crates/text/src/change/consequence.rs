//! Describes the consequences of changes.

use super::{CallChange, Change};
use crate::prelude::*;

/// Describes the consequence of a change, or returns `None` if the change itself
/// already says it.
pub(super) fn of(change: &Change) -> Option<String> {
    let consequence = match change {
        Change::Deployment { .. } => "reports and logs carry the new name".to_owned(),
        Change::DataCentreAdded { .. } | Change::DataCentreRemoved { .. } => return None,
        Change::TenantAdded { .. } => "its calls get their own histograms".to_owned(),
        Change::TenantRemoved { .. } => "its calls count as \"other\"".to_owned(),
        Change::DefaultDistance { .. } | Change::Distance { .. } => {
            "target selection weighs other data centres by the new distance".to_owned()
        }
        Change::ServiceAdded { depends_on, .. } => service_added(depends_on),
        Change::ServiceRemoved { former_callers, .. } => service_removed(former_callers),
        Change::DependencyAdded {
            service,
            dependency,
        } => format!("nodes of {service} track the targets of {dependency}"),
        Change::DependencyRemoved {
            service,
            dependency,
        } => format!("nodes of {service} no longer track the targets of {dependency}"),
        Change::Setting {
            setting, old, new, ..
        } => setting_changed(*setting, *old, *new),
        Change::CallAdded { .. } | Change::CallRemoved { .. } => return None,
        Change::RouteAdded { .. } => return None,
        Change::RouteRemoved { .. } => {
            "its requests match a shorter prefix of the host or are answered with 404".to_owned()
        }
        Change::Route { field, new, .. } => return route_changed(field, new),
        Change::Idempotence { new: true, .. } => {
            "such calls may run more than once: they may be retried and hedged".to_owned()
        }
        Change::Idempotence { new: false, .. } => {
            "such calls run at most once: callers need a ticket".to_owned()
        }
        Change::Call { change, .. } => return call_changed(change),
    };
    Some(consequence)
}

fn route_changed(field: &str, new: &str) -> Option<String> {
    let consequence = match (field, new) {
        ("to", _) => {
            "requests are split by the new weights, regardless of the load of each service"
        }
        ("idempotent", "true") => "its requests may run more than once",
        ("idempotent", _) => "each of its requests runs at most once",
        ("download", "true") => "its answers are expected to be large",
        ("download", _) => "its answers are no longer expected to be large",
        ("timeout_ms", _) => "requests in flight keep their previous timeout",
        _ => return None,
    };
    Some(consequence.to_owned())
}

fn service_added(depends_on: &[ServiceName]) -> String {
    if depends_on.is_empty() {
        return "its calls are accepted; it depends on no service".to_owned();
    }
    format!(
        "its calls are accepted; it depends on {}",
        join_names(depends_on)
    )
}

fn service_removed(former_callers: &[ServiceName]) -> String {
    let refusal = format!("its calls are refused with {}", ResultCode::UnknownService);
    if former_callers.is_empty() {
        return refusal;
    }
    let verb = if former_callers.len() == 1 {
        "depends"
    } else {
        "depend"
    };
    format!(
        "{refusal}; {} no longer {verb} on it",
        join_names(former_callers)
    )
}

fn join_names(names: &[ServiceName]) -> String {
    let mut words = String::new();
    for (index, name) in names.iter().enumerate() {
        let separator = match index {
            0 => "",
            _ if index + 1 == names.len() => " and ",
            _ => ", ",
        };
        words.push_str(separator);
        words.push_str(name.as_str());
    }
    words
}

fn call_changed(change: &CallChange) -> Option<String> {
    match change {
        CallChange::Match { .. } | CallChange::Idempotent { .. } => None,
        CallChange::Class { old, new } if new < old => Some("it is served earlier".to_owned()),
        CallChange::Class { .. } => Some("it is served later".to_owned()),
        CallChange::DeadlineMs { old, new } => Some(deadline_changed(old.0 as f64, new.0 as f64)),
    }
}

fn deadline_changed(old: f64, new: f64) -> String {
    let when = if new < old { "sooner" } else { "later" };
    format!("calls without a deadline of their own time out {when}")
}

/// Returns `off` if the new value is zero, which disables the feature, and the
/// description by `on` otherwise.
fn unless_zero(new: f64, off: &str, on: impl FnOnce() -> String) -> String {
    if new == 0.0 {
        return off.to_owned();
    }
    on()
}

fn percent(share: f64) -> String {
    const PER_CENT: f64 = 100.0;
    // Rounds because 0.07 times 100 is not exactly 7 in binary floating point.
    let hundredths = (share * PER_CENT * PER_CENT).round() / PER_CENT;
    format!("{hundredths}%")
}

fn setting_changed(setting: Setting, old: f64, new: f64) -> String {
    match setting {
        Setting::Slots if new < old => {
            "each target runs fewer calls at once; when they are busy, more calls wait or are \
             refused"
                .to_owned()
        }
        Setting::Slots => {
            "each target runs more calls at once; the targets must have the capacity".to_owned()
        }
        Setting::Connections => format!("a gate holds at most {new} connections to its target"),
        Setting::QueueLimit => unless_zero(new, "no call waits for a slot", || {
            format!("at most {new} calls wait at a gate; others are refused as not run")
        }),
        Setting::DeadlineMs => deadline_changed(old, new),
        Setting::TicketTtlMs => {
            format!(
                "new tickets are valid for {new} ms; tickets already issued keep their expiry time"
            )
        }
        Setting::MaxRecords => {
            format!(
                "a gate with {new} records refuses new non-idempotent calls with {}",
                ResultCode::RecordsFull
            )
        }
        Setting::MaxStoredAnswerBytes => {
            format!(
                "larger answers are not stored; a resend then gets {}",
                ResultCode::AnswerNotKept
            )
        }
        Setting::BufferBytes => {
            "a call whose larger answer is truncated cannot be retried".to_owned()
        }
        Setting::MaxRequestBytes => {
            format!("larger bodies are refused with {}", ResultCode::TooLarge)
        }
        Setting::ColdRampMs => {
            unless_zero(new, "a cold target gets its full share at once", || {
                format!("a cold target gets its full share after {new} ms")
            })
        }
        _ if setting.group() == crate::setting::Group::Budgets => budget_changed(setting, new),
        _ => ejection_changed(setting, new),
    }
}

fn budget_changed(setting: Setting, new: f64) -> String {
    match setting {
        Setting::ProbesPerS => unless_zero(new, "targets are not probed", || {
            format!("each node sends at most {new} probes a second about the service")
        }),
        Setting::ProbeBurst => format!("at most {new} probes are sent at once"),
        Setting::RetryShare => unless_zero(new, "failed calls are not retried", || {
            format!("retries add at most {} to first attempts", percent(new))
        }),
        Setting::HedgeShare => unless_zero(new, "calls are not hedged", || {
            format!("hedges add at most {} to first attempts", percent(new))
        }),
        _ => format!(
            "a call is hedged once it is slower than {} of recent ones",
            percent(new)
        ),
    }
}

fn ejection_changed(setting: Setting, new: f64) -> String {
    match setting {
        Setting::ConsecutiveFailures => {
            format!("a target is ejected after {new} failures in a row")
        }
        Setting::MaxEjectedShare => unless_zero(new, "targets are never ejected", || {
            format!(
                "at most {} of the targets are ejected at once",
                percent(new)
            )
        }),
        Setting::BaseEjectionMs => {
            format!("an ejected target gets its first trial after {new} ms")
        }
        _ => format!("an ejected target waits at most {new} ms between trials"),
    }
}
