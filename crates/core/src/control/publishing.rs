//! Publishes the route table for the data path when something has changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::api::ControlAction;
use super::board::{Board, Controller, PendingPublish};
use super::member::Member;
use super::members::doubtful_after;
use super::status::MemberState;
use crate::prelude::*;
use crate::suspects::SuspectSet;

/// Minimum time between two publications when only loads changed. Load reports in answers
/// reach the entries directly and are newer.
const MIN_LOAD_INTERVAL: Millis = Millis(200);

/// Controller that publishes the route table.
#[derive(Debug, Default)]
pub(super) struct Publishing {
    published_at: Millis,
    services: BTreeMap<ServiceName, Arc<ServiceView>>,
    suspects: Arc<SuspectSet>,
    /// A change whose publication is delayed.
    deferred: PendingPublish,
}

impl Publishing {
    fn publish(&mut self, board: &mut Board, pending_publish: PendingPublish) {
        let mut services = BTreeMap::new();
        let by_service = board.members.by_service();
        for service in board.tracked_services() {
            let members = by_service.get(service).map_or(&[][..], Vec::as_slice);
            let Some(policy) = board.config.policy(service) else {
                continue;
            };
            let view = ServiceView {
                policy: Arc::clone(policy),
                targets: targets(board, service, members),
            };
            // An unchanged view keeps its allocation, so that the data path can detect by
            // pointer comparison that nothing changed.
            let view = match self.services.get(service) {
                Some(old) if **old == view => Arc::clone(old),
                _ => Arc::new(view),
            };
            services.insert(service.clone(), view);
        }
        let suspects = board.suspects.snapshot();
        if *self.suspects != suspects {
            self.suspects = Arc::new(suspects);
        }
        self.published_at = board.now;
        if pending_publish == PendingPublish::Loads && is_same(&services, &self.services) {
            return;
        }
        let table = RouteTable {
            version: (board.text.version() > 0).then(|| board.text_version()),
            deployment: board.config.deployment(),
            services: services.clone(),
            service_names: board.config.names(),
            suspects: Arc::clone(&self.suspects),
            leaving: board.takes_no_work(),
        };
        self.services = services;
        board.counters.tables_published += 1;
        board.outbox.push(ControlAction::Publish(Arc::new(table)));
    }
}

impl Controller for Publishing {
    fn on_settled(&mut self, board: &mut Board) {
        self.deferred = self
            .deferred
            .max(std::mem::take(&mut board.pending_publish));
        let is_due = match self.deferred {
            PendingPublish::Nothing => false,
            PendingPublish::Loads => board.now.since(self.published_at) >= MIN_LOAD_INTERVAL,
            PendingPublish::Routes => true,
        };
        if !is_due {
            return;
        }
        let pending_publish = std::mem::take(&mut self.deferred);
        self.publish(board, pending_publish);
    }
}

/// Returns whether every view is identical (the same allocation) to the published one.
fn is_same(
    services: &BTreeMap<ServiceName, Arc<ServiceView>>,
    published: &BTreeMap<ServiceName, Arc<ServiceView>>,
) -> bool {
    if services.len() != published.len() {
        return false;
    }
    for (service, view) in services {
        if !published
            .get(service)
            .is_some_and(|old| Arc::ptr_eq(old, view))
        {
            return false;
        }
    }
    true
}

fn targets(board: &Board, service: &ServiceName, members: &[&Member]) -> Vec<TargetView> {
    let doubtful_after = doubtful_after(members.len());
    let deployment = board.config.deployment();
    let mut targets = Vec::new();
    if *service == board.settings.service {
        targets.push(own_target(board));
    }
    for member in members {
        if member.superseded {
            continue;
        }
        let distance_us = distance_us(
            &deployment,
            &board.settings.data_centre,
            &member.data_centre,
        );
        let state = member.state(board.now, doubtful_after);
        targets.push(target(member, state, distance_us));
    }
    targets.sort_by(|left, right| left.vm.cmp(&right.vm));
    targets
}

fn target(member: &Member, state: MemberState, distance_us: u32) -> TargetView {
    TargetView {
        vm: member.vm.clone(),
        data_centre: member.data_centre.clone(),
        peer: member.peer,
        incarnation: member.incarnation,
        distance_us,
        leaving: state == MemberState::Leaving,
        doubtful: state == MemberState::Doubtful,
        load: member.load,
    }
}

fn own_target(board: &Board) -> TargetView {
    TargetView {
        vm: board.settings.vm.clone(),
        data_centre: board.settings.data_centre.clone(),
        peer: board.settings.peer,
        incarnation: Some(board.settings.incarnation),
        distance_us: 0,
        leaving: board.takes_no_work(),
        doubtful: false,
        load: board.own_load,
    }
}

/// Returns the one-way latency between two data centres. Within one data centre it is
/// zero unless the text specifies it.
fn distance_us(deployment: &DeploymentPolicy, from: &DataCentre, to: &DataCentre) -> u32 {
    for distance in &deployment.distances {
        let is_forward = distance.from == *from && distance.to == *to;
        let is_reverse = distance.from == *to && distance.to == *from;
        if is_forward || is_reverse {
            return distance.one_way_us;
        }
    }
    if from == to {
        return 0;
    }
    deployment.default_distance_us
}
