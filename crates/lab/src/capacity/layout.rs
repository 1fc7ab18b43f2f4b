//! The deployment of a fleet: its services, VMs and configuration text.

use std::fmt::Write;
use std::net::SocketAddr;

use hornbeamhitch_wire::control::ListedVm;

use crate::prelude::*;

const PEER_PORT: u16 = 7_000;
const CONTROL_PORT: u16 = 7_001;

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Services that it calls, by their index in the layout.
    pub depends_on: Vec<usize>,
}

/// All services of a deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The services. VMs are numbered in this order.
    pub services: Vec<ServiceShape>,
    /// Number of data centres. The VMs of each service are spread over them in turn. If a
    /// service has fewer VMs than there are data centres, the turn continues across
    /// services.
    pub data_centres: usize,
    /// Length of a comment in each service, in characters. It gives the text a realistic
    /// length.
    pub comment_chars: usize,
}

impl Layout {
    /// A service that calls others, all of which have the same size.
    #[must_use]
    pub fn caller_and_callees(targets: usize, callees: usize, callee_targets: usize) -> Self {
        let mut services = vec![shape("caller", targets, (1..=callees).collect())];
        for index in 0..callees {
            services.push(shape(
                &format!("callee-{index:02}"),
                callee_targets,
                Vec::new(),
            ));
        }
        Self::of(services)
    }

    /// A service that is called by others, all of which have the same size.
    #[must_use]
    pub fn callers_of_one(targets: usize, callers: usize, caller_targets: usize) -> Self {
        let mut services = vec![shape("shared", targets, Vec::new())];
        for index in 0..callers {
            services.push(shape(
                &format!("caller-{index:03}"),
                caller_targets,
                vec![0],
            ));
        }
        Self::of(services)
    }

    /// Services of the same size, each of which calls the next two.
    #[must_use]
    pub fn equal(services: usize, targets: usize) -> Self {
        let mut shapes = Vec::with_capacity(services);
        for index in 0..services {
            let mut callees = Vec::new();
            for callee in index + 1..services.min(index + 3) {
                callees.push(callee);
            }
            shapes.push(shape(&format!("service-{index:03}"), targets, callees));
        }
        Self::of(shapes)
    }

    fn of(services: Vec<ServiceShape>) -> Self {
        Self {
            services,
            data_centres: 3,
            comment_chars: 0,
        }
    }

    /// Returns all VMs in the order of the services.
    #[must_use]
    pub fn vms(&self) -> Vec<ListedVm> {
        let mut vms = Vec::new();
        for service in &self.services {
            for place in 0..service.targets {
                let index = vms.len();
                let is_everywhere = service.targets >= self.data_centres;
                let turn = if is_everywhere { place } else { index };
                vms.push(ListedVm {
                    vm: VmId::new(&format!("vm-{index:05}")),
                    data_centre: DataCentre::new(&format!("dc-{:02}", turn % self.data_centres)),
                    service: ServiceName::new(&service.name),
                    leaving: false,
                    peer: address(index, PEER_PORT),
                    control: address(index, CONTROL_PORT),
                });
            }
        }
        vms
    }

    /// Returns the configuration text after a number of edits. Each edit changes a value
    /// of one service, and the services take turns.
    #[must_use]
    pub fn text(&self, edits: u64) -> String {
        let services = self.services.len() as u64;
        let mut text = String::from("{\n  \"deployment\": \"capacity\",\n  \"services\": {\n");
        for (index, service) in self.services.iter().enumerate() {
            let own_edits = (edits + services - 1 - index as u64) / services;
            self.write_service(&mut text, service, own_edits);
        }
        text.push_str("  },\n}\n");
        text
    }

    fn write_service(&self, text: &mut String, service: &ServiceShape, edits: u64) {
        let mut names = String::new();
        for callee in &service.depends_on {
            let _ = write!(names, "\"{}\", ", self.services[*callee].name);
        }
        let deadline_ms = 2_000 + edits % 1_000;
        let _ = write!(
            text,
            "    \"{}\": {{\n      \"depends_on\": [{names}],\n      \
             \"slots\": 12,\n      \"deadline_ms\": {deadline_ms},\n      \"calls\": [\n        \
             {{ \"name\": \"read\", \"match\": \"GET /items\" }},\n        \
             {{ \"name\": \"change\", \"match\": \"POST /items\", \"idempotent\": false }},\n      \
             ],\n",
            service.name
        );
        if self.comment_chars > 0 {
            let _ = writeln!(text, "      // {}", "x".repeat(self.comment_chars));
        }
        text.push_str("    },\n");
    }
}

fn shape(name: &str, targets: usize, depends_on: Vec<usize>) -> ServiceShape {
    ServiceShape {
        name: name.to_owned(),
        targets,
        depends_on,
    }
}

/// Address of the VM with this index.
fn address(index: usize, port: u16) -> SocketAddr {
    let [high, low] = u16::try_from(index).expect("few nodes").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

/// Index of the VM at an address.
#[must_use]
pub fn index_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => unreachable!("all VMs have IPv4 addresses"),
    }
}
