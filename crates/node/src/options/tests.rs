//! Command lines are parsed or rejected, and all exit codes are documented.

use std::path::Path;

use insta::assert_snapshot;

use super::*;

#[test]
fn settings_alone_run_the_node() {
    let expected = Ok(Action::Run(PathBuf::from("/etc/hitch.jsonc")));
    assert_eq!(parse(&["--settings", "/etc/hitch.jsonc"]), expected);
    assert_eq!(parse(&["--settings=/etc/hitch.jsonc"]), expected);
}

#[test]
fn check_only_checks() {
    let expected = Ok(Action::Check(PathBuf::from("a.jsonc")));
    assert_eq!(parse(&["--check", "--settings", "a.jsonc"]), expected);
}

#[test]
fn help_and_version_need_no_settings() {
    assert_eq!(parse(&["--help"]), Ok(Action::Print(usage())));
    let Ok(Action::Print(version)) = parse(&["--version", "--check"]) else {
        panic!("the version is printed");
    };
    assert!(version.starts_with("hornbeamhitch-node "), "{version}");
}

#[test]
fn faulty_command_lines_are_refused_with_the_usage() {
    let mut refusals = Vec::new();
    let faulty: [&[&str]; 5] = [
        &[],
        &["--check"],
        &["--settings"],
        &["--setings", "a.jsonc"],
        &["a.jsonc"],
    ];
    for args in faulty {
        let error = parse(args).expect_err("the command line is faulty");
        assert!(error.to_string().ends_with(&usage()));
        refusals.push(format!("{args:?}: {}", error.problem));
    }
    assert_snapshot!(refusals.join("\n"));
    assert_snapshot!(usage());
}

#[test]
fn the_documentation_has_every_exit_code() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/install.md");
    let page = std::fs::read_to_string(page).expect("the page is part of the repository");
    let mut rows = 0;
    for line in page.lines() {
        if line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit()) {
            rows += 1;
        }
    }
    assert_eq!(rows, ExitStatus::VARIANTS.len());
    for status in ExitStatus::VARIANTS {
        let name: &'static str = status.into();
        let row = format!("| {} | `{name}` |", *status as u8);
        assert!(page.contains(&row), "{row} is missing");
    }
}
