//! Tests of the stand-ins and the load tool as programs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use hornbeamhitch_standins::fleet::temp_dir::TempDir;
use hornbeamhitch_standins::fleet::{ChildProcess, Signal};
use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion};
use hornbeamhitch_standins::load::{CallKind, Destination, LoadPlan, Report};
use hornbeamhitch_standins::program::listening_addr;
use hornbeamhitch_standins::target::{Behaviour, TargetConfig};

const BOUND: Duration = Duration::from_secs(20);

async fn listening(process: &ChildProcess) -> SocketAddr {
    let started_at = Instant::now();
    loop {
        if let Some(addr) = listening_addr(&process.logs()) {
            return addr;
        }
        assert!(started_at.elapsed() < BOUND, "{}", process.log_tail());
        tokio::task::yield_now().await;
    }
}

fn write_json<T: serde::Serialize>(path: &Path, value: &T) {
    std::fs::write(path, serde_json::to_vec(value).unwrap()).unwrap();
}

#[tokio::test]
async fn the_platform_serves_its_files_and_ends_with_0() {
    let dir = TempDir::create("hornbeamhitch-test").unwrap();
    let text = dir.path().join("text.jsonc");
    std::fs::write(&text, "{}").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamhitch-platform-standin"));
    let mut process = ChildProcess::spawn("platform", command.arg("--text").arg(&text)).unwrap();
    let addr = listening(&process).await;
    let client = HttpClient::new(HttpVersion::Http1);
    assert_eq!(client.get(addr, "/v1/text").await.unwrap().body, "{}");
    process.signal(Signal::TERM).unwrap();
    let status = process.wait_exit(BOUND).await.unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn the_load_tool_reconciles_with_a_target() {
    let dir = TempDir::create("hornbeamhitch-test").unwrap();
    let config = dir.path().join("target.json");
    write_json(&config, &TargetConfig::default());
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamhitch-target-standin"));
    let mut target = ChildProcess::spawn("target", command.arg("--config").arg(&config)).unwrap();
    let addr = listening(&target).await;

    let plan = dir.path().join("plan.json");
    let by_service = BTreeMap::from([("ledger".to_owned(), vec![addr])]);
    write_json(
        &plan,
        &LoadPlan {
            destination: Destination::Targets(by_service),
            kinds: vec![CallKind {
                service: "ledger".to_owned(),
                ..CallKind::default()
            }],
            calls: 50,
            rate_per_s: 500.0,
            ..LoadPlan::default()
        },
    );
    let json = dir.path().join("report.json");
    let mut load = Command::new(env!("CARGO_BIN_EXE_hornbeamhitch-load"));
    load.arg("--plan").arg(&plan).arg("--json").arg(&json);
    load.args(["--journal", &addr.to_string()]);
    let mut load = ChildProcess::spawn("load", &mut load).unwrap();
    let status = load.wait_exit(BOUND).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", load.log_tail());
    let report: Report = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!((report.calls, report.answered()), (50, 50));
    assert!(report.is_clean());

    let failing = Behaviour {
        fail_fast: true,
        ..Behaviour::default()
    };
    let client = HttpClient::new(HttpVersion::Http1);
    client
        .post_json(addr, "/admin/mood", &failing)
        .await
        .unwrap();
    assert_eq!(client.get(addr, "/a").await.unwrap().status, 500);
    target.signal(Signal::TERM).unwrap();
    let status = target.wait_exit(BOUND).await.unwrap();
    assert_eq!(status.code(), Some(0));
}
