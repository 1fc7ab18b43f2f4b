//! Tests of `hornbeamhitch-routed`: routing by host and path from the configuration text.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use eyre::{Result, ensure};
use hornbeamhitch_standins::fleet::Addressing;
use hornbeamhitch_standins::platform::VmState;
use hornbeamhitch_standins::raw_caller::{RawAnswer, RawCaller};

use crate::support::{Deployment, Member, WAIT_TIMEOUT};

const ROUTED: &str = env!("CARGO_BIN_EXE_hornbeamhitch-routed");
/// Every call that these tests start ends within this time.
const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// A configuration text with two services and two routes. The templates route leads to
/// `template_service`.
fn text(template_service: &str) -> String {
    format!(
        r#"{{
  "deployment": "test",
  "services": {{ "layouts": {{ "slots": 4 }}, "cashier": {{ "slots": 4 }} }},
  "routes": [
    {{ "name": "templates", "host": "print.example", "prefix": "/templates/",
      "to": {{ "{template_service}": 1 }}, "idempotent": true, "timeout_ms": 2000 }},
    {{ "name": "fees", "host": "print.example", "prefix": "/fees/",
      "to": {{ "cashier": 1 }}, "timeout_ms": 2000 }},
  ],
}}"#
    )
}

/// A deployment of VMs with a routed node and a target each.
struct RoutedNodes(Deployment);

impl RoutedNodes {
    /// Starts one VM for each element of `services`.
    async fn start(services: &[&str]) -> Result<Self> {
        let mut members = Vec::new();
        for (number, service) in services.iter().enumerate() {
            members.push(Member::new(&format!("vm-{number}"), service));
        }
        let mut deployment = Deployment::prepare_with(members, |config| {
            config.node_binary = PathBuf::from(ROUTED);
            config.addressing = Addressing::address_per_node();
            config.drain_timeout_ms = DRAIN_TIMEOUT_MS;
        })
        .await?;
        deployment.platform.set_text(&text("layouts"))?;
        let platform = &deployment.platform;
        let publish = async |vms| platform.set_vms(vms).map(drop);
        deployment.fleet.start_all(publish).await?;
        Ok(Self(deployment))
    }

    /// Sends a request to the first VM. Returns the answer and the name of the target
    /// that gave it.
    async fn send_request(
        &self,
        method: &str,
        host: &str,
        path: &str,
    ) -> Result<(RawAnswer, String)> {
        let answer = send_request(self.0.entry("vm-0"), method, host, path).await;
        let answer = answer.ok_or_else(|| eyre::eyre!("no answer to {path}"))?;
        let target = answer
            .field("standin-target")
            .unwrap_or_default()
            .to_owned();
        Ok((answer, target))
    }
}

async fn send_request(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
) -> Option<RawAnswer> {
    let mut caller = RawCaller::connect(address).await.ok()?;
    let id: u64 = next_request_id();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nhitch-request-id: {id}\r\n\
         hitch-deadline-ms: 2000\r\nContent-Length: 0\r\n\r\n"
    );
    caller.send(&request).await.ok()?;
    caller.answer(method).await.ok()
}

/// Returns a new request id. Ids must only be unique within one test.
fn next_request_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed)
}

async fn until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) -> Result<()> {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    ensure!(waited.is_ok(), "timed out waiting until {what}");
    Ok(())
}

#[tokio::test]
async fn calls_follow_the_routes_of_the_text() -> Result<()> {
    let nodes = RoutedNodes::start(&["layouts", "cashier"]).await?;
    let (answer, target) = nodes
        .send_request("GET", "print.example", "/templates/7?size=a4")
        .await?;
    assert_eq!((answer.status(), target.as_str()), (200, "vm-0"));
    let (answer, target) = nodes
        .send_request("POST", "print.example", "/fees/charge")
        .await?;
    assert_eq!((answer.status(), target.as_str()), (200, "vm-1"));
    let runs = nodes.0.target("vm-1").all_runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].marks.path, "/fees/charge");
    for (host, path) in [("print.example", "/other/"), ("else.example", "/fees/x")] {
        let (answer, _) = nodes.send_request("GET", host, path).await?;
        assert_eq!(answer.status(), 404, "{host}{path}");
    }
    Ok(())
}

/// An operator edits the text twice, first with a fault and then without one. Calls follow
/// the old routes until the valid edit, and the new ones after it.
#[tokio::test]
async fn a_valid_edit_moves_a_route_and_an_invalid_one_is_ignored() -> Result<()> {
    let nodes = RoutedNodes::start(&["layouts", "cashier"]).await?;
    let platform = &nodes.0.platform;
    platform.set_text(r#"{ "services": { "layouts": 3 } }"#)?;
    platform.set_vm_state("vm-1", VmState::Leaving)?;
    let is_refused = || async {
        let answer = send_request(nodes.0.entry("vm-0"), "POST", "print.example", "/fees/x").await;
        answer.is_some_and(|answer| answer.status() == 503)
    };
    until("the list behind the faulty text is in force", is_refused).await?;
    let (_, target) = nodes
        .send_request("GET", "print.example", "/templates/1")
        .await?;
    assert_eq!(target, "vm-0");

    platform.set_vm_state("vm-1", VmState::Live)?;
    platform.set_text(&text("cashier"))?;
    let is_moved = || async {
        let response = nodes
            .send_request("GET", "print.example", "/templates/2")
            .await;
        response.is_ok_and(|(_, target)| target == "vm-1")
    };
    until("the new text is in force", is_moved).await
}

/// The platform announces that a VM is about to be replaced. Its target gets no new calls,
/// and the other target of its service gets them instead.
#[tokio::test]
async fn a_leaving_vm_gets_no_new_calls() -> Result<()> {
    let nodes = RoutedNodes::start(&["cashier", "layouts", "layouts"]).await?;
    nodes.0.platform.set_vm_state("vm-1", VmState::Leaving)?;
    let no_new_calls = || async {
        let before = nodes.0.target("vm-1").all_runs().len();
        for number in 0..10 {
            let path = format!("/templates/{number}");
            if nodes
                .send_request("GET", "print.example", &path)
                .await
                .is_err()
            {
                return false;
            }
        }
        nodes.0.target("vm-1").all_runs().len() == before
    };
    until("the VM is seen as leaving", no_new_calls).await?;
    for number in 0..20 {
        let path = format!("/templates/{number}");
        let (answer, target) = nodes.send_request("GET", "print.example", &path).await?;
        assert_eq!((answer.status(), target.as_str()), (200, "vm-2"));
    }
    Ok(())
}

#[tokio::test]
async fn a_terminated_node_exits_successfully() -> Result<()> {
    let mut nodes = RoutedNodes::start(&["layouts"]).await?;
    let fleet = &mut nodes.0.fleet;
    fleet.terminate("vm-0")?;
    let status = fleet.wait_exit("vm-0", WAIT_TIMEOUT).await?;
    assert!(status.success(), "{status}");
    Ok(())
}

#[test]
fn settings_faults_are_printed_with_their_position() -> Result<()> {
    let file = std::env::temp_dir().join(format!("routed-faulty-{}", std::process::id()));
    std::fs::write(&file, "{ \"vm\": 3 }")?;
    let output = Command::new(ROUTED)
        .args(["--check", "--settings"])
        .arg(&file)
        .output()?;
    std::fs::remove_file(&file)?;
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8(output.stderr)?;
    assert!(stderr.contains("line 1, column 9: vm"), "{stderr}");
    Ok(())
}
