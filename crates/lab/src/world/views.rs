//! Views that entries get from control: members, incarnations and doubtful targets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::{World, distance_us};
use crate::prelude::*;
use hornbeamhitch_core::view::ReceivedLoad;

const PEER_PORT: u16 = 7_000;

impl World {
    /// Builds a node's view of a service from the current state.
    pub(super) fn view_for(
        &self,
        node: usize,
        data_centre: usize,
        service: usize,
    ) -> Arc<ServiceView> {
        let service = &self.services[service];
        let mut targets = Vec::with_capacity(service.hosts.len());
        for host in &service.hosts {
            let address = Ipv4Addr::new(10, 0, 0, host.node as u8);
            targets.push(TargetView {
                vm: host.vm.clone(),
                data_centre: DataCentre::new(&format!("dc-{}", host.data_centre)),
                peer: SocketAddr::new(IpAddr::V4(address), PEER_PORT),
                incarnation: Some(host.incarnation),
                distance_us: distance_us(node, data_centre, host),
                leaving: host.leaving,
                doubtful: host.unreachable_since.is_some(),
                load: Some(ReceivedLoad {
                    report: host.load(self.now),
                    received_at: self.now.floor_millis(),
                }),
            });
        }
        Arc::new(ServiceView {
            policy: Arc::clone(&service.policy),
            targets,
        })
    }

    pub(super) fn update_views(&mut self) {
        let now = self.now.floor_millis();
        for node in 0..self.nodes.len() {
            for service in 0..self.services.len() {
                let view = self.view_for(node, self.nodes[node].data_centre, service);
                self.nodes[node].policies[service].update(view, now);
            }
        }
    }
}
