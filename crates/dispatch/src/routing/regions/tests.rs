//! Tests of routes that are confined to regions.

use super::*;
use crate::routing::routes::tests::route;

fn regions() -> Regions {
    let mut by_data_centre = BTreeMap::new();
    for (data_centre, region) in [("bkk-a", "bkk"), ("bkk-b", "bkk"), ("sin-a", "sin")] {
        by_data_centre.insert(DataCentre::new(data_centre), Region::new(region));
    }
    Regions::new(by_data_centre)
}

fn allowed(allowed_regions: Option<&[&str]>) -> Vec<&'static str> {
    let mut route = route("r", "/", &[("s", 1)]);
    route.allowed_regions =
        allowed_regions.map(|names| names.iter().map(|name| Region::new(name)).collect());
    let all = ["bkk-a", "bkk-b", "sin-a", "unknown"];
    let is_allowed = |name: &&str| regions().allows(&route, &DataCentre::new(name));
    all.into_iter().filter(is_allowed).collect()
}

#[test]
fn a_route_without_regions_runs_anywhere() {
    assert_eq!(allowed(None), ["bkk-a", "bkk-b", "sin-a", "unknown"]);
}

/// Guards against requests that leave the regions to which their route is confined, to a
/// data centre of another region or of an unknown one.
#[test]
fn a_confined_route_runs_in_its_regions_only() {
    assert_eq!(allowed(Some(&["bkk"])), ["bkk-a", "bkk-b"]);
    assert_eq!(allowed(Some(&["sin", "tokyo"])), ["sin-a"]);
    assert!(allowed(Some(&["tokyo"])).is_empty());
}
