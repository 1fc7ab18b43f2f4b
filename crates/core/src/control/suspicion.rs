//! Dissemination of suspicions against requests.
//!
//! When a request crashes a target, its caller sends it again to another gate of the
//! service. That gate must know of the suspicion first, so the suspicion is sent at once
//! to peers of the service, and heartbeats repeat it. It stays within the service,
//! because the gates of the service reject the request for all callers.

use hornbeamhitch_wire::control::{DatagramBody, SuspectNote};

use super::board::{Board, Controller, Input, PendingPublish};
use crate::prelude::*;
use crate::suspects::{SuspectEntry, Suspects, SuspicionLevel};

/// Peers notified by the node that observed the crash.
const FIRST_FAN_OUT: usize = 16;
/// Peers notified by a node that receives the suspicion.
const FAN_OUT: usize = 3;

/// Controller that disseminates suspicions.
#[derive(Debug, Default)]
pub(super) struct Suspicion;

impl Suspicion {
    fn spread(board: &mut Board, notes: Vec<SuspectNote>, fan_out: usize) {
        board.request_publish(PendingPublish::Routes);
        let service = board.settings.service.clone();
        let rng = &mut board.rng;
        let service_peers = board
            .members
            .choose(rng, fan_out, |member| member.service == service);
        for recipient in service_peers {
            let body = DatagramBody::Suspicion {
                suspects: notes.clone(),
            };
            board.send(recipient.control, body);
        }
    }

    fn note_found(board: &mut Board, entry: &SuspectEntry) {
        if board.suspects.merge(entry, board.now) {
            Self::spread(board, vec![note_of(entry)], FIRST_FAN_OUT);
        }
    }

    fn merge(board: &mut Board, notes: &[SuspectNote]) {
        let mut new_notes = Vec::new();
        for note in notes {
            let Some(entry) = entry_of(note) else {
                continue;
            };
            if board.suspects.merge(&entry, board.now) {
                new_notes.push(*note);
            }
        }
        if !new_notes.is_empty() {
            Self::spread(board, new_notes, FAN_OUT);
        }
    }
}

impl Controller for Suspicion {
    fn on_input(&mut self, input: &Input, board: &mut Board) {
        match input {
            Input::Suspicion(entry) => Self::note_found(board, entry),
            Input::Datagram(datagram) if datagram.from.service == board.settings.service => {
                match &datagram.body {
                    DatagramBody::Suspicion { suspects } => Self::merge(board, suspects),
                    DatagramBody::Heartbeat(heartbeat) => Self::merge(board, &heartbeat.suspects),
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn on_tick(&mut self, board: &mut Board) {
        if board.suspects.tick(board.now) {
            board.request_publish(PendingPublish::Routes);
        }
    }
}

/// Returns the most recent entries, for heartbeats.
pub(super) fn most_recent(suspects: &Suspects, count: usize, now: Millis) -> Vec<SuspectNote> {
    let mut entries: Vec<SuspectEntry> = suspects.entries(now).collect();
    entries.sort_by_key(|entry| entry.age_ms);
    entries.truncate(count);
    entries.iter().map(note_of).collect()
}

fn note_of(entry: &SuspectEntry) -> SuspectNote {
    SuspectNote {
        fingerprint: entry.fingerprint,
        version: entry.version,
        standing: match entry.level {
            SuspicionLevel::Clear => 0,
            SuspicionLevel::Suspect => 1,
            SuspicionLevel::Convicted => 2,
        },
        crashes: entry.crashes,
        age_ms: entry.age_ms,
    }
}

fn entry_of(note: &SuspectNote) -> Option<SuspectEntry> {
    let level = match note.standing {
        0 => SuspicionLevel::Clear,
        1 => SuspicionLevel::Suspect,
        2 => SuspicionLevel::Convicted,
        _ => return None,
    };
    Some(SuspectEntry {
        fingerprint: note.fingerprint,
        version: note.version,
        level,
        crashes: note.crashes,
        age_ms: note.age_ms,
    })
}
