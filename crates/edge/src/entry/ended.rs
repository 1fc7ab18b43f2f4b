//! What is written down of a call that has ended.

use hornbeamhitch_node::metrics::CallSample;
use hornbeamhitch_types::prelude::CallClass;

use super::answer::CallOutcome;
use super::trail::Trail;
use super::{CallerAnswer, CallerRequest, Entry};
use crate::directory::Directory;
use crate::http1;
use crate::prelude::*;
use crate::target::is_server_fault;

impl Entry {
    /// Writes down how a call ended.
    ///
    /// Answers and failures have a line each in the code, so that the bound on
    /// the lines of one place never lets successes crowd out failures.
    pub(super) fn log_call(&self, record: &CallRecord<'_>, outcome: CallOutcome) -> CallerAnswer {
        let took_ms = self.clock.now().since(record.arrived).0;
        self.metrics.call_ended(&CallSample {
            service: record.service,
            class: record.class,
            tenant: "",
            code: outcome.code,
            latency_us: took_ms * 1_000,
        });
        let request = record.request_id.as_str();
        let route = record.route;
        let service = record.service;
        let config = record.config_version;
        // Old knowledge, and not a fault of the target, explains a route of old.
        let known_ms = record.known_ms.0;
        let tried = record.trail.as_str();
        let code = outcome.code.number();
        let status = outcome.answer.status;
        if outcome.code == ResultCode::Answered && !is_server_fault(status) {
            log::info!(request, route, service, config, known_ms, code, status, took_ms, tried; "answered");
            return outcome.answer;
        }
        let reason = outcome.reason;
        log::warn!(
            request, route, service, config, known_ms, code, status, took_ms, tried, reason;
            "not served: {}", outcome.code
        );
        outcome.answer
    }
}

/// Writes down that a caller left before its answer: its call is dropped then,
/// and would leave no line of this node.
pub(super) struct AbandonedCallLog<'a> {
    request_id: &'a str,
    service: &'a str,
    arrived: Millis,
    clock: ProcessClock,
    is_answered: bool,
}

impl<'a> AbandonedCallLog<'a> {
    /// From now on the end of this value is the caller's leaving.
    pub(super) const fn arm(
        request_id: &'a str,
        service: &'a str,
        arrived: Millis,
        clock: ProcessClock,
    ) -> Self {
        Self {
            request_id,
            service,
            arrived,
            clock,
            is_answered: false,
        }
    }

    /// The call has its answer; nothing is written down.
    pub(super) fn disarm(mut self) {
        self.is_answered = true;
    }
}

impl Drop for AbandonedCallLog<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let request = self.request_id;
        let service = self.service;
        let took_ms = self.clock.now().since(self.arrived).0;
        log::info!(request, service, took_ms; "its caller left before the answer");
    }
}

/// A call that has ended, as it is written down.
pub(super) struct CallRecord<'a> {
    pub(super) request_id: String,
    pub(super) service: &'a str,
    pub(super) route: &'a str,
    pub(super) class: CallClass,
    pub(super) config_version: u64,
    /// Age of what the entry knew of routes and targets as it decided.
    pub(super) known_ms: Millis,
    pub(super) arrived: Millis,
    pub(super) trail: Trail,
}

impl CallRecord<'_> {
    /// A call that was sent nowhere.
    pub(super) fn unrouted(
        request: &CallerRequest,
        directory: &Directory,
        names: &HeaderNames,
    ) -> Self {
        let id = http1::field(&request.head.fields, names.request_id);
        Self {
            request_id: id.unwrap_or_default().to_owned(),
            service: "",
            route: "",
            class: CallClass::default(),
            config_version: directory
                .routes
                .as_ref()
                .map_or(0, |routes| routes.version()),
            known_ms: directory.as_of.age_ms(request.arrived),
            arrived: request.arrived,
            trail: Trail::default(),
        }
    }
}

/// Rank of a route's calls in histograms.
pub(super) fn class_of(route: &Route) -> CallClass {
    match route.kind {
        CallKind::Idempotent => CallClass::Interactive,
        CallKind::NonIdempotent => CallClass::Payment,
        CallKind::Upload => CallClass::Upload,
    }
}
