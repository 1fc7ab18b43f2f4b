//! Clients upload bodies within the operator's limit, others read on kept connections. The
//! platform ends each process that exceeds its memory, and starts it again.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::memory::{MEMORY_MB, READ_WORK, STABLE_WINDOW, Watch};
use crate::support::*;

const SLOTS: usize = 12;
/// Machines whose servers take uploads, and machines whose servers take reads.
const INTAKES: usize = 3;
const RECORDS: usize = 7;
/// Length of an upload: within the configuration's `max_body_bytes` of 64 MiB, and the
/// largest one of the small sites in the calm run.
const LARGE_BODY: usize = 48 * 1024 * 1024;
const CALM_BODY: usize = 360_000;
const UPLOAD_WORK: Duration = Duration::from_millis(290);
/// Clients on each machine beside an upload server, which read on kept connections.
const READERS: usize = 6;
const UPLOAD_DEADLINE_MS: u64 = 4_000;
/// Time after which a client uploads again whose upload failed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(50);

pub fn run(record_path: &Path) -> io::Result<i32> {
    let record = Record::create(record_path)?;
    let folder = Folder::create("uploads")?;
    let store = Store::start()?;
    let mut servers = Vec::new();
    for index in 0..INTAKES + RECORDS {
        let (service, span) = match index < INTAKES {
            true => ("intake", UPLOAD_WORK),
            false => ("records", READ_WORK),
        };
        let work: Work = Arc::new(move |head, stream| {
            work_for(span, stream)?;
            stream.write_all(format!("{}done\n", ok_head(head, 5)).as_bytes())
        });
        let ip = machine_ip(index as u8 + 1);
        servers.push(Server::start(
            &format!("i-{index}"),
            service,
            ip,
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
            timeout: "4s",
        },
        Rule {
            name: "read",
            kind: "idempotent",
            prefix: "/read/",
            service: "records",
            timeout: "2500ms",
        },
    ];
    store.put(
        "op/config",
        &configuration(7, &rules, &["intake", "records"]),
    );
    let bounds = Bounds {
        memory_mb: MEMORY_MB,
        grace: "6s",
    };
    let Some(nodes) = start_nodes(&folder, &servers, &store, &bounds)? else {
        return Ok(cannot_run("a node did not become ready"));
    };
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));

    let mut watch = Watch::start(nodes, &record);
    for machine in 0..INTAKES {
        watch.start_readers(machine, READERS);
    }
    thread::sleep(Duration::from_secs(2));
    for address in watch.callers[INTAKES..].to_vec() {
        let (stop, record, next) = (
            Arc::clone(&watch.stop),
            record.clone(),
            Arc::clone(&watch.next),
        );
        watch.spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = format!("u{:05}", next.fetch_add(1, Ordering::Relaxed));
                let seen = upload(address, &id);
                record.line(&format!("client of {id} sees {seen:?}"));
                if !matches!(seen, Seen::Answer { status: 200, .. }) {
                    thread::sleep(PAUSE_AFTER_FAILURE);
                }
            }
        });
    }
    thread::sleep(LENGTH);
    Ok(watch.judge(&servers))
}

fn upload(address: SocketAddr, id: &str) -> Seen {
    let body_bytes = if is_calm() { CALM_BODY } else { LARGE_BODY };
    let attempt = || -> io::Result<Seen> {
        let mut client = Client::connect(address)?;
        client.send("POST", "/upload/x", id, UPLOAD_DEADLINE_MS, body_bytes)?;
        Ok(client.receive().0)
    };
    attempt().unwrap_or_else(|error| Seen::Cut(error.to_string()))
}
