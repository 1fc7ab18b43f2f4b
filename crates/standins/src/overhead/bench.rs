//! The measured processes: the platform and two targets, each with its node.

use std::collections::{BTreeMap, VecDeque};

use crate::demo::deployment::ServiceSpec;
use crate::demo::{Deployment, NodeKind, Programs, RunningDeployment};
use crate::http_client::{HttpClient, HttpVersion};
use crate::prelude::*;
use crate::target::ServiceTime;

use super::open_loop::{CallTemplate, OfferedLoad, OpenLoop, Outcome};
use super::process_time::{ProcessTime, resident_bytes};
use super::series::{CallType, Route, Series};

/// Service whose target is called.
const SERVICE: &str = "cashier";
/// Another service, whose node is the entry on the second VM.
const OTHER_SERVICE: &str = "ledger";
const MEASURED_VM: &str = "cashier-1";
const OTHER_VM: &str = "ledger-1";
const LOOKUP_PATH: &str = "/prices/passport";
const PAYMENT_PATH: &str = "/charge";
/// Host by which routed nodes find the service. Their paths begin with the prefix of
/// a route.
const ROUTED_HOST: &str = "cashier.example";
const ROUTED_PAYMENT_PATH: &str = "/charges/one";
const PAYMENT_BYTES: usize = 200;
const SLOTS: u32 = 12;
/// Maximum number of tickets that one request fetches.
const TICKET_BATCH: usize = 32;

/// Configuration text for ticketed nodes.
///
/// `max_records` is raised because records outlive their calls, and a run makes more
/// calls than a gate keeps records by default.
const TEXT: &str = r#"{
  "deployment": "overhead",
  "data_centres": ["dc-1"],
  "defaults": { "slots": 12, "connections": 250, "max_records": 1000000 },
  "services": {
    "cashier": {
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
      ],
    },
    "ledger": {},
  },
}"#;

/// Configuration text for nodes that route by host and path, with the same services.
const ROUTED_TEXT: &str = r#"{
  "deployment": "overhead",
  "data_centres": ["dc-1"],
  "defaults": { "slots": 12, "connections": 250 },
  "services": { "cashier": {}, "ledger": {} },
  "routes": [
    { "name": "prices", "host": "cashier.example", "prefix": "/prices/",
      "to": { "cashier": 1 }, "idempotent": true, "timeout_ms": 2000 },
    { "name": "charges", "host": "cashier.example", "prefix": "/charges/",
      "to": { "cashier": 1 }, "timeout_ms": 2000 },
  ],
}"#;

/// Answer of a node to a request for tickets.
#[derive(Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

/// The running processes and the callers of each route.
pub struct Bench {
    kind: NodeKind,
    deployment: RunningDeployment,
    callers: BTreeMap<Route, OpenLoop>,
    addrs: BTreeMap<Route, SocketAddr>,
    client: HttpClient,
}

impl Bench {
    /// Starts all processes and waits until the nodes are ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not become ready.
    pub async fn start(programs: &Programs, connections: usize) -> Result<Self> {
        let text = match programs.kind {
            NodeKind::Ticketed => TEXT,
            NodeKind::Routed => ROUTED_TEXT,
        };
        let mut deployment = RunningDeployment::start(programs, &deployment(), text).await?;
        let target = deployment.target_addrs()[0];
        let own_entry = deployment.fleet().addresses(MEASURED_VM)?.callers;
        let other_entry = deployment.fleet().addresses(OTHER_VM)?.callers;
        let addrs = BTreeMap::from([
            (Route::Direct, target),
            (Route::OneVm, own_entry),
            (Route::TwoVms, other_entry),
        ]);
        let mut callers = BTreeMap::new();
        for (route, addr) in &addrs {
            callers.insert(*route, OpenLoop::new(*addr, connections)?);
        }
        Ok(Self {
            kind: programs.kind,
            deployment,
            callers,
            addrs,
            client: HttpClient::new(HttpVersion::Http1),
        })
    }

    /// Makes the calls of an offered load.
    ///
    /// # Errors
    ///
    /// Fails when tickets cannot be fetched or connections cannot be established.
    pub async fn run_load(&mut self, series: Series, offered: &OfferedLoad) -> Result<Outcome> {
        let template = self.template(series, offered).await?;
        let callers = self.callers.get_mut(&series.route);
        let callers = callers.ok_or_else(|| eyre!("no callers for {series}"))?;
        // Blocks this thread. No other task of the program needs it now.
        tokio::task::block_in_place(|| callers.run(offered, &template))
    }

    async fn template(&self, series: Series, offered: &OfferedLoad) -> Result<CallTemplate> {
        let path = match (series.call, self.kind) {
            (CallType::Lookup, _) => LOOKUP_PATH,
            (CallType::Payment, NodeKind::Ticketed) => PAYMENT_PATH,
            (CallType::Payment, NodeKind::Routed) => ROUTED_PAYMENT_PATH,
        };
        let names_service = series.is_through_nodes() && self.kind == NodeKind::Ticketed;
        let path = match names_service {
            true => format!("/{SERVICE}{path}"),
            false => path.to_owned(),
        };
        let mut template = CallTemplate {
            method: Method::GET,
            host: (self.kind == NodeKind::Routed).then_some(ROUTED_HOST),
            single_use_paths: Mutex::default(),
            path,
            body: Bytes::new(),
        };
        if series.call == CallType::Payment {
            template.method = Method::POST;
            template.body = Bytes::from(vec![b'x'; PAYMENT_BYTES]);
        }
        if series.is_ticketed() && self.kind == NodeKind::Ticketed {
            let paths = self.ticketed_paths(series.route, offered.max_calls(), &template.path);
            template.single_use_paths = Mutex::new(paths.await?);
        }
        Ok(template)
    }

    async fn ticketed_paths(
        &self,
        route: Route,
        count: usize,
        path: &str,
    ) -> Result<VecDeque<String>> {
        let mut paths = VecDeque::new();
        let request = format!("{}{SERVICE}?count={TICKET_BATCH}", header::TICKETS_PREFIX);
        while paths.len() < count {
            let answer = self.client.post(self.addrs[&route], &request, Bytes::new());
            let batch: Tickets = answer.await?.json()?;
            for ticket in batch.tickets {
                paths.push_back(format!("{}{ticket}{path}", header::TICKETED_PREFIX));
            }
        }
        Ok(paths)
    }

    /// Returns the processor time of each node since its start, by VM.
    ///
    /// # Errors
    ///
    /// Fails when a node has exited.
    pub fn processor_times(&mut self) -> Result<BTreeMap<String, ProcessTime>> {
        let mut times = BTreeMap::new();
        for vm in [MEASURED_VM, OTHER_VM] {
            let id = self.deployment.fleet().process_id(vm)?;
            times.insert(vm.to_owned(), ProcessTime::read(id)?);
        }
        Ok(times)
    }

    /// Returns the resident memory of each node by VM, in bytes.
    ///
    /// # Errors
    ///
    /// Fails when a node has exited.
    pub fn resident_bytes(&mut self) -> Result<BTreeMap<String, u64>> {
        let mut bytes = BTreeMap::new();
        for vm in [MEASURED_VM, OTHER_VM] {
            let id = self.deployment.fleet().process_id(vm)?;
            bytes.insert(vm.to_owned(), resident_bytes(id)?);
        }
        Ok(bytes)
    }

    /// Stops all processes.
    ///
    /// # Errors
    ///
    /// Fails when a process does not exit in time or not with status 0.
    pub async fn stop(mut self) -> Result<()> {
        // The nodes would wait for open connections while they drain.
        let callers = std::mem::take(&mut self.callers);
        tokio::task::block_in_place(|| drop(callers));
        self.deployment.stop().await
    }
}

fn deployment() -> Deployment {
    let service = |name: &str| ServiceSpec {
        name: name.to_owned(),
        targets: 1,
        slots: SLOTS,
        service_time: ServiceTime::Fixed { us: 0 },
    };
    Deployment {
        data_centres: vec!["dc-1".to_owned()],
        services: vec![service(SERVICE), service(OTHER_SERVICE)],
        kinds: Vec::new(),
    }
}
