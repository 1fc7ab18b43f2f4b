//! A fleet under load in virtual time, in which a tenth of the VMs loses power.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::faults::failures::Failures;
use crate::placement::notices::TargetNotices;
use crate::placement::order::{self, View};
use crate::placement::refusals::Refusals;
use crate::routing::regions::Regions;
use crate::routing::routes::tests::route;

const VMS: u8 = 60;
const SILENT_VMS: u8 = 6;
/// One call in this many milliseconds enters at each VM.
const CALL_INTERVAL_MS: u64 = 20;
const SILENT_FROM_MS: Millis = Millis(1_000);
const END_MS: Millis = Millis(6_000);
const DEADLINE_MS: Millis = Millis(250);
const RUN_MS: Millis = Millis(30);
const ROUND_TRIP_US: u64 = 1_000;
const ROUND_TRIP_MS: Millis = Millis(1);

/// An attempt of a call.
struct Attempt {
    entry: usize,
    entered_at: Millis,
    sent_at: Millis,
    target: usize,
    confirmation: Option<Confirmation>,
    tried: Vec<TargetId>,
}

struct Node {
    known: SilentVms,
    last_frame: Vec<Option<Millis>>,
    /// By peer: what was sent to it.
    cursors: Vec<ReportCursor>,
}

#[derive(Debug, Default)]
struct Results {
    served: u32,
    late: u32,
    /// Calls that are still waiting for a VM after their deadline.
    stuck: usize,
    /// Attempts at silent VMs.
    withdrawn: u32,
    longest_wait_ms: Millis,
    reports: u32,
}

struct Fleet {
    nodes: Vec<Node>,
    targets: Vec<Arc<Member>>,
    rng: Xoshiro256PlusPlus,
    exchanges_reports: bool,
    open: Vec<Attempt>,
    results: Results,
}

fn is_down(number: usize, now: Millis) -> bool {
    number < usize::from(SILENT_VMS) && now >= SILENT_FROM_MS
}

impl Fleet {
    fn new(exchanges_reports: bool) -> Self {
        let mut nodes = Vec::new();
        for number in 0..VMS {
            nodes.push(Node {
                known: SilentVms::new(vm(number)),
                last_frame: vec![None; usize::from(VMS)],
                cursors: vec![ReportCursor::default(); usize::from(VMS)],
            });
        }
        Self {
            nodes,
            targets: targets(0..VMS),
            rng: Xoshiro256PlusPlus::seed_from_u64(7),
            exchanges_reports,
            open: Vec::new(),
            results: Results::default(),
        }
    }

    fn run(mut self) -> Results {
        for now in 0..END_MS.0 {
            let now = Millis(now);
            for entry in 0..self.nodes.len() {
                let enters = self.rng.random_range(0..CALL_INTERVAL_MS) == 0;
                if enters && !is_down(entry, now) {
                    self.send(entry, now, Vec::new(), now);
                }
            }
            for attempt in std::mem::take(&mut self.open) {
                self.advance(attempt, now);
            }
        }
        let is_past = |attempt: &&Attempt| END_MS.since(attempt.entered_at) > DEADLINE_MS;
        let open = self.open.iter().filter(is_past);
        self.results.stuck = open
            .filter(|attempt| !is_down(attempt.entry, END_MS))
            .count();
        self.results
    }

    fn send(&mut self, entry: usize, entered_at: Millis, tried: Vec<TargetId>, now: Millis) {
        let target = self.choose(entry, &tried, now);
        self.exchange(entry, target, now);
        let timeout_ms = confirmation_timeout_ms(Some(ROUND_TRIP_US));
        self.open.push(Attempt {
            entry,
            entered_at,
            sent_at: now,
            target,
            confirmation: (target != entry).then(|| Confirmation::expect(timeout_ms, now)),
            tried,
        });
    }

    fn choose(&mut self, entry: usize, tried: &[TargetId], now: Millis) -> usize {
        let view = View {
            available: &self.targets,
            route: &route("r", "/", &[("s", 1)]),
            regions: &Regions::default(),
            data_centre: &DataCentre::new("here"),
            failures: &Failures::default(),
            refusals: &Refusals::default(),
            notices: &TargetNotices::default(),
            silent: Some(&self.nodes[entry].known),
            tried,
            now,
        };
        let order = order::candidates(&view, &mut self.rng);
        let first = &order.first().expect("a candidate").member.id;
        let position = self.targets.iter().position(|target| target.id == *first);
        position.expect("a target")
    }

    /// Transfers the report of one node to another, if both are up.
    fn exchange(&mut self, from: usize, to: usize, now: Millis) {
        if !self.exchanges_reports || from == to || is_down(from, now) || is_down(to, now) {
            return;
        }
        let node = &mut self.nodes[from];
        let Some(report) = node.known.report(&mut node.cursors[to], now) else {
            return;
        };
        self.results.reports += 1;
        let Node {
            known, last_frame, ..
        } = &mut self.nodes[to];
        let received_at = |silent: IpAddr| {
            let number = (0..VMS).find(|number| vm(*number) == silent);
            last_frame[usize::from(number.expect("a VM"))]
        };
        known.merge(&report, received_at, now);
    }

    fn advance(&mut self, mut attempt: Attempt, now: Millis) {
        if is_down(attempt.entry, now) {
            return;
        }
        if !is_down(attempt.target, now) {
            return self.answer(attempt, now);
        }
        // A run that has started on a VM that then lost its power is lost with it.
        let Some(confirmation) = &mut attempt.confirmation else {
            return;
        };
        if !confirmation.is_overdue(now) {
            self.open.push(attempt);
            return;
        }
        let waited_ms = now.since(attempt.sent_at);
        self.results.longest_wait_ms = self.results.longest_wait_ms.max(waited_ms);
        self.results.withdrawn += 1;
        let silent = self.targets[attempt.target].vm_ip();
        let node = &mut self.nodes[attempt.entry];
        if node.last_frame[attempt.target].is_none_or(|at| at < attempt.sent_at) {
            node.known.note_silent(silent, now);
        }
        attempt.tried.push(self.targets[attempt.target].id.clone());
        self.send(attempt.entry, attempt.entered_at, attempt.tried, now);
    }

    fn answer(&mut self, mut attempt: Attempt, now: Millis) {
        let elapsed_ms = now.since(attempt.sent_at);
        if elapsed_ms < ROUND_TRIP_MS {
            self.open.push(attempt);
            return;
        }
        if attempt.confirmation.take().is_some() {
            let node = &mut self.nodes[attempt.entry];
            node.last_frame[attempt.target] = Some(now);
            node.known
                .note_received(self.targets[attempt.target].vm_ip());
        }
        if elapsed_ms < RUN_MS {
            self.open.push(attempt);
            return;
        }
        self.exchange(attempt.target, attempt.entry, now);
        match now.since(attempt.entered_at) <= DEADLINE_MS {
            true => self.results.served += 1,
            false => self.results.late += 1,
        }
    }
}

/// Guards against calls that wait for a VM that has lost power until their deadline.
#[test]
fn no_call_waits_for_a_silent_vm_beyond_the_confirmation_timeout() {
    let results = Fleet::new(true).run();
    assert!(results.withdrawn > 0, "{results:?}");
    let timeout_ms = confirmation_timeout_ms(Some(ROUND_TRIP_US));
    assert!(results.longest_wait_ms <= timeout_ms, "{results:?}");
    assert_eq!((results.late, results.stuck), (0, 0), "{results:?}");
    assert!(results.served > 10_000, "{results:?}");
}

/// Guards against each entry observing each silent VM at the cost of its own calls.
#[test]
fn reports_of_others_save_attempts_at_silent_vms() {
    let alone = Fleet::new(false).run();
    let together = Fleet::new(true).run();
    assert_eq!(alone.reports, 0);
    assert!(
        together.withdrawn * 2 < alone.withdrawn,
        "{together:?} instead of {alone:?}"
    );
}
