//! A client that stops reading for a while in the middle of a large answer.

#![allow(dead_code)]
mod rig;

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Conn, Journal, Net, Node, Record, Route, Store, TempFolder, Upstream};

const HOST: &str = "results.example";
/// Bytes of an answer: the largest of the download class of the sheet.
const ANSWER_BYTES: usize = 540_000;
const CLIENTS: usize = 12;
/// How long a client says that it waits, which is also its route's timeout.
const DEADLINE_MS: u64 = 6_000;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let pause_ms: u64 = match trouble {
        true => std::env::var("PAUSE_MS")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(3_500),
        false => 0,
    };
    rig::limit_time();
    let temp = TempFolder::create();
    let net = Net::find(3);
    let store = Store::start(net.ips[0]);
    let journal = Journal::default();
    let work: rig::Work = Arc::new(|request| {
        thread::sleep(Duration::from_millis(30));
        match request.head.path().ends_with("/large") {
            true => (0..ANSWER_BYTES).map(|at| (at % 251) as u8).collect(),
            false => b"small".to_vec(),
        }
    });
    let routes = [Route {
        name: "acta-download",
        kind: "download",
        prefix: "/acta/",
        service: "actas",
        timeout: "6000ms",
    }];
    store.put(
        "op/config",
        &rig::configuration(1, HOST, &routes, &["portal", "actas"]),
    );
    let services = ["portal", "actas", "actas"];
    let mut nodes = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let ip = net.ips[index];
        let upstream = Upstream::start(ip, &format!("i-{index}"), 8, &journal, Arc::clone(&work));
        store.put(
            &format!("servers/i-{index}"),
            &upstream.entry(service, ip, "ready"),
        );
        nodes.push(Node::start(
            &net,
            index,
            service,
            &upstream,
            store.address,
            &temp.0,
            &[],
        ));
    }
    rig::wait_ready(&nodes);
    record.line(&format!("three nodes are ready; {CLIENTS} clients read {ANSWER_BYTES} bytes each and pause for {pause_ms} ms"));
    let entry = nodes[0].outbound;
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, results) = (Arc::clone(&record), Arc::clone(&results));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(150 * number as u64));
            let outcome = download(entry, number, pause_ms, &record);
            results.lock().unwrap().push(outcome);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let mut cut = 0;
    for (id, outcome) in results.iter() {
        let journal = journal.lock().unwrap();
        let answered = journal
            .iter()
            .any(|run| run.id == *id && run.answered.is_some());
        let is_cut = matches!(outcome, Outcome::Cut) && answered;
        cut += usize::from(is_cut);
        record.line(&format!(
            "{id}: {outcome:?}; the upstream ran it and wrote its whole answer: {answered}"
        ));
    }
    let not_run = results
        .iter()
        .any(|(_, outcome)| matches!(outcome, Outcome::NotServed));
    for node in &mut nodes {
        if let Some(status) = node.ended() {
            record.line(&format!("a node has ended by itself: {status}"));
        }
    }
    record.line(&format!(
        "{cut} of {CLIENTS} kept connections were closed without a complete answer (allowed: 3)"
    ));
    drop(nodes);
    drop(temp);
    let code = match (cut > 3, not_run) {
        (true, _) => 1,
        (false, true) => 2,
        (false, false) => 0,
    };
    std::process::exit(code);
}

#[derive(Debug)]
enum Outcome {
    /// The whole answer arrived within the deadline.
    Complete,
    /// The connection ended within the answer.
    Cut,
    /// No connection, or an answer of the node itself.
    NotServed,
}

/// Sends a small request and, on the same connection, one with a large answer.
fn download(
    entry: std::net::SocketAddr,
    number: usize,
    pause_ms: u64,
    record: &Record,
) -> (String, Outcome) {
    let id = format!("c{number:02}-large");
    let Ok(stream) = TcpStream::connect(entry) else {
        return (id, Outcome::NotServed);
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut conn = Conn::new(stream);
    let small = format!("c{number:02}-small");
    if send(&mut conn, "/acta/small", &small).is_err() {
        return (id, Outcome::NotServed);
    }
    match conn.head() {
        Ok(Some(head)) if head.status() == 200 => {
            let _ = conn.body(head.length());
        }
        _ => return (id, Outcome::NotServed),
    }
    let sent = Instant::now();
    if send(&mut conn, "/acta/large", &id).is_err() {
        return (id, Outcome::NotServed);
    }
    record.line(&format!(
        "{id}: sent on a kept connection, deadline {DEADLINE_MS} ms"
    ));
    let head = match conn.head() {
        Ok(Some(head)) if head.status() == 200 => head,
        other => {
            record.line(&format!("{id}: {other:?}"));
            return (id, Outcome::NotServed);
        }
    };
    record.line(&format!(
        "{id}: status 200 after {} ms, {} bytes follow",
        sent.elapsed().as_millis(),
        head.length()
    ));
    thread::sleep(Duration::from_millis(pause_ms));
    let signature = head
        .field("X-Hornbeamhitch-Response-Signature")
        .unwrap_or("")
        .to_owned();
    let outcome = match conn.body(head.length()) {
        Ok(body) if rig::digest(&body) == signature => Outcome::Complete,
        Ok(_) => Outcome::Cut,
        Err(error) => {
            record.line(&format!(
                "{id}: {} of {} bytes, then: {error}",
                conn.buffer.len(),
                head.length()
            ));
            Outcome::Cut
        }
    };
    record.line(&format!(
        "{id}: ended after {} ms",
        sent.elapsed().as_millis()
    ));
    (id, outcome)
}

fn send(conn: &mut Conn, path: &str, id: &str) -> std::io::Result<()> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: {id}\r\nX-Hornbeamhitch-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    conn.stream.write_all(request.as_bytes())
}
