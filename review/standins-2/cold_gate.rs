//! The process beside a cold upstream is killed and started again; with AWAY=1 while the store
//! turns its machine away.

#![allow(dead_code)]
mod rig;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Conn, Journal, Net, Node, Record, Store, TempFolder, Upstream};

const HOST: &str = "results.example";
/// `warmup` and `warmup_per_s` of the configuration, `cold_over` and `cold_slack` of the bounds.
const WARMUP: Duration = Duration::from_secs(3);
const WARMUP_PER_S: f64 = 16.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
/// Work of a short lookup (22 ms on the sheet) at a cold upstream, which takes twice as long.
const WORK: Duration = Duration::from_millis(44);
const SLOTS: u32 = 8;
const CLIENTS: usize = 40;
/// Time until the platform starts an ended process again.
const RESTART: Duration = Duration::from_millis(300);

/// What the cold upstream has seen.
#[derive(Default)]
struct Seen {
    cold_until: Option<Instant>,
    arrivals: Vec<Instant>,
}

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000001\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{{\"name\":\"precinct-lookup\",\"kind\":\"idempotent\",\"target_latency\":\"600ms\",\"priority\":1,\"match\":{{\"prefix\":\"/lookup/\"}},\"action\":{{\"service\":\"actas\",\"timeout\":\"1500ms\",\"max_attempts\":2}}}}]}}],\"clusters\":[{{\"name\":\"actas\",\"health_path\":\"/healthz\",\"warmup\":\"3s\",\"warmup_per_s\":{WARMUP_PER_S}}},{{\"name\":\"portal\",\"health_path\":\"/healthz\",\"warmup\":\"3s\",\"warmup_per_s\":{WARMUP_PER_S}}}]}}"
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let is_away = trouble && std::env::var("AWAY").as_deref() == Ok("1");
    rig::limit_time();
    let temp = TempFolder::create();
    let net = Net::find(5);
    let store = Store::start(net.ips[0]);
    let journal = Journal::default();
    store.put("op/config", &configuration());
    let seen = Arc::new(Mutex::new(Seen::default()));
    let changed = [("bounds.cold_over", "1.5"), ("bounds.cold_slack", "8")];
    let mut nodes = Vec::new();
    let mut doors = Vec::new();
    for (index, ip) in net.ips.iter().enumerate() {
        let service = if index == 0 { "actas" } else { "portal" };
        let work: rig::Work = Arc::new(|_| b"done".to_vec());
        let mut upstream = Upstream::start(*ip, &format!("i-{index}"), SLOTS, &journal, work);
        if index == 0 {
            let listener = TcpListener::bind((*ip, 0)).expect("a port");
            upstream.address = listener.local_addr().unwrap();
            serve_cold(listener, &seen);
        }
        store.put(
            &format!("servers/i-{index}"),
            &upstream.entry(service, *ip, "ready"),
        );
        let door = store.open_door(*ip);
        let address = door.address;
        nodes.push(Node::start(
            &net, index, service, &upstream, address, &temp.0, &changed,
        ));
        doors.push(door);
    }
    rig::wait_ready(&nodes);
    record.line("five nodes are ready; one upstream of actas");
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let entry = nodes[1 + number % 4].outbound;
        let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
        clients.push(thread::spawn(move || {
            look_up(entry, number, &stop, &served)
        }));
    }
    thread::sleep(Duration::from_secs(2));
    seen.lock().unwrap().cold_until = Some(Instant::now() + WARMUP);
    let cold_at = Instant::now();
    record.line("the upstream of actas becomes cold");
    let kill_ms = std::env::var("KILL_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    thread::sleep(Duration::from_millis(kill_ms.unwrap_or(1_250)));
    if is_away {
        doors[0].close_for(Duration::from_secs(5));
        record.line("the store answers 503 to the machine of that upstream for 5 s");
    }
    if trouble {
        nodes[0].kill();
        record.line("SIGKILL to the process on that machine");
        thread::sleep(RESTART);
        nodes[0].spawn();
        record.line("it is started again");
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let cold_until = cold_at + WARMUP;
    // The first tenth is left out, in which the node learns that the upstream is cold.
    let from = cold_at + Duration::from_millis(100);
    let cold: Vec<Instant> = seen
        .arrivals
        .iter()
        .copied()
        .filter(|at| *at >= from && *at < cold_until)
        .collect();
    let mut most = 0;
    for first in &cold {
        let window = cold
            .iter()
            .filter(|at| *at >= first && **at - *first < Duration::from_secs(1));
        most = most.max(window.count());
    }
    for tenth in 1..30 {
        let (begin, end) = (
            Duration::from_millis(tenth * 100),
            Duration::from_millis(tenth * 100 + 100),
        );
        let count = cold
            .iter()
            .filter(|at| **at - cold_at >= begin && **at - cold_at < end)
            .count();
        record.line(&format!(
            "{:.1} s after it became cold: {count} requests",
            begin.as_secs_f64()
        ));
    }
    let bound = (WARMUP_PER_S * COLD_OVER + COLD_SLACK).floor() as usize;
    record.line(&format!(
        "most requests in one second at the cold upstream: {most}, allowed {bound}; lookups served {}",
        served.load(Ordering::Relaxed)
    ));
    drop(nodes);
    drop(temp);
    std::process::exit(match (most > bound, served.load(Ordering::Relaxed)) {
        (_, 0) => 2,
        (true, _) => 1,
        (false, _) => 0,
    });
}

fn serve_cold(listener: TcpListener, seen: &Arc<Mutex<Seen>>) {
    let seen = Arc::clone(seen);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || {
                let _ = serve_connection(&mut Conn::new(stream), &seen);
            });
        }
    });
}

fn serve_connection(conn: &mut Conn, seen: &Mutex<Seen>) -> std::io::Result<()> {
    let load = "X-Hornbeamhitch-Server-Load: 0,0,8,100\r\n";
    while let Some(head) = conn.head()? {
        if head.path() == "/healthz" {
            let until = seen.lock().unwrap().cold_until;
            let left = until.map_or(Duration::ZERO, |at| {
                at.saturating_duration_since(Instant::now())
            });
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Instance-Id: i-0\r\n{load}X-Hornbeamhitch-Warmup-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                left.as_millis()
            );
            conn.stream.write_all(text.as_bytes())?;
            continue;
        }
        let _ = conn.body(head.length())?;
        seen.lock().unwrap().arrivals.push(Instant::now());
        thread::sleep(WORK);
        let request = head.field("X-Hornbeamhitch-Request-Id").unwrap_or("");
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Request-Id: {request}\r\nX-Hornbeamhitch-Response-Signature: {}\r\n{load}Content-Length: 4\r\n\r\nseen",
            rig::digest(b"seen")
        );
        conn.stream.write_all(text.as_bytes())?;
    }
    Ok(())
}

/// Sends lookups one after the other; waits a tenth of a second after each refusal.
fn look_up(entry: SocketAddr, client: usize, stop: &AtomicBool, served: &AtomicUsize) {
    for at in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = TcpStream::connect(entry) else {
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let mut conn = Conn::new(stream);
        let request = format!(
            "POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: lookup-{client}-{at}\r\nX-Hornbeamhitch-Deadline-Ms: 1500\r\nContent-Length: 4\r\nConnection: close\r\n\r\ncard"
        );
        let _ = conn.stream.write_all(request.as_bytes());
        match conn.head() {
            Ok(Some(head)) if head.status() == 200 => {
                served.fetch_add(1, Ordering::Relaxed);
            }
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
}
