//! Tests of the fleet, with scripts in place of the node program.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hornbeamhitch_standins::fleet::{Fleet, FleetConfig, NodeSettings, NodeSpec};

const BOUND: Duration = Duration::from_secs(10);

/// Returns the path of a script in `tests/fleet`. Tests do not write scripts
/// themselves: a file that was just written cannot be executed while a process that
/// was forked meanwhile still holds it open.
fn program(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fleet");
    dir.join(name)
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
        ready_timeout: Duration::from_millis(100),
        ..FleetConfig::new(binary, platform)
    }
}

fn is_alive(id: u32) -> bool {
    // The state is the field after the name in parentheses; Z marks a zombie, which is
    // no longer alive.
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"));
    stat.is_ok_and(|stat| !stat.contains(") Z "))
}

#[tokio::test]
async fn nodes_are_started_signalled_and_ended() {
    let mut fleet = Fleet::new(config(&program("waits.sh"))).unwrap();
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

/// Another process takes a node's port before the node binds it, and the node exits at
/// once. The fleet must assign and publish new addresses, but only a limited number of
/// times.
#[tokio::test]
async fn a_node_that_lost_its_port_is_given_another() {
    let mut fleet = Fleet::new(config(&program("collides.sh"))).unwrap();
    let first = fleet.add(spec("cashier-1")).unwrap();
    let published = Cell::new(0);
    let publish = async |_| {
        published.set(published.get() + 1);
        Ok(())
    };
    let failed = fleet.start_all(publish).await.unwrap_err();
    assert!(failed.to_string().contains("in use"), "{failed}");
    assert_eq!(published.get(), 4);
    assert_ne!(fleet.addresses("cashier-1").unwrap(), first);
}
