//! Clients ask for downloads one after the other without waiting, and read the answers slowly.
//! The platform kills a process that exceeds its memory.

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

const HOST: &str = "results.example";
/// `limits.memory_mb` of each machine, the least on the sheet of conteo-lima-grown.
const MEMORY_MB: u64 = 160;
/// Machine that the clients use.
const ENTRY: usize = 0;
/// Answer of the class `acta-download`: its largest on the sheet.
const ANSWER_BYTES: usize = 540_000;
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
    let clients = number("CLIENTS", 14);
    let depth = number("DEPTH", 32);
    rig::limit_time();
    let temp = TempFolder::create();
    let net = Net::find(6);
    let store = Store::start(net.ips[0]);
    let journal = Journal::default();
    let work: rig::Work = Arc::new(|request| match request.head.path().starts_with("/acta/") {
        true => {
            thread::sleep(Duration::from_millis(69));
            (0..ANSWER_BYTES).map(|at| (at % 251) as u8).collect()
        }
        false => {
            thread::sleep(Duration::from_millis(880));
            b"done".to_vec()
        }
    });
    let route = |name, kind, prefix, service| Route {
        name,
        kind,
        prefix,
        service,
        timeout: "6000ms",
    };
    let routes = [
        route("acta-download", "download", "/acta/", "actas"),
        route("archive-read", "idempotent", "/status/", "portal"),
    ];
    store.put(
        "op/config",
        &rig::configuration(1, HOST, &routes, &["portal", "actas"]),
    );
    let mut nodes = Vec::new();
    for (index, ip) in net.ips.iter().enumerate() {
        let service = if index < 2 { "portal" } else { "actas" };
        let upstream = Upstream::start(*ip, &format!("i-{index}"), 12, &journal, Arc::clone(&work));
        store.put(
            &format!("servers/i-{index}"),
            &upstream.entry(service, *ip, "ready"),
        );
        let memory_mb = MEMORY_MB.to_string();
        let changed = [("limits.memory_mb", memory_mb.as_str())];
        nodes.push(Node::start(
            &net,
            index,
            service,
            &upstream,
            store.address,
            &temp.0,
            &changed,
        ));
    }
    rig::wait_ready(&nodes);
    record.line(&format!(
        "{} nodes are ready; {clients} clients ask for {depth} downloads each",
        nodes.len()
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..READERS {
        let (entry, stop, ended) = (nodes[ENTRY].outbound, Arc::clone(&stop), Arc::clone(&ended));
        threads.push(thread::spawn(move || read(entry, client, &stop, &ended)));
    }
    thread::sleep(Duration::from_secs(1));
    for client in 0..clients {
        let (entry, stop, ended) = (nodes[ENTRY].outbound, Arc::clone(&stop), Arc::clone(&ended));
        threads.push(thread::spawn(move || {
            download(entry, client, depth, trouble, &stop, &ended)
        }));
    }
    let killed = watch_memory(&mut nodes, Duration::from_secs(9), &record);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let journal = journal.lock().unwrap();
    let mut lost = 0;
    let mut outcomes = std::collections::BTreeMap::new();
    for Ended { id, outcome } in ended.lock().unwrap().iter() {
        let ran = journal.iter().any(|run| run.id == *id);
        *outcomes
            .entry(format!("{} {outcome}", id.split('-').next().unwrap()))
            .or_insert(0) += 1;
        if outcome == "closed" && ran && id.starts_with("read") {
            lost += 1;
            record.line(&format!(
                "{id}: passed on to an upstream, closed without an answer"
            ));
        }
    }
    record.line(&format!(
        "processes killed because of their memory: {killed}; outcomes: {outcomes:?}; kept connections closed without an answer: {lost} (allowed: 3)"
    ));
    drop(nodes);
    drop(temp);
    std::process::exit(match (killed > 0 && lost > 3, outcomes.len()) {
        (true, _) => 1,
        (false, 0) => 2,
        (false, _) => 0,
    });
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

/// Sends a request every 60 ms and reads the answers, slowly if `trouble`.
fn download(
    entry: SocketAddr,
    client: usize,
    depth: usize,
    trouble: bool,
    stop: &AtomicBool,
    ended: &Mutex<Vec<Ended>>,
) {
    let Ok(stream) = TcpStream::connect(entry) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let mut writer = stream.try_clone().expect("a second handle");
    let sender = thread::spawn(move || {
        for at in 0..depth {
            let request = format!(
                "GET /acta/{client}-{at} HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: down-{client}-{at}\r\nX-Hornbeamhitch-Deadline-Ms: 6000\r\n\r\n"
            );
            if writer.write_all(request.as_bytes()).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(60));
        }
    });
    let mut conn = Conn::new(stream);
    for at in 0..depth {
        let outcome = read_slowly(&mut conn, trouble, stop).unwrap_or_else(|_| "closed".to_owned());
        let is_closed = outcome == "closed";
        ended.lock().unwrap().push(Ended {
            id: format!("down-{client}-{at}"),
            outcome,
        });
        if is_closed || stop.load(Ordering::Relaxed) {
            break;
        }
    }
    let _ = sender.join();
}

fn read_slowly(conn: &mut Conn, trouble: bool, stop: &AtomicBool) -> std::io::Result<String> {
    let Some(head) = conn.head()? else {
        return Ok("closed".to_owned());
    };
    let mut left = head.length();
    while left > 0 && !stop.load(Ordering::Relaxed) {
        let part = left.min(32 * 1024);
        let _ = conn.body(part)?;
        left -= part;
        if trouble {
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(head.status().to_string())
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
