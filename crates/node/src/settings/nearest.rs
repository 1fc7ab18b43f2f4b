//! Suggests the known key that a mistyped key was probably meant to be.

/// With more edits than this, the key is a different word and not a typing
/// error.
const MAX_EDITS: usize = 3;

/// Returns the known key closest to `key`, if one is close enough.
pub(super) fn nearest<'a>(key: &str, known: &[&'a str]) -> Option<&'a str> {
    let mut best: Option<(usize, &'a str)> = None;
    for candidate in known {
        let edits = edit_distance(key, candidate);
        if edits > MAX_EDITS || edits >= candidate.chars().count() {
            continue;
        }
        if best.is_some_and(|(fewest, _)| fewest <= edits) {
            continue;
        }
        best = Some((edits, candidate));
    }
    best.map(|(_, candidate)| candidate)
}

/// Computes the Levenshtein distance in characters, one row at a time.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_char) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
