//! `hornbeamhitch status`: shows the configuration in force, the targets and the
//! spent budgets of nodes.

pub(crate) mod report;

use std::collections::BTreeMap;
use std::io::Write;

use eyre::Result;
use gumdrop::Options;
use hornbeamhitch_types::id::ConfigVersion;
use hornbeamhitch_types::status::NodeStatus;
use serde::Serialize;

use crate::ask::{Answer, fetch_statuses};
use crate::exit::Exit;
use crate::source::write_json;

/// Shows the configuration in force, the targets and the spent budgets of nodes.
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
}

/// The JSON output for all nodes.
#[derive(Serialize)]
struct StatusReport<'a> {
    /// Whether all nodes that answered have the same version in force.
    agree: bool,
    nodes: Vec<NodeRecord<'a>>,
}

/// The JSON output for one node.
#[derive(Serialize)]
struct NodeRecord<'a> {
    node: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<&'a NodeStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let answers = fetch_statuses(&arguments.node, arguments.timeout_ms)?;
    let versions = versions_in_force(&answers);
    let agree = versions.len() <= 1;
    if arguments.json {
        write_json(out, &status_report(&answers, agree))?;
    } else {
        report::write(out, &answers, &versions)?;
    }
    Ok(verdict(&answers, agree))
}

/// Determines the exit code. If nodes disagree and others do not answer, the
/// disagreement decides, because a node that does not answer may only be
/// restarting.
pub(crate) fn verdict(answers: &[Answer], agree: bool) -> Exit {
    if !agree {
        return Exit::Found;
    }
    if answers.iter().any(|answer| answer.status.is_err()) {
        return Exit::Unreachable;
    }
    Exit::Ok
}

/// The nodes by their version in force. `None` means that a node has no version
/// yet.
type Versions<'a> = BTreeMap<Option<ConfigVersion>, Vec<&'a str>>;

fn versions_in_force(answers: &[Answer]) -> Versions<'_> {
    let mut versions = Versions::new();
    for answer in answers {
        let Ok(status) = &answer.status else {
            continue;
        };
        let nodes = versions.entry(status.config.in_force).or_default();
        nodes.push(status.vm.as_str());
    }
    versions
}

fn status_report(answers: &[Answer], agree: bool) -> StatusReport<'_> {
    let mut nodes = Vec::new();
    for answer in answers {
        nodes.push(NodeRecord {
            node: &answer.node,
            status: answer.status.as_ref().ok(),
            error: answer
                .status
                .as_ref()
                .err()
                .map(|error| format!("{error:#}")),
        });
    }
    StatusReport { agree, nodes }
}
