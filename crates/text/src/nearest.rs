//! The known name that a misspelt one was probably meant to be.

/// Longer names are not compared; no known name is that long.
const MAX_COMPARED_BYTES: usize = 64;
/// One edit is allowed for each so many bytes, and one in any case.
const BYTES_PER_EDIT: usize = 3;

/// Finds the known name with the fewest edits, if it is near at all.
pub(crate) fn nearest<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    if name.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let mut allowed_edits = (name.len() / BYTES_PER_EDIT).max(1);
    let mut best = None;
    for candidate in known {
        if candidate.len().abs_diff(name.len()) > allowed_edits {
            continue;
        }
        let edits = edit_distance(name.as_bytes(), candidate.as_bytes());
        if edits > allowed_edits || (edits == allowed_edits && best.is_some()) {
            continue;
        }
        allowed_edits = edits;
        best = Some(candidate);
    }
    best
}

/// Levenshtein's distance in bytes.
fn edit_distance(left: &[u8], right: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, left_byte) in left.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, right_byte) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(left_byte != right_byte);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
