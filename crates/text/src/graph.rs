//! Checks the dependencies between services.

use std::collections::HashMap;

use crate::draft::{Located, TextDraft};
use crate::fault::{FaultKind, KeyPath};
use crate::limits::{MAX_CYCLE_NAMES, MAX_DEPTH};
use crate::name::shortened;
use crate::nearest::nearest;
use crate::report::Report;
use crate::warning::WarningKind;

/// Reports unknown and circular dependencies, and warns about long dependency
/// chains.
pub(crate) fn check(draft: &TextDraft<'_>, report: &mut Report<'_, '_>) {
    let graph = Graph::new(draft);
    graph.check_known(report);
    let mut search = Search::new(&graph);
    for service in 0..draft.services.len() {
        search.search_from(service, report);
    }
    search.warn_about_depth(report);
}

/// The dependency graph. Services are identified by their index in the text.
struct Graph<'d, 'v> {
    draft: &'d TextDraft<'v>,
    indices: HashMap<&'v str, usize>,
}

impl<'d, 'v> Graph<'d, 'v> {
    fn new(draft: &'d TextDraft<'v>) -> Self {
        let mut indices = HashMap::new();
        for (index, service) in draft.services.iter().enumerate() {
            indices.insert(service.name.value, index);
        }
        Self { draft, indices }
    }

    fn name(&self, service: usize) -> &'v str {
        self.draft.services[service].name.value
    }

    fn edges(&self, service: usize) -> &'d [Located<&'v str>] {
        self.draft.dependencies(&self.draft.services[service].draft)
    }

    /// Checks that all dependencies are listed services. The list of `defaults` is
    /// checked once, not for each service that inherits it.
    fn check_known(&self, report: &mut Report<'_, '_>) {
        if let Some(list) = &self.draft.defaults.depends_on {
            self.check_list("defaults", "defaults", &list.value, report);
        }
        for service in &self.draft.services {
            let Some(list) = &service.draft.depends_on else {
                continue;
            };
            let owner = format!("services.{}", service.name.value);
            self.check_list(service.name.value, &owner, &list.value, report);
        }
    }

    fn check_list(
        &self,
        owner: &str,
        owner_path: &str,
        list: &[Located<&str>],
        report: &mut Report<'_, '_>,
    ) {
        for dependency in list {
            if self.indices.contains_key(dependency.value) {
                continue;
            }
            report.fault(dependency.offset, || {
                let known = self.draft.services.iter().map(|service| service.name.value);
                let kind = FaultKind::UnknownDependency {
                    service: shortened(owner),
                    dependency: shortened(dependency.value),
                    nearest: nearest(dependency.value, known).map(str::to_owned),
                };
                (KeyPath(format!("{owner_path}.depends_on")), kind)
            });
        }
    }
}

/// The state of a service in the depth-first search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Unseen,
    /// The service is on the current path, at this index.
    OnPath(usize),
    Done,
}

/// A service on the current path and the index of its next edge to follow.
struct Visit {
    service: usize,
    next_edge: usize,
}

/// A depth-first search with an explicit stack instead of recursion, so that a
/// long chain of services cannot overflow the thread's stack.
struct Search<'g, 'd, 'v> {
    graph: &'g Graph<'d, 'v>,
    progress: Vec<Progress>,
    /// For each service, the number of services on its longest dependency chain,
    /// including itself.
    depths: Vec<usize>,
    is_dependency: Vec<bool>,
    path: Vec<Visit>,
}

impl<'g, 'd, 'v> Search<'g, 'd, 'v> {
    fn new(graph: &'g Graph<'d, 'v>) -> Self {
        let count = graph.draft.services.len();
        Self {
            graph,
            progress: vec![Progress::Unseen; count],
            depths: vec![1; count],
            is_dependency: vec![false; count],
            path: Vec::new(),
        }
    }

    fn search_from(&mut self, start: usize, report: &mut Report<'_, '_>) {
        if self.progress[start] != Progress::Unseen {
            return;
        }
        self.enter(start);
        while let Some(visit) = self.path.last_mut() {
            let service = visit.service;
            let Some(edge) = self.graph.edges(service).get(visit.next_edge) else {
                self.leave(service);
                continue;
            };
            visit.next_edge += 1;
            self.follow(service, *edge, report);
        }
    }

    fn follow(&mut self, from: usize, edge: Located<&'v str>, report: &mut Report<'_, '_>) {
        let Some(&to) = self.graph.indices.get(edge.value) else {
            return;
        };
        self.is_dependency[to] = true;
        match self.progress[to] {
            Progress::Unseen => self.enter(to),
            Progress::Done => self.update_depth(from, to),
            Progress::OnPath(first) => report.fault(edge.offset, || {
                let path = KeyPath(format!("services.{}.depends_on", self.graph.name(from)));
                let cycle = self.describe_cycle(first);
                (path, FaultKind::CircularDependency { cycle })
            }),
        }
    }

    fn enter(&mut self, service: usize) {
        self.progress[service] = Progress::OnPath(self.path.len());
        self.path.push(Visit {
            service,
            next_edge: 0,
        });
    }

    fn leave(&mut self, service: usize) {
        self.progress[service] = Progress::Done;
        self.path.pop();
        if let Some(caller) = self.path.last() {
            self.update_depth(caller.service, service);
        }
    }

    fn update_depth(&mut self, from: usize, to: usize) {
        self.depths[from] = self.depths[from].max(self.depths[to] + 1);
    }

    fn describe_cycle(&self, first: usize) -> String {
        let cycle = &self.path[first..];
        let mut description = String::new();
        for visit in cycle.iter().take(MAX_CYCLE_NAMES) {
            description.push_str(&shortened(self.graph.name(visit.service)));
            description.push_str(" -> ");
        }
        if cycle.len() > MAX_CYCLE_NAMES {
            let left_out = cycle.len() - MAX_CYCLE_NAMES;
            description.push_str(&format!("({left_out} more) -> "));
        }
        description.push_str(&shortened(self.graph.name(cycle[0].service)));
        description
    }

    /// Warns about long dependency chains, once for each chain's first service,
    /// on which no other service depends.
    fn warn_about_depth(&self, report: &mut Report<'_, '_>) {
        for (service, depth) in self.depths.iter().copied().enumerate() {
            if depth <= MAX_DEPTH || self.is_dependency[service] {
                continue;
            }
            let name = self.graph.draft.services[service].name;
            report.warning(name.offset, || {
                let kind = WarningKind::DeepDependencies {
                    service: name.value.to_owned(),
                    depth,
                    limit: MAX_DEPTH,
                };
                (KeyPath(format!("services.{}", name.value)), kind)
            });
        }
    }
}
