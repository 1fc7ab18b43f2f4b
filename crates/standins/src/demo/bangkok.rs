//! The deployment of the Thai Civic Photo Print Office, with kiosks in district
//! halls.

use std::collections::BTreeMap;

use crate::load::CallKind;
use crate::target::{ServiceTime, headers};

use super::deployment::{Deployment, ServiceSpec};

const SLOTS: u32 = 12;
const SIGMA: f64 = 0.5;
const DATA_CENTRES: [&str; 3] = ["bkk-1", "bkk-2", "bkk-3"];
const TENANTS: [&str; 3] = ["identity-cards", "passports", "licences"];
const TEMPLATE_BYTES: usize = 20_000;
const PORTRAIT_BYTES: usize = 200_000;

/// Returns the deployment with 14 targets: 5 of layouts and 3 each of cashier,
/// darkroom and ledger.
#[must_use]
pub fn deployment() -> Deployment {
    Deployment {
        data_centres: DATA_CENTRES.map(str::to_owned).to_vec(),
        services: vec![
            service("layouts", 5, 2_000),
            service("cashier", 3, 8_000),
            service("darkroom", 3, 15_000),
            service("ledger", 3, 4_000),
        ],
        kinds: kinds(),
    }
}

fn service(name: &str, targets: usize, median_us: u64) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        targets,
        slots: SLOTS,
        service_time: ServiceTime::LogNormal {
            median_us,
            sigma: SIGMA,
        },
    }
}

/// Returns the kinds of calls. Names, classes and idempotence match
/// `examples/bangkok.jsonc`.
fn kinds() -> Vec<CallKind> {
    let template = CallKind {
        answer_bytes: TEMPLATE_BYTES,
        weight: 40,
        ..read("template", "layouts", "/templates/passport")
    };
    let price = CallKind {
        weight: 20,
        ..read("price", "layouts", "/prices/passport")
    };
    let charge = CallKind {
        class: "payment".to_owned(),
        weight: 15,
        headers: downstream_calls("ledger/records/last"),
        ..change("charge", "cashier", "/charge")
    };
    let portrait = CallKind {
        class: "upload".to_owned(),
        body_bytes: PORTRAIT_BYTES,
        weight: 10,
        ..change("portrait", "darkroom", "/portraits")
    };
    let record = CallKind {
        weight: 12,
        ..change("record", "ledger", "/records")
    };
    let reconcile = CallKind {
        class: "background".to_owned(),
        weight: 3,
        ..read("reconcile", "ledger", "/reconcile")
    };
    vec![template, price, charge, portrait, record, reconcile]
}

fn read(name: &str, service: &str, path: &str) -> CallKind {
    CallKind {
        name: name.to_owned(),
        service: service.to_owned(),
        path: path.to_owned(),
        tenants: TENANTS.map(str::to_owned).to_vec(),
        ..CallKind::default()
    }
}

fn change(name: &str, service: &str, path: &str) -> CallKind {
    CallKind {
        method: "POST".to_owned(),
        idempotent: false,
        body_bytes: 200,
        ..read(name, service, path)
    }
}

fn downstream_calls(chain: &str) -> BTreeMap<String, String> {
    BTreeMap::from([(headers::CALL.to_owned(), chain.to_owned())])
}
