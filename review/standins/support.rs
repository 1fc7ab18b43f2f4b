//! Stand-ins for the scripts of the review: the platform's store, servers, clients and the
//! settings of node processes. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Path of the program that the deploy file starts.
pub const PROGRAM: &str = "target/release/hornbeamhitch-platform";

/// Exit status of a script whose rule was kept.
pub const HELD: i32 = 0;
/// Exit status of a script whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a script that could not run.
pub const NOT_RUN: i32 = 2;

/// Writes `record.txt`, with the time since the start in each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
        println!("{at:9.3} s  {text}");
    }
}

/// Prints why a script cannot run, and returns the exit status for that.
pub fn cannot_run(reason: &str) -> i32 {
    eprintln!("cannot run: {reason}");
    NOT_RUN
}

/// A loopback address of this run for a machine. The process id keeps runs apart.
pub fn machine_ip(number: u8) -> IpAddr {
    let id = std::process::id();
    let (high, low) = ((id >> 8) as u8, id as u8);
    IpAddr::from([127, 64 | (high & 63), low, number])
}

// ---------------------------------------------------------------- HTTP

/// Head of an HTTP/1.1 message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. Returns `None` if the connection ended before its first byte.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return match head.first_line.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end().to_owned();
            if head.first_line.is_empty() {
                head.first_line = line;
            } else if line.is_empty() {
                return Ok(Some(head));
            } else if let Some((name, value)) = line.split_once(':') {
                head.fields.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        let length = self.field("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        let value = self.field("connection").unwrap_or_default();
        value.eq_ignore_ascii_case("close")
    }
}

/// Reads and counts a body.
pub fn skip_body(reader: &mut impl Read, length: usize) -> io::Result<()> {
    let read = io::copy(&mut reader.take(length as u64), &mut io::sink())?;
    match read == length as u64 {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// What a client has seen of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A complete response with this status, and whether an upstream has signed it.
    Answer { status: u16, signed: bool },
    /// The connection ended without a complete response.
    Cut(String),
}

/// A connection of a client to a node.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request with a body of this many bytes.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body_bytes: usize,
    ) -> io::Result<()> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: review.example\r\n\
             X-Hornbeamhitch-Request-Id: {id}\r\n\
             X-Hornbeamhitch-Deadline-Ms: {deadline_ms}\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        let stream = self.reader.get_mut();
        stream.write_all(head.as_bytes())?;
        let block = vec![b'b'; 64 * 1024];
        let mut left = body_bytes;
        while left > 0 {
            let count = left.min(block.len());
            stream.write_all(&block[..count])?;
            left -= count;
        }
        Ok(())
    }

    /// Waits for the response. The second value tells whether the connection stays open.
    pub fn receive(&mut self) -> (Seen, bool) {
        match self.read_response() {
            Ok((seen, keeps)) => (seen, keeps),
            Err(error) => (Seen::Cut(error.to_string()), false),
        }
    }

    fn read_response(&mut self) -> io::Result<(Seen, bool)> {
        let Some(head) = Head::read(&mut self.reader)? else {
            return Ok((Seen::Cut("closed without a response".to_owned()), false));
        };
        skip_body(&mut self.reader, head.length())?;
        let signed = head.field("X-Hornbeamhitch-Response-Signature").is_some();
        let status = head.status();
        Ok((Seen::Answer { status, signed }, !head.closes()))
    }
}

// ---------------------------------------------------------------- store

struct StoreState {
    revision: u64,
    /// Value, revision and revision of creation by key.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Changes in order: revision, key, and the value unless the item was removed.
    history: Vec<(u64, String, Option<String>)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((machine_ip(250), 0))?;
        let state = StoreState {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
        };
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        let created = state.items.get(key).map_or(rev, |item| item.2);
        let value = base64(value.as_bytes());
        state
            .items
            .insert(key.to_owned(), (value.clone(), rev, created));
        state.history.push((rev, key.to_owned(), Some(value)));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let (status, body) = self.respond(head.second_word());
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, path: &str) -> (u16, String) {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map_or("", |(_, value)| value).to_owned()
        };
        match call {
            "/v1/kv-range" => self.range(&parameter("prefix"), &parameter("after")),
            "/v1/kv-key" => self.key(&parameter("key")),
            "/v1/kv-watch" => {
                let number = |name| parameter(name).parse().unwrap_or(0);
                self.watch(&parameter("prefix"), number("after"), number("wait_ms"))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut items = Vec::new();
        for (key, (value, rev, created)) in &state.items {
            if key.starts_with(prefix) && (after.is_empty() || key.as_str() > after) {
                items.push(item_json(key, Some(value), *rev, *created));
            }
        }
        let (items, revision) = (items.join(","), state.revision);
        let body = format!(r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#);
        (200, body)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some((value, rev, created)) => (200, item_json(key, Some(value), *rev, *created)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut events = Vec::new();
            for (rev, key, value) in &state.history {
                if *rev > after && key.starts_with(prefix) {
                    events.push(item_json(key, value.as_ref(), *rev, *rev));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, value: Option<&String>, rev: u64, created: u64) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","rev":{rev},"created_rev":{created},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","rev":{rev},"tombstone":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// A route of the configuration.
pub struct Rule<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout: &'a str,
}

/// The operator's configuration, in the form that the pages show.
pub fn configuration(version: u32, rules: &[Rule<'_>], services: &[&str]) -> String {
    let mut rules_json = Vec::new();
    for rule in rules {
        let Rule {
            name,
            kind,
            prefix,
            service,
            timeout,
        } = rule;
        rules_json.push(format!(
            r#"{{"name":"{name}","kind":"{kind}","target_latency":"600ms","priority":1,"match":{{"prefix":"{prefix}"}},"action":{{"service":"{service}","timeout":"{timeout}","max_attempts":2}}}}"#
        ));
    }
    let mut clusters = Vec::new();
    for name in services {
        clusters.push(format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":260,"protocol":"h1","tls":false}}"#
        ));
    }
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"base_version":"00000000","listeners":[{{"host":"review.example","rules":[{}]}}],"clusters":[{}]}}"#,
        rules_json.join(","),
        clusters.join(",")
    )
}

// ---------------------------------------------------------------- servers

/// How a server serves one request that it runs.
pub type Work = Arc<dyn Fn(&Head, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// An upstream. It runs as many requests at once as it has slots and queues the others.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub slots: usize,
    /// Ids of the requests that it ran.
    pub runs: Arc<Mutex<Vec<String>>>,
    running: Arc<(Mutex<usize>, Condvar)>,
    waiting: Arc<AtomicUsize>,
    record: Record,
    work: Work,
    /// Whether it now sends a second answer after some of its answers.
    pub sends_second_answers: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    /// Number of second answers that it has sent.
    pub second_answers: Arc<AtomicUsize>,
}

/// A server that sends second answers sends one after each of this many answers.
pub const SECOND_ANSWER_ONE_IN: usize = 34;
/// The second answer: a server that sheds, as the users' wire examples show it.
const SECOND_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Hornbeamhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        ip: IpAddr,
        slots: usize,
        record: &Record,
        work: Work,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            slots,
            runs: Arc::default(),
            running: Arc::new((Mutex::new(0), Condvar::new())),
            waiting: Arc::default(),
            record: record.clone(),
            work,
            sends_second_answers: Arc::default(),
            answers: Arc::default(),
            second_answers: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || {
                    // A connection that breaks ends its requests.
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// The entry that the server writes to the store.
    pub fn list(&self, store: &Store) {
        let Self {
            id,
            address,
            service,
            slots,
            ..
        } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"z-a","version":"v1","slots":{slots},"state":"ready","warmup_left":"0ms","seq":4}}"#
            ),
        );
    }

    /// Number of times that a request ran.
    pub fn run_count(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| *run == id).count()
    }

    fn load(&self) -> String {
        let running = *self.running.0.lock().unwrap();
        let waiting = self.waiting.load(Ordering::Relaxed);
        format!(
            "X-Hornbeamhitch-Server-Load: {running},{waiting},{},100\r\n",
            self.slots
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut owes_second_answer = false;
        while let Some(head) = Head::read(&mut reader)? {
            skip_body(&mut reader, head.length())?;
            let id = head
                .field("X-Hornbeamhitch-Request-Id")
                .unwrap_or_default()
                .to_owned();
            let sends_second_answer = std::mem::take(&mut owes_second_answer);
            if sends_second_answer {
                // It arrives late, where the answer to this request is expected.
                let count = self.second_answers.fetch_add(1, Ordering::Relaxed) + 1;
                let name = &self.id;
                let path = head.second_word();
                self.record.line(&format!(
                    "server {name} sends second answer {count} late, where that to {path} {id} is expected"
                ));
            }
            if sends_second_answer && head.second_word() == "/healthz" {
                writer.write_all(SECOND_ANSWER)?;
            }
            if head.second_word() == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Instance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.id,
                    self.load()
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            if head.field("X-Hornbeamhitch-Expected-Instance") != Some(self.id.as_str()) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Hornbeamhitch-Request-Id: {id}\r\n\
                     X-Hornbeamhitch-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            self.wait_for_slot();
            self.runs.lock().unwrap().push(id.clone());
            let name = &self.id;
            self.record.line(&format!("server {name} runs {id}"));
            if sends_second_answer {
                writer.write_all(SECOND_ANSWER)?;
            }
            let done = (self.work)(&head, &mut writer);
            let (running, freed) = &*self.running;
            *running.lock().unwrap() -= 1;
            freed.notify_one();
            let how = match &done {
                Ok(()) => "has answered".to_owned(),
                Err(error) => format!("could not answer ({error})"),
            };
            self.record.line(&format!("server {name} {how} {id}"));
            done?;
            if self.sends_second_answers.load(Ordering::Relaxed) {
                let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                owes_second_answer = answers % SECOND_ANSWER_ONE_IN == 0;
            }
        }
        Ok(())
    }

    fn wait_for_slot(&self) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let (running, freed) = &*self.running;
        let mut running = running.lock().unwrap();
        while *running >= self.slots {
            running = freed.wait(running).unwrap();
        }
        *running += 1;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Head of a successful response to a request, with a body of this length.
pub fn ok_head(request: &Head, body_bytes: usize) -> String {
    let id = request
        .field("X-Hornbeamhitch-Request-Id")
        .unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nX-Hornbeamhitch-Request-Id: {id}\r\n\
         X-Hornbeamhitch-Response-Signature: 3e1b.07.{id}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// Whether the other side has closed a connection on which nothing is due.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Works for a time, and drops the request when its connection closes, as most servers do.
pub fn work_for(span: Duration, stream: &TcpStream) -> io::Result<()> {
    let until = Instant::now() + span;
    while Instant::now() < until {
        if is_closed(stream) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        thread::sleep(
            Duration::from_millis(10).min(until.saturating_duration_since(Instant::now())),
        );
    }
    Ok(())
}

// ---------------------------------------------------------------- nodes

/// Ports of all nodes of a run: for callers, for readiness, and the first of the links.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub readiness: u16,
    pub links: u16,
}

impl Ports {
    /// Finds ports that are free on all of these addresses.
    pub fn find(ips: &[IpAddr]) -> io::Result<Self> {
        let mut found = Vec::new();
        let mut held = Vec::new();
        while found.len() < 3 {
            let first = TcpListener::bind((ips[0], 0))?;
            let port = first.local_addr()?.port();
            if port > 65_000 {
                continue;
            }
            let others: Vec<_> = ips[1..]
                .iter()
                .map(|ip| TcpListener::bind((*ip, port)))
                .collect();
            if others.iter().any(|bound| bound.is_err()) {
                continue;
            }
            held.push((first, others));
            found.push(port);
        }
        Ok(Self {
            callers: found[0],
            readiness: found[1],
            links: found[2],
        })
    }
}

/// A node: one process of the program that the deploy file starts.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings in which the cases differ.
pub struct Bounds {
    pub memory_mb: u64,
    pub grace: &'static str,
}

impl Node {
    /// Writes the settings file, in the form that the pages show, and starts the process.
    pub fn start(
        folder: &Path,
        name: &str,
        server: &Server,
        ports: Ports,
        store: &Store,
        bounds: &Bounds,
    ) -> io::Result<Self> {
        let ip = server.address.ip();
        let Ports {
            callers,
            readiness,
            links,
        } = ports;
        let Bounds { memory_mb, grace } = bounds;
        let text = format!(
            "node_name={name}\nrole=node\nmachine_class=sidecar\nserves=sidecar\nip={ip}\n\
             zone=z-a\nregion=r\nzones.z-a=r\nlisten_addrs.inbound={ip}:{}\n\
             listen_addrs.outbound={ip}:{callers}\nlisten_addrs.readiness={ip}:{readiness}\n\
             port_range={links},{}\nseeds=\nbootstrap=true\ncounts_in_tolerance=false\n\
             limits.cpu_share=0.2\nlimits.cores=1\nlimits.memory_mb={memory_mb}\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=static\nheartbeat=1500ms\n\
             contracts=base,drain,config,cost,retry,recover,health,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag=3s\nbounds.reuse_after=2s\nbounds.stable_window=3000ms\n\
             bounds.ack=4000ms\nbounds.catch_up=4s\nbounds.drain=2000ms\nbounds.grace={grace}\n\
             bounds.loss_slack=200ms\nbounds.config=2000ms\nbounds.rollback_slack=250ms\n\
             bounds.outer=5000ms\nbounds.retry_budget_ratio=0.2\nbounds.budget_window=10s\n\
             bounds.retry_budget_slack=64\nbounds.recover=15s\nbounds.probes_per_s=60\n\
             app_addr={}\nservice={}\nplatform.address={}\nplatform.form=read\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history=20s\n\
             platform.value_bytes=1048576\nplatform.ttl_min=1000ms\n",
            links + 2,
            links + 1,
            server.address,
            server.service,
            store.address,
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let mut node = Self {
            name: name.to_owned(),
            ip,
            ports,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process, also again after its end.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env("HORNBEAMHITCH_NODE_FILE", &self.settings)
            .stdout(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.callers)
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Ends the process at once, as the platform does with SIGKILL, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory of the process in bytes, as the platform counts it.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    /// Answers of the readiness check.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, self.ports.readiness);
        let ask = || -> io::Result<u16> {
            let mut client = Client::connect(address)?;
            let text = "GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n";
            client.reader.get_mut().write_all(text.as_bytes())?;
            let head = Head::read(&mut client.reader)?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Lists the servers and starts a node beside each. Returns `None` if one is not ready in time.
pub fn start_nodes(
    folder: &Folder,
    servers: &[Server],
    store: &Store,
    bounds: &Bounds,
) -> io::Result<Option<Vec<Node>>> {
    let ips: Vec<_> = servers.iter().map(|server| server.address.ip()).collect();
    let ports = Ports::find(&ips)?;
    let mut nodes = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        server.list(store);
        let name = format!("sidecar-{index}");
        nodes.push(Node::start(&folder.0, &name, server, ports, store, bounds)?);
    }
    Ok(nodes.iter().all(Node::wait_until_ready).then_some(nodes))
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Whether the disruption is to be left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// A flag that ends the threads of a run.
pub type Stop = Arc<AtomicBool>;
