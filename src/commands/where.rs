//! `hornbeamhitch where`: shows where each node sends the calls of a service.

use std::collections::BTreeMap;
use std::io::Write;

use eyre::Result;
use gumdrop::Options;
use hornbeamhitch_types::id::{ServiceName, VmId};
use hornbeamhitch_types::status::{ServiceStatus, TargetState};
use serde::Serialize;

use super::status::report::{age, state, write_errors};
use super::status::verdict;
use crate::ask::{Answer, fetch_statuses};
use crate::exit::Exit;
use crate::source::write_json;
use crate::table::Table;

/// Shows where calls of a service go, and whether nodes agree.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// write JSON
    #[options(no_short)]
    json: bool,
    /// operators' address of a node, http://IP:PORT; may be repeated
    #[options(short = "n", meta = "ADDRESS")]
    node: Vec<String>,
    /// time limit for each node in milliseconds
    #[options(no_short, meta = "MS", default = "2000")]
    timeout_ms: u64,
    /// the service
    #[options(free, required)]
    service: String,
}

/// The views of all nodes on a service.
#[derive(Serialize)]
struct Views<'a> {
    service: &'a str,
    /// Whether at least one node tracks the service, and all nodes that do see the
    /// same targets in the same states.
    agree: bool,
    nodes: Vec<NodeView<'a>>,
    disagreements: Vec<Disagreement<'a>>,
}

/// The view of one node on a service.
#[derive(Serialize)]
struct NodeView<'a> {
    node: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    vm: Option<&'a VmId>,
    /// The node's view; absent if it does not track the service.
    #[serde(skip_serializing_if = "Option::is_none")]
    view: Option<&'a ServiceStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// One target that nodes see differently.
#[derive(Serialize)]
struct Disagreement<'a> {
    target: &'a VmId,
    seen: Vec<ObservedState<'a>>,
}

/// The state of a target as one node sees it. It is absent if the node does not
/// know the target.
#[derive(Serialize)]
struct ObservedState<'a> {
    by: &'a VmId,
    state: Option<TargetState>,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let answers = fetch_statuses(&arguments.node, arguments.timeout_ms)?;
    let views = views(&arguments.service, &answers);
    if arguments.json {
        write_json(out, &views)?;
    } else {
        write(out, &views, &answers)?;
    }
    Ok(verdict(&answers, views.agree || no_status(&answers)))
}

/// Returns whether no node answered. In this case it is unknown whether the nodes
/// agree.
fn no_status(answers: &[Answer]) -> bool {
    answers.iter().all(|answer| answer.status.is_err())
}

fn views<'a>(service: &'a str, answers: &'a [Answer]) -> Views<'a> {
    let mut nodes = Vec::new();
    for answer in answers {
        let (vm, view, error) = match &answer.status {
            Ok(status) => (Some(&status.vm), find(&status.services, service), None),
            Err(error) => (None, None, Some(format!("{error:#}"))),
        };
        nodes.push(NodeView {
            node: &answer.node,
            vm,
            view,
            error,
        });
    }
    let disagreements = disagreements(&nodes);
    let is_tracked = nodes.iter().any(|node| node.view.is_some());
    Views {
        service,
        agree: is_tracked && disagreements.is_empty(),
        nodes,
        disagreements,
    }
}

fn find<'a>(services: &'a [ServiceStatus], name: &str) -> Option<&'a ServiceStatus> {
    services
        .iter()
        .find(|service| ServiceName::as_str(&service.name) == name)
}

/// Returns the targets that the nodes tracking the service see in different
/// states.
fn disagreements<'a>(nodes: &[NodeView<'a>]) -> Vec<Disagreement<'a>> {
    let mut tracking_nodes = Vec::new();
    for node in nodes {
        if let (Some(vm), Some(view)) = (node.vm, node.view) {
            tracking_nodes.push((vm, states(view)));
        }
    }
    let mut targets: Vec<&VmId> = Vec::new();
    for (_, states) in &tracking_nodes {
        targets.extend(states.keys());
    }
    targets.sort();
    targets.dedup();
    let mut disagreements = Vec::new();
    for target in targets {
        let mut seen = Vec::new();
        for (by, states) in &tracking_nodes {
            let state = states.get(target).copied();
            seen.push(ObservedState { by, state });
        }
        if seen.iter().all(|one| one.state == seen[0].state) {
            continue;
        }
        disagreements.push(Disagreement { target, seen });
    }
    disagreements
}

fn states(view: &ServiceStatus) -> BTreeMap<&VmId, TargetState> {
    let mut states = BTreeMap::new();
    for target in &view.targets {
        states.insert(&target.vm, target.state);
    }
    states
}

fn write(out: &mut dyn Write, views: &Views<'_>, answers: &[Answer]) -> Result<()> {
    let table = targets(views);
    if !table.is_empty() {
        writeln!(out, "{table}")?;
    }
    for node in &views.nodes {
        let Some(vm) = node.vm else {
            continue;
        };
        match node.view {
            None => writeln!(out, "{vm} does not hold {}", views.service)?,
            Some(view) if view.targets.is_empty() => {
                writeln!(out, "{vm} knows no target of {}", views.service)?;
            }
            Some(_) => {}
        }
    }
    write_errors(out, answers)?;
    write_verdict(out, views)
}

fn targets(views: &Views<'_>) -> Table {
    let mut table = Table::new(&[
        "NODE",
        "TARGET",
        "DATA CENTRE",
        "PEER",
        "STATE",
        "FROM HERE",
        "RUNNING",
        "QUEUED",
        "HEARD",
    ]);
    for node in &views.nodes {
        let (Some(vm), Some(view)) = (node.vm, node.view) else {
            continue;
        };
        for target in &view.targets {
            let load = target.load;
            let running = load.map(|load| format!("{}/{}", load.in_flight, load.limit));
            let queued = load.map(|load| load.queued.to_string());
            table.row(vec![
                vm.to_string(),
                target.vm.to_string(),
                target.data_centre.to_string(),
                target.peer.to_string(),
                state(target.state),
                target.in_flight.to_string(),
                running.unwrap_or_else(|| "-".to_owned()),
                queued.unwrap_or_else(|| "-".to_owned()),
                age(load.map(|load| load.load_age_ms)),
            ]);
        }
    }
    table
}

fn write_verdict(out: &mut dyn Write, views: &Views<'_>) -> Result<()> {
    let tracking_nodes = views
        .nodes
        .iter()
        .filter(|node| node.view.is_some())
        .count();
    if tracking_nodes == 0 {
        writeln!(out, "no node that answered holds {}", views.service)?;
        return Ok(());
    }
    if views.disagreements.is_empty() {
        writeln!(
            out,
            "all nodes that hold {} agree ({tracking_nodes})",
            views.service
        )?;
        return Ok(());
    }
    writeln!(out, "nodes disagree on {}:", views.service)?;
    for disagreement in &views.disagreements {
        let mut words = Vec::new();
        for seen in &disagreement.seen {
            let state = seen
                .state
                .map_or("unknown".to_owned(), |state| state.to_string());
            words.push(format!("{state} at {}", seen.by));
        }
        writeln!(out, "  {}: {}", disagreement.target, words.join(", "))?;
    }
    Ok(())
}
