//! The event loop that simulates callers, entries, the network, gates and targets.

use std::sync::Arc;

use hornbeamhitch_core::suspects::Suspects;

use crate::case::{BETWEEN_DATA_CENTRES_US, DATA_CENTRES, INSIDE_DATA_CENTRE_US};
use crate::event::{AttemptIndex, CallIndex, Event, EventQueue, HostId};
use crate::host::{Host, HostSettings, REPORT_INTERVAL};
use crate::policy::{Policy, PolicyKind, new_policy};
use crate::prelude::*;
use crate::workload::{Workload, mix};

use call::{Attempt, Call};
use tally::Tally;

mod call;
mod entry_side;
mod faults;
mod gate_side;
mod tally;
mod views;

pub use tally::RunReport;

/// Interval of a gate's ticks, as in the daemon.
const GATE_TICK: Micros = Micros::from_millis(5);
/// How long ticks continue after the last arrival. It covers the longest calls.
const TICKS_AFTER_LAST_ARRIVAL: Micros = Micros::from_millis(10_000);
const SAME_VM_US: u32 = 20;

/// A service with its targets.
#[derive(Debug)]
struct Service {
    policy: Arc<ServicePolicy>,
    mean_work_us: f64,
    hosts: Vec<Host>,
}

/// A node in its role as an entry.
#[derive(Debug)]
struct Node {
    data_centre: usize,
    /// Selection policy for each service.
    policies: Vec<Box<dyn Policy>>,
    /// Open connections by service and target.
    connected: Vec<Vec<bool>>,
}

/// One run of a case with one selection policy.
#[derive(Debug)]
pub struct World {
    case: Case,
    kind: PolicyKind,
    now: Micros,
    queue: EventQueue,
    workload: Workload,
    nodes: Vec<Node>,
    services: Vec<Service>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    lost_data_centres: [Option<Micros>; DATA_CENTRES],
    suspects: Suspects,
    tally: Tally,
}

impl World {
    /// Sets up a run before its first event.
    #[must_use]
    pub fn new(case: &Case, kind: PolicyKind, seed: u64) -> Self {
        let services = new_services(case, kind, seed);
        let mut hosts = 0;
        for service in &services {
            hosts += service.hosts.len();
        }
        let mut world = Self {
            case: case.clone(),
            kind,
            now: Micros::ZERO,
            queue: EventQueue::default(),
            workload: Workload::new(case, seed, hosts),
            nodes: Vec::with_capacity(case.nodes),
            services,
            calls: Vec::new(),
            attempts: Vec::new(),
            lost_data_centres: [None; DATA_CENTRES],
            suspects: Suspects::new(),
            tally: Tally::new(),
        };
        world.add_nodes(seed);
        world.schedule_first_events();
        world
    }

    /// Processes all events and returns the report of the run.
    #[must_use]
    pub fn run(mut self) -> RunReport {
        while let Some((at, event)) = self.queue.next() {
            self.now = at;
            self.handle(event);
        }
        self.tally.report(&self.case, self.kind)
    }

    fn add_nodes(&mut self, seed: u64) {
        for node in 0..self.case.nodes {
            let data_centre = node % DATA_CENTRES;
            let mut policies = Vec::with_capacity(self.services.len());
            let mut connected = Vec::with_capacity(self.services.len());
            for service in 0..self.services.len() {
                let view = self.view_for(node, data_centre, service);
                let policy_seed = mix(seed, ((node as u64) << 16) | service as u64);
                policies.push(new_policy(self.kind, policy_seed, view));
                connected.push(vec![false; self.services[service].hosts.len()]);
            }
            self.nodes.push(Node {
                data_centre,
                policies,
                connected,
            });
        }
    }

    fn schedule_first_events(&mut self) {
        self.queue.schedule(Micros::ZERO, Event::NewCall);
        if self.kind.has_gates() {
            self.queue.schedule(GATE_TICK, Event::GateTick);
        }
        if self.case.stale_reports {
            self.queue.schedule(REPORT_INTERVAL, Event::ReportTick);
        }
        for fault in &self.case.faults {
            self.queue.schedule(fault.at, Event::Fault(fault.fault));
        }
        if self.case.noisy {
            self.schedule_first_stalls();
        }
    }

    fn schedule_first_stalls(&mut self) {
        for service in 0..self.services.len() {
            for target in 0..self.services[service].hosts.len() {
                self.schedule_stall(HostId { service, target });
            }
        }
    }

    fn schedule_stall(&mut self, id: HostId) {
        let node = self.host(id).node;
        let at = self.now + self.workload.stall_gap(node);
        if at < self.case.duration {
            self.queue.schedule(at, Event::Stall(id));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewCall => self.new_call(),
            Event::CallAtEntry(call) => self.call_at_entry(call),
            Event::AttemptAtGate(attempt) => self.attempt_at_gate(attempt),
            Event::WorkDone(host, attempt) => self.work_done(host, attempt),
            Event::EndAtEntry(attempt) => self.end_at_entry(attempt),
            Event::CancelAtGate(attempt) => self.cancel_at_gate(attempt),
            Event::HedgeDue(call) => self.hedge_due(call),
            Event::DeadlineAt(call) => self.deadline_at(call),
            Event::GateTick => self.gate_tick(),
            Event::ReportTick => self.report_tick(),
            Event::Fault(fault) => self.begin_fault(fault),
            Event::Stall(host) => self.stall(host),
            Event::ViewUpdate => self.update_views(),
            Event::SuspectsUpdate => self.update_suspects(),
        }
    }

    fn gate_tick(&mut self) {
        for service in 0..self.services.len() {
            for target in 0..self.services[service].hosts.len() {
                self.tick_gate(HostId { service, target });
            }
        }
        self.repeat(Event::GateTick, GATE_TICK);
    }

    fn report_tick(&mut self) {
        let now = self.now;
        for service in &mut self.services {
            for host in &mut service.hosts {
                host.store_report(now);
            }
        }
        self.repeat(Event::ReportTick, REPORT_INTERVAL);
    }

    fn repeat(&mut self, event: Event, gap: Micros) {
        let at = self.now + gap;
        if at < self.case.duration + TICKS_AFTER_LAST_ARRIVAL {
            self.queue.schedule(at, event);
        }
    }

    fn stall(&mut self, id: HostId) {
        let node = self.host(id).node;
        let length = self.workload.stall_length(node);
        let now = self.now;
        self.host_mut(id).target.freeze(length, now);
        self.schedule_stall(id);
    }

    fn host(&self, id: HostId) -> &Host {
        &self.services[id.service].hosts[id.target]
    }

    fn host_mut(&mut self, id: HostId) -> &mut Host {
        &mut self.services[id.service].hosts[id.target]
    }

    fn call(&self, index: CallIndex) -> &Call {
        &self.calls[index.0]
    }

    fn call_mut(&mut self, index: CallIndex) -> &mut Call {
        &mut self.calls[index.0]
    }

    fn attempt(&self, index: AttemptIndex) -> &Attempt {
        &self.attempts[index.0]
    }

    fn attempt_mut(&mut self, index: AttemptIndex) -> &mut Attempt {
        &mut self.attempts[index.0]
    }

    /// One-way network delay between a node and a host.
    fn distance(&self, node: usize, id: HostId) -> Micros {
        let host = self.host(id);
        Micros(u64::from(distance_us(node, node % DATA_CENTRES, host)))
    }
}

fn distance_us(node: usize, data_centre: usize, host: &Host) -> u32 {
    if host.node == node {
        return SAME_VM_US;
    }
    if host.data_centre == data_centre {
        return INSIDE_DATA_CENTRE_US;
    }
    BETWEEN_DATA_CENTRES_US
}

fn new_services(case: &Case, kind: PolicyKind, seed: u64) -> Vec<Service> {
    let mut services = Vec::with_capacity(case.chain.len());
    let mut node = 0;
    for (index, spec) in case.chain.iter().enumerate() {
        let policy = case.service_policy(index);
        let mut hosts = Vec::with_capacity(spec.targets);
        for _ in 0..spec.targets {
            hosts.push(Host::new(HostSettings {
                vm: VmId::new(&format!("vm-{node:03}")),
                data_centre: node % DATA_CENTRES,
                node,
                has_gate: kind.has_gates(),
                seed: mix(seed, 500 + node as u64),
                policy: Arc::clone(&policy),
                mean_work_us: spec.mean_work_us,
            }));
            node += 1;
        }
        services.push(Service {
            policy,
            mean_work_us: spec.mean_work_us,
            hosts,
        });
    }
    services
}
