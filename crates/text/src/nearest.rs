//! Suggests the known name closest to a misspelt one.

/// Longer names get no suggestion. No known name is that long.
const MAX_COMPARED_BYTES: usize = 64;
/// Number of bytes in a name for each allowed edit. At least one edit is allowed.
const BYTES_PER_EDIT: usize = 3;

/// Returns the known name with the smallest edit distance, unless that exceeds
/// the allowed number of edits.
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

/// Computes the Levenshtein distance in bytes.
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
