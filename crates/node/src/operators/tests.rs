//! Tests the endpoints with an HTTP client over loopback.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use hornbeamhitch_types::status::{
    BudgetStatus, ConfigStatus, ControlCounters, GateStatus, PlatformStatus, SuspectStatus,
};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use super::*;
use crate::metrics::{AttemptKind, Metrics};

/// A node that tracks one service and whose readiness the test sets.
#[derive(Default)]
struct FakeNode {
    ready: AtomicBool,
}

impl OperatorsSource for FakeNode {
    fn status(&self) -> NodeStatus {
        NodeStatus {
            vm: VmId::new("cashier-1"),
            service: ServiceName::new("cashier"),
            data_centre: DataCentre::new("bkk-a"),
            incarnation: Incarnation(u64::MAX),
            uptime_ms: Millis(5),
            leaving: false,
            superseded: false,
            config: ConfigStatus::default(),
            platform: PlatformStatus::default(),
            services: vec![ServiceStatus {
                name: ServiceName::new("ledger"),
                targets: Vec::new(),
                budgets: BudgetStatus::default(),
            }],
            gate: GateStatus::default(),
            suspects: SuspectStatus::default(),
            control: ControlCounters::default(),
        }
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

struct Fixture {
    node: Arc<FakeNode>,
    metrics: Arc<Metrics>,
    server: OperatorsServer,
    client: Client<HttpConnector, Full<Bytes>>,
}

struct Answer {
    status: StatusCode,
    content_type: String,
    body: String,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

impl Fixture {
    fn start() -> Self {
        let node = Arc::new(FakeNode::default());
        let metrics = Metrics::new(
            &VmId::new("cashier-1"),
            &ServiceName::new("cashier"),
            &DataCentre::new("bkk-a"),
        );
        let metrics = Arc::new(metrics.expect("the metrics library accepts its set-up"));
        let server = start(any_port(), node.clone(), metrics.clone()).expect("loopback is bound");
        Self {
            node,
            metrics,
            server,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Answer {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.server.local_addr()))
            .body(Full::new(body))
            .expect("the request is well formed");
        let answer = self
            .client
            .request(request)
            .await
            .expect("the server answers");
        let (head, body) = answer.into_parts();
        let body = body
            .collect()
            .await
            .expect("the answer is whole")
            .to_bytes();
        let content_type = match head.headers.get(header::CONTENT_TYPE) {
            Some(value) => value.to_str().expect("the type is ASCII").to_owned(),
            None => String::new(),
        };
        Answer {
            status: head.status,
            content_type,
            body: String::from_utf8(body.to_vec()).expect("the body is UTF-8"),
        }
    }

    async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, Bytes::new()).await
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn status_round_trips() {
    let fixture = Fixture::start();
    let answer = fixture.get("/v1/status").await;
    assert_eq!(answer.status, StatusCode::OK);
    let status: NodeStatus = serde_json::from_str(&answer.body).expect("the status reads back");
    assert_eq!(status, fixture.node.status());
    assert_eq!(answer.json()["incarnation"], "ffffffffffffffff");
}

#[tokio::test]
async fn readiness_follows_the_node_and_liveness_does_not() {
    let fixture = Fixture::start();
    let answer = fixture.get("/v1/ready").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.json()["error_code"], "NotReady");
    assert_eq!(
        fixture.get("/v1/live").await.json(),
        json!({ "live": true })
    );

    fixture.node.ready.store(true, Ordering::Relaxed);
    let answer = fixture.get("/v1/ready").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.json(), json!({ "ready": true }));
}

#[tokio::test]
async fn where_answers_for_tracked_services_only() {
    let fixture = Fixture::start();
    let tracked = fixture.get("/v1/where/ledger").await;
    assert_eq!(tracked.status, StatusCode::OK);
    assert_eq!(tracked.json()["name"], "ledger");
    let unknown = fixture.get("/v1/where/no%0Asuch").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    assert_eq!(unknown.json()["error_code"], "UnknownService");
}

#[tokio::test]
async fn metrics_are_prometheus_text() {
    let fixture = Fixture::start();
    fixture
        .metrics
        .set_names(&[ServiceName::new("ledger")], &[]);
    fixture.metrics.attempt_sent("ledger", AttemptKind::Hedge);
    let answer = fixture.get("/metrics").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.content_type, TEXT_FORMAT);
    let series = "hitch_attempts_total{kind=\"hedge\",service=\"ledger\"} 1\n";
    assert!(answer.body.contains(series), "{}", answer.body);
}

#[tokio::test]
async fn no_endpoint_accepts_writes() {
    let fixture = Fixture::start();
    for path in [
        "/v1/status",
        "/v1/ready",
        "/v1/live",
        "/v1/where/ledger",
        "/metrics",
    ] {
        for method in [Method::POST, Method::PUT, Method::PATCH, Method::DELETE] {
            let answer = fixture.send(method.clone(), path, Bytes::new()).await;
            assert_eq!(
                answer.status,
                StatusCode::METHOD_NOT_ALLOWED,
                "{method} {path}"
            );
        }
    }
    assert_eq!(fixture.get("/").await.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_large_head_is_refused() {
    // Guards against a faulty scraper that sends a head of one megabyte. The
    // server stops reading long before its end and closes the connection.
    // Depending on how much was still being sent, the client reads 431 or sees
    // a connection reset. The request is never served, and the server continues
    // to work.
    let fixture = Fixture::start();
    let request = Request::builder()
        .uri(format!("http://{}/v1/live", fixture.server.local_addr()))
        .header("padding", "a".repeat(1024 * 1024))
        .body(Full::new(Bytes::new()))
        .expect("the request is well formed");
    if let Ok(answer) = fixture.client.request(request).await {
        assert_eq!(answer.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    assert_eq!(fixture.get("/v1/live").await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_address_in_use_is_reported() {
    let fixture = Fixture::start();
    let taken = fixture.server.local_addr();
    let second = start(taken, fixture.node, fixture.metrics);
    let Err(OperatorsError::Bind { address, error }) = second else {
        panic!("two servers share {taken}");
    };
    assert_eq!(address, taken);
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
}

#[tokio::test]
async fn a_closed_server_frees_its_address() {
    let fixture = Fixture::start();
    assert_eq!(fixture.get("/v1/live").await.status, StatusCode::OK);
    let address = fixture.server.local_addr();
    // The client keeps its connection open, as scrapers do.
    fixture.server.close().await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}
