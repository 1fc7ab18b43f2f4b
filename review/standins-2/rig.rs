//! Stand-ins for the review: the platform's store, upstreams, clients and node processes, on
//! loopback addresses. Uses the standard library only.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9464;
/// Time after which a script ends, whatever it waits for.
const TIME_LIMIT: Duration = Duration::from_secs(105);

/// Ids of the node processes that run.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all node processes and the program with 2 when the time limit has passed.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for pid in PIDS.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
        eprintln!("the time limit has passed");
        std::process::exit(2);
    });
}

/// Writes lines to `record.txt` with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        Arc::new(Self {
            file: Mutex::new(File::create(folder.join("record.txt")).expect("record.txt")),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:9.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

// ---------------------------------------------------------------- HTTP

/// A parsed head with its fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Buffered reader of HTTP messages with lengths.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the peer closed the connection before one.
    pub fn head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let mut head = Head {
                    first: lines.next().unwrap_or("").to_owned(),
                    ..Head::default()
                };
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        head.fields
                            .push((name.trim().to_owned(), value.trim().to_owned()));
                    }
                }
                return Ok(Some(head));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body of this length; fails if it ends early.
    pub fn body(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Watches from an earlier revision get status 410.
    oldest: u64,
}

/// A change, which the store remembers for [`HISTORY`].
struct Event {
    at: Instant,
    rev: u64,
    key: String,
    item: Option<Item>,
}

/// `platform.history` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

impl StoreState {
    fn add_event(&mut self, rev: u64, key: &str, item: Option<Item>) {
        let now = Instant::now();
        let key = key.to_owned();
        self.history.push(Event {
            at: now,
            rev,
            key,
            item,
        });
        while let Some(first) = self.history.first() {
            if now - first.at < HISTORY {
                break;
            }
            self.oldest = first.rev;
            self.history.remove(0);
        }
    }

    fn drop_old_events(&mut self) {
        let now = Instant::now();
        while let Some(first) = self.history.first() {
            if now - first.at < HISTORY {
                break;
            }
            self.oldest = first.rev;
            self.history.remove(0);
        }
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// An address of the store.
pub struct Door {
    pub address: SocketAddr,
    closed_until: Arc<Mutex<Option<Instant>>>,
}

impl Door {
    /// Answers all reads at this address with status 503 for this long.
    pub fn close_for(&self, span: Duration) {
        *self.closed_until.lock().unwrap() = Some(Instant::now() + span);
    }
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            if place > three.len() {
                text.push('=');
            } else {
                text.push(char::from(SET[(word >> (18 - 6 * place) & 63) as usize]));
            }
        }
    }
    text
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let state = StoreState {
            revision: 1,
            ..StoreState::default()
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream, &Mutex::default()));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        let created = state.items.get(key).map_or(rev, |known| known.created);
        let item = Item {
            value: base64(value.as_bytes()),
            rev,
            created,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.add_event(rev, key, Some(item));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        state.items.remove(key);
        state.add_event(rev, key, None);
        self.state.1.notify_all();
    }

    /// Opens another address of the store, which can turn away whoever reads there.
    pub fn open_door(&self, ip: IpAddr) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let door = Door {
            address: listener.local_addr().unwrap(),
            closed_until: Arc::default(),
        };
        let (store, closed_until) = (self.clone(), Arc::clone(&door.closed_until));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, closed_until) = (store.clone(), Arc::clone(&closed_until));
                thread::spawn(move || store.serve(stream, &closed_until));
            }
        });
        door
    }

    fn serve(&self, stream: TcpStream, closed_until: &Mutex<Option<Instant>>) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let path = head.path().to_owned();
            let is_closed = || {
                closed_until
                    .lock()
                    .unwrap()
                    .is_some_and(|at| Instant::now() < at)
            };
            let (mut status, mut body) = match is_closed() {
                true => (503, "{}".to_owned()),
                false => self.respond(&path),
            };
            if is_closed() {
                (status, body) = (503, "{}".to_owned());
            }
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, path: &str) -> (u16, String) {
        let (endpoint, query) = path.split_once('?').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.replace("%2F", "/"))
                .unwrap_or_default()
        };
        let mut state = self.state.0.lock().unwrap();
        state.drop_old_events();
        let prefix = parameter("prefix");
        match endpoint {
            "/v1/kv-range" => {
                let after = parameter("after");
                let mut items = Vec::new();
                for (key, item) in &state.items {
                    if key.starts_with(&prefix) && key.as_str() > after.as_str() {
                        items.push(item_json(key, Some(item), item.rev));
                    }
                }
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            "/v1/kv-key" => {
                let key = parameter("key");
                match state.items.get(&key) {
                    None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
                    Some(item) => {
                        let text = item_json(&key, Some(item), item.rev);
                        (
                            200,
                            format!(
                                "{},\"store_revision\":{}}}",
                                &text[..text.len() - 1],
                                state.revision
                            ),
                        )
                    }
                }
            }
            "/v1/kv-watch" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait_ms: u64 = parameter("wait_ms").parse().unwrap_or(0);
                if after < state.oldest {
                    return (410, "{}".to_owned());
                }
                let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                loop {
                    let mut events = Vec::new();
                    for Event { rev, key, item, .. } in &state.history {
                        if *rev > after && key.starts_with(&prefix) {
                            events.push(item_json(key, item.as_ref(), *rev));
                        }
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"store_revision\":{}}}",
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: Option<&Item>, rev: u64) -> String {
    match item {
        Some(Item {
            value,
            rev,
            created,
        }) => {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created_rev\":{created},\"lease\":0}}"
            )
        }
        None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}"),
    }
}

// ---------------------------------------------------------------- upstreams

/// One request at an upstream.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> &str {
        self.head.field("X-Hornbeamhitch-Request-Id").unwrap_or("")
    }
}

/// What an upstream did with a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub began: Instant,
    /// When the whole answer had been written to the connection.
    pub answered: Option<Instant>,
}

/// Runs of all upstreams.
pub type Journal = Arc<Mutex<Vec<Run>>>;

/// Makes the body of an answer; may take as long as the work does.
pub type Work = Arc<dyn Fn(&Request) -> Vec<u8> + Send + Sync>;

/// An upstream beside a node.
#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    pub id: String,
    pub slots: u32,
    journal: Journal,
    work: Work,
}

impl Upstream {
    pub fn start(ip: IpAddr, id: &str, slots: u32, journal: &Journal, work: Work) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the upstream");
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            id: id.to_owned(),
            slots,
            journal: Arc::clone(journal),
            work,
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                thread::spawn(move || {
                    let _ = upstream.serve(stream);
                });
            }
        });
        upstream
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut conn = Conn::new(stream);
        while let Some(head) = conn.head()? {
            let body = conn.body(head.length())?;
            let request = Request { head, body };
            let load = format!("X-Hornbeamhitch-Server-Load: 0,0,{},100\r\n", self.slots);
            if request.head.path() == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Instance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n",
                    self.id
                );
                conn.stream.write_all(text.as_bytes())?;
                continue;
            }
            let id = request.id().to_owned();
            if request
                .head
                .field("X-Hornbeamhitch-Expected-Instance")
                .is_some_and(|expected| expected != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected\r\nX-Hornbeamhitch-Request-Id: {id}\r\nX-Hornbeamhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                conn.stream.write_all(text.as_bytes())?;
                continue;
            }
            let index = {
                let mut journal = self.journal.lock().unwrap();
                journal.push(Run {
                    id: id.clone(),
                    upstream: self.id.clone(),
                    began: Instant::now(),
                    answered: None,
                });
                journal.len() - 1
            };
            let answer = (self.work)(&request);
            let digest = digest(&answer);
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Request-Id: {id}\r\nX-Hornbeamhitch-Response-Signature: {digest}\r\n{load}Content-Length: {}\r\n\r\n",
                answer.len()
            );
            conn.stream.write_all(text.as_bytes())?;
            conn.stream.write_all(&answer)?;
            self.journal.lock().unwrap()[index].answered = Some(Instant::now());
        }
        Ok(())
    }

    /// Entry of this upstream in the store, at the machine `ip`.
    pub fn entry(&self, service: &str, ip: IpAddr, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{ip}:{}\",\"zone\":\"z-1\",\"version\":\"1\",\"slots\":{},\"state\":\"{state}\",\"warmup_left\":\"0s\",\"seq\":1,\"born\":1}}",
            self.address.port(),
            self.slots
        )
    }
}

/// A digest that shows whether a body is whole.
pub fn digest(body: &[u8]) -> String {
    let mut sum = 0xcbf2_9ce4_8422_2325_u64;
    for byte in body {
        sum = (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{:x}.{sum:016x}", body.len())
}

// ---------------------------------------------------------------- nodes

/// Ports that all nodes share, and one loopback address for each machine.
pub struct Net {
    pub ips: Vec<IpAddr>,
    pub outbound: u16,
    pub readiness: u16,
    pub links: u16,
}

impl Net {
    /// Finds free addresses and ports for this many machines.
    pub fn find(machines: u8) -> Self {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let mixed = (seed + attempt * 7919).wrapping_mul(2_654_435_761);
            let (second, third) = ((mixed >> 8) as u8 % 200 + 30, (mixed >> 16) as u8);
            let base = 10_000 + (mixed >> 3) as u16 % 12_000;
            let mut ips = Vec::new();
            for last in 1..=machines {
                ips.push(IpAddr::V4(Ipv4Addr::new(127, second, third, last)));
            }
            let net = Self {
                ips,
                outbound: base,
                readiness: base + 1,
                links: base + 2,
            };
            if net.is_free() {
                return net;
            }
        }
        panic!("no free addresses");
    }

    fn is_free(&self) -> bool {
        self.ips.iter().all(|ip| {
            [self.outbound, self.readiness, self.links, METRICS_PORT]
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
        })
    }
}

/// A node process with its settings.
pub struct Node {
    pub ip: IpAddr,
    pub outbound: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node and starts it. `bounds` replaces usual lines.
    pub fn start(
        net: &Net,
        index: usize,
        service: &str,
        upstream: &Upstream,
        store: SocketAddr,
        folder: &Path,
        changed: &[(&str, &str)],
    ) -> Self {
        let ip = net.ips[index];
        let mut lines: Vec<(String, String)> = [
            ("node_name", format!("sidecar-z-1-{index}")),
            ("role", "node".to_owned()),
            ("machine_class", "sidecar".to_owned()),
            ("serves", "sidecar".to_owned()),
            ("ip", ip.to_string()),
            ("zone", "z-1".to_owned()),
            ("region", "z".to_owned()),
            ("zones.z-1", "z".to_owned()),
            ("listen_addrs.inbound", format!("{ip}:1")),
            ("listen_addrs.outbound", format!("{ip}:{}", net.outbound)),
            ("listen_addrs.readiness", format!("{ip}:{}", net.readiness)),
            ("port_range", format!("{},{}", net.links, net.links + 15)),
            ("limits.cpu_share", "0.5".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.memory_mb", "160".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
            ("heartbeat", "1500ms".to_owned()),
            ("bounds.stable_window", "3000ms".to_owned()),
            ("bounds.drain", "2000ms".to_owned()),
            ("bounds.grace", "6s".to_owned()),
            ("bounds.loss_slack", "200ms".to_owned()),
            ("bounds.config", "2000ms".to_owned()),
            ("bounds.rollback_slack", "250ms".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window", "10s".to_owned()),
            ("bounds.retry_budget_slack", "64".to_owned()),
            ("app_addr", upstream.address.to_string()),
            ("service", service.to_owned()),
            ("platform.address", store.to_string()),
            ("platform.form", "read".to_owned()),
        ]
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect();
        for (key, value) in changed {
            lines.retain(|(known, _)| known != key);
            lines.push(((*key).to_owned(), (*value).to_owned()));
        }
        let mut text = String::new();
        for (key, value) in lines {
            let _ = writeln!(text, "{key}={value}");
        }
        let settings = folder.join(format!("node-{index}.conf"));
        std::fs::write(&settings, text).expect("settings");
        let mut node = Self {
            ip,
            outbound: SocketAddr::new(ip, net.outbound),
            readiness: SocketAddr::new(ip, net.readiness),
            settings,
            log: folder.join(format!("node-{index}.log")),
            child: None,
        };
        node.spawn();
        node
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new("target/release/hornbeamhitch-platform")
            .env("HORNBEAMHITCH_NODE_FILE", &self.settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                PIDS.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("the program can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by name to this process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.pid().to_string()])
            .status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself; the reason if so.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        let _ = conn
            .stream
            .write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Resident memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/statm", self.pid())).unwrap_or_default();
        text.split(' ')
            .nth(1)
            .and_then(|pages| pages.parse::<u64>().ok())
            .unwrap_or(0)
            * 4096
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready; ends the program with 2 if they are not in time.
pub fn wait_ready(nodes: &[Node]) {
    let until = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            eprintln!("the nodes don't become ready");
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(4));
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout: &'a str,
}

/// A configuration with these routes of one host.
pub fn configuration(version: u32, host: &str, routes: &[Route<'_>], services: &[&str]) -> String {
    let mut rules = Vec::new();
    for Route {
        name,
        kind,
        prefix,
        service,
        timeout,
    } in routes
    {
        rules.push(format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"target_latency\":\"1000ms\",\"priority\":1,\"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeout\":\"{timeout}\",\"max_attempts\":3}}}}"
        ));
    }
    let clusters: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\"}}"))
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}},\"listeners\":[{{\"host\":\"{host}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    )
}

/// Folder for settings and logs, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
