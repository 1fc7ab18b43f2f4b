//! An upstream pauses while it reads uploads, while the node that took them shuts down.

#![allow(dead_code)]
mod rig;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Conn, Journal, Net, Node, Record, Route, Run, Store, TempFolder, Upstream};

const HOST: &str = "claims.example";
/// The largest body of the class `damage-upload` on the sheet.
const BODY_BYTES: usize = 360_000;
const CLIENTS: usize = 8;
const DEADLINE_MS: u64 = 6_000;
/// Part of a body that the upstream reads before it pauses.
const FIRST_PART_BYTES: usize = 16 * 1024;

/// What a client saw.
struct Ended {
    id: String,
    outcome: String,
    after: Duration,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let text = std::env::var("PAUSE_MS").ok();
    let pause_ms = text.and_then(|text| text.parse().ok()).unwrap_or(3_000);
    rig::limit_time();
    let temp = TempFolder::create();
    let net = Net::find(3);
    let store = Store::start(net.ips[0]);
    let journal = Journal::default();
    let routes = [Route {
        name: "damage-upload",
        kind: "upload",
        prefix: "/damage/",
        service: "dokazi",
        timeout: "6000ms",
    }];
    store.put(
        "op/config",
        &rig::configuration(1, HOST, &routes, &["polica", "dokazi"]),
    );
    let mut nodes = Vec::new();
    for (index, service) in ["polica", "dokazi", "dokazi"].iter().enumerate() {
        let ip = net.ips[index];
        let work: rig::Work = Arc::new(|_| b"done".to_vec());
        let id = format!("i-{index}");
        let mut upstream = Upstream::start(ip, &id, 6, &journal, work);
        if *service == "dokazi" {
            let listener = TcpListener::bind((ip, 0)).expect("a port");
            upstream.address = listener.local_addr().unwrap();
            serve_slowly(listener, id, pause_ms, trouble, &journal, &record);
        }
        let entry = upstream.entry(service, ip, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
        let address = store.address;
        nodes.push(Node::start(
            &net,
            index,
            service,
            &upstream,
            address,
            &temp.0,
            &[],
        ));
    }
    rig::wait_ready(&nodes);
    record.line(&format!(
        "three nodes are ready; {CLIENTS} clients upload {BODY_BYTES} bytes each; the upstreams work for {pause_ms} ms, between two parts of the body: {trouble}"
    ));
    let entry = nodes[0].outbound;
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let ended = Arc::clone(&ended);
        clients.push(thread::spawn(move || {
            let result = upload(entry, &format!("upload-{number}"));
            ended.lock().unwrap().push(result);
        }));
    }
    thread::sleep(Duration::from_millis(400));
    nodes[0].signal("TERM");
    record.line("SIGTERM to the node that took the uploads");
    for client in clients {
        let _ = client.join();
    }
    // The upstreams learn of the end of their connections when they read on.
    thread::sleep(Duration::from_millis(1_000));
    let mut broken_off = 0;
    let mut served = 0;
    let journal = journal.lock().unwrap();
    for Ended { id, outcome, after } in ended.lock().unwrap().iter() {
        let run = journal.iter().find(|run| run.id == *id);
        let state = match run {
            None => "no upstream began it",
            Some(run) if run.answered.is_some() => "an upstream ran it and answered",
            Some(_) => "an upstream was at work on it",
        };
        served += usize::from(outcome == "200");
        let is_broken_off = outcome != "200" && run.is_some();
        broken_off += usize::from(is_broken_off);
        record.line(&format!(
            "{id}: {outcome} after {} ms; {state}",
            after.as_millis()
        ));
    }
    record.line(&format!(
        "served {served}; broken off while an upstream was at work, before the deadline of {DEADLINE_MS} ms: {broken_off}"
    ));
    drop(nodes);
    drop(temp);
    std::process::exit(match (broken_off, served) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}

/// Serves as an upstream that begins to work when it has a head, and reads the body with one
/// pause.
fn serve_slowly(
    listener: TcpListener,
    id: String,
    pause_ms: u64,
    trouble: bool,
    journal: &Journal,
    record: &Arc<Record>,
) {
    let (journal, record) = (Arc::clone(journal), Arc::clone(record));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, journal, record) = (id.clone(), Arc::clone(&journal), Arc::clone(&record));
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                if let Err(error) =
                    serve_connection(&mut conn, &id, pause_ms, trouble, &journal, &record)
                {
                    record.line(&format!("{id}: the connection of the node ended: {error}"));
                }
            });
        }
    });
}

fn serve_connection(
    conn: &mut Conn,
    id: &str,
    pause_ms: u64,
    trouble: bool,
    journal: &Journal,
    record: &Record,
) -> std::io::Result<()> {
    let load = "X-Hornbeamhitch-Server-Load: 0,0,6,100\r\n";
    while let Some(head) = conn.head()? {
        if head.path() == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Instance-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n"
            );
            conn.stream.write_all(text.as_bytes())?;
            continue;
        }
        let request = head
            .field("X-Hornbeamhitch-Request-Id")
            .unwrap_or("")
            .to_owned();
        let index = {
            let mut journal = journal.lock().unwrap();
            journal.push(Run {
                id: request.clone(),
                upstream: id.to_owned(),
                began: Instant::now(),
                answered: None,
            });
            journal.len() - 1
        };
        record.line(&format!("{id}: begins {request}, {} bytes", head.length()));
        // Without trouble, the work takes as long, after the whole body was read.
        let first = if trouble {
            FIRST_PART_BYTES
        } else {
            head.length()
        };
        let _ = conn.body(first)?;
        thread::sleep(Duration::from_millis(pause_ms));
        let _ = conn.body(head.length() - first)?;
        let answer = b"stored";
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Request-Id: {request}\r\nX-Hornbeamhitch-Response-Signature: {}\r\n{load}Content-Length: {}\r\n\r\nstored",
            rig::digest(answer),
            answer.len()
        );
        conn.stream.write_all(text.as_bytes())?;
        journal.lock().unwrap()[index].answered = Some(Instant::now());
        record.line(&format!("{id}: has stored {request}"));
    }
    Ok(())
}

fn upload(entry: SocketAddr, id: &str) -> Ended {
    let sent = Instant::now();
    let outcome = send(entry, id).unwrap_or_else(|error| format!("closed: {error}"));
    Ended {
        id: id.to_owned(),
        outcome,
        after: sent.elapsed(),
    }
}

fn send(entry: SocketAddr, id: &str) -> std::io::Result<String> {
    let stream = TcpStream::connect(entry)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut conn = Conn::new(stream);
    let head = format!(
        "POST /damage/photo HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: {id}\r\nX-Hornbeamhitch-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + BODY_BYTES, b'p');
    conn.stream.write_all(&request)?;
    match conn.head()? {
        Some(head) => Ok(head.status().to_string()),
        None => Ok("closed".to_owned()),
    }
}
