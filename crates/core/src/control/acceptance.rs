//! Decides which texts and VM lists from the platform a node accepts.
//!
//! [`super::document::Document`], through which every update passes, enforces that a
//! version never decreases. This controller converts what the platform sends into
//! document slices and records a text that failed its checks.

use std::collections::BTreeMap;

use hornbeamhitch_wire::control::{ListVersion, ListedVm, SliceBytes, SliceName, encode_slice};

use super::api::{CheckedText, TextRefusal};
use super::board::{Board, Controller, Input};
use super::config::slices_of_text;
use super::status::RefusedText;
use crate::prelude::*;

/// Controller that accepts or rejects values read from the platform.
#[derive(Debug, Default)]
pub(super) struct Acceptance;

impl Acceptance {
    fn offer_text(
        board: &mut Board,
        version: ConfigVersion,
        checked: Option<&Result<CheckedText, TextRefusal>>,
    ) {
        if version < board.text_version() {
            board.counters.old_versions_offered += 1;
        }
        let text = match checked {
            None => return,
            Some(Err(refusal)) => return Self::refuse(board, version, refusal),
            Some(Ok(text)) => text,
        };
        if board.text.replace(version.0, slices_of_text(text)) {
            board.refresh_config();
        }
    }

    /// Rejects a faulty text as a whole. Applying the valid part would put a
    /// configuration in force that nobody has reviewed.
    fn refuse(board: &mut Board, version: ConfigVersion, refusal: &TextRefusal) {
        board.counters.texts_refused += 1;
        let known = board.refused.as_ref().map(|refused| refused.version);
        if version <= board.text_version() || Some(version) < known {
            return;
        }
        board.refused = Some(RefusedText {
            version,
            reason: refusal.reason.clone(),
        });
    }

    fn offer_vms(
        board: &mut Board,
        version: ListVersion,
        service: Option<&ServiceName>,
        vms: &[ListedVm],
    ) {
        if version < board.list_version() {
            board.counters.old_versions_offered += 1;
            return;
        }
        let Some(service) = service else {
            board.vms.replace(version.0, slices_of_vms(vms));
            return;
        };
        let part = members_slice(service, vms);
        board.vms.replace_only(version.0, part);
    }
}

impl Controller for Acceptance {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::Text {
                version, checked, ..
            } => {
                Self::offer_text(board, *version, checked.as_ref());
            }
            Input::Vms {
                version,
                service,
                vms,
            } => Self::offer_vms(board, *version, service.as_ref(), vms),
            _ => {}
        }
    }
}

fn slices_of_vms(vms: &[ListedVm]) -> Vec<SliceBytes> {
    let mut by_service: BTreeMap<&ServiceName, Vec<ListedVm>> = BTreeMap::new();
    for entry in vms {
        by_service
            .entry(&entry.service)
            .or_default()
            .push(entry.clone());
    }
    let mut slices = Vec::with_capacity(by_service.len());
    for (service, entries) in by_service {
        slices.push(members_slice(service, &entries));
    }
    slices
}

/// Encodes the VMs of a service, sorted by VM so that equal lists have equal digests.
fn members_slice(service: &ServiceName, vms: &[ListedVm]) -> SliceBytes {
    let mut entries = vms.to_vec();
    entries.sort_by(|left, right| left.vm.cmp(&right.vm));
    SliceBytes {
        name: SliceName::Members(service.clone()),
        bytes: encode_slice(&entries),
    }
}
