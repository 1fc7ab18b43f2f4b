//! The process of one node on the routed path.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use eyre::{Result, WrapErr};
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::resources::limits::Listener;
use hornbeamhitch_node::listener::bind_std;
use hornbeamhitch_node::logs::LogHandle;
use hornbeamhitch_node::metrics::{MemberLevels, Metrics};
use hornbeamhitch_types::prelude::ConfigVersion;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::callers::{CallerServer, DrainPhase};
use crate::config::{EdgeConfig, Reload};
use crate::directory::{Directory, DirectoryWriter};
use crate::entry::{Entry, EntryParts};
use crate::feed::ChangeFeed;
use crate::following::{self, FollowSettings};
use crate::gate::{Gate, GateParts};
use crate::link::LinkServer;
use crate::prelude::*;
use crate::resources::Resources;
use crate::source::SharedSource;
use crate::status::StatusServer;
use crate::suspicion::Suspicion;
use crate::target::TargetClient;

/// Interval at which settings are reread, since they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the state of removed targets and routes is dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which gauges are updated. Metrics are collected less often.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a node that is cut off probes other VMs.
const REACHABILITY_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for writing the remaining log lines at exit.
const LOG_FLUSH_MS: Millis = Millis(300);
/// Share of the grace period during which the node keeps serving new requests. The
/// platform checks readiness once a second and stops sending callers after two
/// failures.
const ANNOUNCE_PERCENT: u64 = 40;
/// Share of the grace period after which the node exits even with work in progress.
const DRAIN_DEADLINE_PERCENT: u64 = 85;

/// The parts of a node that depend on its deployment.
pub struct Deployment {
    /// Settings of the node.
    pub config: EdgeConfig,
    /// Header names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// Source of configuration and targets.
    pub source: SharedSource,
    /// Rereads the settings that can change.
    pub reload: Reload,
}

/// The listening sockets, bound before the runtime starts.
struct Sockets {
    callers: std::net::TcpListener,
    links: std::net::TcpListener,
    readiness: std::net::TcpListener,
    metrics: Option<std::net::TcpListener>,
}

impl Sockets {
    fn bind(config: &EdgeConfig) -> Result<Self> {
        Ok(Self {
            callers: bind_std(config.callers_address)?,
            links: bind_std(config.links_address)?,
            readiness: bind_std(config.readiness_address)?,
            metrics: config.metrics_address.map(bind_std).transpose()?,
        })
    }
}

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// An address is in use, or a thread cannot be started.
pub fn run(deployment: Deployment) -> Result<()> {
    let sockets = Sockets::bind(&deployment.config)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot build the traffic runtime")?;
    runtime.block_on(serve(deployment, sockets))
}

/// Runs a node until it is terminated, and flushes its log.
#[must_use]
pub fn run_to_exit(deployment: Deployment, log: &LogHandle) -> ExitCode {
    let ended = run(deployment);
    if let Err(error) = &ended {
        log::error!("the node cannot run: {error:#}");
    }
    // A failure to flush the log cannot be reported anywhere.
    let _ = log.flush(LOG_FLUSH_MS);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

async fn serve(deployment: Deployment, sockets: Sockets) -> Result<()> {
    let mut signals = Signals::listen()?;
    let Deployment {
        config,
        dialect,
        source,
        reload,
    } = deployment;
    let clock = ProcessClock::start();
    let incarnation = new_incarnation();
    let metrics = Metrics::new(&config.vm, &config.service, &config.data_centre)?;
    let metrics = Arc::new(metrics);
    let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
    let waits = Waits::new(config.in_force_ms);
    let feed = Arc::new(ChangeFeed::new(clock, waits));
    let writer = DirectoryWriter::new(Arc::clone(&directory), clock);
    let settings = FollowSettings {
        own_ip: config.listed_address.ip(),
        data_centre: config.data_centre.clone(),
        gate_port: config.links_address.port(),
        in_force_ms: config.in_force_ms,
    };
    start_control(following::follow(
        Arc::clone(&source),
        writer,
        Arc::clone(&feed),
        settings,
    ))?;
    let suspicion = Arc::new(Suspicion::new(clock));
    let resources = Resources::new(config.resources, clock);
    let gate = Arc::new(Gate::new(GateParts {
        service: config.service.clone(),
        target: TargetClient::new(
            config.target_address,
            Arc::clone(&dialect),
            clock,
            resources,
        ),
        directory: Arc::clone(&directory),
        dialect: Arc::clone(&dialect),
        clock,
        listed_address: config.listed_address,
        suspicion: Arc::clone(&suspicion),
        metrics: Arc::clone(&metrics),
        source,
        waits,
        warm_up_tolerance: config.tunables.warm_up_tolerance,
    }));
    let entry = Arc::new(Entry::new(EntryParts {
        service: config.service.clone(),
        data_centre: config.data_centre.clone(),
        regions: config.regions.clone(),
        gate_port: config.links_address.port(),
        listed_address: config.listed_address,
        gate: Arc::clone(&gate),
        directory: Arc::clone(&directory),
        dialect,
        waits,
        clock,
        incarnation,
        metrics: Arc::clone(&metrics),
        suspicion: Arc::clone(&suspicion),
        retry_limit: config.tunables.retry_limit,
        overload_off: config.tunables.overload_off,
        seed: rand::random(),
    }));
    let gauges_directory = Arc::clone(&directory);
    let gauges_metrics = Arc::clone(&metrics);
    let (drain_phase_sender, drain_phase) = watch::channel(DrainPhase::Serving);
    let links = LinkServer {
        gate: Arc::clone(&gate),
        incarnation,
        suspicion,
        directory: Arc::clone(&directory),
        feed,
        facts_requests: Arc::default(),
    };
    let status = StatusServer {
        directory,
        entry: Arc::clone(&entry),
        drain_phase: drain_phase.clone(),
        readiness_path: config.readiness_path,
        metrics,
    };
    let callers = CallerServer {
        entry: Arc::clone(&entry),
        drain_phase,
    };
    tokio::spawn(links.accept(listen(sockets.links)?));
    tokio::spawn(
        status
            .clone()
            .accept(listen(sockets.readiness)?, Listener::Readiness),
    );
    if let Some(metrics) = sockets.metrics {
        tokio::spawn(status.accept(listen(metrics)?, Listener::Metrics));
    }
    let serving = tokio::spawn(callers.serve(listen(sockets.callers)?));
    tokio::spawn(probe_other_vms(Arc::clone(&entry)));
    tokio::spawn(refresh_gauges(Gauges {
        entry: Arc::clone(&entry),
        gate: Arc::clone(&gate),
        directory: gauges_directory,
        metrics: gauges_metrics,
        clock,
    }));
    log_start(&config, incarnation);
    run_until_terminated(&mut signals, (&entry, &gate), &reload, &config).await;
    log::info!("leaving: the node reports not ready and finishes its work in progress");
    shut_down(&config, &drain_phase_sender, &gate, serving).await;
    Ok(())
}

/// Periodically probes other VMs while this one seems cut off.
async fn probe_other_vms(entry: Arc<Entry>) {
    let mut interval = tokio::time::interval(REACHABILITY_INTERVAL);
    loop {
        interval.tick().await;
        entry.probe_other_vms().await;
    }
}

/// The state from which gauges are read.
struct Gauges {
    entry: Arc<Entry>,
    gate: Arc<Gate>,
    directory: SharedDirectory,
    metrics: Arc<Metrics>,
    clock: ProcessClock,
}

/// Periodically updates the gauges and the service names that label metrics.
async fn refresh_gauges(gauges: Gauges) {
    let mut interval = tokio::time::interval(GAUGE_INTERVAL);
    let mut version = None;
    loop {
        interval.tick().await;
        gauges.gate.refresh_gauges();
        if version.is_some() {
            gauges.entry.refresh_gauges();
        }
        let directory = gauges.directory.load();
        let age_ms = directory.as_of.age_ms(gauges.clock.now());
        gauges.metrics.known_age(age_ms.0);
        let lag_ms = directory.routes_lag.lag_ms(gauges.clock.now());
        gauges.metrics.routes_lag(lag_ms.0);
        let members = &directory.members;
        gauges
            .metrics
            .evacuated_data_centres(members.evacuated().len());
        let leaving = members.iter().filter(|member| member.draining).count();
        gauges.metrics.members(&MemberLevels {
            live: saturating_u32(members.len() - leaving),
            leaving: saturating_u32(leaving),
            doubtful: 0,
        });
        let Some(routes) = directory.routes.as_ref() else {
            continue;
        };
        if version == Some(routes.version()) {
            continue;
        }
        version = Some(routes.version());
        let names: BTreeSet<ServiceName> = routes.services().cloned().collect();
        let names: Vec<ServiceName> = names.into_iter().collect();
        gauges.metrics.set_names(&names, &[]);
        gauges
            .metrics
            .config_in_force(ConfigVersion(routes.version()));
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Applies reloads until the process receives SIGTERM or SIGINT.
async fn run_until_terminated(
    signals: &mut Signals,
    (entry, gate): (&Entry, &Gate),
    reload: &Reload,
    config: &EdgeConfig,
) {
    let mut tunables = config.tunables.clone();
    let mut reload_interval = tokio::time::interval(RELOAD_INTERVAL);
    let mut forget_interval = tokio::time::interval(FORGET_INTERVAL);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => log::info!("rereading settings after SIGHUP"),
            _ = reload_interval.tick() => {}
            _ = forget_interval.tick() => {
                entry.forget_departed();
                continue;
            }
        }
        let Some(read) = reload() else {
            continue;
        };
        if read != tunables {
            log::info!("changed settings are in force: {read:?}");
            entry.set_retry_limit(read.retry_limit);
            gate.set_warm_up_tolerance(read.warm_up_tolerance);
            entry.switch_overload_off(read.overload_off);
            tunables = read;
        }
    }
}

/// Shuts down gracefully, in this order:
///
/// 1. The node reports that it is not ready but still serves everything, so that
///    callers move to other nodes. The gate keeps admitting calls as well: the target
///    may stay up, and would be idle meanwhile.
/// 2. The gate refuses new calls. Idle connections of callers are closed, the others
///    after their last answer.
/// 3. The node waits for the calls that run in the target.
async fn shut_down(
    config: &EdgeConfig,
    drain_phase_sender: &watch::Sender<DrainPhase>,
    gate: &Arc<Gate>,
    serving: tokio::task::JoinHandle<()>,
) {
    let started = tokio::time::Instant::now();
    let share_of_grace = |percent: u64| Duration::from_millis(config.grace_ms.0 * percent / 100);
    let _ = drain_phase_sender.send(DrainPhase::Announced);
    tokio::time::sleep(share_of_grace(ANNOUNCE_PERCENT)).await;
    let _ = drain_phase_sender.send(DrainPhase::Closing);
    gate.stop_admitting();
    let finishing = async {
        if let Err(error) = serving.await {
            log::error!("the task that serves callers failed: {error}");
        }
        gate.drained().await;
    };
    match tokio::time::timeout_at(started + share_of_grace(DRAIN_DEADLINE_PERCENT), finishing).await
    {
        Ok(()) => log::info!("finished all work in progress"),
        Err(_) => log::warn!("the grace period ended with work in progress"),
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Starts the control thread, which keeps routes and targets up to date. If it ends,
/// the process exits and is restarted; otherwise the node would go on serving from
/// data that grows ever older.
fn start_control(following: impl Future<Output = ()> + Send + 'static) -> Result<()> {
    const EXIT_CONTROL_ENDED: i32 = 3;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot build the control runtime")?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let following = std::panic::AssertUnwindSafe(|| runtime.block_on(following));
            if std::panic::catch_unwind(following).is_err() {
                log::error!("the control thread panicked");
            } else {
                log::error!("the control thread ended");
            }
            std::process::exit(EXIT_CONTROL_ENDED);
        })
        .wrap_err("cannot start the control thread")?;
    Ok(())
}

fn listen(socket: std::net::TcpListener) -> Result<TcpListener> {
    Ok(TcpListener::from_std(socket)?)
}

fn log_start(config: &EdgeConfig, incarnation: Incarnation) {
    let addresses: [SocketAddr; 3] = [
        config.callers_address,
        config.links_address,
        config.target_address,
    ];
    log::info!(
        service = config.service.as_str(), data_centre = config.data_centre.as_str(),
        incarnation = incarnation.0;
        "serving callers on {}, links on {}, the target on {}",
        addresses[0], addresses[1], addresses[2]
    );
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_clock_ms = since_epoch.map_or(0, |span| span.as_millis());
    let wall_clock_ms = u64::try_from(wall_clock_ms).unwrap_or(u64::MAX);
    Incarnation::compose(wall_clock_ms, rand::random())
}
