//! Tests of the invariants of versions and slices.

use super::*;
use hornbeamhitch_types::prelude::*;

fn name(service: &str) -> SliceName {
    SliceName::Service(ServiceName::new(service))
}

fn parts(content: &[(&str, u8)]) -> Vec<SliceBytes> {
    let mut parts = Vec::new();
    for (service, byte) in content {
        parts.push(SliceBytes {
            name: name(service),
            bytes: vec![*byte],
        });
    }
    parts
}

fn whole(version: u64, content: &[(&str, u8)]) -> Document {
    let mut document = Document::default();
    assert!(document.replace(version, parts(content)));
    document
}

/// A document with one slice, pulled from a whole document.
fn partial(from: &Document, service: &str) -> Document {
    let mut document = Document::default();
    let request = document.request(&BTreeSet::from([name(service)]), false);
    let reply = from.reply(&request);
    assert_eq!(
        document.apply(&request, document.edits(), reply),
        ApplyOutcome::Advanced
    );
    document
}

fn byte(document: &Document, service: &str) -> Option<u8> {
    Some(document.slice(&name(service))?.bytes[0])
}

#[test]
fn a_lower_or_equal_version_never_replaces_a_whole_document() {
    let mut document = whole(5, &[("a", 1)]);
    assert!(!document.replace(4, parts(&[("a", 2)])));
    assert!(!document.replace(5, parts(&[("a", 2)])));
    assert_eq!(byte(&document, "a"), Some(1));
    assert!(document.replace(6, parts(&[("a", 2)])));
    assert_eq!((document.version(), byte(&document, "a")), (6, Some(2)));
}

#[test]
fn a_note_advances_only_documents_whose_slices_it_does_not_change() {
    let mut reader = whole(5, &[("a", 1), ("b", 1)]);
    let mut node_a = partial(&reader, "a");
    let mut node_b = partial(&reader, "b");
    reader.replace(6, parts(&[("a", 2), ("b", 1)]));
    let notes = reader.latest_notes(4);
    assert!(!node_a.advance(&notes));
    assert!(node_b.advance(&notes));
    assert_eq!((node_a.version(), node_b.version()), (5, 6));
}

/// Slice `a` changes in version 6 and changes back in version 7. A reader that missed
/// version 6 issues a correct note that versions 5 and 7 do not differ. A node at version
/// 6 that applied this note would keep the content of version 6 at version 7.
#[test]
fn a_note_from_another_version_is_not_applied() {
    let mut seen_all = whole(5, &[("a", 1)]);
    let mut skipped = whole(5, &[("a", 1)]);
    seen_all.replace(6, parts(&[("a", 2)]));
    let mut node = partial(&seen_all, "a");
    skipped.replace(7, parts(&[("a", 1)]));
    assert!(!node.advance(&skipped.latest_notes(4)));
    assert_eq!((node.version(), byte(&node, "a")), (6, Some(2)));

    // A bulk request reveals the difference, because it compares contents.
    let request = node.request(&BTreeSet::new(), false);
    let reply = skipped.reply(&request);
    assert_eq!(
        node.apply(&request, node.edits(), reply),
        ApplyOutcome::Advanced
    );
    assert_eq!((node.version(), byte(&node, "a")), (7, Some(1)));
}

/// A whole document that advanced by a note without the added slice would make the node
/// report that the new service does not exist.
#[test]
fn a_whole_document_is_not_advanced_by_a_note_that_adds_a_slice() {
    let mut reader = whole(5, &[("a", 1)]);
    let mut other = whole(5, &[("a", 1)]);
    reader.replace(6, parts(&[("a", 1), ("b", 1)]));
    assert!(!other.advance(&reader.latest_notes(4)));
    reader.replace(7, parts(&[("a", 1), ("b", 1)]));
    let mut current = whole(6, &[("a", 1), ("b", 1)]);
    assert!(current.advance(&reader.latest_notes(1)));
}

#[test]
fn an_answer_that_lacks_a_local_slice_is_not_applied() {
    let reader = whole(5, &[("a", 1), ("b", 1)]);
    let mut node_a = partial(&reader, "a");
    let newer = whole(6, &[("a", 2), ("b", 2)]);
    let node_b = partial(&newer, "b");
    let request = node_a.request(&BTreeSet::new(), false);
    let reply = node_b.reply(&request);
    assert_eq!(reply.missing, [name("a")]);
    assert_eq!(
        node_a.apply(&request, node_a.edits(), reply),
        ApplyOutcome::Unusable
    );
    assert_eq!(node_a.version(), 5);
}

/// The content changes between request and answer. The answer treats slices as unchanged
/// that it compared with the earlier content.
#[test]
fn an_answer_to_an_outdated_request_is_not_applied() {
    let reader = whole(5, &[("a", 1)]);
    let mut node = partial(&reader, "a");
    let same_again = whole(8, &[("a", 1)]);
    let request = node.request(&BTreeSet::new(), false);
    let edits_at_request = node.edits();
    let reply = same_again.reply(&request);
    let changed = whole(7, &[("a", 2)]);
    let between = node.request(&BTreeSet::new(), false);
    let edits = node.edits();
    node.apply(&between, edits, changed.reply(&between));
    assert_eq!(byte(&node, "a"), Some(2));
    assert_eq!(
        node.apply(&request, edits_at_request, reply),
        ApplyOutcome::Unusable
    );
    assert_eq!((node.version(), byte(&node, "a")), (7, Some(2)));
}

#[test]
fn a_deleted_slice_is_removed() {
    let reader = whole(5, &[("a", 1), ("b", 1)]);
    let mut node = partial(&reader, "a");
    let newer = whole(6, &[("b", 1)]);
    let request = node.request(&BTreeSet::new(), false);
    let reply = newer.reply(&request);
    assert_eq!(
        node.apply(&request, node.edits(), reply),
        ApplyOutcome::Advanced
    );
    assert_eq!(byte(&node, "a"), None);
}

#[test]
fn stored_notes_are_bounded() {
    let mut reader = whole(1, &[("a", 0)]);
    for version in 2..100 {
        reader.replace(version, parts(&[("a", version as u8)]));
    }
    assert_eq!(reader.latest_notes(100).len(), MAX_NOTES);
    assert_eq!(reader.latest_notes(1)[0].version, 99);
}
