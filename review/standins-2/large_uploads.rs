//! A few clients upload large bodies at the same time. The platform kills a process that
//! exceeds its memory.

#![allow(dead_code)]
mod rig;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Conn, Journal, Net, Node, Record, Route, Store, TempFolder, Upstream};

const HOST: &str = "claims.example";
/// `limits.memory_mb` of each machine, as on the sheet of zzmn-mesh.
const MEMORY_MB: u64 = 260;
/// Machine beside which the only upstream for uploads runs.
const GATE: usize = 0;
/// Clients with a kept connection at that machine.
const READERS: usize = 10;

/// Outcome of one request at a client.
struct Ended {
    id: String,
    outcome: String,
}

fn number(name: &str, usual: usize) -> usize {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let body_bytes = match trouble {
        true => number("BODY_BYTES", 48_000_000),
        false => 360_000,
    };
    let uploads = number("UPLOADS", 4);
    rig::limit_time();
    let temp = TempFolder::create();
    let net = Net::find(uploads as u8 + 2);
    let store = Store::start(net.ips[0]);
    let journal = Journal::default();
    let work: rig::Work = Arc::new(|request| {
        let work_ms = if request.head.method() == "POST" {
            290
        } else {
            880
        };
        thread::sleep(Duration::from_millis(work_ms));
        b"done".to_vec()
    });
    let route = |name, kind, prefix, service| Route {
        name,
        kind,
        prefix,
        service,
        timeout: "6000ms",
    };
    let routes = [
        route("damage-upload", "upload", "/damage/", "dokazi"),
        route("claim-status", "idempotent", "/status/", "skode"),
    ];
    store.put(
        "op/config",
        &rig::configuration(1, HOST, &routes, &["dokazi", "skode"]),
    );
    let mut nodes = Vec::new();
    for (index, ip) in net.ips.iter().enumerate() {
        let service = if index == GATE { "dokazi" } else { "skode" };
        let upstream = Upstream::start(*ip, &format!("i-{index}"), 6, &journal, Arc::clone(&work));
        let entry = upstream.entry(service, *ip, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
        let memory_mb = MEMORY_MB.to_string();
        let changed = [("limits.memory_mb", memory_mb.as_str())];
        let address = store.address;
        nodes.push(Node::start(
            &net, index, service, &upstream, address, &temp.0, &changed,
        ));
    }
    rig::wait_ready(&nodes);
    record.line(&format!(
        "{} nodes are ready; {uploads} clients at as many nodes upload {body_bytes} bytes each",
        nodes.len()
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..READERS {
        let (entry, stop, ended) = (nodes[GATE].outbound, Arc::clone(&stop), Arc::clone(&ended));
        threads.push(thread::spawn(move || read(entry, client, &stop, &ended)));
    }
    thread::sleep(Duration::from_secs(2));
    for client in 0..uploads {
        let (entry, ended) = (nodes[client + 1].outbound, Arc::clone(&ended));
        let record = Arc::clone(&record);
        threads.push(thread::spawn(move || {
            let id = format!("upload-{client}");
            record.line(&format!("{id}: sent"));
            let outcome = upload(entry, &id, body_bytes);
            record.line(&format!("{id}: {outcome}"));
            ended.lock().unwrap().push(Ended { id, outcome });
        }));
    }
    let killed = watch_memory(&mut nodes, Duration::from_secs(8), &record);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let journal = journal.lock().unwrap();
    let mut lost = 0;
    let mut served = 0;
    for Ended { id, outcome } in ended.lock().unwrap().iter() {
        let ran = journal.iter().any(|run| run.id == *id);
        served += usize::from(outcome == "200");
        if outcome == "closed" && ran {
            lost += 1;
            record.line(&format!(
                "{id}: passed on to an upstream, closed without an answer"
            ));
        }
    }
    record.line(&format!(
        "processes killed because of their memory: {killed}; answered 200: {served}; kept connections closed without an answer: {lost} (allowed: 3)"
    ));
    drop(nodes);
    drop(temp);
    let code = match (killed > 0 && lost > 3, served) {
        (true, _) => 1,
        (false, 0) => 2,
        (false, _) => 0,
    };
    std::process::exit(code);
}

/// Kills each process whose resident memory exceeds the limit, as the platform does. Returns
/// how many were killed.
fn watch_memory(nodes: &mut [Node], span: Duration, record: &Record) -> usize {
    let until = Instant::now() + span;
    let mut most = vec![0; nodes.len()];
    let mut killed = 0;
    while Instant::now() < until {
        for (index, node) in nodes.iter_mut().enumerate() {
            if node.pid() == 0 {
                continue;
            }
            let memory = node.memory();
            most[index] = memory.max(most[index]);
            if memory > MEMORY_MB << 20 {
                node.kill();
                killed += 1;
                record.line(&format!(
                    "the platform kills the process of node {index}: {} of {MEMORY_MB} MiB",
                    memory >> 20
                ));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for (index, memory) in most.iter().enumerate() {
        record.line(&format!("node {index}: at most {} MiB", memory >> 20));
    }
    killed
}

/// Sends reads one after the other on one connection, until the end or a failure.
fn read(entry: SocketAddr, client: usize, stop: &AtomicBool, ended: &Mutex<Vec<Ended>>) {
    let Ok(stream) = TcpStream::connect(entry) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let mut conn = Conn::new(stream);
    for at in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("read-{client}-{at}");
        let request = format!(
            "GET /status/{at} HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: {id}\r\nX-Hornbeamhitch-Deadline-Ms: 6000\r\n\r\n"
        );
        let sent = conn.stream.write_all(request.as_bytes());
        let outcome = outcome(&mut conn, sent);
        let is_closed = outcome == "closed";
        ended.lock().unwrap().push(Ended { id, outcome });
        if is_closed {
            return;
        }
    }
}

fn upload(entry: SocketAddr, id: &str, body_bytes: usize) -> String {
    let Ok(stream) = TcpStream::connect(entry) else {
        return "no connection".to_owned();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let mut conn = Conn::new(stream);
    let head = format!(
        "POST /damage/photo HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: {id}\r\nX-Hornbeamhitch-Deadline-Ms: 6000\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + body_bytes, b'p');
    let sent = conn.stream.write_all(&request);
    outcome(&mut conn, sent)
}

fn outcome(conn: &mut Conn, sent: std::io::Result<()>) -> String {
    if sent.is_err() {
        return "closed".to_owned();
    }
    match conn.head() {
        Ok(Some(head)) => match conn.body(head.length()) {
            Ok(_) => head.status().to_string(),
            Err(_) => "closed".to_owned(),
        },
        _ => "closed".to_owned(),
    }
}
