//! Tests of the stand-in for a target, over HTTP as a gate uses it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion, SendFault, WholeAnswer};
use hornbeamhitch_standins::target::echo::{EchoRequest, echo_body};
use hornbeamhitch_standins::target::{
    Cut, Load, Overflow, RunEnd, ServiceTime, TargetConfig, TargetCounts, TargetStandin, headers,
};
use http::Request;
use http_body_util::Full;

const BOUND: Duration = Duration::from_secs(10);

async fn start(config: TargetConfig) -> Arc<TargetStandin> {
    Arc::new(TargetStandin::start(config).await.unwrap())
}

fn client() -> HttpClient {
    HttpClient::new(HttpVersion::Http1)
}

async fn post(
    client: &HttpClient,
    target: &TargetStandin,
    path: &str,
    sent: &[(&str, &str)],
    body: &str,
) -> Result<WholeAnswer, SendFault> {
    let mut request = Request::post(format!("http://{}{path}", target.addr()));
    for (name, value) in sent {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    client.send(request, BOUND).await
}

async fn wait_for_end(target: &TargetStandin, nonce: &str, end: RunEnd) {
    let started_at = Instant::now();
    while target.runs(nonce).first().map(|run| run.end) != Some(end) {
        assert!(started_at.elapsed() < BOUND, "{:?}", target.runs(nonce));
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn answers_can_be_recomputed_and_runs_are_recorded() {
    let target = start(TargetConfig::default()).await;
    let sent = [
        (headers::NONCE, "n-1"),
        (headers::ANSWER_BYTES, "5000"),
        ("hitch-key", "00ab"),
    ];
    let answer = post(&client(), &target, "/charge?x=1", &sent, "body")
        .await
        .unwrap();
    let expected = echo_body(&EchoRequest {
        nonce: "n-1",
        method: "POST",
        path: "/charge?x=1",
        body: b"body",
        answer_bytes: 5000,
    });
    assert_eq!(answer.body, expected);
    assert_eq!(answer.body.len(), 5000);
    let runs = target.runs("00ab");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, RunEnd::Finished);
    assert_eq!(runs, target.runs("n-1"));
}

/// Each way of cutting an answer must appear as a broken connection to a client that
/// reads complete answers; otherwise tests with cut answers would prove nothing.
#[tokio::test]
async fn cut_answers_are_seen_as_broken() {
    let target = start(TargetConfig::default()).await;
    let client = client();
    let cuts = ["half", "half-reset", "chunked", "wrong-length", "reset"];
    for (number, cut) in cuts.into_iter().enumerate() {
        let nonce = format!("n-{number}");
        let sent = [
            (headers::NONCE, nonce.as_str()),
            (headers::CUT, cut),
            (headers::ANSWER_BYTES, "100000"),
        ];
        let answer = post(&client, &target, "/a", &sent, "").await;
        assert_eq!(answer.unwrap_err(), SendFault::Broken, "{cut}");
        assert_eq!(target.runs(&nonce)[0].end, RunEnd::Finished, "{cut}");
    }
    target.cut_next(Cut::Half, 1);
    assert!(post(&client, &target, "/a", &[], "").await.is_err());
    assert!(post(&client, &target, "/a", &[], "").await.is_ok());
    assert_eq!(target.counts().cut, 6);
}

#[tokio::test]
async fn requests_above_the_slots_are_shed_or_queued() {
    let shedding = start(TargetConfig {
        slots: 1,
        overflow: Overflow::Shed,
        ..TargetConfig::default()
    })
    .await;
    let (busy_target, busy_client) = (Arc::clone(&shedding), client());
    let busy = tokio::spawn(async move {
        let sent = [(headers::NONCE, "busy"), (headers::SERVICE_US, "200000")];
        post(&busy_client, &busy_target, "/a", &sent, "").await
    });
    wait_for_end(&shedding, "busy", RunEnd::Running).await;
    let sent = [(headers::NONCE, "shed")];
    let shed = post(&client(), &shedding, "/a", &sent, "").await.unwrap();
    assert_eq!(shed.status, 503);
    assert_eq!(shed.headers["hitch-not-run"], "1");
    assert!(shedding.runs("shed").is_empty());
    assert_eq!(busy.await.unwrap().unwrap().status, 200);

    let queueing = start(TargetConfig {
        slots: 1,
        service_time: ServiceTime::Fixed { us: 2_000 },
        ..TargetConfig::default()
    })
    .await;
    let client = client();
    let mut calls = Vec::new();
    for _ in 0..10 {
        let (target, client) = (Arc::clone(&queueing), client.clone());
        calls.push(tokio::spawn(async move {
            post(&client, &target, "/a", &[], "").await
        }));
    }
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(queueing.counts().max_in_flight, 1);
    assert_eq!(queueing.all_runs().len(), 10);
}

/// The caller closes its connection during a run. The target must stop the run and
/// record it as cancelled; otherwise abandoned work would be counted as finished.
#[tokio::test]
async fn closed_connections_and_deadlines_end_runs() {
    let target = start(TargetConfig::default()).await;
    let sent = [(headers::NONCE, "gone"), (headers::SERVICE_US, "5000000")];
    let (gone_target, gone_client) = (Arc::clone(&target), client());
    let gone = tokio::spawn(async move { post(&gone_client, &gone_target, "/a", &sent, "").await });
    wait_for_end(&target, "gone", RunEnd::Running).await;
    gone.abort();
    wait_for_end(&target, "gone", RunEnd::Cancelled).await;

    let sent = [
        (headers::NONCE, "late"),
        (headers::SERVICE_US, "5000000"),
        ("hitch-deadline-ms", "20"),
    ];
    let late = post(&client(), &target, "/a", &sent, "").await.unwrap();
    assert_eq!(late.status, 504);
    assert_eq!(target.runs("late")[0].end, RunEnd::DeadlinePassed);
}

/// One request with the crash mark crashes the whole target: another call in flight
/// loses its connection too, and the port is closed until the restart.
#[tokio::test]
async fn a_marked_request_crashes_the_target() {
    let target = start(TargetConfig {
        restart_ms: 100,
        ..TargetConfig::default()
    })
    .await;
    let (innocent_target, innocent_client) = (Arc::clone(&target), client());
    let innocent = tokio::spawn(async move {
        let sent = [
            (headers::NONCE, "innocent"),
            (headers::SERVICE_US, "5000000"),
        ];
        post(&innocent_client, &innocent_target, "/a", &sent, "").await
    });
    wait_for_end(&target, "innocent", RunEnd::Running).await;
    let body = "photo standin-crash-mark photo";
    let sent = [(headers::NONCE, "marked")];
    let marked = post(&client(), &target, "/a", &sent, body).await;
    assert_eq!(marked.unwrap_err(), SendFault::Broken);
    assert_eq!(innocent.await.unwrap().unwrap_err(), SendFault::Broken);
    let refused = post(&client(), &target, "/a", &[], "").await;
    assert_eq!(refused.unwrap_err(), SendFault::NotConnected);
    wait_for_end(&target, "innocent", RunEnd::Crashed).await;
    wait_for_end(&target, "marked", RunEnd::Crashed).await;
    let started_at = Instant::now();
    while post(&client(), &target, "/a", &[], "").await.is_err() {
        assert!(started_at.elapsed() < BOUND);
    }
    assert_eq!(target.counts().crashes, 1);
}

#[tokio::test]
async fn stalls_freeze_work_and_hints() {
    let target = start(TargetConfig::default()).await;
    target.stall(50);
    let started_at = Instant::now();
    let answer = post(
        &client(),
        &target,
        "/a",
        &[(headers::SERVICE_US, "1000")],
        "",
    )
    .await;
    assert_eq!(answer.unwrap().status, 200);
    assert!(started_at.elapsed() >= Duration::from_millis(49));
    assert_eq!(target.counts().stalls, 1);
}

#[tokio::test]
async fn behaviour_changes_answers_and_hints_lag() {
    let target = start(TargetConfig::default()).await;
    let client = client();
    let addr = target.addr();
    target.change_behaviour(|behaviour| behaviour.draining = true);
    let answer = post(&client, &target, "/a", &[], "").await.unwrap();
    assert_eq!(answer.headers["hitch-state"], "draining");
    let health = client.get(addr, "/.health").await.unwrap();
    assert_eq!(health.status, 503);
    assert_eq!(health.headers["hitch-state"], "draining");
    target.change_behaviour(|behaviour| behaviour.hint_lag_ms = 60_000);
    assert_eq!(client.get(addr, "/.health").await.unwrap().status, 200);

    target.change_behaviour(|behaviour| {
        behaviour.fail_fast = true;
        behaviour.load = Some(Load::default());
    });
    let sent = [(headers::NONCE, "failed")];
    assert_eq!(
        post(&client, &target, "/a", &sent, "")
            .await
            .unwrap()
            .status,
        500
    );
    assert_eq!(target.runs("failed")[0].end, RunEnd::FailedFast);
    let load = client.get(addr, "/.load").await.unwrap();
    assert_eq!(load.json::<Load>().unwrap(), Load::default());

    target.change_behaviour(|behaviour| behaviour.shed = true);
    let shed = post(&client, &target, "/a", &[], "").await.unwrap();
    assert_eq!(shed.headers["hitch-not-run"], "1");
    let counts = client.get(addr, "/admin/counts").await.unwrap();
    let counts: TargetCounts = counts.json().unwrap();
    assert_eq!((counts.health_probes, counts.load_probes), (2, 1));
    assert_eq!(counts.shed, 1);
}

/// The depth of a chain of calls increases by one at each target. The calls go through
/// the node that is set for the target.
#[tokio::test]
async fn downstream_calls_go_through_the_node() {
    let last = start(TargetConfig::default()).await;
    let first = start(TargetConfig {
        node: Some(last.addr()),
        ..TargetConfig::default()
    })
    .await;
    let sent = [
        (headers::NONCE, "chain"),
        (headers::CALL, "ledger/entry"),
        ("hitch-depth", "2"),
        ("hitch-deadline-ms", "5000"),
    ];
    let answer = post(&client(), &first, "/a", &sent, "").await.unwrap();
    assert_eq!(answer.headers[headers::CALLED_STATUS], "200");
    let runs = last.runs("chain+");
    assert_eq!(runs[0].marks.depth, Some(3));
    assert_eq!(runs[0].marks.path, "/ledger/entry");
}
