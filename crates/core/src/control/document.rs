//! A versioned document of which a node stores only the slices that it needs.
//!
//! The configuration and the VM list are such documents. Two invariants hold: the local
//! version never decreases, and all local slices belong to the local version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hornbeamhitch_wire::control::{
    ChangeNote, DocumentReply, DocumentRequest, SliceBytes, SliceClaim, SliceName, digest_of,
};

#[cfg(test)]
mod tests;

/// Limit of stored change notes, which are relayed to peers.
const MAX_NOTES: usize = 8;
/// A change that affects more slices than this gets no note. Peers then have to pull the
/// difference.
const MAX_CHANGED_IN_NOTE: usize = 12;

/// The content of one slice.
#[derive(Clone, Debug)]
pub(super) struct Slice {
    /// Digest of `bytes`.
    pub(super) digest: u64,
    /// The content in `postcard` encoding.
    pub(super) bytes: Arc<[u8]>,
}

/// Outcome of applying a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// The version or slices were updated.
    Advanced,
    /// The reply contained nothing new.
    Unchanged,
    /// The version of the reply is below the local version.
    Older,
    /// The reply lacks a local slice, or the local content has changed since the request.
    /// Nothing was updated.
    Unusable,
}

/// The local copy of one document.
#[derive(Debug, Default)]
pub(super) struct Document {
    version: u64,
    slices: BTreeMap<SliceName, Slice>,
    whole: bool,
    notes: VecDeque<ChangeNote>,
    /// Incremented with each change of the slices, to detect a reply to a request about
    /// earlier content.
    edits: u64,
}

impl Slice {
    fn new(bytes: Vec<u8>) -> Self {
        Self {
            digest: digest_of(&bytes),
            bytes: Arc::from(bytes),
        }
    }
}

impl Document {
    /// Returns the local version, or zero for none.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether all existing slices are stored locally.
    pub(super) const fn is_whole(&self) -> bool {
        self.whole
    }

    /// Returns the number of content changes so far.
    pub(super) const fn edits(&self) -> u64 {
        self.edits
    }

    /// Returns a slice if it is stored locally.
    pub(super) fn slice(&self, name: &SliceName) -> Option<&Slice> {
        self.slices.get(name)
    }

    /// Returns all local slices, ordered by name.
    pub(super) fn slices(&self) -> impl Iterator<Item = (&SliceName, &Slice)> {
        self.slices.iter()
    }

    /// Returns up to `limit` of the latest change notes, oldest first.
    pub(super) fn latest_notes(&self, limit: usize) -> Vec<ChangeNote> {
        let skip = self.notes.len().saturating_sub(limit);
        self.notes.iter().skip(skip).cloned().collect()
    }

    /// Replaces the whole document with content from the platform. Returns false if the
    /// version is older than the local one, or equal to it while the local document is
    /// whole.
    pub(super) fn replace(&mut self, version: u64, content: Vec<SliceBytes>) -> bool {
        if version < self.version || (version == self.version && self.whole) {
            return false;
        }
        let mut slices = BTreeMap::new();
        for part in content {
            slices.insert(part.name, Slice::new(part.bytes));
        }
        if self.whole {
            let changed = changed_names(&self.slices, &slices);
            self.note_change(version, changed);
        }
        self.slices = slices;
        self.version = version;
        self.whole = true;
        self.edits += 1;
        true
    }

    /// Stores a single slice from the platform. Only a node without other slices may do
    /// so, because slices of two versions must not mix.
    pub(super) fn replace_only(&mut self, version: u64, part: SliceBytes) -> bool {
        let holds_others = self.slices.keys().any(|existing| *existing != part.name);
        if version <= self.version || holds_others || self.whole {
            return false;
        }
        self.slices.insert(part.name, Slice::new(part.bytes));
        self.version = version;
        self.edits += 1;
        true
    }

    /// Advances by notes that change no local slice. Returns whether the version
    /// increased.
    ///
    /// A node with the whole document also needs added slices, which a note does not
    /// contain. Such a node advances only by a note without changed slices.
    pub(super) fn advance(&mut self, notes: &[ChangeNote]) -> bool {
        let before = self.version;
        for note in notes {
            self.insert_note(note);
            if note.previous != self.version || note.version <= self.version || self.version == 0 {
                continue;
            }
            if self.is_touched_by(note) {
                continue;
            }
            self.version = note.version;
        }
        self.version > before
    }

    fn is_touched_by(&self, note: &ChangeNote) -> bool {
        if self.whole {
            return !note.changed.is_empty();
        }
        for name in self.slices.keys() {
            if note.changed.contains(&name.hash()) {
                return true;
            }
        }
        false
    }

    /// Returns the request that brings this node up to date.
    pub(super) fn request(
        &self,
        wanted: &BTreeSet<SliceName>,
        everything: bool,
    ) -> DocumentRequest {
        let mut claims = Vec::new();
        for (name, slice) in &self.slices {
            claims.push(SliceClaim {
                name: name.clone(),
                digest: Some(slice.digest),
            });
        }
        for name in wanted {
            if self.slices.contains_key(name) {
                continue;
            }
            claims.push(SliceClaim {
                name: name.clone(),
                digest: None,
            });
        }
        DocumentRequest {
            version: self.version,
            claims,
            everything,
        }
    }

    /// Answers a peer's request.
    pub(super) fn reply(&self, request: &DocumentRequest) -> DocumentReply {
        let mut reply = DocumentReply {
            version: self.version,
            ..DocumentReply::default()
        };
        if self.version == 0 || self.version < request.version {
            return reply;
        }
        let mut claimed = BTreeSet::new();
        for claim in &request.claims {
            claimed.insert(&claim.name);
            let Some(slice) = self.slices.get(&claim.name) else {
                let list = if self.whole {
                    &mut reply.gone
                } else {
                    &mut reply.missing
                };
                list.push(claim.name.clone());
                continue;
            };
            if claim.digest == Some(slice.digest) {
                continue;
            }
            reply.slices.push(slice_bytes(&claim.name, slice));
        }
        reply.notes = self.latest_notes(MAX_NOTES);
        if !request.everything || !self.whole {
            return reply;
        }
        for (name, slice) in &self.slices {
            if claimed.contains(name) {
                continue;
            }
            reply.slices.push(slice_bytes(name, slice));
        }
        reply.whole = true;
        reply
    }

    /// Applies a peer's reply to `request`, which was sent when [`Self::edits`] was
    /// `edits_at_request`.
    pub(super) fn apply(
        &mut self,
        request: &DocumentRequest,
        edits_at_request: u64,
        reply: DocumentReply,
    ) -> ApplyOutcome {
        if reply.version == 0 || reply.version < self.version {
            return ApplyOutcome::Older;
        }
        if edits_at_request != self.edits {
            return ApplyOutcome::Unusable;
        }
        if reply.version == self.version {
            return self.fill(reply);
        }
        for claim in &request.claims {
            if claim.digest.is_some() && reply.missing.contains(&claim.name) {
                return ApplyOutcome::Unusable;
            }
        }
        let mut slices = self.slices.clone();
        for part in reply.slices {
            slices.insert(part.name, Slice::new(part.bytes));
        }
        for name in &reply.gone {
            slices.remove(name);
        }
        for note in &reply.notes {
            self.insert_note(note);
        }
        if self.whole && reply.whole {
            let changed = changed_names(&self.slices, &slices);
            self.note_change(reply.version, changed);
        }
        self.slices = slices;
        self.version = reply.version;
        self.whole = reply.whole;
        self.edits += 1;
        ApplyOutcome::Advanced
    }

    /// Adds slices of the local version.
    fn fill(&mut self, reply: DocumentReply) -> ApplyOutcome {
        let mut changed = false;
        for part in reply.slices {
            if self.slices.contains_key(&part.name) {
                continue;
            }
            self.slices.insert(part.name, Slice::new(part.bytes));
            changed = true;
        }
        if reply.whole && !self.whole {
            self.whole = true;
            changed = true;
        }
        if !changed {
            return ApplyOutcome::Unchanged;
        }
        self.edits += 1;
        ApplyOutcome::Advanced
    }

    /// Stores an empty slice under a name that is known not to exist, so that a note
    /// which creates the slice is not missed.
    pub(super) fn insert_empty(&mut self, name: &SliceName, empty: Vec<u8>) {
        if self.whole || self.slices.contains_key(name) {
            return;
        }
        self.slices.insert(name.clone(), Slice::new(empty));
        self.edits += 1;
    }

    /// Drops slices that are not wanted.
    pub(super) fn retain(&mut self, wanted: &BTreeSet<SliceName>) {
        let before = self.slices.len();
        self.slices.retain(|name, _| wanted.contains(name));
        if self.slices.len() == before && !self.whole {
            return;
        }
        self.whole = false;
        self.edits += 1;
    }

    fn note_change(&mut self, version: u64, changed: Vec<u64>) {
        if changed.len() > MAX_CHANGED_IN_NOTE || version == self.version {
            return;
        }
        let note = ChangeNote {
            version,
            previous: self.version,
            changed,
        };
        self.insert_note(&note);
    }

    /// Inserts a note in version order and drops the oldest ones above the limit.
    fn insert_note(&mut self, note: &ChangeNote) {
        if note.previous >= note.version || note.changed.len() > MAX_CHANGED_IN_NOTE {
            return;
        }
        let key = (note.version, note.previous);
        let mut position = self.notes.len();
        for (index, existing) in self.notes.iter().enumerate() {
            let existing_key = (existing.version, existing.previous);
            if existing_key == key {
                return;
            }
            if existing_key > key {
                position = index;
                break;
            }
        }
        self.notes.insert(position, note.clone());
        if self.notes.len() > MAX_NOTES {
            self.notes.pop_front();
        }
    }
}

fn slice_bytes(name: &SliceName, slice: &Slice) -> SliceBytes {
    SliceBytes {
        name: name.clone(),
        bytes: slice.bytes.to_vec(),
    }
}

/// Returns the hashes of the names whose content differs between two whole documents.
fn changed_names(
    before: &BTreeMap<SliceName, Slice>,
    after: &BTreeMap<SliceName, Slice>,
) -> Vec<u64> {
    let mut changed = Vec::new();
    for (name, slice) in after {
        if before
            .get(name)
            .is_some_and(|old| old.digest == slice.digest)
        {
            continue;
        }
        changed.push(name.hash());
    }
    for name in before.keys() {
        if !after.contains_key(name) {
            changed.push(name.hash());
        }
    }
    changed
}
