//! One server sends a second answer, late, after some of its answers. Clients pay meanwhile.

use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::support::*;

/// Two servers of the one service, each with its node.
const MACHINES: u8 = 2;
const SLOTS: usize = 12;
/// Clients on each machine, and the time from one payment of a client to its next.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(120);
/// Work of a payment.
const WORK: Duration = Duration::from_millis(120);
const DEADLINE_MS: u64 = 2_000;
/// Times for which the server is faulty, and the calm between them.
const FAULTY: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(3);
const PERIODS: usize = 6;

/// A payment and what its client has seen.
struct Payment {
    id: String,
    seen: Seen,
}

pub fn run(record_path: &Path) -> io::Result<i32> {
    let record = Record::create(record_path)?;
    let folder = Folder::create("second-answer")?;
    let store = Store::start()?;
    let mut servers = Vec::new();
    for index in 0..MACHINES {
        let work: Work = Arc::new(|head, stream| {
            work_for(WORK, stream)?;
            stream.write_all(format!("{}paid\n", ok_head(head, 5)).as_bytes())
        });
        let id = format!("i-{index}");
        servers.push(Server::start(
            &id,
            "cashier",
            machine_ip(index + 1),
            SLOTS,
            &record,
            work,
        )?);
    }
    let rule = Rule {
        name: "pay",
        kind: "non_idempotent",
        prefix: "/pay/",
        service: "cashier",
        timeout: "1500ms",
    };
    store.put("op/config", &configuration(7, &[rule], &["cashier"]));
    let bounds = Bounds {
        memory_mb: 260,
        grace: "6s",
    };
    let Some(nodes) = start_nodes(&folder, &servers, &store, &bounds)? else {
        return Ok(cannot_run("a node did not become ready"));
    };
    // Longer than `stable_window`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(4));

    let stop: Stop = Arc::new(AtomicBool::new(false));
    let payments: Arc<Mutex<Vec<Payment>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for node in &nodes {
        for _ in 0..CLIENTS {
            let (address, record, stop) = (node.callers(), record.clone(), Arc::clone(&stop));
            let (payments, next) = (Arc::clone(&payments), Arc::clone(&next));
            clients.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("p{:05}", next.fetch_add(1, Ordering::Relaxed));
                    let seen = pay(address, &id);
                    record.line(&format!("client of {id} sees {seen:?}"));
                    payments.lock().unwrap().push(Payment { id, seen });
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    for _ in 0..PERIODS {
        thread::sleep(CALM);
        let sends_second_answers = &servers[0].sends_second_answers;
        sends_second_answers.store(!is_calm(), Ordering::Relaxed);
        thread::sleep(FAULTY);
        sends_second_answers.store(false, Ordering::Relaxed);
    }
    thread::sleep(CALM);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let payments = payments.lock().unwrap();
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    for Payment { id, seen } in payments.iter() {
        let runs: usize = servers.iter().map(|server| server.run_count(id)).sum();
        if runs > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} ran {runs} times, its client saw {seen:?}"
            ));
        }
        if runs > 0
            && matches!(
                seen,
                Seen::Answer {
                    status: 408 | 421 | 429 | 503,
                    ..
                }
            )
        {
            refused += 1;
            record.line(&format!("REFUSED: {id} ran, its client saw {seen:?}"));
        }
        served += usize::from(matches!(seen, Seen::Answer { status: 200, .. }));
    }
    let second = servers[0].second_answers.load(Ordering::Relaxed);
    record.line(&format!(
        "{} payments, {served} served, {second} second answers, {twice} ran twice, {refused} refused though run",
        payments.len()
    ));
    if payments.is_empty() || served == 0 {
        return Ok(cannot_run("no payment was served"));
    }
    Ok(if twice > 0 { BROKEN } else { HELD })
}

/// Sends one payment on a new connection and waits for its answer.
fn pay(address: std::net::SocketAddr, id: &str) -> Seen {
    let attempt = || -> io::Result<Seen> {
        let mut client = Client::connect(address)?;
        client.send("POST", "/pay/x", id, DEADLINE_MS, 200)?;
        Ok(client.receive().0)
    };
    attempt().unwrap_or_else(|error| Seen::Cut(error.to_string()))
}
