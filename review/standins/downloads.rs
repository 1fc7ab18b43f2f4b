//! Clients of one machine download large answers and read them slowly, others read on kept
//! connections. The platform ends each process that exceeds its memory, and starts it again.

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
/// Machines whose servers give downloads, and the other machines.
const SOURCES: usize = 3;
const RECORDS: usize = 5;
/// Length of a download.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
const DOWNLOAD_WORK: Duration = Duration::from_millis(69);
const DOWNLOAD_DEADLINE_MS: u64 = 6_000;
/// The machine whose clients download, its clients, and those that read on kept connections.
const MACHINE: usize = SOURCES;
const DOWNLOADERS: usize = 24;
const READERS: usize = 6;
/// A slow client reads this much and pauses: an answer takes it 4.2 s.
const PIECE_BYTES: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(33);
/// Time after which a client comes again whose connection was cut.
const PAUSE_AFTER_CUT: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(50);

pub fn run(record_path: &Path) -> io::Result<i32> {
    let record = Record::create(record_path)?;
    let folder = Folder::create("downloads")?;
    let store = Store::start()?;
    let mut servers = Vec::new();
    for index in 0..SOURCES + RECORDS {
        let (service, span) = match index < SOURCES {
            true => ("actas", DOWNLOAD_WORK),
            false => ("records", READ_WORK),
        };
        let body_bytes = if index < SOURCES { ANSWER_BYTES } else { 5_000 };
        let work: Work = Arc::new(move |head, stream| {
            work_for(span, stream)?;
            stream.write_all(ok_head(head, body_bytes).as_bytes())?;
            stream.write_all(&vec![b'd'; body_bytes])
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
            name: "download",
            kind: "download",
            prefix: "/download/",
            service: "actas",
            timeout: "6s",
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
        &configuration(7, &rules, &["actas", "records"]),
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
    watch.start_readers(MACHINE, READERS);
    thread::sleep(Duration::from_secs(2));
    for _ in 0..DOWNLOADERS {
        let address = watch.callers[MACHINE];
        let (stop, record, next) = (
            Arc::clone(&watch.stop),
            record.clone(),
            Arc::clone(&watch.next),
        );
        watch.spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = format!("d{:05}", next.fetch_add(1, Ordering::Relaxed));
                let seen = download(address, &id);
                record.line(&format!("client of {id} sees {seen:?}"));
                let is_cut = matches!(seen, Seen::Cut(_));
                thread::sleep(if is_cut { PAUSE_AFTER_CUT } else { PAUSE });
            }
        });
    }
    thread::sleep(LENGTH);
    Ok(watch.judge(&servers))
}

/// Downloads on a new connection and reads the answer in pieces.
fn download(address: SocketAddr, id: &str) -> Seen {
    let attempt = || -> io::Result<Seen> {
        let mut client = Client::connect(address)?;
        client.send("GET", "/download/x", id, DOWNLOAD_DEADLINE_MS, 0)?;
        let Some(head) = Head::read(&mut client.reader)? else {
            return Ok(Seen::Cut("closed without a response".to_owned()));
        };
        let mut left = head.length();
        while left > 0 {
            let piece = left.min(PIECE_BYTES);
            skip_body(&mut client.reader, piece)?;
            left -= piece;
            if !is_calm() {
                thread::sleep(PAUSE);
            }
        }
        let signed = head.field("X-Hornbeamhitch-Response-Signature").is_some();
        let status = head.status();
        Ok(Seen::Answer { status, signed })
    };
    attempt().unwrap_or_else(|error| Seen::Cut(error.to_string()))
}
