//! The parsed content of a text before it is resolved.

use hornbeamhitch_dispatch::routing::routes::CallKind;
use hornbeamhitch_types::policy::CallClass;
use strum::EnumCount;

use crate::setting::Setting;

/// A value with its byte offset in the text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) offset: usize,
}

/// The parsed text.
#[derive(Debug, Default)]
pub(crate) struct TextDraft<'v> {
    pub(crate) deployment: &'v str,
    pub(crate) data_centres: Vec<Located<&'v str>>,
    pub(crate) default_distance_ms: Option<f64>,
    pub(crate) distances: Vec<DistanceDraft<'v>>,
    pub(crate) tenants: Vec<Located<&'v str>>,
    pub(crate) defaults: ServiceDraft<'v>,
    pub(crate) services: Vec<NamedService<'v>>,
    pub(crate) routes: Vec<RouteDraft<'v>>,
}

/// One route of a host.
#[derive(Debug)]
pub(crate) struct RouteDraft<'v> {
    /// Index of the route in the list of the text.
    pub(crate) index: usize,
    pub(crate) name: Located<&'v str>,
    pub(crate) host: Located<&'v str>,
    pub(crate) prefix: Located<&'v str>,
    pub(crate) to: Vec<DestinationDraft<'v>>,
    pub(crate) kind: CallKind,
    pub(crate) timeout_ms: f64,
    pub(crate) objective_ms: f64,
    pub(crate) attempts: f64,
    pub(crate) priority: f64,
}

/// One destination of a route, with its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DestinationDraft<'v> {
    pub(crate) service: Located<&'v str>,
    pub(crate) weight: f64,
}

/// One distance between two data centres.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DistanceDraft<'v> {
    pub(crate) from: Located<&'v str>,
    pub(crate) to: Located<&'v str>,
    pub(crate) one_way_ms: f64,
}

/// A service with its name.
#[derive(Debug)]
pub(crate) struct NamedService<'v> {
    pub(crate) name: Located<&'v str>,
    pub(crate) draft: ServiceDraft<'v>,
}

/// The values that a service or `defaults` sets.
#[derive(Debug, Default)]
pub(crate) struct ServiceDraft<'v> {
    pub(crate) depends_on: Option<Located<Vec<Located<&'v str>>>>,
    pub(crate) calls: Option<Located<Vec<CallDraft<'v>>>>,
    pub(crate) numbers: Numbers,
}

/// The numeric settings that a service or `defaults` sets. Each is in its range.
#[derive(Debug, Default)]
pub(crate) struct Numbers([Option<Located<f64>>; Setting::COUNT]);

impl Numbers {
    pub(crate) fn get(&self, setting: Setting) -> Option<Located<f64>> {
        self.0[setting as usize]
    }

    pub(crate) fn set(&mut self, setting: Setting, number: Located<f64>) {
        self.0[setting as usize] = Some(number);
    }
}

/// One named call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallDraft<'v> {
    pub(crate) name: Located<&'v str>,
    pub(crate) method: &'v str,
    pub(crate) path_prefix: &'v str,
    pub(crate) match_offset: usize,
    pub(crate) idempotent: Option<Located<bool>>,
    pub(crate) class: Option<Located<CallClass>>,
    pub(crate) deadline_ms: Option<Located<f64>>,
}

impl<'v> TextDraft<'v> {
    /// Returns the dependencies of a service, or those of `defaults` if the
    /// service lists none.
    pub(crate) fn dependencies<'s>(
        &'s self,
        service: &'s ServiceDraft<'v>,
    ) -> &'s [Located<&'v str>] {
        let written = service
            .depends_on
            .as_ref()
            .or(self.defaults.depends_on.as_ref());
        match written {
            Some(list) => &list.value,
            None => &[],
        }
    }

    /// Returns the calls of a service, or those of `defaults` if the service lists
    /// none.
    pub(crate) fn calls<'s>(&'s self, service: &'s ServiceDraft<'v>) -> &'s [CallDraft<'v>] {
        let written = service.calls.as_ref().or(self.defaults.calls.as_ref());
        match written {
            Some(list) => &list.value,
            None => &[],
        }
    }
}
