//! Tests that links between documentation pages resolve and that the pages name
//! only result codes that exist.

use std::fs;
use std::path::{Path, PathBuf};

use hornbeamhitch_types::prelude::*;
use strum::VariantArray;

/// Hyphenated words in backticks on operators' pages that are neither result
/// codes nor certainties: names of exits and headers, parts of overload control, and reasons
/// of refusals at the entry.
const OTHER_WORDS: [&str; 14] = [
    "drain-timed-out",
    "idempotency-key",
    "settings-faults",
    "start-failed",
    "platform-version",
    "silence-bound",
    "service-level",
    "scheduled-returns",
    "caller-shares",
    "nested-first",
    "answer-order",
    "reject-rates",
    "early-return",
    "no-room",
];
/// Prefixes of header and program names.
const OTHER_PREFIXES: [&str; 3] = ["hitch-", "hornbeamhitch-", "standin-"];

/// A documentation page.
struct Page {
    path: PathBuf,
    text: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_page(path: PathBuf) -> Page {
    let text = fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{} cannot be read: {error}", path.display()));
    Page { path, text }
}

fn pages() -> Vec<Page> {
    let mut pages = vec![
        read_page(root().join("README.md")),
        read_page(root().join("CONTRIBUTING.md")),
    ];
    pages_below(&root().join("docs"), &mut pages);
    assert!(pages.len() > 15, "only {} pages were found", pages.len());
    pages
}

fn pages_below(directory: &Path, pages: &mut Vec<Page>) {
    for entry in fs::read_dir(directory).expect("the documentation is part of the repository") {
        let path = entry.expect("the directory can be read").path();
        if path.is_dir() {
            pages_below(&path, pages);
            continue;
        }
        if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(read_page(path));
        }
    }
}

/// Returns the lines of a page outside code blocks.
fn prose(text: &str) -> Vec<&str> {
    let mut lines = Vec::new();
    let mut is_code = false;
    for line in text.lines() {
        if line.starts_with("```") {
            is_code = !is_code;
            continue;
        }
        if is_code || line.starts_with("    ") {
            continue;
        }
        lines.push(line);
    }
    lines
}

/// Returns the destinations of a page's links.
fn links(text: &str) -> Vec<&str> {
    let mut links = Vec::new();
    for line in prose(text) {
        for part in line.split("](").skip(1) {
            let (target, _) = part.split_once(')').expect("a link ends on its line");
            links.push(target);
        }
    }
    links
}

/// Returns the anchor that the usual Markdown renderers generate for a heading.
fn anchor(heading: &str) -> String {
    let mut anchor = String::new();
    for letter in heading.trim().chars() {
        match letter {
            ' ' => anchor.push('-'),
            '-' | '_' => anchor.push(letter),
            _ if letter.is_alphanumeric() => anchor.extend(letter.to_lowercase()),
            _ => {}
        }
    }
    anchor
}

fn has_anchor(page: &Page, wanted: &str) -> bool {
    for line in prose(&page.text) {
        let heading = line.trim_start_matches('#');
        if heading.len() < line.len() && anchor(heading) == wanted {
            return true;
        }
    }
    false
}

#[test]
fn every_relative_link_leads_to_a_file_and_a_heading() {
    let mut dead = Vec::new();
    let mut followed = 0;
    for page in pages() {
        let directory = page.path.parent().expect("a page lies in a directory");
        for link in links(&page.text) {
            if link.contains("://") {
                continue;
            }
            followed += 1;
            let (file, heading) = link.split_once('#').unwrap_or((link, ""));
            let target = match file {
                "" => page.path.clone(),
                file => directory.join(file),
            };
            let is_alive =
                target.exists() && (heading.is_empty() || has_anchor(&read_page(target), heading));
            if !is_alive {
                dead.push(format!("{}: {link}", page.path.display()));
            }
        }
    }
    assert!(dead.is_empty(), "dead links:\n{}", dead.join("\n"));
    assert!(followed > 30, "only {followed} links were found");
}

#[test]
fn every_page_is_in_the_index() {
    let index = read_page(root().join("docs/README.md"));
    let listed = links(&index.text);
    let docs = root().join("docs");
    for page in pages() {
        let Ok(path) = page.path.strip_prefix(&docs) else {
            continue;
        };
        let path = path.to_str().expect("names of pages are plain text");
        assert!(path == "README.md" || listed.contains(&path), "{path}");
    }
}

/// Reads the operators' pages.
fn operators_pages() -> Vec<Page> {
    let mut pages = Vec::new();
    pages_below(&root().join("docs/operators"), &mut pages);
    pages
}

fn is_code(name: &str) -> bool {
    name.parse::<ResultCode>().is_ok()
}

fn is_certainty(name: &str) -> bool {
    for code in ResultCode::VARIANTS {
        if <&'static str>::from(code.certainty()) == name {
            return true;
        }
    }
    false
}

/// Returns whether a word has the form of a result code's name: lower-case
/// letters with at least one hyphen.
fn is_hyphenated(word: &str) -> bool {
    let is_plain = |letter: char| letter.is_ascii_lowercase() || letter == '-';
    word.contains('-') && word.starts_with(char::is_alphabetic) && word.chars().all(is_plain)
}

#[test]
fn operators_pages_name_result_codes_that_exist() {
    let mut found = 0;
    for page in operators_pages() {
        for line in prose(&page.text) {
            for word in line.split('`').skip(1).step_by(2) {
                let is_other = OTHER_WORDS.contains(&word)
                    || OTHER_PREFIXES.iter().any(|prefix| word.starts_with(prefix));
                if !is_hyphenated(word) || is_other {
                    continue;
                }
                let is_known = is_code(word) || is_certainty(word);
                assert!(is_known, "{}: {word}", page.path.display());
                found += 1;
            }
        }
    }
    assert!(found > 20, "only {found} names were found");
}

#[test]
fn expressions_select_result_codes_that_exist() {
    let mut found = 0;
    for page in operators_pages() {
        for operator in ["result=\"", "result=~\""] {
            for part in page.text.split(operator).skip(1) {
                let (names, _) = part.split_once('"').expect("a label's value ends");
                for name in names.split('|') {
                    assert!(is_code(name), "{}: {name}", page.path.display());
                    found += 1;
                }
            }
        }
    }
    assert!(found > 20, "only {found} names were found");
}
