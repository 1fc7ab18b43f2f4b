//! Tests of the parts that a node keeps and sends.

use std::collections::HashMap;

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

fn request(node: IpAddr, manifest: &RoutesManifest) -> PartsRequest {
    PartsRequest {
        node,
        digests: manifest.parts().to_vec(),
        is_last: false,
    }
}

/// Guards against a configuration that is assembled from damaged parts.
#[test]
fn damaged_and_unwanted_parts_are_ignored() {
    let sender = PartStore::default();
    let added = sender.add_routes(&routes(3, 100));
    let manifest = added.expect("encodable routes").manifest;
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
    assert!(receiver.missing(manifest.parts()).is_empty());
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
    let most = state
        .manifests
        .iter()
        .map(|kept| kept.parts().len() + 1)
        .sum();
    assert_eq!(state.manifests.len(), MAX_MANIFESTS);
    assert!(state.parts.len() <= most, "{} parts", state.parts.len());
}

/// Time after which a node that requests nothing makes room for another one.
const IDLE_TIMEOUT_MS: Millis = Millis(200);

/// A link to a node that has not been closed.
struct OpenLink(#[allow(dead_code, reason = "keeps the link open")] UnboundedSender<ToEntry>);

/// Requests parts. Returns them, and the node that was named in place of them.
async fn fetch(store: &PartStore, request: &PartsRequest) -> (Vec<Bytes>, Option<IpAddr>) {
    let (parts, referral, link) = fetch_over_link(store, request).await;
    // The link stays open for the rest of the test.
    std::mem::forget(link);
    (parts, referral)
}

async fn fetch_over_link(
    store: &PartStore,
    request: &PartsRequest,
) -> (Vec<Bytes>, Option<IpAddr>, OpenLink) {
    let (sender, mut answers) = tokio::sync::mpsc::unbounded_channel();
    store
        .serve(request, Millis(100), IDLE_TIMEOUT_MS, &sender)
        .await;
    let mut parts = Vec::new();
    loop {
        match answers.try_recv().expect("an answer") {
            ToEntry::Part(part) => parts.push(part),
            ToEntry::PartsEnd { referral } => return (parts, referral, OpenLink(sender)),
            answer => panic!("{answer:?}"),
        }
    }
}

fn sender_of_2000_routes() -> (PartStore, RoutesManifest) {
    let store = PartStore::default();
    let added = store.add_routes(&routes(3, 2_000));
    (store, added.expect("encodable routes").manifest)
}

/// Guards against a node whose line is occupied by a configuration that all other nodes
/// fetch from it.
#[tokio::test(start_paused = true)]
async fn a_node_sends_a_large_configuration_to_few_others() {
    const NODES: u8 = 100;
    let (store, manifest) = sender_of_2000_routes();
    let mut referred: HashMap<IpAddr, usize> = HashMap::new();
    let mut served = 0;
    for number in 0..NODES {
        let (parts, referral) = fetch(&store, &request(node(number), &manifest)).await;
        let bytes: usize = parts.iter().map(Bytes::len).sum();
        match referral {
            None => {
                served += 1;
                assert!((1..2 * MAX_ANSWER_BYTES).contains(&bytes), "{bytes} bytes");
            }
            Some(receiver) => {
                assert_eq!(bytes, 0);
                assert!(receiver < node(number), "a node that asked before");
                *referred.entry(receiver).or_default() += 1;
            }
        }
    }
    assert_eq!(served, MAX_RECEIVERS);
    assert_eq!(referred.len(), MAX_RECEIVERS, "{referred:?}");
    let most = usize::from(NODES).div_ceil(MAX_RECEIVERS);
    assert!(
        referred.values().all(|count| *count <= most),
        "{referred:?}"
    );
}

/// Guards against a node that sends parts to everyone whose parent is slow, which delays its
/// own receivers until they come back to it too.
#[tokio::test(start_paused = true)]
async fn a_node_that_comes_back_is_served_once_there_is_room() {
    let (store, manifest) = sender_of_2000_routes();
    for number in 0..3 {
        let (_, referral) = fetch(&store, &request(node(number), &manifest)).await;
        assert_eq!(referral, None);
    }
    let late = request(node(9), &manifest);
    for _ in 0..3 {
        let (parts, referral) = fetch(&store, &late).await;
        assert!(parts.is_empty() && referral.is_some());
    }
    tokio::time::sleep(IDLE_TIMEOUT_MS.to_duration()).await;
    let (parts, referral) = fetch(&store, &late).await;
    assert!(!parts.is_empty() && referral.is_none());
}

/// Guards against places that stay taken by nodes which have gone elsewhere.
#[tokio::test(start_paused = true)]
async fn a_closed_link_makes_room_for_another_node() {
    let (store, manifest) = sender_of_2000_routes();
    for number in 0..2 {
        fetch(&store, &request(node(number), &manifest)).await;
    }
    let (_, _, link) = fetch_over_link(&store, &request(node(2), &manifest)).await;
    let late = request(node(9), &manifest);
    assert!(fetch(&store, &late).await.1.is_some());
    drop(link);
    assert_eq!(fetch(&store, &late).await.1, None);
}

/// Guards against a place that stays taken after the last part was sent.
#[tokio::test(start_paused = true)]
async fn the_last_parts_of_a_node_make_room_for_another() {
    let (store, manifest) = sender_of_2000_routes();
    for number in 0..3 {
        fetch(&store, &request(node(number), &manifest)).await;
    }
    let last = PartsRequest {
        node: node(0),
        digests: manifest.parts()[..2].to_vec(),
        is_last: true,
    };
    fetch(&store, &last).await;
    let (parts, _) = fetch(&store, &request(node(9), &manifest)).await;
    assert!(!parts.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_small_difference_is_sent_to_all() {
    let (store, manifest) = sender_of_2000_routes();
    for number in 0..100 {
        let small = PartsRequest {
            node: node(number),
            digests: manifest.parts()[..2].to_vec(),
            is_last: true,
        };
        let (parts, _) = fetch(&store, &small).await;
        assert_eq!(parts.len(), 2);
    }
}
