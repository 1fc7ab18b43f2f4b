//! Compares the documentation's table of result codes with the code.

use std::collections::BTreeMap;

use hornbeamhitch_types::prelude::*;
use strum::VariantArray;

const TABLE: &str = include_str!("../../../docs/callers/result-codes.md");

/// One row of the documented table.
#[derive(Debug, PartialEq, Eq)]
struct Row {
    name: String,
    status: u16,
    certainty: String,
}

fn documented_rows() -> BTreeMap<u16, Row> {
    let mut rows = BTreeMap::new();
    for line in TABLE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if cells.len() < 6 {
            continue;
        }
        let Ok(number) = cells[1].parse() else {
            continue;
        };
        let row = Row {
            name: cells[2].to_owned(),
            status: cells[3].parse().expect("the status is a number"),
            certainty: cells[4].to_owned(),
        };
        assert!(
            rows.insert(number, row).is_none(),
            "code {number} is listed twice in the table"
        );
    }
    rows
}

#[test]
fn the_table_lists_exactly_the_codes_with_their_meaning() {
    let mut expected = BTreeMap::new();
    for code in ResultCode::VARIANTS {
        let name: &'static str = code.into();
        let certainty: &'static str = code.certainty().into();
        let row = Row {
            name: name.to_owned(),
            status: code.http_status(),
            certainty: certainty.to_owned(),
        };
        assert!(
            expected.insert(code.number(), row).is_none(),
            "the number of {name} is used twice"
        );
    }
    assert_eq!(documented_rows(), expected);
}

#[test]
fn every_number_maps_back_to_its_code() {
    for code in ResultCode::VARIANTS {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(999), None);
}

/// A caller that gets a "not run" code sends the request with a new ticket. A
/// code for requests that may have run must therefore never have that certainty,
/// or the request could run twice.
#[test]
fn codes_with_unknown_outcome_never_certify_not_run() {
    let unknown_outcome = [
        ResultCode::GateLost,
        ResultCode::RunBroken,
        ResultCode::AnswerNotKept,
        ResultCode::AttemptsFailed,
        ResultCode::DeadlinePassed,
        ResultCode::AnswerCut,
    ];
    for code in unknown_outcome {
        assert_eq!(code.certainty(), Certainty::Unknown, "{code}");
    }
    assert_eq!(ResultCode::StillRunning.certainty(), Certainty::Pending);
    assert_eq!(ResultCode::WrongGate.certainty(), Certainty::TicketDead);
}
