//! Assembles a node, runs it and shuts it down gracefully.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use eyre::{Context, Result};
use hornbeamhitch_core::control::{
    CheckedText, ControlSettings, ControlStatus, TextChecker, TextRefusal,
};
use hornbeamhitch_core::gate::GateSettings;
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_types::status::NodeStatus;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

use crate::body::NodeBody;
use crate::callers::{CallerParts, CallerServer, EntryBoard};
use crate::clock::ProcessClock;
use crate::control_loop::{
    BulkLimits, ControlHandle, ControlOutputs, ControlSockets, ControlThread, FleetTag, LastAnswer,
};
use crate::gate_server::{GateBoard, GateParts, GateServer};
use crate::health;
use crate::listener::{self, HttpServer, ServerLimits};
use crate::metrics::Metrics;
use crate::operators::{self, OperatorsServer, OperatorsSource};
use crate::report::Reporter;
use crate::settings::Config;
use crate::uploads::UploadLimits;

/// Capacity of the control thread's event channel.
const EVENT_CAPACITY: usize = 4_096;
/// How often queued calls are checked against their deadlines.
const GATE_TICK: Duration = Duration::from_millis(5);
/// How often a gate without queued calls removes expired state. With the short
/// tick alone, an idle node would wake up 200 times a second.
const IDLE_GATE_TICK: Duration = Duration::from_millis(50);
const GAUGE_REFRESH: Duration = Duration::from_secs(1);
/// How long a leaving node continues to serve, so that the announcement reaches
/// the entries before its addresses close.
const LEAVING_NOTICE: Duration = Duration::from_millis(1_500);

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// All work in flight was finished.
    Drained,
    /// The drain timeout passed with calls still in flight.
    DrainTimedOut,
}

/// Sockets that are bound before anything is started, so that an address in use
/// is a startup error and does not leave a partially running node.
struct Sockets {
    callers: std::net::TcpListener,
    peers: std::net::TcpListener,
    control: ControlSockets,
}

impl Sockets {
    fn bind(config: &Config) -> Result<Self> {
        Ok(Self {
            callers: listener::bind_std(config.callers_address)?,
            peers: listener::bind_std(config.peer_address)?,
            control: ControlSockets::bind(config.control_address)?,
        })
    }
}

/// Checks configuration texts with the text crate.
struct Checker;

impl TextChecker for Checker {
    fn check(&self, text: &str) -> std::result::Result<CheckedText, TextRefusal> {
        match hornbeamhitch_text::check(text) {
            Ok(checked) => Ok(CheckedText {
                deployment: checked.deployment,
                services: checked.services,
            }),
            Err(faults) => Err(TextRefusal {
                reason: faults.to_string(),
            }),
        }
    }
}

/// The parts of one node.
struct Parts {
    config: Config,
    clock: ProcessClock,
    incarnation: Incarnation,
    gate: Arc<GateServer>,
    callers: Arc<CallerServer>,
    control: ControlHandle,
    status: Arc<ArcSwap<ControlStatus>>,
    metrics: Arc<Metrics>,
    platform_answered: Arc<LastAnswer>,
    /// Ends the control thread when it is dropped.
    stop_control: watch::Sender<()>,
}

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Fails if the node cannot bind its addresses or start its threads.
pub fn run(config: Config) -> Result<Ended> {
    let sockets = Sockets::bind(&config)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("cannot build the traffic runtime")?;
    let ended = runtime.block_on(serve(config, sockets));
    // Remaining tasks have exceeded the drain timeout or belong to idle
    // connections.
    runtime.shutdown_timeout(Duration::from_millis(200));
    ended
}

async fn serve(config: Config, sockets: Sockets) -> Result<Ended> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let drain_timeout = config.drain_timeout_ms.to_duration();
    let running = Node::serve(config, sockets)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("leaving: new work is refused, work in flight is finished");
    match tokio::time::timeout(drain_timeout, running.drain()).await {
        Ok(()) => {
            log::info!("everything in flight was finished");
            Ok(Ended::Drained)
        }
        Err(_) => {
            log::error!("the drain timeout passed with work in flight");
            Ok(Ended::DrainTimedOut)
        }
    }
}

/// Background tasks. They are aborted when this is dropped, so that none is
/// left after draining in a program that embeds a node.
struct Background(Vec<AbortHandle>);

impl Drop for Background {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// A running node, within the runtime in which it was started.
pub struct Node {
    parts: Parts,
    reporter: Arc<Reporter>,
    background: Background,
    operators: OperatorsServer,
    caller_server: HttpServer,
    peer_server: HttpServer,
}

impl Node {
    /// Binds the addresses, starts the control thread and serves.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started.
    pub fn start(config: Config) -> Result<Self> {
        let sockets = Sockets::bind(&config)?;
        Self::serve(config, sockets)
    }

    fn serve(config: Config, sockets: Sockets) -> Result<Self> {
        let node = Parts::start(config, sockets.control)?;
        let caller_limits = node.limits(node.config.limits.max_connections);
        let peer_limits = node.limits(node.config.limits.max_peer_connections);
        let callers = Arc::clone(&node.callers);
        let gate = Arc::clone(&node.gate);
        let caller_server = HttpServer::start(sockets.callers, caller_limits, move |request| {
            serve_caller(Arc::clone(&callers), Arc::clone(&gate), request)
        })?;
        let gate = Arc::clone(&node.gate);
        let peer_server = HttpServer::start(sockets.peers, peer_limits, move |request| {
            Arc::clone(&gate).serve(request)
        })?;
        let reporter = node.reporter();
        let operators = operators::start(
            node.config.operators_address,
            Arc::clone(&reporter) as Arc<dyn OperatorsSource>,
            Arc::clone(&node.metrics),
        )?;
        reporter.listening.store(true, Ordering::Release);
        let background = Background(vec![
            tokio::spawn(refresh_gauges(Arc::clone(&reporter))).abort_handle(),
            tokio::spawn(health::watch(Arc::clone(&node.gate), node.clock)).abort_handle(),
            tokio::spawn(tick_gate(Arc::clone(&node.gate))).abort_handle(),
        ]);
        log::info!(
            "node {} of {} serves callers on {}, incarnation {}",
            node.config.vm,
            node.config.service,
            node.config.callers_address,
            node.incarnation,
        );
        Ok(Self {
            parts: node,
            reporter,
            background,
            operators,
            caller_server,
            peer_server,
        })
    }

    /// Returns the status of the node for operators.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        self.reporter.status()
    }

    /// Returns whether a configuration is in force and the node is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.reporter.is_ready()
    }

    /// Shuts down gracefully. The order matters: the node first announces that
    /// it is leaving, while it still serves everything. Then it waits until the
    /// gate has no calls left; meanwhile the target may still call other
    /// services through this node. Then it closes the callers' connections,
    /// because their calls need the peers. The peers' connections are closed
    /// last, because the node owes them answers until the gate has no calls
    /// left.
    pub async fn drain(self) {
        self.parts.gate.start_leaving();
        self.parts.control.leave().await;
        tokio::time::sleep(LEAVING_NOTICE).await;
        self.parts.gate.drained().await;
        self.caller_server.shut_down().await;
        self.parts.gate.drained().await;
        self.peer_server.shut_down().await;
        self.operators.close().await;
        drop(self.background);
        drop(self.parts.stop_control);
    }
}

impl Parts {
    fn start(config: Config, sockets: ControlSockets) -> Result<Self> {
        let clock = ProcessClock::start();
        let metrics = Metrics::new(&config.vm, &config.service, &config.data_centre)?;
        let metrics = Arc::new(metrics);
        let incarnation = new_incarnation();
        let seed = rand::random();
        let (sender, receiver) = mpsc::channel(EVENT_CAPACITY);
        let control = ControlHandle::new(sender.clone(), clock);
        let board = Arc::new(GateBoard::new(
            GateSettings {
                vm: config.vm.clone(),
                incarnation,
                seed,
                max_stored_bytes: config.limits.stored_answers_bytes,
            },
            clock,
            Arc::clone(&metrics),
        ));
        let routes = Arc::new(ArcSwap::from_pointee(RouteTable::default()));
        let (published, publications) = watch::channel(0);
        let status = Arc::new(ArcSwap::from_pointee(ControlStatus::default()));
        let (stop_control, stop) = watch::channel(());
        let platform_answered = Arc::new(LastAnswer::default());
        let thread = ControlThread {
            stop,
            bulk_limits: BulkLimits {
                max_bytes: config.limits.bulk_bytes,
                fleet: FleetTag::of(&config.deployment),
                max_connections: config.limits.bulk_connections,
            },
            settings: control_settings(&config, incarnation, seed),
            checker: Box::new(Checker),
            platform: config.platform_address,
            clock,
            sockets,
            events: (sender, receiver),
            outputs: ControlOutputs {
                routes: Arc::clone(&routes),
                published,
                status: Arc::clone(&status),
                gate: Arc::clone(&board),
                metrics: Arc::clone(&metrics),
                platform_answered: Arc::clone(&platform_answered),
            },
        };
        start_control(thread)?;
        let uploads = UploadLimits::new(
            config.limits.body_timeout_ms.to_duration(),
            config.limits.buffered_bodies_bytes,
        );
        let gate = Arc::new(GateServer::new(GateParts {
            vm: config.vm.clone(),
            service: config.service.clone(),
            board,
            target: config.target_address,
            clock,
            control: control.clone(),
            metrics: Arc::clone(&metrics),
            uploads: uploads.clone(),
        }));
        let callers = Arc::new(CallerServer::new(CallerParts {
            board: EntryBoard::new(routes, clock, seed),
            clock,
            control: control.clone(),
            control_address: config.control_address,
            published: publications,
            metrics: Arc::clone(&metrics),
            uploads,
        }));
        Ok(Self {
            config,
            clock,
            incarnation,
            gate,
            callers,
            control,
            status,
            metrics,
            platform_answered,
            stop_control,
        })
    }

    fn reporter(&self) -> Arc<Reporter> {
        Arc::new(Reporter {
            config: self.config.clone(),
            incarnation: self.incarnation,
            clock: self.clock,
            gate: Arc::clone(&self.gate),
            callers: Arc::clone(&self.callers),
            control: Arc::clone(&self.status),
            metrics: Arc::clone(&self.metrics),
            platform_answered: Arc::clone(&self.platform_answered),
            listening: AtomicBool::new(false),
            seen: parking_lot::Mutex::default(),
        })
    }

    fn limits(&self, max_connections: usize) -> ServerLimits {
        let limits = &self.config.limits;
        ServerLimits {
            max_connections,
            header_bytes: limits.header_bytes,
            header_count: limits.header_count,
            head_timeout: limits.head_timeout_ms.to_duration(),
            idle_timeout: limits.idle_timeout_ms.to_duration(),
            max_streams: limits.streams_per_connection,
        }
    }
}

/// Serves a request of a caller. While this node is leaving, each HTTP/1 answer
/// closes its connection, so that active callers move to another node between
/// two requests. Closing connections that look idle would race with requests in
/// transit.
async fn serve_caller(
    callers: Arc<CallerServer>,
    gate: Arc<GateServer>,
    request: Request<Incoming>,
) -> std::result::Result<Response<NodeBody>, Infallible> {
    let is_http1 = request.version() < http::Version::HTTP_2;
    let mut response = callers.serve(request).await?;
    if is_http1 && gate.is_shutting_down() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    Ok(response)
}

fn control_settings(config: &Config, incarnation: Incarnation, seed: u64) -> ControlSettings {
    ControlSettings {
        vm: config.vm.clone(),
        service: config.service.clone(),
        data_centre: config.data_centre.clone(),
        peer: config.peer_address,
        control: config.control_address,
        incarnation,
        seed,
        seeds: config.seeds.clone(),
    }
}

/// Starts the control thread. If that thread fails, the process exits and is
/// replaced: without it, a node would keep serving on state that becomes ever
/// more stale.
fn start_control(thread: ControlThread) -> Result<()> {
    const EXIT_CONTROL_ENDED: i32 = 3;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| thread.run()));
            match ended {
                Ok(Ok(())) => return,
                Ok(Err(error)) => log::error!("the control thread failed: {error:#}"),
                Err(_) => log::error!("the control thread panicked"),
            }
            std::process::exit(EXIT_CONTROL_ENDED);
        })
        .wrap_err("cannot start the control thread")?;
    Ok(())
}

async fn refresh_gauges(reporter: Arc<Reporter>) {
    let mut interval = tokio::time::interval(GAUGE_REFRESH);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        reporter.refresh_gauges();
    }
}

async fn tick_gate(gate: Arc<GateServer>) {
    loop {
        let _ = tokio::time::timeout(IDLE_GATE_TICK, gate.board.wait_for_queued_call()).await;
        tokio::time::sleep(GATE_TICK).await;
        gate.tick();
    }
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_clock_ms = since_epoch.map_or(0, |span| span.as_millis());
    let wall_clock_ms = u64::try_from(wall_clock_ms).unwrap_or(u64::MAX);
    Incarnation::compose(wall_clock_ms, rand::random())
}
