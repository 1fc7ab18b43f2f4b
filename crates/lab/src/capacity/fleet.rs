//! Runs many control halves in virtual time, with a fake network and platform.
//!
//! The control halves and the checker of texts are the real ones. Datagrams take one to
//! three milliseconds, and none is lost.

mod platform;

use std::collections::BTreeMap;
use std::sync::Arc;

use hornbeamhitch_core::control::{
    CheckedText, Control, ControlAction, ControlCounters, ControlEvent, ControlSettings,
    ControlStatus, PlatformRead, RequestId, TextChecker, TextRefusal,
};
use hornbeamhitch_wire::control::ListedVm;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::capacity::layout::{Layout, index_at};
use crate::capacity::stopwatch::Stopwatch;
use crate::prelude::*;
use platform::Watch;

const SEED: u64 = 42;
const TICK: Millis = Millis(50);
/// Number of ticks after which the daemon computes its status for operators.
const STATUS_TICKS: u64 = 4;
const DATAGRAM_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=3;
const BULK_DELAY: Millis = Millis(2);
const PLATFORM_DELAY: Millis = Millis(5);
const SECOND: Millis = Millis(1_000);
/// Length of an entry of the VM list in JSON; see `docs/contributing/architecture.md`.
const LISTED_VM_JSON_BYTES: u64 = 150;

struct Checker;

impl TextChecker for Checker {
    fn check(&self, text: &str) -> Result<CheckedText, TextRefusal> {
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

/// Messages, bytes and processor time of one node so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeUsage {
    /// Counters of the node's control half.
    pub counters: ControlCounters,
    /// Bytes of the bodies that the node read from the platform.
    pub platform_bytes: u64,
    /// Processor time of the control half. It is 0 for all nodes but the measured one.
    pub processor_ns: u64,
}

/// A node of a fleet.
pub struct Node {
    settings: ControlSettings,
    control: Control,
    table: Arc<RouteTable>,
    calls: Vec<ServiceName>,
    platform_bytes: u64,
    ticks: u64,
    alive: bool,
    /// Times at which versions of the text came into force on the node.
    reached: BTreeMap<u64, Millis>,
}

impl Node {
    /// Route table that was published last.
    #[must_use]
    pub fn table(&self) -> &RouteTable {
        &self.table
    }
}

/// Calls of nodes to the services that they depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Calls {
    /// There are no calls.
    None,
    /// Each node calls every target once per second and gets its load with the answer.
    EveryTarget,
    /// Each node calls so rarely that it gets no load reports with answers.
    Seldom,
}

enum FleetEvent {
    Tick,
    /// The node sends its calls of one second.
    Calls,
    Event(ControlEvent),
    BulkRequest(usize, Vec<u8>),
}

/// All nodes of a deployment, with the network and the platform.
pub struct Fleet {
    now: Millis,
    nodes: Vec<Option<Node>>,
    vms: Vec<ListedVm>,
    list_version: u64,
    text: (u64, Arc<str>),
    watches: Vec<Watch>,
    platform_reads: u64,
    queue: BTreeMap<(Millis, u64), (usize, FleetEvent)>,
    sequence: u64,
    rng: Xoshiro256PlusPlus,
    measured_node: usize,
    stopwatch: Stopwatch,
    calls: Calls,
}

impl Fleet {
    /// Starts a node on every VM of a layout.
    #[must_use]
    pub fn start(layout: &Layout, calls: Calls) -> Self {
        let mut fleet = Self {
            now: Millis(1_000),
            nodes: Vec::new(),
            vms: layout.vms(),
            list_version: 1,
            text: (1, Arc::from(layout.text(0))),
            watches: Vec::new(),
            platform_reads: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(SEED),
            measured_node: 0,
            stopwatch: Stopwatch::default(),
            calls,
        };
        for place in 0..fleet.vms.len() {
            fleet.start_node(layout, place);
        }
        fleet
    }

    fn start_node(&mut self, layout: &Layout, index: usize) {
        let entry = &self.vms[index];
        let settings = ControlSettings {
            vm: entry.vm.clone(),
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            peer: entry.peer,
            control: entry.control,
            incarnation: Incarnation::compose(1_760_000_000_000 + index as u64, 7),
            seed: self.rng.random(),
            seeds: Vec::new(),
        };
        let own = entry.service.as_str();
        let mut calls = Vec::new();
        for shape in &layout.services {
            if shape.name != own {
                continue;
            }
            for callee in &shape.depends_on {
                calls.push(ServiceName::new(&layout.services[*callee].name));
            }
        }
        self.nodes.push(Some(Node {
            control: Control::new(settings.clone(), Box::new(Checker), self.now),
            settings,
            table: Arc::default(),
            calls,
            platform_bytes: 0,
            ticks: 0,
            alive: true,
            reached: BTreeMap::new(),
        }));
        let offset = Millis(self.rng.random_range(0..TICK.0));
        self.push(self.now + offset, index, FleetEvent::Tick);
        if self.calls != Calls::None {
            let offset = Millis(self.rng.random_range(0..SECOND.0));
            self.push(self.now + offset, index, FleetEvent::Calls);
        }
    }

    /// Current virtual time.
    #[must_use]
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// Number of platform reads so far. A watch counts as one read.
    #[must_use]
    pub const fn platform_reads(&self) -> u64 {
        self.platform_reads
    }

    /// Starts to measure the processor time of this node.
    pub fn measure_node(&mut self, index: usize) {
        self.measured_node = index;
        self.stopwatch = Stopwatch::default();
    }

    /// Returns a node.
    ///
    /// # Panics
    ///
    /// Panics if the node was removed.
    #[must_use]
    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index]
            .as_ref()
            .expect("the node was not removed")
    }

    /// Returns the status of a node.
    #[must_use]
    pub fn status(&self, index: usize) -> ControlStatus {
        self.node(index).control.status(self.now)
    }

    /// Returns the usage of a node so far.
    #[must_use]
    pub fn usage(&self, index: usize) -> NodeUsage {
        NodeUsage {
            counters: self.status(index).counters,
            platform_bytes: self.node(index).platform_bytes,
            processor_ns: if index == self.measured_node {
                self.stopwatch.spent_ns()
            } else {
                0
            },
        }
    }

    /// Indices of the running nodes.
    #[must_use]
    pub fn alive(&self) -> Vec<usize> {
        let mut alive = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.as_ref().is_some_and(|node| node.alive) {
                alive.push(index);
            }
        }
        alive
    }

    /// Indices of the nodes that read the platform.
    #[must_use]
    pub fn readers(&self) -> Vec<usize> {
        let mut readers = self.alive();
        readers.retain(|index| self.status(*index).reading);
        readers
    }

    /// Removes a node, so that its memory can be measured.
    pub fn remove_node(&mut self, index: usize) -> Node {
        self.nodes[index].take().expect("the node was not removed")
    }

    /// Publishes a new text and returns its version.
    pub fn publish_text(&mut self, text: &str) -> u64 {
        self.text = (self.text.0 + 1, Arc::from(text));
        self.wake_watches();
        self.text.0
    }

    /// Publishes a changed VM list.
    pub fn publish_vms(&mut self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        change(&mut self.vms);
        self.list_version += 1;
        self.wake_watches();
    }

    /// Stops a node without notice to its peers.
    pub fn kill(&mut self, index: usize) {
        if let Some(node) = &mut self.nodes[index] {
            node.alive = false;
        }
    }

    /// Whether all running nodes have this or a later version of the text in force.
    #[must_use]
    pub fn all_at(&self, version: u64) -> bool {
        let version = Some(ConfigVersion(version));
        let mut nodes = self.nodes.iter().flatten();
        nodes.all(|node| !node.alive || node.table.version >= version)
    }

    /// Times at which this or a later version came into force on each running node.
    #[must_use]
    pub fn reached(&self, version: u64) -> Vec<Millis> {
        let mut times = Vec::new();
        for node in self.nodes.iter().flatten() {
            if !node.alive {
                continue;
            }
            if let Some((_, at)) = node.reached.range(version..).next() {
                times.push(*at);
            }
        }
        times
    }

    /// Gives every gate a load report, which makes the nodes' messages longer.
    pub fn report_loads(&mut self) {
        for index in self.alive() {
            let load = self.load_of(index);
            self.push(
                self.now,
                index,
                FleetEvent::Event(ControlEvent::GateLoad(load)),
            );
        }
    }

    /// Runs the fleet for a span of virtual time.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (index, event) = entry.remove();
            self.now = self.now.max(at);
            self.end_watches();
            self.step(index, event);
        }
        self.now = end;
    }

    /// Runs the fleet until a condition holds and returns the elapsed virtual time.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within the limit.
    pub fn run_until(&mut self, limit: Millis, holds: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while !holds(self) {
            assert!(self.now.since(start) < limit, "not within {limit}");
            self.run(TICK);
        }
        self.now.since(start)
    }

    fn load_of(&self, index: usize) -> LoadReport {
        LoadReport {
            in_flight: 200,
            queued: 20,
            limit: 250,
            service_time_us: 20_000,
            gate_clock_ms: self.now,
            incarnation: self.node(index).settings.incarnation,
            leaving: false,
        }
    }

    fn push(&mut self, at: Millis, index: usize, event: FleetEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (index, event));
    }

    fn step(&mut self, index: usize, event: FleetEvent) {
        if !self.nodes[index].as_ref().is_some_and(|node| node.alive) {
            return;
        }
        match event {
            FleetEvent::Tick => self.tick(index),
            FleetEvent::Calls => self.call(index),
            FleetEvent::Event(event) => {
                self.handle(index, event);
            }
            FleetEvent::BulkRequest(requester, message) => self.answer(index, requester, message),
        }
    }

    /// Handles the gate's load and a tick, and sometimes computes a status, as the daemon
    /// does.
    fn tick(&mut self, index: usize) {
        self.push(self.now + TICK, index, FleetEvent::Tick);
        let load = self.load_of(index);
        self.handle(index, ControlEvent::GateLoad(load));
        self.handle(index, ControlEvent::Tick);
        let now = self.now;
        let is_watched = index == self.measured_node;
        let node = self.nodes[index].as_mut().expect("the node is running");
        node.ticks += 1;
        if is_watched && node.ticks.is_multiple_of(STATUS_TICKS) {
            self.stopwatch.time(|| drop(node.control.status(now)));
        }
    }

    fn call(&mut self, index: usize) {
        self.push(self.now + SECOND, index, FleetEvent::Calls);
        let table = Arc::clone(&self.node(index).table);
        for service in self.node(index).calls.clone() {
            self.handle(index, ControlEvent::SentTo(service.clone()));
            let view = table.services.get(&service);
            let Some(view) = view.filter(|_| self.calls == Calls::EveryTarget) else {
                continue;
            };
            for target in &view.targets {
                let callee = index_at(target.peer);
                if self.nodes[callee].as_ref().is_some_and(|node| node.alive) {
                    let load = self.load_of(callee);
                    let vm = target.vm.clone();
                    self.handle(index, ControlEvent::LoadReported { vm, load });
                }
            }
        }
    }

    fn answer(&mut self, index: usize, requester: usize, message: Vec<u8>) {
        let request = RequestId(self.sequence);
        let peer = self.node(index).settings.control;
        let event = match self.handle(index, ControlEvent::BulkRequested { request, message }) {
            Some(message) => ControlEvent::BulkAnswered { peer, message },
            None => ControlEvent::BulkFailed { peer },
        };
        self.push(self.now + BULK_DELAY, requester, FleetEvent::Event(event));
    }

    /// Passes an event to a node and carries out the resulting actions. Returns the answer
    /// to a bulk request.
    fn handle(&mut self, index: usize, event: ControlEvent) -> Option<Vec<u8>> {
        let now = self.now;
        let node = self.nodes[index].as_mut().expect("the node is alive");
        let actions = if index == self.measured_node {
            self.stopwatch.time(|| node.control.handle(event, now))
        } else {
            node.control.handle(event, now)
        };
        let mut answer = None;
        for action in actions {
            match action {
                ControlAction::SendDatagram { to, bytes } => self.send(index, index_at(to), bytes),
                ControlAction::ReadText { after, wait_ms } => {
                    self.read(index, PlatformRead::Text, None, after.0, wait_ms);
                }
                ControlAction::ReadVms {
                    service,
                    after,
                    wait_ms,
                } => self.read(index, PlatformRead::Vms, service, after.0, wait_ms),
                ControlAction::CancelReads => self.cancel_reads(index),
                ControlAction::BulkRequest { to, message } => {
                    self.send_bulk_request(index, index_at(to), message);
                }
                ControlAction::BulkAnswer { message, .. } => answer = Some(message),
                ControlAction::Publish(table) => self.set_table(index, table),
            }
        }
        answer
    }

    fn set_table(&mut self, index: usize, table: Arc<RouteTable>) {
        let now = self.now;
        let node = self.nodes[index].as_mut().expect("the node is alive");
        if let Some(version) = table.version {
            node.reached.entry(version.0).or_insert(now);
        }
        node.table = table;
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let from = self.control_address(from);
        let delay = Millis(self.rng.random_range(DATAGRAM_DELAY_MS));
        let event = ControlEvent::Datagram { from, bytes };
        self.push(self.now + delay, to, FleetEvent::Event(event));
    }

    fn control_address(&self, index: usize) -> std::net::SocketAddr {
        self.node(index).settings.control
    }

    fn send_bulk_request(&mut self, from: usize, to: usize, message: Vec<u8>) {
        let at = self.now + BULK_DELAY;
        if self.nodes[to].as_ref().is_some_and(|node| node.alive) {
            self.push(at, to, FleetEvent::BulkRequest(from, message));
            return;
        }
        let peer = self.node(to).settings.control;
        self.push(
            at,
            from,
            FleetEvent::Event(ControlEvent::BulkFailed { peer }),
        );
    }
}
