//! Logs and metrics of calls that have ended.

use std::time::Duration;

use hornbeamhitch_node::metrics::CallSample;
use hornbeamhitch_types::prelude::CallClass;

use super::answer::CallOutcome;
use super::trail::Trail;
use super::{AnsweredRequest, CallerAnswer, CallerRequest, Entry};
use crate::directory::Directory;
use crate::http1;
use crate::prelude::*;
use crate::target::is_server_error;

/// Answers that were ready for at least this long before they were written are logged.
const LOGGED_FROM: Duration = Duration::from_millis(10);

impl Entry {
    /// Logs how a call ended and counts it in the metrics.
    ///
    /// Answers and failures are logged by separate statements. The log limits the
    /// lines of each statement, so a flood of successes cannot suppress failures.
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
        // A high age shows that a wrong route or target is due to stale data.
        let known_ms = record.known_ms.0;
        let tried = record.trail.as_str();
        let code = outcome.code.number();
        let status = outcome.answer.status;
        if outcome.code == ResultCode::Answered && !is_server_error(status) {
            log::info!(request, route, service, config, known_ms, code, status, took_ms, tried; "answered");
            return outcome.answer;
        }
        let reason = outcome.reason;
        // Not zero while a newer configuration is known that is not in force yet.
        let routes_lag_ms = record.routes_lag_ms.0;
        log::warn!(
            request, route, service, config, known_ms, routes_lag_ms, code, status, took_ms, tried, reason;
            "not served: {}", outcome.code
        );
        outcome.answer
    }

    /// Records how long an answer that was ready waited until it was written. `previous` is
    /// the request answered before it on the same connection.
    pub fn record_held(
        &self,
        answered: &AnsweredRequest,
        previous: &AnsweredRequest,
        held: Duration,
    ) {
        let route = answered.route_name();
        let held_us = u64::try_from(held.as_micros()).unwrap_or(u64::MAX);
        self.metrics.answer_held(route, held_us);
        if held < LOGGED_FROM {
            return;
        }
        let request = answered.request_id.as_str();
        let previous_route = previous.route_name();
        let held_ms = held_us / 1_000;
        log::info!(request, route, held_ms, previous_route; "its answer was ready before it could be written");
    }
}

/// Logs that a caller disconnected before its answer. The call is dropped in that
/// case, so this drop handler is the only place that can log it.
pub(super) struct AbandonedCallLog<'a> {
    request_id: &'a str,
    service: &'a str,
    arrived: Millis,
    clock: ProcessClock,
    is_answered: bool,
}

impl<'a> AbandonedCallLog<'a> {
    /// Creates a guard that logs the disconnect when it is dropped, unless
    /// [`Self::disarm`] was called.
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

    /// Drops the guard without logging, because the call has its answer.
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

/// What the log and the metrics record of an ended call.
pub(super) struct CallRecord<'a> {
    pub(super) request_id: String,
    pub(super) service: &'a str,
    pub(super) route: &'a str,
    pub(super) class: CallClass,
    pub(super) config_version: u64,
    /// Age of the entry's routes and targets when the call arrived.
    pub(super) known_ms: Millis,
    /// How long a newer configuration had been known when the call arrived.
    pub(super) routes_lag_ms: Millis,
    pub(super) arrived: Millis,
    pub(super) trail: Trail,
}

impl CallRecord<'_> {
    /// Creates the record of a call that was sent to no target.
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
            routes_lag_ms: directory.routes_lag.lag_ms(request.arrived),
            arrived: request.arrived,
            trail: Trail::default(),
        }
    }
}

/// Returns the class under which histograms count a route's calls.
pub(super) fn class_of(route: &Route) -> CallClass {
    match route.kind {
        CallKind::Idempotent | CallKind::Download => CallClass::Interactive,
        CallKind::NonIdempotent => CallClass::Payment,
        CallKind::Upload => CallClass::Upload,
    }
}
