//! Many clients upload at once. The platform ends each process that exceeds its memory.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

const MEMORY_MB: u64 = 260;
const SLOTS: usize = 12;
const MACHINES: u8 = 6;
/// Machines whose servers take uploads; the others only have clients that upload.
const UPLOAD_SERVERS: u8 = 2;
const BODY_BYTES: usize = 16 * 1024 * 1024;
const UPLOADS: usize = 24;
const ROUNDS: usize = 4;

pub fn run(record_path: &Path) -> std::io::Result<i32> {
    let record = Record::create(record_path)?;
    let folder = Folder::create("uploads")?;
    let store = Store::start()?;
    let ips: Vec<_> = (1..=MACHINES).map(machine_ip).collect();
    let mut servers = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let service = if index < usize::from(UPLOAD_SERVERS) {
            "intake"
        } else {
            "records"
        };
        let work: Work = Arc::new(move |head, stream| {
            let span = match head.second_word().starts_with("/upload/") {
                true => Duration::from_millis(290),
                false => Duration::from_millis(900),
            };
            work_for(span, stream)?;
            use std::io::Write;
            let text = format!("{}done\n", ok_head(head, 5));
            stream.write_all(text.as_bytes())
        });
        servers.push(Server::start(
            &format!("i-{index}"),
            service,
            *ip,
            SLOTS,
            &record,
            work,
        )?);
    }
    let rules = [
        Rule {
            name: "upload",
            kind: "upload",
            prefix: "/upload/",
            service: "intake",
            timeout: "6s",
        },
        Rule {
            name: "read",
            kind: "idempotent",
            prefix: "/read/",
            service: "records",
            timeout: "6s",
        },
    ];
    store.put(
        "op/config",
        &configuration(7, &rules, &["intake", "records"]),
    );
    for server in &servers {
        server.list(&store);
    }
    let ports = Ports::find(&ips)?;
    let bounds = Bounds {
        memory_mb: MEMORY_MB,
        grace: "6s",
    };
    let mut nodes = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        nodes.push(Node::start(
            &folder.0,
            &format!("m-{index}"),
            server,
            ports,
            &store,
            &bounds,
        )?);
    }
    for node in &nodes {
        if !node.wait_until_ready() {
            return Ok(cannot_run("a node did not become ready"));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = nodes.iter().map(Node::callers).collect();
    let nodes = Arc::new(Mutex::new(nodes));
    let stop: Stop = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(Mutex::new(vec![0_usize; ips.len()]));
    let peak = Arc::new(Mutex::new(vec![0_u64; ips.len()]));
    let platform = {
        let (nodes, stop, kills, peak, record) = (
            nodes.clone(),
            stop.clone(),
            kills.clone(),
            peak.clone(),
            record.clone(),
        );
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let mut nodes = nodes.lock().unwrap();
                for (index, node) in nodes.iter_mut().enumerate() {
                    let bytes = node.resident_bytes();
                    let mut peak = peak.lock().unwrap();
                    peak[index] = peak[index].max(bytes);
                    if bytes <= MEMORY_MB << 20 {
                        continue;
                    }
                    record.line(&format!(
                        "platform: the process on {} has {} MB of {MEMORY_MB} MB and is killed",
                        node.name,
                        bytes >> 20
                    ));
                    node.signal("KILL");
                    while node.is_running() {
                        thread::sleep(Duration::from_millis(1));
                    }
                    kills.lock().unwrap()[index] += 1;
                    thread::sleep(Duration::from_millis(500));
                    let _ = node.spawn();
                }
                drop(nodes);
                thread::sleep(Duration::from_millis(2));
            }
        })
    };
    let cuts = Arc::new(AtomicUsize::new(0));
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for number in 0..UPLOADS {
            let address = callers
                [usize::from(UPLOAD_SERVERS) + number % usize::from(MACHINES - UPLOAD_SERVERS)];
            let (record, cuts) = (record.clone(), cuts.clone());
            let upload = move || {
                let id = format!("u{round}-{number}");
                let started = Instant::now();
                let Ok(mut client) = Client::connect(address) else {
                    return;
                };
                let sent = client.send("POST", "/upload/x", &id, 6_000, BODY_BYTES);
                let seen = client.receive().0;
                if let Seen::Cut(_) = seen {
                    cuts.fetch_add(1, Ordering::Relaxed);
                }
                record.line(&format!(
                    "client {id}: sent {sent:?}, {seen:?} after {} ms",
                    started.elapsed().as_millis()
                ));
            };
            if is_calm() {
                upload();
            } else {
                clients.push(thread::spawn(upload));
            }
        }
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = platform.join();
    let kills = kills.lock().unwrap().clone();
    let peak: Vec<_> = peak
        .lock()
        .unwrap()
        .iter()
        .map(|bytes| bytes >> 20)
        .collect();
    record.line(&format!("kills per machine {kills:?}, peak MB {peak:?}"));
    let broken = kills.iter().filter(|count| **count >= 3).count() >= 2;
    Ok(if broken { BROKEN } else { HELD })
}
