//! The operator sends configurations in quick succession.

#![allow(dead_code)]
mod rig;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rig::{Conn, Journal, Net, Node, Record, Store, TempFolder, Upstream};

const HOST: &str = "kiosk.example";

fn number(name: &str, usual: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// A configuration with many routes, of which the one for `/probe/` leads to `service`.
fn configuration(version: u64, routes: u64, service: &str) -> String {
    let rule = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"idempotent\",\"target_latency\":\"600ms\",\"priority\":2,\"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeout\":\"1500ms\",\"max_attempts\":2}}}}"
        )
    };
    let mut listeners = vec![format!(
        "{{\"host\":\"{HOST}\",\"rules\":[{}]}}",
        rule("r-probe", "/probe/", service)
    )];
    let routes_per_host = self::number("ROUTES_PER_HOST", 40);
    for first in (0..routes).step_by(routes_per_host as usize) {
        let mut rules = Vec::new();
        for number in first..routes.min(first + routes_per_host) {
            let (name, prefix) = (format!("r-n2ct{number:05}"), format!("/leny{number:05}/"));
            rules.push(rule(&name, &prefix, "layouts"));
        }
        listeners.push(format!(
            "{{\"host\":\"hulo{first:05}.example\",\"rules\":[{}]}}",
            rules.join(",")
        ));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"listeners\":[{}],\"clusters\":[{{\"name\":\"layouts\",\"health_path\":\"/healthz\"}},{{\"name\":\"ledger\",\"health_path\":\"/healthz\"}}]}}",
        listeners.join(",")
    )
}

/// Bounds of the settings, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;
const CONFIG_MS: u64 = 2_000;
const OUTER_MS: u64 = 5_000;
/// Number of machines, and of those that the store turns away.
const MACHINES: u8 = 6;
const TURNED_AWAY: usize = 2;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let routes = number("ROUTES", 4_200);
    let versions = number("VERSIONS", 25);
    let gap_ms = number("GAP_MS", 80);
    let away_ms = if trouble { number("AWAY_MS", 3_000) } else { 0 };
    rig::limit_time();
    let temp = TempFolder::create();
    let net = Net::find(MACHINES);
    let store = Store::start(net.ips[0]);
    let journal = Journal::default();
    store.put("op/config", &configuration(1, routes, "layouts"));
    let mut nodes = Vec::new();
    let mut doors = Vec::new();
    for (index, ip) in net.ips.iter().enumerate() {
        let service = if index % 2 == 0 { "layouts" } else { "ledger" };
        let work: rig::Work = Arc::new(|_| service.as_bytes().to_vec());
        let upstream = Upstream::start(*ip, &format!("i-{index}"), 12, &journal, work);
        let entry = upstream.entry(service, *ip, "ready");
        store.put(&format!("servers/i-{index}"), &entry);
        let door = store.open_door(*ip);
        let address = door.address;
        nodes.push(Node::start(
            &net,
            index,
            service,
            &upstream,
            address,
            &temp.0,
            &[],
        ));
        doors.push(door);
    }
    rig::wait_ready(&nodes);
    let size = configuration(1, routes, "layouts").len();
    record.line(&format!(
        "{MACHINES} nodes are ready; a configuration has {size} bytes"
    ));
    let mut number = 0;
    let mut served_before = 0;
    for node in &nodes {
        number += 1;
        served_before += usize::from(probe(node.outbound, number) == "200 layouts");
    }
    let turned_away = doors.iter().take(if trouble { TURNED_AWAY } else { 0 });
    for door in turned_away {
        door.close_for(Duration::from_millis(away_ms));
    }
    let away_at = Instant::now();
    record.line(&format!(
        "before: {served_before} nodes send /probe/ to layouts; the store answers 503 to {} of the nodes for {away_ms} ms",
        if trouble { TURNED_AWAY } else { 0 }
    ));
    for at in 1..=versions {
        let service = if at == versions { "ledger" } else { "layouts" };
        store.put("op/config", &configuration(1 + 3 * at, routes, service));
        thread::sleep(Duration::from_millis(gap_ms));
    }
    let acked = Instant::now();
    record.line(&format!(
        "{versions} versions were acknowledged within {} ms; the last one, acknowledged just now, sends /probe/ to ledger",
        (acked - away_at).as_millis()
    ));
    let stable = away_at + Duration::from_millis(away_ms + STABLE_WINDOW_MS);
    let bound = acked.max(stable) + Duration::from_millis(CONFIG_MS + OUTER_MS);
    let mut late = 0;
    let mut last_old = Duration::ZERO;
    while acked.elapsed() < Duration::from_secs(24) {
        for (index, node) in nodes.iter().enumerate() {
            let sent = Instant::now();
            number += 1;
            let answer = probe(node.outbound, number);
            if answer != "200 layouts" {
                continue;
            }
            last_old = sent - acked;
            let is_late = sent > bound;
            late += usize::from(is_late);
            record.line(&format!(
                "{:.2} s after the last ack, node {index}: run by layouts{}",
                last_old.as_secs_f64(),
                if is_late { ", too late" } else { "" }
            ));
        }
        thread::sleep(Duration::from_millis(500));
    }
    for (index, node) in nodes.iter_mut().enumerate() {
        record.line(&format!(
            "node {index}: ended by itself: {:?}",
            node.ended()
        ));
    }
    record.line(&format!(
        "the last request that was handled as an older version allows: {:.2} s after the ack; {late} of them later than {:.2} s after it (return of the store, stable_window, config and outer)",
        last_old.as_secs_f64(),
        (bound - acked).as_secs_f64()
    ));
    drop(nodes);
    drop(temp);
    std::process::exit(match (late, served_before) {
        (_, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}

fn probe(entry: SocketAddr, number: u64) -> String {
    let Ok(stream) = TcpStream::connect(entry) else {
        return "no connection".to_owned();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut conn = Conn::new(stream);
    let request = format!(
        "GET /probe/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Hornbeamhitch-Request-Id: probe-{number}\r\nX-Hornbeamhitch-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    );
    if conn.stream.write_all(request.as_bytes()).is_err() {
        return "closed".to_owned();
    }
    match conn.head() {
        Ok(Some(head)) => {
            let body = conn.body(head.length()).unwrap_or_default();
            format!(
                "{} {}",
                head.status(),
                String::from_utf8_lossy(&body).trim()
            )
        }
        _ => "closed".to_owned(),
    }
}
