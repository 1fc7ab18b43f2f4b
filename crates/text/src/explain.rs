//! Builds the explanation of a service.

use strum::VariantArray;

use crate::checked::CheckedText;
use crate::explanation::{ExplainedCall, ExplainedSetting, Explanation, UnknownService};
use crate::nearest::nearest;
use crate::prelude::*;

/// Explains what a service resolves to and where each value comes from.
///
/// # Errors
///
/// Returns [`UnknownService`] if the text does not list the service.
pub fn explain(text: &CheckedText, service: &str) -> Result<Explanation, UnknownService> {
    let Some(index) = text.service_index(service) else {
        let known = text.services.iter().map(|known| known.service.as_str());
        return Err(UnknownService {
            service: service.to_owned(),
            nearest: nearest(service, known).map(str::to_owned),
        });
    };
    let policy = &text.services[index];
    let sources = &text.sources[index];
    let mut settings = Vec::new();
    for setting in Setting::VARIANTS {
        settings.push(ExplainedSetting {
            setting: *setting,
            value: setting.value_in(policy),
            origin: sources.numbers[*setting as usize],
        });
    }
    let mut calls = Vec::new();
    for (call, source) in policy.calls.iter().zip(&sources.calls) {
        calls.push(ExplainedCall {
            line: source.line,
            call: call.clone(),
            idempotent_origin: source.idempotent,
            class_origin: source.class,
            deadline_origin: source.deadline_ms,
        });
    }
    let mut routes = Vec::new();
    for host_route in &text.routes {
        let destinations = &host_route.route.destinations;
        if destinations
            .iter()
            .any(|destination| destination.service == policy.service)
        {
            routes.push(host_route.clone());
        }
    }
    Ok(Explanation {
        service: policy.service.clone(),
        line: sources.line,
        depends_on: policy.depends_on.clone(),
        depends_on_origin: sources.depends_on,
        callers: text.callers_of(service).into_iter().cloned().collect(),
        settings,
        calls_origin: sources.calls_origin,
        calls,
        routes,
    })
}
