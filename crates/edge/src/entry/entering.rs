//! Decides whether a request that has entered is sent to a target.

use hornbeamhitch_dispatch::overload::caller_shares::CallerId;
use hornbeamhitch_dispatch::overload::entry_admission::{Admitted, Entering, EnteringCall};
use hornbeamhitch_dispatch::overload::return_schedule::{RequestKey, RetryTime};
use hornbeamhitch_node::metrics::ReturnResult;

use super::answer::CallOutcome;
use super::{Entry, levels};
use crate::directory::Directory;
use crate::prelude::*;

/// A request with its route and service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival<'a> {
    pub(super) route: &'a Route,
    pub(super) service: &'a ServiceName,
    /// Hash of the parts of the request that its retries have in common.
    pub(super) fingerprint: u64,
    /// End of the deadline that the caller has stated.
    pub(super) requested_until: Millis,
}

impl Entry {
    /// Decides whether the request is sent to a target. `caller` is `None` if only the
    /// content of the request identifies its caller.
    pub(super) fn enter(
        &self,
        arrival: &Arrival<'_>,
        caller: Option<CallerId>,
        directory: &Directory,
    ) -> Entering {
        let now = self.now();
        let mut call = self.entering_call(arrival, directory);
        let mut state = self.state.lock();
        call.caller = caller.unwrap_or_else(|| state.admission.caller_by_content(call.key, now));
        if let Some(routes) = &directory.routes {
            state.admission.adopt(routes);
        }
        let available = directory.members.available(arrival.service);
        state.admission.note_targets(arrival.service, available);
        let entering = state.admission.enter(&call, now);
        let change = state.admission.take_level_change(arrival.service, now);
        drop(state);
        if let Some(change) = change {
            levels::log_change(arrival.service, &change);
        }
        entering
    }

    /// Returns when the caller of a request that found no capacity may retry, or `None` if
    /// the service is not known to be overloaded.
    pub(super) fn retry_time(&self, arrival: &Arrival<'_>) -> Option<RetryTime> {
        let directory = self.directory.load();
        let call = self.entering_call(arrival, &directory);
        self.state.lock().admission.retry_time(&call, self.now())
    }

    /// Counts whether a retry at its reserved time was served.
    pub(super) fn count_return(
        &self,
        service: &ServiceName,
        admitted: &Admitted,
        outcome: &CallOutcome,
    ) {
        if !admitted.has_reservation {
            return;
        }
        let result = match outcome.code {
            ResultCode::Answered => ReturnResult::Kept,
            _ => ReturnResult::Missed,
        };
        self.metrics.return_ended(service.as_str(), result);
    }

    /// Updates the gauges of the open reservations.
    pub(super) fn refresh_reservations(&self) {
        let directory = self.directory.load();
        let Some(routes) = &directory.routes else {
            return;
        };
        for service in routes.services() {
            let open = self.state.lock().admission.schedule().open(service);
            let open = u32::try_from(open).unwrap_or(u32::MAX);
            self.metrics.promised_returns(service.as_str(), open);
        }
    }

    fn entering_call<'a>(&self, arrival: &Arrival<'a>, directory: &Directory) -> EnteringCall<'a> {
        let Arrival {
            route,
            service,
            fingerprint,
            requested_until,
        } = *arrival;
        let now = self.now();
        let state = self.state.lock();
        let work = state.work_estimates.estimate(route);
        let rejected_part = state.reject_rates.rate(service, now).unwrap_or_default();
        drop(state);
        EnteringCall {
            service,
            route,
            key: RequestKey {
                fingerprint,
                deadline_at: requested_until,
            },
            caller: CallerId(fingerprint),
            work_ms: work.run_at(100),
            targets: directory.members.available(service).len(),
            target_is_idle: self.gate.is_target_idle(),
            rejected_part,
        }
    }
}
