use super::*;
use crate::routing::routes::tests::route;

/// Guards against an entry that knows no load and refuses calls: it has just started or is
/// cut off from all gates.
#[test]
fn an_entry_without_reports_admits_every_call() {
    let mut admission = EntryAdmission::new(OverloadParts::NONE);
    let route = route("lookup", "/lookup/", &[("books", 1)]);
    let service = ServiceName::new("books");
    for number in 0..1_000 {
        let call = EnteringCall {
            service: &service,
            route: &route,
            key: RequestKey {
                fingerprint: number,
                deadline_at: Millis(2_000),
            },
            caller: CallerId(number),
            work_ms: Millis(100),
            targets: 20,
            target_is_idle: false,
        };
        let entering = admission.enter(&call, Millis(number));
        assert!(matches!(entering, Entering::Admitted(_)), "{entering:?}");
        assert_eq!(admission.retry_time(&call, Millis(number)), None);
    }
}
