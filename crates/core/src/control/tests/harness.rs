//! A fleet of nodes in virtual time, with a simulated network and platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_wire::control::ListedVm;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::control::*;
use platform::Platform;

mod platform;

pub(super) const TICK: Millis = Millis(50);
const REFUSED_CONNECTION_AFTER: Millis = Millis(5);
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Parses lines of the form `service:dependency,dependency:probes_per_s` and
/// `name:deployment`. A line `bad` is a fault.
pub(super) struct LineChecker;

impl TextChecker for LineChecker {
    fn check(&self, text: &str) -> Result<CheckedText, TextRefusal> {
        let mut deployment = DeploymentPolicy {
            default_distance_us: 1_500,
            ..DeploymentPolicy::default()
        };
        let mut services = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line == "bad" {
                let reason = format!("line {} column 1: not a service", index + 1);
                return Err(TextRefusal { reason });
            }
            let mut parts = line.split(':');
            let name = parts.next().unwrap_or_default();
            let second = parts.next().unwrap_or_default();
            if name == "name" {
                second.clone_into(&mut deployment.deployment);
                continue;
            }
            let rate = parts.next().unwrap_or("2").parse().expect("a rate");
            services.push(policy(name, second, rate));
        }
        Ok(CheckedText {
            deployment,
            services,
        })
    }
}

fn policy(name: &str, dependencies: &str, probes_per_s: f64) -> ServicePolicy {
    let depends_on = dependencies.split(',').filter(|name| !name.is_empty());
    ServicePolicy {
        service: ServiceName::new(name),
        depends_on: depends_on.map(ServiceName::new).collect(),
        slots: 12,
        connections: 250,
        queue_limit: 50,
        calls: Vec::new(),
        deadline_ms: Millis(2_000),
        ticket_ttl_ms: Millis::from_secs(120),
        max_records: 10_000,
        max_stored_answer_bytes: 4_096,
        buffer_bytes: 65_536,
        max_request_bytes: 1_000_000,
        cold_ramp_ms: Millis::from_secs(10),
        budgets: Budgets {
            probes_per_s,
            probe_burst: 4,
            retry_share: 0.1,
            hedge_share: 0.05,
            hedge_quantile: 0.95,
        },
        ejection: EjectionPolicy {
            consecutive_failures: 5,
            max_ejected_share: 0.3,
            base_ejection_ms: Millis::from_secs(1),
            max_ejection_ms: Millis::from_secs(60),
        },
    }
}

/// Behaviour of the network for datagrams.
pub(super) struct Network {
    pub(super) delay: (u64, u64),
    pub(super) loss: f64,
    pub(super) duplicates: f64,
    /// Share of datagrams that are delayed by up to ten seconds.
    pub(super) late: f64,
    /// Nodes of different groups cannot reach each other. Nodes without an entry are in
    /// group 0.
    pub(super) groups: BTreeMap<usize, u8>,
    /// These nodes cannot reach the platform.
    pub(super) cut_from_platform: BTreeSet<usize>,
}

pub(super) struct Node {
    pub(super) settings: ControlSettings,
    pub(super) control: Control,
    pub(super) table: Arc<RouteTable>,
    pub(super) paused_until: Millis,
    pub(super) alive: bool,
    /// Time at which each version came into force.
    pub(super) first_in_force_at: BTreeMap<u64, Millis>,
}

enum Occurrence {
    Tick,
    Event(ControlEvent),
    /// A bulk request and the node that sent it.
    BulkRequested(usize, Vec<u8>),
}

pub(super) struct Fleet {
    pub(super) now: Millis,
    pub(super) nodes: Vec<Node>,
    pub(super) platform: Platform,
    pub(super) network: Network,
    pub(super) rng: Xoshiro256PlusPlus,
    queue: BTreeMap<(Millis, u64), (usize, Incarnation, Occurrence)>,
    sequence: u64,
    incarnations_started: u64,
}

pub(super) fn address(index: usize, port: u16) -> SocketAddr {
    let [high, low] = u16::try_from(index)
        .expect("an index that fits into 16 bits")
        .to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

impl Fleet {
    /// Creates a fleet with VMs for each `(service, count)`, spread over the data
    /// centres. No node is started.
    pub(super) fn new(services: &[(&str, usize)], data_centres: usize, seed: u64) -> Self {
        let mut vms = Vec::new();
        for (service, count) in services {
            for _ in 0..*count {
                let index = vms.len();
                vms.push(ListedVm {
                    vm: VmId::new(&format!("vm-{index:05}")),
                    data_centre: DataCentre::new(&format!("dc-{}", index % data_centres)),
                    service: ServiceName::new(service),
                    leaving: false,
                    peer: address(index, 7000),
                    control: address(index, 7001),
                });
            }
        }
        Self {
            now: Millis(1_000),
            nodes: Vec::new(),
            platform: Platform {
                text: None,
                list_version: 1,
                vms,
                down: false,
                reads: 0,
                watches: Vec::new(),
            },
            network: Network {
                delay: (1, 3),
                loss: 0.0,
                duplicates: 0.0,
                late: 0.0,
                groups: BTreeMap::new(),
                cut_from_platform: BTreeSet::new(),
            },
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            incarnations_started: 0,
        }
    }

    /// Starts a node on each VM of the list.
    pub(super) fn start_all(&mut self) {
        for entry in self.platform.vms.clone() {
            self.start(&entry);
        }
    }

    /// Starts a node on a VM and returns its index.
    pub(super) fn start(&mut self, entry: &ListedVm) -> usize {
        self.incarnations_started += 1;
        let settings = ControlSettings {
            vm: entry.vm.clone(),
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            peer: entry.peer,
            control: entry.control,
            incarnation: Incarnation::compose(1_760_000_000_000 + self.incarnations_started, 7),
            seed: self.rng.random(),
            seeds: Vec::new(),
        };
        let index = self.nodes.len();
        let control = Control::new(settings.clone(), Box::new(LineChecker), self.now);
        self.nodes.push(Node {
            settings,
            control,
            table: Arc::default(),
            paused_until: Millis::ZERO,
            alive: true,
            first_in_force_at: BTreeMap::new(),
        });
        let offset = Millis(self.rng.random_range(0..TICK.0));
        self.push(self.now + offset, index, Occurrence::Tick);
        index
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    pub(super) fn publish_text(&mut self, version: u64, text: &str) {
        self.platform.text = Some((version, Arc::from(text)));
        self.answer_watches();
    }

    pub(super) fn publish_vms(&mut self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        change(&mut self.platform.vms);
        self.platform.list_version += 1;
        self.answer_watches();
    }

    pub(super) fn event(&mut self, index: usize, event: ControlEvent) {
        self.push(self.now, index, Occurrence::Event(event));
    }

    pub(super) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (index, incarnation, occurrence) = entry.remove();
            self.now = self.now.max(at);
            self.end_watches();
            self.step(index, incarnation, occurrence);
        }
        self.now = end;
    }

    /// Runs until the condition holds and returns the elapsed time. Panics if the time
    /// limit is exceeded.
    pub(super) fn run_until(
        &mut self,
        limit: Millis,
        what: &str,
        tracks: impl Fn(&Self) -> bool,
    ) -> Millis {
        let start = self.now;
        while !tracks(self) {
            assert!(self.now.since(start) < limit, "not within {limit}: {what}");
            self.run(TICK);
        }
        self.now.since(start)
    }

    pub(super) fn alive(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.alive)
    }

    pub(super) fn all_at(&self, version: u64) -> bool {
        self.alive()
            .all(|node| node.table.version == Some(ConfigVersion(version)))
    }

    pub(super) fn readers(&self) -> usize {
        self.alive()
            .filter(|node| node.control.status(self.now).reading)
            .count()
    }

    pub(super) fn status(&self, index: usize) -> ControlStatus {
        self.nodes[index].control.status(self.now)
    }

    fn push(&mut self, at: Millis, index: usize, occurrence: Occurrence) {
        self.sequence += 1;
        let incarnation = self.nodes[index].settings.incarnation;
        self.queue
            .insert((at, self.sequence), (index, incarnation, occurrence));
    }

    fn step(&mut self, index: usize, incarnation: Incarnation, occurrence: Occurrence) {
        let node = &self.nodes[index];
        if !node.alive || node.settings.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            let until = node.paused_until;
            self.push(until, index, occurrence);
            return;
        }
        match occurrence {
            Occurrence::Tick => {
                self.push(self.now + TICK, index, Occurrence::Tick);
                self.handle(index, ControlEvent::Tick);
            }
            Occurrence::Event(event) => {
                self.handle(index, event);
            }
            Occurrence::BulkRequested(requester, message) => {
                let request = RequestId(self.sequence);
                let peer = self.nodes[index].settings.control;
                let answer = self.handle(index, ControlEvent::BulkRequested { request, message });
                let event = match answer {
                    Some(message) => ControlEvent::BulkAnswered { peer, message },
                    None => ControlEvent::BulkFailed { peer },
                };
                let at = self.now + Millis(2);
                self.push(at, requester, Occurrence::Event(event));
            }
        }
    }

    /// Passes an event to a node and executes its actions. Returns the answer to a bulk
    /// request.
    fn handle(&mut self, index: usize, event: ControlEvent) -> Option<Vec<u8>> {
        let now = self.now;
        let actions = self.nodes[index].control.handle(event, now);
        let mut answer = None;
        for action in actions {
            match action {
                ControlAction::SendDatagram { to, bytes } => self.send(index, to, bytes),
                ControlAction::ReadText { after, wait_ms } => {
                    self.read(index, PlatformRead::Text, None, after.0, wait_ms);
                }
                ControlAction::ReadVms {
                    service,
                    after,
                    wait_ms,
                } => self.read(index, PlatformRead::Vms, service, after.0, wait_ms),
                ControlAction::CancelReads => self.cancel_reads(index),
                ControlAction::BulkRequest { to, message } => self.send_bulk(index, to, message),
                ControlAction::BulkAnswer { message, .. } => answer = Some(message),
                ControlAction::Publish(table) => self.apply_table(index, table),
            }
        }
        answer
    }

    /// Every test checks here that the version in force never decreases.
    fn apply_table(&mut self, index: usize, table: Arc<RouteTable>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        assert!(
            table.version >= node.table.version,
            "{} went from {:?} to {:?}",
            node.settings.vm,
            node.table.version,
            table.version
        );
        if let Some(version) = table.version {
            node.first_in_force_at.entry(version.0).or_insert(now);
        }
        node.table = table;
    }

    fn at_address(&self, control: SocketAddr) -> Option<usize> {
        self.nodes
            .iter()
            .rposition(|node| node.alive && node.settings.control == control)
    }

    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        let groups = &self.network.groups;
        groups.get(&one).unwrap_or(&0) != groups.get(&other).unwrap_or(&0)
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_200, "a datagram of {} bytes", bytes.len());
        let Some(target) = self.at_address(to) else {
            return;
        };
        if self.are_partitioned(from, target) || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_bool(self.network.duplicates));
        let from = self.nodes[from].settings.control;
        for _ in 0..copies {
            let (shortest, longest) = self.network.delay;
            let mut delay = self.rng.random_range(shortest..=longest);
            if self.rng.random_bool(self.network.late) {
                delay = self.rng.random_range(0..10_000);
            }
            let event = ControlEvent::Datagram {
                from,
                bytes: bytes.clone(),
            };
            let at = self.now + Millis(delay);
            self.push(at, target, Occurrence::Event(event));
        }
    }

    fn send_bulk(&mut self, from: usize, to: SocketAddr, message: Vec<u8>) {
        let failure = match self.at_address(to) {
            None => Some(REFUSED_CONNECTION_AFTER),
            Some(target) if self.are_partitioned(from, target) => Some(CONNECT_TIMEOUT),
            Some(target) => {
                let at = self.now + Millis(2);
                self.push(at, target, Occurrence::BulkRequested(from, message));
                None
            }
        };
        if let Some(delay) = failure {
            let event = ControlEvent::BulkFailed { peer: to };
            self.push(self.now + delay, from, Occurrence::Event(event));
        }
    }
}

/// The services of the print office, with their numbers of VMs.
pub(super) const BANGKOK: &[(&str, usize)] = &[
    ("layouts", 5),
    ("cashier", 3),
    ("darkroom", 3),
    ("ledger", 3),
];
/// The configuration text of the print office: cashier and darkroom call ledger.
pub(super) const TEXT: &str = "layouts::2\ncashier:ledger:2\ndarkroom:ledger:2\nledger::2";

/// Creates the print office of Bangkok in three data centres, with version 5 in force
/// everywhere.
pub(super) fn bangkok(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(BANGKOK, 3, seed);
    fleet.publish_text(5, TEXT);
    fleet.start_all();
    let limit = Millis::from_secs(20);
    fleet.run_until(limit, "the first text", |fleet| fleet.all_at(5));
    fleet.run(Millis::from_secs(10));
    fleet
}
