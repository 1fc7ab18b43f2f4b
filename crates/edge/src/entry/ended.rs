//! What is written down of a call that has ended.

use hornbeamhitch_node::metrics::CallSample;
use hornbeamhitch_types::prelude::CallClass;

use super::answer::Given;
use super::trail::Trail;
use super::{CallerAnswer, CallerRequest, Entry};
use crate::directory::Directory;
use crate::http1;
use crate::prelude::*;
use crate::target::is_server_error;

impl Entry {
    /// Writes down how a call ended.
    ///
    /// Answers and failures have a line each in the code, so that the bound on
    /// the lines of one place never lets successes crowd out failures.
    pub(super) fn record(&self, ended: &Ended<'_>, given: Given) -> CallerAnswer {
        let took_ms = self.clock.now().since(ended.arrived).0;
        self.metrics.call_ended(&CallSample {
            service: ended.service,
            class: ended.class,
            tenant: "",
            code: given.code,
            latency_us: took_ms * 1_000,
        });
        let request = ended.request_id.as_str();
        let route = ended.route;
        let service = ended.service;
        let config = ended.config_version;
        // Old knowledge, and not a fault of the target, explains a route of old.
        let known_ms = ended.known_ms.0;
        let tried = ended.trail.as_str();
        let code = given.code.number();
        let status = given.answer.status;
        if given.code == ResultCode::Answered && !is_server_error(status) {
            log::info!(request, route, service, config, known_ms, code, status, took_ms, tried; "answered");
            return given.answer;
        }
        let reason = given.reason;
        log::warn!(
            request, route, service, config, known_ms, code, status, took_ms, tried, reason;
            "not served: {}", given.code
        );
        given.answer
    }
}

/// Writes down that a caller left before its answer: its call is dropped then,
/// and would leave no line of this node.
pub(super) struct CallerLeaves<'a> {
    request_id: &'a str,
    service: &'a str,
    arrived: Millis,
    clock: ProcessClock,
    is_answered: bool,
}

impl<'a> CallerLeaves<'a> {
    /// From now on the end of this value is the caller's leaving.
    pub(super) const fn watch(
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
    pub(super) fn end_answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for CallerLeaves<'_> {
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
pub(super) struct Ended<'a> {
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

impl Ended<'_> {
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
