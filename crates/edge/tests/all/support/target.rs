//! A fake target whose behaviour each request selects.
//!
//! The last segment of the request's path names the behaviour; see [`answer`].

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use hornbeamhitch_edge::http1::{self, Framing, HttpReader, RequestHead};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::{DIGEST, LEAVING, LOAD, MAX_REQUESTS_PER_S, NOT_RUN, REQUEST_ID, WARM_UP_LEFT_MS};

/// A request that the target has run.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    pub head: RequestHead,
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
struct Journal {
    ran: Mutex<Vec<RecordedRun>>,
    /// Notified when a request crashes the target.
    crashed: tokio::sync::Notify,
    /// Runs with the behaviour `wait` end once this is true.
    is_released: tokio::sync::watch::Sender<bool>,
    /// Number of runs during which the connection was closed.
    cancelled: AtomicU32,
    connections: AtomicU32,
    slowness_percent: AtomicU32,
    /// Health checks are answered as by a target that is still starting.
    is_starting: AtomicBool,
    /// Remaining warm-up in milliseconds that health checks report; 0 reports none.
    warm_up_left_ms: AtomicU32,
    /// Limit in requests per second that all answers state; empty states none.
    max_requests_per_s: Mutex<String>,
    /// Whether all answers state that the target is leaving.
    states_leaving: AtomicBool,
    /// Health checks report that the target is leaving.
    is_leaving: AtomicBool,
    /// Connections that were idle for longer than this are closed on the next request,
    /// which resets it. 0 disables this.
    reset_idle_after_ms: AtomicU32,
    /// The behaviour for requests that do not name one.
    default_behaviour: Mutex<String>,
    /// The target id that requests must expect; others get status 421.
    target_id: Mutex<String>,
}

/// A fake target on a loopback address.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    pub address: SocketAddr,
    journal: Arc<Journal>,
    /// The task that accepts connections. It ends when the target crashes, and new
    /// connections are then refused.
    accepting: Arc<tokio::task::JoinHandle<()>>,
}

impl Journal {
    /// Header fields of all answers in which the target makes statements about itself.
    fn statements(&self) -> String {
        let mut fields = String::new();
        let limit = self.max_requests_per_s.lock();
        if !limit.is_empty() {
            fields.push_str(&format!("{MAX_REQUESTS_PER_S}: {limit}\r\n"));
        }
        if self.states_leaving.load(Ordering::Relaxed) {
            fields.push_str(&format!("{LEAVING}: 1\r\n"));
        }
        fields
    }
}

impl FakeTarget {
    pub async fn start(ip: IpAddr, target_id: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let journal = Arc::new(Journal::default());
        journal.slowness_percent.store(100, Ordering::Relaxed);
        *journal.default_behaviour.lock() = "ok".to_owned();
        let served_journal = Arc::clone(&journal);
        *journal.target_id.lock() = target_id.to_owned();
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                // As in a real crash, the listener and all connections close together. A
                // real target is back after some seconds.
                let crashed = served_journal.crashed.notified();
                let (stream, _) = tokio::select! {
                    stream = listener.accept() => stream.expect("accepted"),
                    () = crashed => return,
                };
                served_journal.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve(stream, Arc::clone(&served_journal)));
            }
        });
        Self {
            address,
            journal,
            accepting: Arc::new(accepting),
        }
    }

    /// Whether a request has crashed the target.
    pub fn has_crashed(&self) -> bool {
        self.accepting.is_finished()
    }

    /// The requests that ran, in order.
    pub fn ran(&self) -> Vec<RecordedRun> {
        self.journal.ran.lock().clone()
    }

    /// The number of runs of a request.
    pub fn run_count(&self, request_id: &str) -> usize {
        let ran = self.journal.ran.lock();
        ran.iter()
            .filter(|ran| http1::field(&ran.head.fields, REQUEST_ID) == Some(request_id))
            .count()
    }

    pub fn cancelled(&self) -> u32 {
        self.journal.cancelled.load(Ordering::Relaxed)
    }

    /// Ends the runs with the behaviour `wait`, now and from now on.
    pub fn release(&self) {
        self.journal.is_released.send_replace(true);
    }

    pub fn connections(&self) -> u32 {
        self.journal.connections.load(Ordering::Relaxed)
    }

    pub fn set_slowness(&self, percent: u32) {
        self.journal
            .slowness_percent
            .store(percent, Ordering::Relaxed);
    }

    /// Makes health checks fail without a load report, as while a target starts.
    pub fn set_starting(&self, is_starting: bool) {
        self.journal
            .is_starting
            .store(is_starting, Ordering::Relaxed);
    }

    /// Makes health checks report that the target is leaving. It continues to serve.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.journal.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Sets the remaining warm-up that health checks report.
    pub fn set_warm_up_left_ms(&self, left_ms: Option<u32>) {
        let left_ms = left_ms.unwrap_or_default();
        self.journal
            .warm_up_left_ms
            .store(left_ms, Ordering::Relaxed);
    }

    /// Sets the limit in requests per second that all answers state.
    pub fn set_max_requests_per_s(&self, limit: Option<&str>) {
        *self.journal.max_requests_per_s.lock() = limit.unwrap_or_default().to_owned();
    }

    /// Sets whether all answers state that the target is leaving.
    pub fn state_leaving(&self, is_leaving: bool) {
        self.journal
            .states_leaving
            .store(is_leaving, Ordering::Relaxed);
    }

    /// From now on, drops connections without notice once they are idle for this long.
    pub fn reset_idle_after(&self, span: Duration) {
        let ms = u32::try_from(span.as_millis()).expect("a short span");
        self.journal
            .reset_idle_after_ms
            .store(ms, Ordering::Relaxed);
    }

    /// From now on, serves only requests that expect this target id.
    pub fn set_target_id(&self, target_id: &str) {
        *self.journal.target_id.lock() = target_id.to_owned();
    }

    /// Sets the behaviour for requests that do not name one.
    pub fn set_default_behaviour(&self, behaviour: &str) {
        *self.journal.default_behaviour.lock() = behaviour.to_owned();
    }
}

async fn serve(stream: TcpStream, journal: Arc<Journal>) {
    let (reader, mut writer) = stream.into_split();
    let mut reader = HttpReader::new(reader);
    let mut idle_since = std::time::Instant::now();
    while let Ok(head) = reader.request_head(64 * 1024).await {
        let reset_idle_after_ms = journal.reset_idle_after_ms.load(Ordering::Relaxed);
        let idle_ms = idle_since.elapsed().as_millis();
        if reset_idle_after_ms > 0 && idle_ms > u128::from(reset_idle_after_ms) {
            return;
        }
        if !answer(&mut reader, &mut writer, head, &journal).await {
            return;
        }
        idle_since = std::time::Instant::now();
    }
}

/// Handles one request with the behaviour that it names. Returns false when the
/// connection must end.
async fn answer(
    reader: &mut HttpReader<OwnedReadHalf>,
    writer: &mut OwnedWriteHalf,
    head: RequestHead,
    journal: &Journal,
) -> bool {
    let load = journal.slowness_percent.load(Ordering::Relaxed);
    let statements = journal.statements();
    if head.path == "/health" && journal.is_starting.load(Ordering::Relaxed) {
        let text = "HTTP/1.1 503 Starting\r\nContent-Length: 0\r\n\r\n";
        return writer.write_all(text.as_bytes()).await.is_ok();
    }
    if head.path == "/health" && journal.is_leaving.load(Ordering::Relaxed) {
        let text = format!("HTTP/1.1 503 Leaving\r\n{LOAD}: {load}\r\nContent-Length: 0\r\n\r\n");
        return writer.write_all(text.as_bytes()).await.is_ok();
    }
    if head.path == "/health" {
        let left_ms = journal.warm_up_left_ms.load(Ordering::Relaxed);
        let warm_up = match left_ms {
            0 => String::new(),
            _ => format!("{WARM_UP_LEFT_MS}: {left_ms}\r\n"),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\n{LOAD}: {load}\r\n{warm_up}{statements}Content-Length: 0\r\n\r\n"
        );
        return writer.write_all(text.as_bytes()).await.is_ok();
    }
    let id = http1::field(&head.fields, REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    let expected = http1::field(&head.fields, super::EXPECTED_TARGET);
    if expected.is_some_and(|expected| expected != *journal.target_id.lock()) {
        let text = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
        return writer.write_all(text.as_bytes()).await.is_ok();
    }
    let path_name = head.path.rsplit('/').next().unwrap_or_default().to_owned();
    let behaviour = match path_name.as_str() {
        "" => journal.default_behaviour.lock().clone(),
        name => name.to_owned(),
    };
    let success = |body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{DIGEST}: d-{id}\r\n{LOAD}: {load}\r\n\
             {statements}X-Own: kept\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    };
    if behaviour == "shed" {
        let text = format!("HTTP/1.1 503 Busy\r\n{NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n");
        let framing = head.framing().unwrap_or(Framing::Length(0));
        let _ = reader.body(framing, u64::MAX).await;
        return writer.write_all(text.as_bytes()).await.is_ok();
    }
    let head_framing = head.framing().unwrap_or(Framing::Length(0));
    if behaviour == "early" {
        journal.ran.lock().push(RecordedRun {
            head,
            body: Vec::new(),
        });
        // Answers at once and reads the body later, on the same connection.
        let framing = head_framing;
        let is_written = writer.write_all(success("early").as_bytes()).await.is_ok();
        tokio::time::sleep(Duration::from_millis(50)).await;
        return is_written && reader.body(framing, u64::MAX).await.is_ok();
    }
    if let Some(delay_ms) = behaviour.strip_prefix("early-reset-") {
        let delay_ms = delay_ms.parse().expect("a delay in milliseconds");
        journal.ran.lock().push(RecordedRun {
            head,
            body: Vec::new(),
        });
        let text = success("a part").replace("Content-Length: 6\r\n", "");
        let _ = writer.write_all(text.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        // The connection is reset when it is closed.
        let _ = SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
        return false;
    }
    let Ok(body) = reader.body(head_framing, u64::MAX).await else {
        return false;
    };
    journal.ran.lock().push(RecordedRun {
        head,
        body: body.to_vec(),
    });
    let text = match behaviour.as_str() {
        "fail" => format!(
            "HTTP/1.1 500 Failed\r\n{REQUEST_ID}: {id}\r\n{DIGEST}: d-{id}\r\nContent-Length: 4\r\n\r\nfail"
        ),
        "full" => format!("HTTP/1.1 503 Full\r\n{REQUEST_ID}: {id}\r\nContent-Length: 0\r\n\r\n"),
        "break" => return false,
        "crash" => {
            journal.crashed.notify_one();
            return std::future::pending().await;
        }
        "cut" => {
            let text = success("a whole body");
            let _ = writer.write_all(&text.as_bytes()[..text.len() - 4]).await;
            return false;
        }
        "garbage" => "this is no answer\r\n\r\n".to_owned(),
        "twice" => format!("{}{}", success("first"), success("second")),
        "foreign" => format!(
            "{}{}",
            success("theirs").replace(&id, "another"),
            success("mine")
        ),
        "unsigned" => success("unsigned").replace(DIGEST, "T-Other"),
        "no-status" => success("odd").replace("200 OK", "000 Odd"),
        "until-close" => {
            let text = success("open").replace("Content-Length: 4\r\n", "");
            let _ = writer.write_all(text.as_bytes()).await;
            return false;
        }
        "hang" => {
            // Waits until the sender closes the connection; it sends nothing more.
            let _ = reader.wait_for_bytes().await;
            journal.cancelled.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        "wait" => {
            let mut is_released = journal.is_released.subscribe();
            let _ = is_released.wait_for(|is_released| *is_released).await;
            success("waited")
        }
        "slow" => {
            tokio::time::sleep(Duration::from_millis(120)).await;
            success("slow")
        }
        _ => success(&format!("served {}", body.len())),
    };
    writer.write_all(text.as_bytes()).await.is_ok()
}

/// Waits until `holds` returns true.
///
/// # Panics
///
/// The condition did not hold within 10 s of the runtime's clock.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    assert!(waited.is_ok(), "timed out waiting until {what}");
}

/// The number of runs by request id, over several targets.
pub fn runs(targets: &[&FakeTarget]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for target in targets {
        for ran in target.ran() {
            let id = http1::field(&ran.head.fields, REQUEST_ID).unwrap_or_default();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    runs
}
