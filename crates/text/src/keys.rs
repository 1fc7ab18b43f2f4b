//! The keys of the objects in a text.

use strum::{IntoStaticStr, VariantArray};

use crate::setting::{Group, Setting};

/// A key that an object can have.
pub(crate) trait Key: Copy {
    /// Returns the key as written in the text.
    fn name(self) -> &'static str;
}

macro_rules! keys {
    ($($key:ident),*) => {
        $(impl Key for $key {
            fn name(self) -> &'static str {
                self.into()
            }
        })*
    };
}

keys!(TextKey, DistanceKey, CallEntryKey, RouteKey, Setting);

/// Keys of the top-level object.
#[derive(Clone, Copy, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TextKey {
    Deployment,
    DataCentres,
    DefaultDistanceMs,
    Distances,
    Tenants,
    Defaults,
    Services,
    Routes,
}

/// Keys of one route.
#[derive(Clone, Copy, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RouteKey {
    Name,
    Host,
    Prefix,
    To,
    Idempotent,
    Download,
    TimeoutMs,
    ObjectiveMs,
    Attempts,
    Priority,
}

/// Keys of one distance.
#[derive(Clone, Copy, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum DistanceKey {
    From,
    To,
    OneWayMs,
}

/// Keys of one call.
#[derive(Clone, Copy, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CallEntryKey {
    Name,
    Match,
    Idempotent,
    Class,
    DeadlineMs,
}

/// Keys of a service and of `defaults`.
#[derive(Clone, Copy)]
pub(crate) enum ServiceKey {
    DependsOn,
    Calls,
    Number(Setting),
    Group(Group),
}

impl Key for ServiceKey {
    fn name(self) -> &'static str {
        match self {
            Self::DependsOn => "depends_on",
            Self::Calls => "calls",
            Self::Number(setting) => setting.key(),
            Self::Group(group) => group.into(),
        }
    }
}

impl ServiceKey {
    /// Returns all keys in the order of the documentation.
    pub(crate) fn all() -> Vec<Self> {
        let mut keys = vec![Self::DependsOn, Self::Calls];
        for setting in Setting::in_group(Group::Service) {
            keys.push(Self::Number(setting));
        }
        keys.push(Self::Group(Group::Budgets));
        keys.push(Self::Group(Group::Ejection));
        keys
    }
}
