//! The control thread: converts network input and timers to events for the
//! core's control half, and performs the actions that it returns.
//!
//! It runs on its own thread with a single-threaded runtime. Traffic threads
//! only send it events over a bounded channel and read the state that it
//! publishes; neither side waits for the other.

mod bulk;
mod fleet_tag;
mod handle;
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use eyre::{Context, Result};
use hornbeamhitch_core::control::{
    Control, ControlAction, ControlEvent, ControlSettings, ControlStatus, TextChecker,
};
use hornbeamhitch_core::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

pub use handle::ControlHandle;

use crate::callers::SharedRoutes;
use crate::clock::ProcessClock;
use crate::gate_server::GateBoard;
use crate::metrics::{Metrics, PlatformRead};
pub use bulk::BulkLimits;
use bulk::BulkServer;
pub use fleet_tag::FleetTag;
use platform::PlatformClient;

/// Interval between ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Number of ticks between two updates of the operators' status.
const STATUS_TICKS: u32 = 4;
/// Metric label of probes to gates, which are counted over all services. Health
/// checks of this node's target carry the service's name.
const PROBED_GATES: &str = "other";
/// Larger than any datagram of this version, so that an oversized one is
/// detected.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// What the control thread shares with the rest of the process.
#[derive(Clone, Debug)]
pub struct ControlOutputs {
    /// The routes in force.
    pub routes: SharedRoutes,
    /// Incremented with each publication, so that waiting calls check the
    /// routes again.
    pub published: watch::Sender<u64>,
    /// The latest status for operators.
    pub status: Arc<ArcSwap<ControlStatus>>,
    /// The gate to which policies and suspects are applied.
    pub gate: Arc<GateBoard>,
    /// Metrics, which include the costs of the control thread.
    pub metrics: Arc<Metrics>,
    /// When the platform last answered.
    pub platform_answered: Arc<LastAnswer>,
}

/// When the platform last answered, on the process's clock.
#[derive(Debug, Default)]
pub struct LastAnswer(AtomicU64);

impl LastAnswer {
    /// Returns the time of the last answer, or `None` before the first one.
    #[must_use]
    pub fn at(&self) -> Option<Millis> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            at_ms => Some(Millis(at_ms)),
        }
    }

    fn note(&self, now: Millis) {
        // Zero means never, so an answer within the first millisecond is stored
        // as 1 ms.
        self.0.store(now.0.max(1), Ordering::Relaxed);
    }
}

/// Sockets that are bound before the thread starts, so that an address in use
/// is reported at startup.
#[derive(Debug)]
pub struct ControlSockets {
    datagrams: std::net::UdpSocket,
    bulk: std::net::TcpListener,
}

impl ControlSockets {
    /// Binds both sockets of the control address.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this VM.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let datagrams = std::net::UdpSocket::bind(address)
            .wrap_err_with(|| format!("cannot bind the control address {address} (UDP)"))?;
        let bulk = crate::listener::bind_std(address)
            .wrap_err_with(|| format!("cannot bind the control address {address} (TCP)"))?;
        datagrams.set_nonblocking(true)?;
        Ok(Self { datagrams, bulk })
    }
}

/// The dependencies of the control thread.
pub struct ControlThread {
    /// Settings of the core's control half, such as the node's own identity.
    pub settings: ControlSettings,
    /// Checks configuration texts.
    pub checker: Box<dyn TextChecker + Send>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Bound sockets.
    pub sockets: ControlSockets,
    /// The channel of events from traffic threads. The thread's own tasks use
    /// the sender.
    pub events: (mpsc::Sender<ControlEvent>, mpsc::Receiver<ControlEvent>),
    /// State shared with the rest of the process.
    pub outputs: ControlOutputs,
    /// Limits on bulk transfers.
    pub bulk_limits: BulkLimits,
    /// Ends the thread when its sender is dropped.
    pub stop: watch::Receiver<()>,
}

impl ControlThread {
    /// Runs until the sender of `stop` is dropped or the process ends.
    ///
    /// # Errors
    ///
    /// Fails if the runtime cannot be built or a socket cannot be registered
    /// with it.
    pub fn run(self) -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("cannot build the control runtime")?;
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, self.serve())
    }

    async fn serve(self) -> Result<()> {
        let socket = UdpSocket::from_std(self.sockets.datagrams)?;
        let listener = TcpListener::from_std(self.sockets.bulk)?;
        let (sender, mut events) = self.events;
        let bulk = BulkServer::new(sender.clone(), self.bulk_limits);
        let service = self.settings.service.clone();
        tokio::task::spawn_local(Arc::clone(&bulk).accept(listener));
        let mut driver = Driver {
            control: Control::new(self.settings, self.checker, self.clock.now()),
            clock: self.clock,
            socket,
            platform: PlatformClient::new(self.platform, sender.clone()),
            bulk,
            sender,
            outputs: self.outputs,
            ticks: 0,
            bulk_limits: self.bulk_limits,
            service,
        };
        let mut stop = self.stop;
        let fleet = self.bulk_limits.fleet;
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buffer = vec![0_u8; RECEIVE_BUFFER_BYTES];
        loop {
            let event = tokio::select! {
                received = driver.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => match fleet.strip(&buffer[..length]) {
                        Some(message) => ControlEvent::Datagram {
                            from,
                            bytes: message.to_vec(),
                        },
                        None => {
                            log::warn!("{from} sends messages of another deployment");
                            continue;
                        }
                    },
                    // On the loopback interface, a closed peer is reported as
                    // an error here. It is ignored, because a peer is judged by
                    // its heartbeats.
                    Err(_) => continue,
                },
                _ = stop.changed() => return Ok(()),
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return Ok(()),
                },
                _ = ticker.tick() => {
                    driver.tick();
                    continue;
                }
            };
            driver.handle(event);
        }
    }
}

struct Driver {
    control: Control,
    clock: ProcessClock,
    socket: UdpSocket,
    platform: PlatformClient,
    bulk: Arc<BulkServer>,
    sender: mpsc::Sender<ControlEvent>,
    outputs: ControlOutputs,
    ticks: u32,
    bulk_limits: BulkLimits,
    /// The service of this node's target.
    service: ServiceName,
}

impl Driver {
    fn tick(&mut self) {
        self.handle(ControlEvent::GateLoad(self.outputs.gate.load()));
        self.handle(ControlEvent::Tick);
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(STATUS_TICKS) {
            let status = self.control.status(self.clock.now());
            self.report_changes(&status);
            self.outputs.status.store(Arc::new(status));
        }
    }

    /// Logs and counts changes that operators must know: a rejected
    /// configuration text, and that this process is superseded by a later
    /// incarnation. Also counts the probes sent.
    fn report_changes(&mut self, status: &ControlStatus) {
        let before = self.outputs.status.load();
        if let Some(refused) = &status.refused
            && before.refused.as_ref() != Some(refused)
        {
            log::error!(
                "rejected the configuration text {}: {}",
                refused.version,
                refused.reason
            );
            self.outputs.metrics.config_refused(refused.version);
        }
        if status.superseded && !before.superseded {
            log::error!("this VM has a later incarnation; this process takes no new work");
        }
        let probes = status.counters.probes_sent;
        for _ in before.counters.probes_sent..probes {
            self.outputs.metrics.probe_sent(PROBED_GATES);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let started_at = Instant::now();
        self.count(&event);
        let now = self.clock.now();
        for action in self.control.handle(event, now) {
            self.perform(action);
        }
        let busy_us = started_at.elapsed().as_micros();
        let busy_us = u64::try_from(busy_us).unwrap_or(u64::MAX);
        self.outputs.metrics.control_busy(busy_us);
    }

    fn count(&self, event: &ControlEvent) {
        let metrics = &self.outputs.metrics;
        match event {
            ControlEvent::Datagram { bytes, .. } => metrics.datagram_received(bytes.len()),
            ControlEvent::BulkAnswered { message, .. } => metrics.bulk_pulled(message.len()),
            ControlEvent::TextRead { version, .. } => {
                let in_force = self.outputs.routes.load().version;
                let is_stale = in_force.is_some_and(|known| *version < known);
                metrics.platform_read(match is_stale {
                    true => PlatformRead::Stale,
                    false => PlatformRead::Changed,
                });
                self.outputs.platform_answered.note(self.clock.now());
            }
            ControlEvent::VmsRead { .. } => {
                metrics.platform_read(PlatformRead::Changed);
                self.outputs.platform_answered.note(self.clock.now());
            }
            ControlEvent::TextUnchanged | ControlEvent::VmsUnchanged => {
                metrics.platform_read(PlatformRead::Unchanged);
                self.outputs.platform_answered.note(self.clock.now());
            }
            ControlEvent::PlatformFailed(_) => metrics.platform_read(PlatformRead::Failed),
            _ => {}
        }
    }

    fn perform(&mut self, action: ControlAction) {
        match action {
            // A full socket buffer drops the datagram, as the network may.
            ControlAction::SendDatagram { to, bytes } => {
                let tagged = self.bulk_limits.fleet.prepend(&bytes);
                self.outputs.metrics.datagram_sent(tagged.len());
                let _ = self.socket.try_send_to(&tagged, to);
            }
            ControlAction::ReadText { after, wait_ms } => {
                self.platform.read_text(after, wait_ms);
            }
            ControlAction::ReadVms {
                service,
                after,
                wait_ms,
            } => self.platform.read_vms(service, after, wait_ms),
            ControlAction::CancelReads => self.platform.cancel_reads(),
            ControlAction::BulkRequest { to, message } => {
                bulk::request(to, message, self.bulk_limits, self.sender.clone());
            }
            ControlAction::BulkAnswer { request, message } => {
                self.outputs.metrics.bulk_served(message.len());
                self.bulk.answer(request, message);
            }
            ControlAction::Publish(table) => self.publish(table),
        }
    }

    fn publish(&self, table: Arc<RouteTable>) {
        let previous = self.outputs.routes.load();
        if previous.version != table.version
            && let Some(version) = table.version
        {
            log::info!("configuration {version} is in force");
        }
        if let Some(own) = table.services.get(&self.service) {
            self.outputs.gate.apply_policy(&own.policy);
        }
        self.outputs.gate.apply_suspects(&table.suspects);
        let tenants = &table.deployment.tenants;
        self.outputs
            .metrics
            .set_names(&table.service_names, tenants);
        self.outputs.gate.apply_leaving(table.leaving);
        self.outputs.routes.store(table);
        self.outputs.published.send_modify(|count| *count += 1);
    }
}
