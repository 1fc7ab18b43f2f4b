//! Callers with kept connections that start calls when they are due.
//!
//! Each connection has a thread and a runtime of its own, so that a call costs
//! its caller no hop between threads. A due call goes to whichever caller is
//! free; while none is, its time runs on.

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

/// No call takes longer; one that does has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(1);
/// Time for all threads to come up before the first call is due.
const START_DELAY: Duration = Duration::from_millis(20);

/// Calls to be made over some time.
#[derive(Clone, Copy, Debug)]
pub struct OfferedLoad {
    /// Calls a second.
    pub rate_per_s: f64,
    /// Time over which they start.
    pub span: Duration,
    /// Seed of their times.
    pub seed: u64,
}

impl OfferedLoad {
    /// Calls that this offer makes at most, for those who provide for each.
    #[must_use]
    pub fn max_calls(&self) -> usize {
        let mean = self.rate_per_s * self.span.as_secs_f64();
        // Arrivals vary by the root of their number; six times that is enough.
        (mean + 6.0 * mean.sqrt()).ceil() as usize + 1
    }
}

/// What became of an offer.
#[derive(Debug)]
pub struct Outcome {
    /// Calls that were due.
    pub calls: u64,
    /// Calls without the answer 200, by their answers.
    pub failures: Tally,
    /// From when a call was due to its whole answer, without the lag.
    pub latency: Durations,
    /// Time by which callers that were free were late, in starting a call.
    pub lag: Durations,
}

/// The request of a series: its path is either fixed or one of its own a call.
#[derive(Debug)]
pub struct CallTemplate {
    /// Method.
    pub method: Method,
    /// The host that is asked for, where callers are known by request ids; else
    /// it is the address.
    pub host: Option<&'static str>,
    /// Path where it is the same for all.
    pub path: String,
    /// Paths for one call each, used up first.
    pub single_use_paths: Mutex<VecDeque<String>>,
    /// Body.
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

/// Callers of one address.
pub struct OpenLoop {
    callers: Vec<Caller>,
}

impl OpenLoop {
    /// Callers without connections yet.
    ///
    /// # Errors
    ///
    /// Fails when a runtime cannot be had.
    pub fn new(addr: SocketAddr, connections: usize) -> Result<Self> {
        let mut callers = Vec::new();
        for _ in 0..connections {
            callers.push(Caller::new(addr)?);
        }
        Ok(Self { callers })
    }

    /// Makes all calls of an offer; blocks the thread until the last answer.
    ///
    /// # Errors
    ///
    /// Fails when a connection cannot be had.
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
                let part = thread.join().map_err(|_| eyre!("a caller panicked"))?;
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

/// What one caller has seen.
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
            // The connection's own task runs only in here: without a moment of
            // its own it would not see that the other side has closed.
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
