//! Tests of the stand-in for the platform, over HTTP as nodes use it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion};
use hornbeamhitch_standins::platform::admin::{Published, SetBehaviourRequest};
use hornbeamhitch_standins::platform::behaviour::OldText;
use hornbeamhitch_standins::platform::{
    Behaviour, Counts, Endpoint, OldValues, PlatformStandin, Reachability, VmEntry, VmList, VmState,
};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client() -> HttpClient {
    HttpClient::new(HttpVersion::Http1)
}

fn vm(name: &str, service: &str) -> VmEntry {
    VmEntry {
        vm: name.to_owned(),
        data_centre: "bkk-a".to_owned(),
        service: service.to_owned(),
        state: VmState::Live,
        peer: any_port(),
        control: any_port(),
    }
}

#[tokio::test]
async fn text_is_read_and_watched() {
    let platform = PlatformStandin::start(any_port()).await.unwrap();
    let addr = platform.addr();
    let client = client();
    assert_eq!(client.get(addr, "/v1/text").await.unwrap().status, 404);

    assert_eq!(platform.set_text("one").unwrap(), 1);
    let answer = client.get(addr, "/v1/text").await.unwrap();
    assert_eq!(answer.headers["platform-version"], "1");
    assert_eq!(answer.body, "one");

    let watch = client
        .get(addr, "/v1/text?after=1&wait_ms=1")
        .await
        .unwrap();
    assert_eq!(watch.status, 304);

    let watcher = client.clone();
    let watch =
        tokio::spawn(async move { watcher.get(addr, "/v1/text?after=1&wait_ms=9000").await });
    while platform.counts().waiting == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(platform.set_text_version("seven", 7).unwrap(), 7);
    let answer = watch.await.unwrap().unwrap();
    assert_eq!(answer.headers["platform-version"], "7");
    assert!(platform.set_text_version("five", 5).is_err());
    assert!(platform.set_text(&"x".repeat(1_000_001)).is_err());

    let counts = platform.counts();
    assert_eq!(counts.by_endpoint[&Endpoint::Text].total, 2);
    assert_eq!(counts.by_endpoint[&Endpoint::TextWatch].total, 2);
    assert_eq!(counts.all.total, 4);
}

#[tokio::test]
async fn vms_are_listed_by_service_and_change() {
    let platform = PlatformStandin::start(any_port()).await.unwrap();
    let addr = platform.addr();
    let client = client();
    platform
        .set_vms(vec![vm("c-1", "cashier"), vm("l-1", "ledger")])
        .unwrap();
    let list: VmList = client
        .get(addr, "/v1/vms?service=ledger")
        .await
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(list.version, 1);
    assert_eq!(list.vms, vec![vm("l-1", "ledger")]);

    assert_eq!(platform.set_vm_state("c-1", VmState::Leaving).unwrap(), 2);
    let watched = client
        .get(addr, "/v1/vms?after=1&wait_ms=5000")
        .await
        .unwrap();
    let list: VmList = watched.json().unwrap();
    assert_eq!(list.vms[0].state, VmState::Leaving);
    assert_eq!(platform.remove_vm("c-1").unwrap(), 3);
    assert!(platform.remove_vm("c-1").is_err());
}

/// A repeated read must show the values of the configured behaviour, and a waiting
/// watch must return when a delayed VM list becomes visible, not only when it is
/// published.
#[tokio::test]
async fn readers_are_shown_old_values_as_configured() {
    let platform = PlatformStandin::start(any_port()).await.unwrap();
    let addr = platform.addr();
    let client = client();
    platform.set_text("one").unwrap();
    platform.stale().await;
    platform.set_text("two").unwrap();
    assert_eq!(client.get(addr, "/v1/text").await.unwrap().body, "one");
    let hangs = client
        .get(addr, "/v1/text?after=1&wait_ms=5")
        .await
        .unwrap();
    assert_eq!(hangs.status, 304);

    let old = OldText {
        version: 0,
        text: "zero".to_owned(),
    };
    platform
        .serve_older(OldValues {
            text: Some(old),
            vms: None,
        })
        .await;
    assert_eq!(client.get(addr, "/v1/text").await.unwrap().body, "zero");
    platform.up().await;
    assert_eq!(client.get(addr, "/v1/text").await.unwrap().body, "two");

    platform.lag_vm_list(60).await;
    let set_at = Instant::now();
    platform.set_vms(vec![vm("c-1", "cashier")]).unwrap();
    let now: VmList = client.get(addr, "/v1/vms").await.unwrap().json().unwrap();
    let first_look = set_at.elapsed();
    assert!(now.version == 0 || first_look >= Duration::from_millis(59));
    let later = client
        .get(addr, "/v1/vms?after=0&wait_ms=9000")
        .await
        .unwrap();
    assert_eq!(later.json::<VmList>().unwrap().version, 1);
    assert!(set_at.elapsed() >= Duration::from_millis(59));
}

#[tokio::test]
async fn down_closes_the_port_until_up() {
    let platform = PlatformStandin::start(any_port()).await.unwrap();
    let addr = platform.addr();
    let client = client();
    platform.set_text("one").unwrap();
    platform.down().await;
    assert!(client.get(addr, "/v1/text").await.is_err());
    platform.up().await;
    while client.get(addr, "/v1/text").await.is_err() {
        tokio::task::yield_now().await;
    }
    let unavailable = Behaviour {
        reach: Reachability::Unavailable,
        ..Behaviour::default()
    };
    platform.set_behaviour(unavailable).await;
    assert_eq!(client.get(addr, "/v1/text").await.unwrap().status, 503);
    let reset = Behaviour {
        reach: Reachability::Reset,
        ..Behaviour::default()
    };
    platform.set_behaviour(reset).await;
    assert!(client.get(addr, "/v1/text").await.is_err());

    platform.stop().await;
    let again = PlatformStandin::start(addr).await.unwrap();
    assert_eq!(again.addr(), addr);
}

#[tokio::test]
async fn reads_above_the_limit_are_refused_and_counted() {
    let platform = PlatformStandin::start(any_port()).await.unwrap();
    let addr = platform.addr();
    let client = client();
    platform.set_text("one").unwrap();
    let started_at = Instant::now();
    let mut refused = 0_u64;
    for _ in 0..2_100 {
        let answer = client.get(addr, "/v1/text").await.unwrap();
        refused += u64::from(answer.status == 429);
    }
    let counts = platform.counts();
    assert_eq!(counts.all.total, 2_100);
    assert_eq!(counts.refused, refused);
    assert!(counts.all.max_per_s <= 2_100);
    if started_at.elapsed() < Duration::from_secs(1) {
        assert_eq!(refused, 100);
    }
}

#[tokio::test]
async fn the_stand_in_is_controlled_over_http() {
    let platform = PlatformStandin::start(any_port()).await.unwrap();
    let addr = platform.addr();
    let client = client();
    let answer = client
        .post(addr, "/admin/text?version=4", "four".into())
        .await
        .unwrap();
    assert_eq!(answer.json::<Published>().unwrap().version, 4);
    let vms = vec![vm("c-1", "cashier")];
    client.post_json(addr, "/admin/vms", &vms).await.unwrap();
    let closed = SetBehaviourRequest {
        behaviour: Behaviour {
            reach: Reachability::Refused,
            ..Behaviour::default()
        },
        for_ms: None,
    };
    assert!(
        client
            .post_json(addr, "/admin/mood", &closed)
            .await
            .is_err()
    );
    let silent = SetBehaviourRequest {
        behaviour: Behaviour {
            delay_ms: 1,
            ..Behaviour::default()
        },
        for_ms: None,
    };
    client
        .post_json(addr, "/admin/mood", &silent)
        .await
        .unwrap();
    client.get(addr, "/v1/vms").await.unwrap();
    let counts = client.get(addr, "/admin/counts").await.unwrap();
    assert_eq!(counts.json::<Counts>().unwrap().all.total, 1);
}
