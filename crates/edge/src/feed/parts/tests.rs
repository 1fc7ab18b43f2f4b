//! Tests of the parts that a node keeps and sends.

use super::*;
use crate::feed::tests::route;

fn routes(version: u64, count: usize) -> RouteSet {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    for number in 0..count {
        let route = Route {
            timeout_ms: Millis(2_000 + version),
            ..route(number)
        };
        routes.add("h", route);
    }
    routes
}

fn node(number: u8) -> IpAddr {
    [10, 0, 0, number].into()
}

fn request(node: IpAddr, manifest: &RoutesManifest, may_refer: bool) -> PartsRequest {
    PartsRequest {
        node,
        digests: manifest.parts().to_vec(),
        may_refer,
    }
}

/// Guards against a configuration that is assembled from damaged parts.
#[test]
fn damaged_and_unwanted_parts_are_ignored() {
    let sender = PartStore::default();
    let manifest = sender
        .add_routes(&routes(3, 100))
        .expect("encodable routes");
    let receiver = PartStore::default();
    let part = |digest: &PartDigest| sender.state.lock().parts[digest].clone();
    let first = part(&manifest.parts()[0]);
    assert!(
        !receiver.add(first.clone()),
        "no configuration names it yet"
    );
    receiver.expect(&manifest);
    let mut damaged = first.to_vec();
    damaged[0] ^= 1;
    assert!(!receiver.add(damaged.into()));
    assert!(receiver.join(&manifest).is_err());
    for digest in manifest.parts() {
        receiver.add(part(digest));
    }
    assert!(receiver.missing(&manifest).is_empty());
    assert_eq!(receiver.join(&manifest).expect("all parts"), routes(3, 100));
}

/// Guards against a node whose memory grows with each version.
#[test]
fn parts_of_old_versions_are_dropped() {
    let store = PartStore::default();
    for version in 0..20 {
        let added = store.add_routes(&routes(version, 100));
        added.expect("encodable routes");
    }
    let state = store.state.lock();
    let most = state.manifests.iter().map(|kept| kept.parts().len()).sum();
    assert_eq!(state.manifests.len(), MAX_MANIFESTS);
    assert!(state.parts.len() <= most, "{} parts", state.parts.len());
}

/// Guards against a node whose line is occupied by a configuration that all other nodes
/// fetch from it.
#[test]
fn a_node_sends_a_large_configuration_to_few_others() {
    const NODES: u8 = 100;
    let store = PartStore::default();
    let manifest = store
        .add_routes(&routes(3, 2_000))
        .expect("encodable routes");
    let mut children: HashMap<IpAddr, usize> = HashMap::new();
    let mut served = 0;
    for number in 0..NODES {
        match store.answer(&request(node(number), &manifest, true)) {
            PartsAnswer::Parts(parts) => {
                served += 1;
                let bytes: usize = parts.iter().map(Bytes::len).sum();
                assert!((1..2 * MAX_ANSWER_BYTES).contains(&bytes), "{bytes} bytes");
            }
            PartsAnswer::Referral(parent) => {
                assert!(parent < node(number), "a node that asked before");
                *children.entry(parent).or_default() += 1;
            }
        }
    }
    assert_eq!(served, MAX_RECEIVERS);
    assert!(children.values().all(|count| *count <= MAX_RECEIVERS));
    // A node that asks again gets the same answer, unless it does not accept a referral.
    let again = store.answer(&request(node(NODES - 1), &manifest, true));
    assert!(matches!(again, PartsAnswer::Referral(_)));
    let direct = store.answer(&request(node(NODES - 1), &manifest, false));
    assert!(matches!(direct, PartsAnswer::Parts(parts) if !parts.is_empty()));
}

#[test]
fn a_small_difference_is_sent_to_all() {
    let store = PartStore::default();
    let manifest = store
        .add_routes(&routes(3, 2_000))
        .expect("encodable routes");
    for number in 0..100 {
        let answer = store.answer(&PartsRequest {
            node: node(number),
            digests: manifest.parts()[..2].to_vec(),
            may_refer: true,
        });
        assert!(matches!(answer, PartsAnswer::Parts(parts) if parts.len() == 2));
    }
}
