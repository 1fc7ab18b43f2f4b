//! The fleet, on a program that stands for a node.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hornbeamhitch_standins::fleet::temp_dir::TempDir;
use hornbeamhitch_standins::fleet::{Fleet, FleetConfig, NodeSettings, NodeSpec};

const BOUND: Duration = Duration::from_secs(10);

/// Writes a program that logs its settings file's name and then waits.
fn waiting_program(dir: &TempDir) -> PathBuf {
    let path = dir.path().join("waits");
    let text = "#!/bin/sh\necho \"started $1 $2\" >&2\nexec sleep 60\n";
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

fn spec(vm: &str) -> NodeSpec {
    NodeSpec {
        vm: vm.to_owned(),
        service: "cashier".to_owned(),
        data_centre: "bkk-1".to_owned(),
        target: SocketAddr::from(([127, 0, 0, 1], 9)),
    }
}

fn config(binary: &Path) -> FleetConfig {
    let platform = SocketAddr::from(([127, 0, 0, 1], 9));
    FleetConfig {
        ready_within: Duration::from_millis(100),
        ..FleetConfig::new(binary, platform)
    }
}

fn is_alive(id: u32) -> bool {
    // A zombie is no longer alive; its state is the third field.
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"));
    stat.is_ok_and(|stat| !stat.contains(") Z "))
}

#[tokio::test]
async fn nodes_are_started_signalled_and_ended() {
    let dir = TempDir::create("hornbeamhitch-test").unwrap();
    let mut fleet = Fleet::new(config(&waiting_program(&dir))).unwrap();
    let addresses = fleet.add(spec("cashier-1")).unwrap();
    fleet.add(spec("cashier-2")).unwrap();
    assert!(fleet.add(spec("cashier-2")).is_err());
    assert_eq!(fleet.vm_entries()[0].peer, addresses.peer);

    fleet.start("cashier-1").unwrap();
    fleet.start("cashier-2").unwrap();
    assert!(fleet.start("cashier-1").is_err());
    let not_ready = fleet.wait_ready("cashier-1").await.unwrap_err();
    assert!(not_ready.to_string().contains("not ready in time"));

    fleet.pause("cashier-1").unwrap();
    fleet.resume("cashier-1").unwrap();
    fleet.terminate("cashier-1").unwrap();
    let status = fleet.wait_exit("cashier-1", BOUND).await.unwrap();
    assert_eq!(status.code(), None);
    assert!(fleet.terminate("cashier-1").is_err());
    fleet.start("cashier-1").unwrap();
    fleet.restart("cashier-1").unwrap();
    assert_eq!(fleet.addresses("cashier-1").unwrap(), addresses);

    let started_at = Instant::now();
    let id = fleet.process_id("cashier-2").unwrap();
    while fleet.logs("cashier-2").unwrap().is_empty() {
        assert!(started_at.elapsed() < BOUND);
        tokio::task::yield_now().await;
    }
    let line = fleet.logs("cashier-2").unwrap().remove(0);
    let file = line.strip_prefix("started --settings ").unwrap();
    let text = std::fs::read_to_string(file).unwrap();
    let settings: NodeSettings = serde_json::from_str(&text).unwrap();
    assert_eq!(settings.vm, "cashier-2");

    assert!(is_alive(id));
    drop(fleet);
    assert!(!is_alive(id));
    assert!(!Path::new(file).exists());
}
