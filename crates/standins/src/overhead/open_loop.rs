//! An open loop of callers with persistent connections, which start calls when they
//! are due.
//!
//! Each connection has its own thread and runtime, so that a call does not switch
//! between threads. A due call is made by any free caller. While none is free, its
//! latency already counts.

use std::collections::VecDeque;
use std::net::TcpStream as StdStream;
use std::thread;
use std::time::Instant;

use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use crate::http_server::header_text;
use crate::load::Tally;
use crate::prelude::*;

use super::quantiles::{Durations, durations, record};
use super::schedule::{Schedule, wait_until};

/// Timeout of a call. A call that takes longer counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the runtime to notice that the peer has closed a connection.
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(1);
/// Time for all threads to start before the first call is due.
const START_DELAY: Duration = Duration::from_millis(20);

/// Calls to be made over a time span.
#[derive(Clone, Copy, Debug)]
pub struct OfferedLoad {
    /// Calls per second.
    pub rate_per_s: f64,
    /// Time over which the calls start.
    pub span: Duration,
    /// Seed of the start times.
    pub seed: u64,
}

impl OfferedLoad {
    /// Returns an upper limit on the number of calls, for example to prefetch a
    /// ticket for each.
    #[must_use]
    pub fn max_calls(&self) -> usize {
        let mean = self.rate_per_s * self.span.as_secs_f64();
        // The standard deviation of the number of arrivals is the square root of its
        // mean; six times that is enough.
        (mean + 6.0 * mean.sqrt()).ceil() as usize + 1
    }
}

/// Outcome of an offered load.
#[derive(Debug)]
pub struct Outcome {
    /// Number of calls that were due.
    pub calls: u64,
    /// Number of calls that were not answered with 200, by answer or error.
    pub failures: Tally,
    /// Time from when a call was due to its complete answer, without the lag.
    pub latency: Durations,
    /// Delay with which free callers started a call.
    pub lag: Durations,
}

/// Request template of a series. The path is either the same for all calls or used
/// for a single call.
#[derive(Debug)]
pub struct CallTemplate {
    /// HTTP method.
    pub method: Method,
    /// Value of the `Host` header for routed nodes, whose callers also send a request
    /// id and a deadline. Otherwise `Host` is the address.
    pub host: Option<&'static str>,
    /// Path of calls for which no single-use path is left.
    pub path: String,
    /// Paths that are used for one call each, before `path`.
    pub single_use_paths: Mutex<VecDeque<String>>,
    /// Request body.
    pub body: Bytes,
}

impl CallTemplate {
    fn request(&self, host: SocketAddr) -> Result<Request<Full<Bytes>>> {
        let own = self.single_use_paths.lock().pop_front();
        let path = own.as_ref().unwrap_or(&self.path);
        let mut request = Request::builder().method(&self.method).uri(path.as_str());
        request = match self.host {
            Some(host) => request
                .header(http::header::HOST, host)
                .header(
                    header::REQUEST_ID,
                    format!("{:016x}", rand::random::<u64>()),
                )
                .header(header::DEADLINE_MS, CALL_TIMEOUT.as_millis().to_string()),
            None => request.header(http::header::HOST, host.to_string()),
        };
        Ok(request.body(Full::new(self.body.clone()))?)
    }
}

/// Callers of one address, each with its own connection.
pub struct OpenLoop {
    callers: Vec<Caller>,
}

impl OpenLoop {
    /// Creates callers, which are not yet connected.
    ///
    /// # Errors
    ///
    /// Fails when a runtime cannot be created.
    pub fn new(addr: SocketAddr, connections: usize) -> Result<Self> {
        let mut callers = Vec::new();
        for _ in 0..connections {
            callers.push(Caller::new(addr)?);
        }
        Ok(Self { callers })
    }

    /// Makes all calls of an offered load. Blocks the thread until all have ended.
    ///
    /// # Errors
    ///
    /// Fails when a connection cannot be established.
    pub fn run(&mut self, offered: &OfferedLoad, template: &CallTemplate) -> Result<Outcome> {
        for caller in &mut self.callers {
            caller.connect()?;
        }
        let origin = Instant::now() + START_DELAY;
        let schedule = Schedule::draw(offered.rate_per_s, offered.span, offered.seed, origin);
        let mut outcome = Outcome {
            calls: schedule.len() as u64,
            failures: Tally::new(),
            latency: durations(),
            lag: durations(),
        };
        thread::scope(|scope| {
            let mut running = Vec::new();
            for caller in &mut self.callers {
                let schedule = &schedule;
                running.push(scope.spawn(move || caller.work(schedule, template)));
            }
            for thread in running {
                let part = thread
                    .join()
                    .map_err(|_| eyre!("the thread of a caller panicked"))?;
                outcome.add(&part)?;
            }
            Ok(outcome)
        })
    }
}

impl Outcome {
    fn add(&mut self, part: &CallerOutcome) -> Result<()> {
        for (reason, count) in &part.failures {
            *self.failures.entry(reason.clone()).or_default() += count;
        }
        self.latency.add(&part.latency)?;
        self.lag.add(&part.lag)?;
        Ok(())
    }
}

/// Outcome of the calls of one caller.
struct CallerOutcome {
    failures: Tally,
    latency: Durations,
    lag: Durations,
}

struct Caller {
    addr: SocketAddr,
    runtime: Runtime,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    fn new(addr: SocketAddr) -> Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        Ok(Self {
            addr,
            runtime,
            sender: None,
        })
    }

    fn connect(&mut self) -> Result<()> {
        if self.sender.is_some() {
            // The connection's task only runs inside `block_on`. Without this delay
            // it would not notice that the peer has closed the connection.
            self.runtime.block_on(sleep(CLOSE_DETECTION_DELAY));
        }
        let is_open = self.sender.as_ref().is_some_and(|kept| !kept.is_closed());
        if is_open {
            return Ok(());
        }
        let stream = StdStream::connect(self.addr)?;
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let sender = self.runtime.block_on(async {
            let stream = TcpStream::from_std(stream)?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            Ok::<_, eyre::Report>(sender)
        })?;
        self.sender = Some(sender);
        Ok(())
    }

    fn work(&mut self, schedule: &Schedule, template: &CallTemplate) -> CallerOutcome {
        let mut part = CallerOutcome {
            failures: Tally::new(),
            latency: durations(),
            lag: durations(),
        };
        while let Some(due) = schedule.take() {
            let could_start = due.max(Instant::now());
            wait_until(due);
            let lag = could_start.elapsed();
            let answered = self.call(template);
            let latency = due.elapsed().saturating_sub(lag);
            record(&mut part.lag, lag);
            record(&mut part.latency, latency);
            if let Err(reason) = answered {
                *part.failures.entry(reason.to_string()).or_default() += 1;
            }
        }
        part
    }

    fn call(&mut self, template: &CallTemplate) -> Result<()> {
        if self.sender.as_ref().is_none_or(SendRequest::is_closed) {
            self.connect()?;
        }
        let request = template.request(self.addr)?;
        let Some(sender) = self.sender.as_mut() else {
            bail!("no connection");
        };
        let call = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            body.collect().await?;
            let code = header_text(&head.headers, header::CODE).unwrap_or("none");
            ensure!(
                head.status == StatusCode::OK,
                "{}, code {code}",
                head.status
            );
            Ok(())
        };
        let bounded = async { timeout(CALL_TIMEOUT, call).await };
        let ended = self.runtime.block_on(bounded);
        match ended {
            Ok(ended) => ended,
            Err(late) => {
                self.sender = None;
                Err(late.into())
            }
        }
    }
}
