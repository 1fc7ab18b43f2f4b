//! A fleet whose gates are played by the test, and gates that answer all calls.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_standins::raw_caller::RawAnswer;
use hornbeamhitch_types::load::{SilenceReport, SilentVm};
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::support::caller::request;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{Fleet, fleet, member, set_directory};

/// A fleet in which the targets of service `s` are behind gates that the test plays.
pub struct Stage {
    pub fleet: Fleet,
}

impl Stage {
    pub async fn new() -> Self {
        let fleet = fleet(&["other"]).await;
        Self { fleet }
    }

    fn ip(number: u8) -> String {
        format!("127.203.0.{number}")
    }

    pub fn member(number: u8) -> Member {
        let target: SocketAddr = format!("{}:1", Self::ip(number))
            .parse()
            .expect("an address");
        member(usize::from(number), "s", target)
    }

    /// Binds the gate of a target.
    pub async fn listen(&self, number: u8) -> TcpListener {
        let address = (Self::ip(number), self.fleet.gate_port);
        let listener = TcpListener::bind((address.0.as_str(), address.1)).await;
        listener.expect("the gate's port")
    }

    /// Lists the targets with these numbers.
    pub fn list(&self, numbers: &[u8]) {
        let members = numbers.iter().map(|number| Self::member(*number)).collect();
        set_directory(&self.fleet.directory, "s", members);
    }

    pub fn callers(&self) -> SocketAddr {
        self.fleet.vms[0].callers
    }

    pub fn start(&self, method: &'static str, path: &'static str, id: &'static str) -> Answer {
        tokio::spawn(request(self.callers(), method, path, id))
    }

    /// Starts a gate that answers all calls.
    pub async fn start_healthy(&self, number: u8) -> Healthy {
        let listener = self.listen(number).await;
        let healthy = Healthy::default();
        let frames = healthy.clone();
        tokio::spawn(async move {
            loop {
                let gate = FakeGate::accept(&listener, 100).await;
                tokio::spawn(frames.clone().answer_all(gate));
            }
        });
        healthy
    }
}

pub type Answer = JoinHandle<RawAnswer>;

/// A gate that answers all calls, and what it has received.
#[derive(Clone, Default)]
pub struct Healthy {
    /// Request ids of the calls whose content has arrived.
    pub ran: Arc<Mutex<Vec<String>>>,
    pub reports: Arc<Mutex<Vec<SilentVm>>>,
    /// Sent before each answer.
    pub report: Arc<Mutex<SilenceReport>>,
}

impl Healthy {
    pub async fn answer_all(self, mut gate: FakeGate) {
        let mut offers = std::collections::BTreeMap::new();
        while let Some(frame) = gate.next_unless_closed().await {
            match frame {
                ToGate::Ping => gate.send(&ToEntry::Pong).await,
                ToGate::Call { id, terms, .. } => self.answer(&mut gate, id, &terms).await,
                ToGate::Offer { id, terms, .. } => {
                    offers.insert(id, terms);
                    gate.send(&ToEntry::WantsContent { id }).await;
                }
                ToGate::Head { id, .. } => {
                    let terms = offers.remove(&id).expect("an offer");
                    self.answer(&mut gate, id, &terms).await;
                }
                ToGate::Silence(report) => self.reports.lock().extend(report.vms),
                _ => {}
            }
        }
    }

    async fn answer(&self, gate: &mut FakeGate, id: CallId, terms: &CallTerms) {
        self.ran.lock().push(terms.request_id.clone());
        let report = self.report.lock().clone();
        if !report.vms.is_empty() {
            gate.send(&ToEntry::Silence(report)).await;
        }
        gate.send(&answer(id, &terms.request_id)).await;
    }
}
