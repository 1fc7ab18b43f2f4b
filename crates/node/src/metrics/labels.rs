//! Bounds the label values that callers could otherwise invent.

use std::collections::{BTreeMap, BTreeSet};

use arc_swap::ArcSwap;
use hornbeamhitch_types::prelude::*;
use opentelemetry::KeyValue;
use parking_lot::Mutex;

/// Services that one process ever counts by name. A node holds its own service
/// and its dependencies, so this is far above what is usual.
pub(super) const MAX_SERVICES: usize = 64;
/// Tenants that one process ever counts by name.
pub(super) const MAX_TENANTS: usize = 100;
/// Everyone else.
pub(super) const OTHER: &str = "other";

/// The names that are counted apart.
///
/// A label value lives in the metrics library until the process ends. Without
/// a bound, a caller that makes up a tenant for each call would fill the VM's
/// memory, and a long series of edits to the text would do so slowly. Names
/// come from the configuration only, and names beyond the first `MAX_*` of one
/// process count as `other`, so the number of values is bounded for good.
#[derive(Debug)]
pub(super) struct Labels {
    current: ArcSwap<CurrentNames>,
    seen: Mutex<SeenNames>,
    other_service: KeyValue,
    other_tenant: KeyValue,
}

/// Names of the configuration in force, with ready labels.
#[derive(Debug, Default)]
struct CurrentNames {
    services: BTreeMap<ServiceName, KeyValue>,
    tenants: BTreeMap<TenantName, KeyValue>,
}

/// Names of all configurations since the start.
#[derive(Debug, Default)]
struct SeenNames {
    services: BTreeSet<ServiceName>,
    tenants: BTreeSet<TenantName>,
}

impl Default for Labels {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            seen: Mutex::default(),
            other_service: KeyValue::new("service", OTHER),
            other_tenant: KeyValue::new("tenant", OTHER),
        }
    }
}

impl Labels {
    pub(super) fn set(&self, services: &[ServiceName], tenants: &[TenantName]) {
        let mut seen = self.seen.lock();
        let mut names = CurrentNames::default();
        for service in services {
            if !admit(&mut seen.services, service, MAX_SERVICES) {
                continue;
            }
            let label = KeyValue::new("service", std::sync::Arc::<str>::from(service.as_str()));
            names.services.insert(service.clone(), label);
        }
        for tenant in tenants {
            if !admit(&mut seen.tenants, tenant, MAX_TENANTS) {
                continue;
            }
            let label = KeyValue::new("tenant", std::sync::Arc::<str>::from(tenant.as_str()));
            names.tenants.insert(tenant.clone(), label);
        }
        self.current.store(std::sync::Arc::new(names));
    }

    /// The label of a service; a clone of it only counts a reference.
    pub(super) fn service(&self, name: &str) -> KeyValue {
        let names = self.current.load();
        names
            .services
            .get(name)
            .unwrap_or(&self.other_service)
            .clone()
    }

    /// The label of a tenant; a clone of it only counts a reference.
    pub(super) fn tenant(&self, name: &str) -> KeyValue {
        let names = self.current.load();
        names
            .tenants
            .get(name)
            .unwrap_or(&self.other_tenant)
            .clone()
    }
}

/// Whether a name is known or there is room to make it so.
fn admit<T: Clone + Ord>(seen: &mut BTreeSet<T>, name: &T, max: usize) -> bool {
    if seen.contains(name) {
        return true;
    }
    if seen.len() >= max {
        return false;
    }
    seen.insert(name.clone())
}
