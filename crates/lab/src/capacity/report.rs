//! Runs the parts of the capacity measurement and prints their tables.

use serde::Serialize;
use strum::{Display, EnumString, VariantArray};

use crate::capacity::changes::{self, Loss, LossFigures};
use crate::capacity::control::{self, ControlFigures};
use crate::capacity::layout::Layout;
use crate::capacity::reader::{self, ReaderFigures};
use crate::capacity::text::{self, TextFigures};
use crate::capacity::traffic::{self, EntryFigures, GateFigures};

/// A part of the capacity measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, VariantArray, EnumString, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Part {
    /// The control half of a node that does not read the platform.
    Control,
    /// A reader of the platform.
    Reader,
    /// Changes of the VM list.
    Changes,
    /// Checks of the text.
    Text,
    /// The entry.
    Entry,
    /// The gate.
    Gate,
}

/// All results of one measurement.
#[derive(Debug, Default, Serialize)]
pub struct CapacityReport {
    /// Control halves of nodes that do not read the platform.
    pub control: Vec<ControlFigures>,
    /// Readers of the platform.
    pub readers: Vec<ReaderFigures>,
    /// Changes of the VM list.
    pub changes: Vec<LossFigures>,
    /// Checks of the text.
    pub texts: Vec<TextFigures>,
    /// Entries.
    pub entries: Vec<EntryFigures>,
    /// Gates.
    pub gates: Vec<GateFigures>,
}

impl CapacityReport {
    /// Measures one part and prints each line as soon as it is available. In the parts
    /// `control` and `reader`, only cases whose names contain `case` are measured.
    pub fn measure(&mut self, part: Part, quick: bool, case: &str) {
        match part {
            Part::Control => self.measure_control(quick, case),
            Part::Reader => self.measure_readers(quick, case),
            Part::Changes => self.measure_changes(quick),
            Part::Text => self.measure_texts(quick),
            Part::Entry => self.measure_entries(quick),
            Part::Gate => self.measure_gates(quick),
        }
        println!();
    }

    fn measure_control(&mut self, quick: bool, case: &str) {
        println!(
            "{:48} {:>5} {:>5} {:>5} {:>7} {:>7} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8}",
            "control of one node, a second",
            "nodes",
            "known",
            "doubt",
            "dgm out",
            "dgm in",
            "B out",
            "B in",
            "B sum",
            "pulls",
            "probes",
            "tables",
            "cpu us",
            "mem kB"
        );
        for one in control::cases(quick) {
            if !one.name.contains(case) {
                continue;
            }
            let figures = control::measure(&one);
            print_control(&figures);
            self.control.push(figures);
        }
    }

    fn measure_readers(&mut self, quick: bool, case: &str) {
        println!("readers of the platform, one edit in 1.44 s");
        for one in reader::cases(quick) {
            if !one.name.contains(case) {
                continue;
            }
            let figures = reader::measure(&one);
            print_control(&figures.reader);
            println!(
                "    text {} B, {} readers, {:.2} reads/s, one reader takes in {:.0} B/s of the \
                 platform; in force p50 {}, p99 {}, last {}",
                figures.text_bytes,
                figures.readers,
                figures.platform_reads_per_s,
                figures.platform_bytes_per_s,
                figures.in_force_p50,
                figures.in_force_p99,
                figures.in_force_last
            );
            self.readers.push(figures);
        }
    }

    fn measure_changes(&mut self, quick: bool) {
        println!("a loss in the VM list, 30 s");
        let (layout, losses): (Layout, &[Loss]) = if quick {
            (Layout::equal(16, 5), &[Loss::Nothing, Loss::Rack(16)])
        } else {
            let all = &[
                Loss::Nothing,
                Loss::Vm,
                Loss::Rack(10),
                Loss::Rack(40),
                Loss::DataCentre,
            ];
            (Layout::equal(44, 18), all)
        };
        for loss in losses {
            let figures = changes::measure(&layout, *loss);
            println!(
                "{:24} {:4} VMs lost, {:4} nodes left: known to all after {}, mean {:.0} B a node, \
                 worst {} B, {} pulls",
                format!("{:?}", figures.loss),
                figures.vms,
                figures.nodes,
                figures.known_after,
                figures.mean_bytes,
                figures.worst_bytes,
                figures.pulls
            );
            self.changes.push(figures);
        }
    }

    fn measure_texts(&mut self, quick: bool) {
        println!("check of a text");
        let sizes: &[(usize, usize)] = if quick {
            &[(44, 0), (440, 0)]
        } else {
            &[(44, 0), (440, 0), (440, 710), (440, 1_990), (1_760, 280)]
        };
        for (services, comment_chars) in sizes {
            let figures = text::measure(*services, *comment_chars);
            println!(
                "{:5} services, {:8} B: {:.2} ms (median {:.2}), peak {} kB, checked {} kB",
                figures.services,
                figures.text_bytes,
                figures.check.best_ns / 1e6,
                figures.check.median_ns / 1e6,
                figures.peak_bytes / 1_000,
                figures.held_bytes / 1_000
            );
            self.texts.push(figures);
        }
    }

    fn measure_entries(&mut self, quick: bool) {
        println!("entry");
        let sizes: &[usize] = if quick {
            &[3, 50]
        } else {
            &[3, 10, 36, 100, 200, 500]
        };
        for targets in sizes {
            let figures = traffic::measure_entry(*targets);
            println!(
                "{:5} targets: pick and finish {:.0} ns (median {:.0}), ticket gate {:.0} ns \
                 (median {:.0}), update {:.1} us (median {:.1}), entry {} B, view {} B",
                figures.targets,
                figures.pick_and_finish.best_ns,
                figures.pick_and_finish.median_ns,
                figures.ticket_gate.best_ns,
                figures.ticket_gate.median_ns,
                figures.update.best_ns / 1e3,
                figures.update.median_ns / 1e3,
                figures.entry_bytes,
                figures.view_bytes
            );
            self.entries.push(figures);
        }
    }

    fn measure_gates(&mut self, quick: bool) {
        println!("gate");
        let sizes: &[(u64, usize)] = if quick {
            &[(1_000, 0), (1_000, 1_024)]
        } else {
            &[
                (1_000, 0),
                (10_000, 0),
                (100_000, 0),
                (1_000, 1_024),
                (10_000, 1_024),
                (100_000, 1_024),
                (1_000, 65_536),
            ]
        };
        for (records, answer_bytes) in sizes {
            let figures = traffic::measure_gate(*records, *answer_bytes);
            println!(
                "{:7} records with {:5} B: plain {:.0} ns (median {:.0}), ticketed {:.0} ns \
                 (median {:.0}), gate {} B, {:.0} B a record",
                figures.records,
                figures.answer_bytes,
                figures.plain.best_ns,
                figures.plain.median_ns,
                figures.ticketed.best_ns,
                figures.ticketed.median_ns,
                figures.gate_bytes,
                figures.gate_bytes as f64 / figures.records as f64
            );
            self.gates.push(figures);
        }
    }
}

fn print_control(figures: &ControlFigures) {
    println!(
        "{:48} {:5} {:5} {:5} {:7.1} {:7.1} {:8.0} {:8.0} {:8.0} {:7.2} {:7.2} {:7.2} {:8.0} {:8.1}",
        figures.name,
        figures.nodes,
        figures.known_targets,
        figures.doubtful_targets,
        figures.datagrams_out_per_s,
        figures.datagrams_in_per_s,
        figures.bytes_out_per_s,
        figures.bytes_in_per_s,
        figures.bytes_per_s(),
        figures.pulls_per_s,
        figures.probes_per_s,
        figures.tables_per_s,
        figures.processor_us_per_s,
        figures.memory_bytes as f64 / 1e3
    );
}
