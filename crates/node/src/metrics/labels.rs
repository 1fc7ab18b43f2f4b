//! Limits the number of label values that callers can cause.

use std::collections::{BTreeMap, BTreeSet};

use arc_swap::ArcSwap;
use hornbeamhitch_types::prelude::*;
use opentelemetry::KeyValue;
use parking_lot::Mutex;

/// Maximum number of services that one process counts by name. A node tracks
/// its own service and its dependencies, so this is far above the usual number.
pub(super) const MAX_SERVICES: usize = 64;
/// Maximum number of tenants that one process counts by name.
pub(super) const MAX_TENANTS: usize = 100;
/// Maximum number of routes that one process counts by name. A configuration may have
/// thousands of routes, and the callers of one VM use few of them.
pub(super) const MAX_ROUTES: usize = 64;
/// Label value of all other services, tenants and routes.
pub(super) const OTHER: &str = "other";

/// The services and tenants that are counted by name.
///
/// The metrics library keeps a label value until the process ends. Without a
/// limit, a caller that invents a tenant for each call would fill the VM's
/// memory, and a long series of configuration edits would do so slowly. Names
/// only come from the configuration, and names beyond the first `MAX_*` of a
/// process count as `other`, so the number of label values is limited for the
/// lifetime of the process.
#[derive(Debug)]
pub(super) struct Labels {
    current: ArcSwap<CurrentNames>,
    seen: Mutex<SeenNames>,
    /// Routes that have had a call, with prepared labels.
    routes: ArcSwap<BTreeMap<String, KeyValue>>,
    other_service: KeyValue,
    other_tenant: KeyValue,
    other_route: KeyValue,
}

/// Names of the configuration in force, with prepared labels.
#[derive(Debug, Default)]
struct CurrentNames {
    services: BTreeMap<ServiceName, KeyValue>,
    tenants: BTreeMap<TenantName, KeyValue>,
}

/// Names of all configurations since the process started.
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
            routes: ArcSwap::default(),
            other_service: KeyValue::new("service", OTHER),
            other_tenant: KeyValue::new("tenant", OTHER),
            other_route: KeyValue::new("route", OTHER),
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

    /// Returns the label of a service. Cloning it only increments a reference
    /// count.
    pub(super) fn service(&self, name: &str) -> KeyValue {
        let names = self.current.load();
        names
            .services
            .get(name)
            .unwrap_or(&self.other_service)
            .clone()
    }

    /// Returns the label of a tenant. Cloning it only increments a reference
    /// count.
    pub(super) fn tenant(&self, name: &str) -> KeyValue {
        let names = self.current.load();
        names
            .tenants
            .get(name)
            .unwrap_or(&self.other_tenant)
            .clone()
    }

    /// Returns the label of a route. The first [`MAX_ROUTES`] routes that are recorded get
    /// labels of their own; an empty name is that of a request without a route.
    pub(super) fn route(&self, name: &str) -> KeyValue {
        let routes = self.routes.load();
        if let Some(label) = routes.get(name) {
            return label.clone();
        }
        if name.is_empty() || routes.len() >= MAX_ROUTES {
            return self.other_route.clone();
        }
        self.add_route(name)
    }

    fn add_route(&self, name: &str) -> KeyValue {
        // Writers of labels exclude each other by this lock.
        let _seen = self.seen.lock();
        let known = self.routes.load();
        if let Some(label) = known.get(name) {
            return label.clone();
        }
        if known.len() >= MAX_ROUTES {
            return self.other_route.clone();
        }
        let label = KeyValue::new("route", std::sync::Arc::<str>::from(name));
        let mut routes = BTreeMap::clone(&known);
        routes.insert(name.to_owned(), label.clone());
        self.routes.store(std::sync::Arc::new(routes));
        label
    }
}

/// Returns whether a name may be counted by name: it is known already, or there
/// is room to add it.
fn admit<T: Clone + Ord>(seen: &mut BTreeSet<T>, name: &T, max: usize) -> bool {
    if seen.contains(name) {
        return true;
    }
    if seen.len() >= max {
        return false;
    }
    seen.insert(name.clone())
}
