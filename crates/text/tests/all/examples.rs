//! Tests that the example texts are valid and match their documentation.

use hornbeamhitch_types::policy::CallClass;

use crate::support::{BANGKOK, LJUBLJANA, checked};

#[test]
fn bangkok_has_the_sizes_of_the_print_office() {
    let text = checked(BANGKOK);
    assert_eq!(text.warnings, []);
    assert_eq!(text.deployment.deployment, "bangkok");
    assert_eq!(text.deployment.default_distance_us, 1_500);
    assert_eq!(text.data_centres.len(), 3);
    let names: Vec<&str> = text
        .services
        .iter()
        .map(|one| one.service.as_str())
        .collect();
    assert_eq!(names, ["cashier", "darkroom", "layouts", "ledger"]);
    for service in &text.services {
        assert_eq!(service.slots, 12);
        assert_eq!(service.connections, 250);
        assert_eq!(service.queue_limit, 12);
    }
}

#[test]
fn ljubljana_has_the_sizes_of_the_insurers() {
    let text = checked(LJUBLJANA);
    assert_eq!(text.warnings, []);
    assert_eq!(text.deployment.deployment, "ljubljana");
    let names: Vec<&str> = text
        .services
        .iter()
        .map(|one| one.service.as_str())
        .collect();
    assert_eq!(names, ["dokazi", "izplacila", "polica", "skode"]);
    for service in &text.services {
        assert_eq!(service.slots, 6);
        assert_eq!(service.connections, 250);
    }
}

#[test]
fn calls_that_must_not_run_twice_are_not_idempotent() {
    let bangkok = checked(BANGKOK);
    let ljubljana = checked(LJUBLJANA);
    let expected = [
        (&bangkok, "cashier", "/charge", CallClass::Payment),
        (&bangkok, "darkroom", "/portraits", CallClass::Upload),
        (&bangkok, "ledger", "/records", CallClass::Interactive),
        (&ljubljana, "izplacila", "/payouts", CallClass::Payment),
        (&ljubljana, "dokazi", "/evidence", CallClass::Upload),
        (&ljubljana, "skode", "/claims", CallClass::Interactive),
    ];
    for (text, service, path, class) in expected {
        let policy = text
            .service(service)
            .expect("the example lists the service");
        let call = policy
            .call_for("POST", path)
            .expect("the example names the call");
        assert!(!call.idempotent, "{service} {path}");
        assert_eq!(call.class, class, "{service} {path}");
        assert!(!policy.is_idempotent("POST", path));
        assert!(policy.is_idempotent("GET", path));
    }
}

#[test]
fn the_print_office_probes_and_hedges_less_than_the_insurers() {
    let bangkok = checked(BANGKOK);
    let ljubljana = checked(LJUBLJANA);
    for print_office in &bangkok.services {
        for insurer in &ljubljana.services {
            assert!(print_office.budgets.probes_per_s < insurer.budgets.probes_per_s);
            assert!(print_office.budgets.hedge_share < insurer.budgets.hedge_share);
        }
    }
}
